package link_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"acaciapath.example/standin/link"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo is a server that returns what it receives.
type echo struct {
	address string
	// accepted is the number of connections and received that of bytes.
	accepted, received atomic.Int64
}

func startEcho(c *qt.C) *echo {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	e := &echo{address: listener.Addr().String()}
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			e.accepted.Add(1)
			go func() {
				defer accepted.Close()
				for b := make([]byte, 64); ; {
					n, err := accepted.Read(b)
					e.received.Add(int64(n))
					if _, writeErr := accepted.Write(b[:n]); err != nil || writeErr != nil {
						return
					}
				}
			}()
		}
	}()
	return e
}

// client is a client with a link of its own.
type client struct {
	*qt.C
	*link.Link
	server *echo
}

func newClient(t *testing.T) *client {
	c := qt.New(t)
	l := link.New((&net.Dialer{}).DialContext)
	c.Cleanup(func() { l.SetCut(link.None) })
	return &client{C: c, Link: l, server: startEcho(c)}
}

func (c *client) open() (net.Conn, error) {
	opened, err := c.Dial(context.Background(), "tcp", c.server.address)
	if err == nil {
		c.Cleanup(func() { _ = opened.Close() })
	}
	return opened, err
}

// exchange sends a byte and waits for the answer for a time.
func exchange(opened net.Conn, wait time.Duration) error {
	if _, err := opened.Write([]byte("x")); err != nil {
		return err
	}
	return receive(opened, wait)
}

// receive waits for a byte for a time.
func receive(opened net.Conn, wait time.Duration) error {
	if err := opened.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	_, err := io.ReadFull(opened, make([]byte, 1))
	return err
}

const (
	// longWait is more than any exchange takes, and shortWait the time after which one counts
	// as hanging.
	longWait  = 10 * time.Second
	shortWait = 50 * time.Millisecond
)

func TestCuts(t *testing.T) {
	for name, test := range map[string]struct {
		cut link.Cut
		// openError is the error of an exchange on a connection from before the cut,
		// dialError that of a new connection and firstError that of its first exchange.
		openError, dialError, firstError error
	}{
		"hang":                {cut: link.Hang, openError: os.ErrDeadlineExceeded, dialError: os.ErrDeadlineExceeded},
		"reset":               {cut: link.Reset, openError: syscall.ECONNRESET, dialError: syscall.ECONNREFUSED},
		"reset accepted":      {cut: link.ResetAccepted, openError: syscall.ECONNRESET, firstError: syscall.ECONNRESET},
		"reset at first byte": {cut: link.ResetAtFirstByte, openError: syscall.ECONNRESET, firstError: syscall.ECONNRESET},
		"refuse":              {cut: link.Refuse, dialError: syscall.ECONNREFUSED},
	} {
		t.Run(name, func(t *testing.T) {
			c := newClient(t)
			before, err := c.open()
			c.Assert(err, qt.IsNil)
			c.Assert(exchange(before, longWait), qt.IsNil)
			c.SetCut(test.cut)
			wait := longWait
			if errors.Is(test.openError, os.ErrDeadlineExceeded) {
				wait = shortWait
			}
			c.Assert(errors.Is(exchange(before, wait), test.openError), qt.IsTrue)
			received := c.server.received.Load()
			during, err := c.open()
			c.Assert(errors.Is(err, test.dialError), qt.IsTrue, qt.Commentf("%v", err))
			if err == nil {
				c.Assert(during.RemoteAddr().String(), qt.Equals, c.server.address)
				c.Assert(errors.Is(exchange(during, longWait), test.firstError), qt.IsTrue)
			}
			c.Assert(c.server.received.Load(), qt.Equals, received)
			c.Assert(c.server.accepted.Load(), qt.Equals, int64(1))

			c.SetCut(link.None)
			err = exchange(before, longWait)
			if test.cut == link.Refuse {
				c.Assert(err, qt.IsNil)
			} else {
				c.Assert(err, qt.ErrorIs, syscall.ECONNRESET) // also after it lost data
			}
			after, err := c.open()
			c.Assert(err, qt.IsNil)
			c.Assert(exchange(after, longWait), qt.IsNil)
			c.Assert(c.Dials()[c.server.address], qt.Equals, 3)
		})
	}
}

// TestHangWithoutLoss has a connection that carries no data outlive a cut, and a connection that
// is closed in a cut.
func TestHangWithoutLoss(t *testing.T) {
	c := newClient(t)
	idle, err := c.open()
	c.Assert(err, qt.IsNil)
	closed, err := c.open()
	c.Assert(err, qt.IsNil)
	c.SetCut(link.Hang)
	c.Assert(closed.Close(), qt.IsNil)
	c.Assert(exchange(closed, longWait), qt.ErrorIs, net.ErrClosed)
	c.Assert(receive(idle, shortWait), qt.ErrorIs, os.ErrDeadlineExceeded)
	c.SetCut(link.None)
	c.Assert(exchange(idle, longWait), qt.IsNil)
}

// TestReceivedDataIsLost has a server send data while the link hangs.
func TestReceivedDataIsLost(t *testing.T) {
	c := newClient(t)
	opened, err := c.open()
	c.Assert(err, qt.IsNil)
	c.Silence(shortWait)
	_, err = opened.Write([]byte("x"))
	c.Assert(err, qt.IsNil)
	ended := make(chan error, 1)
	go func() { ended <- receive(opened, longWait) }()
	time.Sleep(shortWait / 2)
	c.SetCut(link.Hang)
	select {
	case err := <-ended:
		c.Fatalf("read ended while the link hangs: %v", err)
	case <-time.After(2 * shortWait):
	}
	c.SetCut(link.None)
	c.Assert(<-ended, qt.ErrorIs, syscall.ECONNRESET)
}

// TestReadEndsAtReset has a read in progress when a link is cut.
func TestReadEndsAtReset(t *testing.T) {
	c := newClient(t)
	opened, err := c.open()
	c.Assert(err, qt.IsNil)
	ended := make(chan error, 1)
	go func() { ended <- receive(opened, longWait) }()
	c.SetCut(link.Reset)
	c.Assert(<-ended, qt.ErrorIs, syscall.ECONNRESET)
}

func TestSilence(t *testing.T) {
	c := newClient(t)
	opened, err := c.open()
	c.Assert(err, qt.IsNil)
	silent := time.Now()
	c.Silence(3 * shortWait)
	c.Assert(exchange(opened, longWait), qt.IsNil)
	c.Assert(time.Since(silent) >= 3*shortWait, qt.IsTrue)
	c.Silence(longWait)
	other, err := c.open()
	c.Assert(err, qt.IsNil)
	c.Assert(exchange(other, shortWait), qt.ErrorIs, os.ErrDeadlineExceeded)
	c.Silence(0)
	c.Assert(receive(other, longWait), qt.IsNil)
}

// TestCutToSomeServers cuts a link to one of two servers.
func TestCutToSomeServers(t *testing.T) {
	c := newClient(t)
	other := &client{C: c.C, Link: c.Link, server: startEcho(c.C)}
	opened, err := other.open()
	c.Assert(err, qt.IsNil)
	c.SetCutTo(link.Reset, c.server.address)
	_, err = c.open()
	c.Assert(err, qt.ErrorIs, syscall.ECONNREFUSED)
	c.Assert(exchange(opened, longWait), qt.IsNil)
	_, err = other.open()
	c.Assert(err, qt.IsNil)
}
