package link

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is a connection of a Link.
type conn struct {
	net.Conn
	link *Link
	// address is that of the server.
	address string
	// accepted is the address of the server in whose place the network accepted the
	// connection, or nil.
	accepted net.Addr
	// held is data that was received and is not delivered yet. Only Read uses it.
	held []byte
	// done is closed when the connection is closed or reset.
	done chan struct{}

	mu sync.Mutex // guards the fields below
	// ended is the reason why the connection ended, or nil, and lost states that it lost data.
	ended        error
	lost         bool
	readDeadline time.Time
	// deadlineChanged is closed and replaced by each change of readDeadline.
	deadlineChanged chan struct{}
}

func newConn(l *Link, opened net.Conn, address string) *conn {
	return &conn{Conn: opened, link: l, address: address, done: make(chan struct{}), deadlineChanged: make(chan struct{})}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.receive(p)
		if ended := c.endError("read"); ended != nil {
			return 0, ended
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		deliver, waitErr := c.awaitDelivery()
		if waitErr != nil {
			c.held = append([]byte(nil), p[:n]...)
			return 0, waitErr
		}
		if deliver {
			return n, err
		}
		c.lose()
		if err != nil {
			// The end of the connection is lost as well.
			return 0, c.awaitEnd()
		}
	}
}

// receive reads data that is held, or else from the server.
func (c *conn) receive(p []byte) (int, error) {
	if len(c.held) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.held)
	c.held = c.held[n:]
	return n, nil
}

// awaitDelivery waits while servers are silent and reports whether received data is delivered.
// It is lost if the link hangs.
func (c *conn) awaitDelivery() (bool, error) {
	for {
		cut, silentUntil, changed := c.link.state(c.address)
		if cut == Hang {
			return false, c.endError("read")
		}
		silence := time.Until(silentUntil)
		if silence <= 0 {
			return true, c.endError("read")
		}
		if err := c.wait(silence, changed); err != nil {
			return false, err
		}
	}
}

// awaitEnd waits until the connection is closed or reset, or its read deadline passes.
func (c *conn) awaitEnd() error {
	for {
		if err := c.wait(time.Hour, nil); err != nil {
			return err
		}
	}
}

// wait waits for a time or until changed is closed. It returns an error if the connection ends
// or its read deadline passes.
func (c *conn) wait(d time.Duration, changed <-chan struct{}) error {
	c.mu.Lock()
	deadline, deadlineChanged := c.readDeadline, c.deadlineChanged
	c.mu.Unlock()
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-deadlineChanged:
	case <-c.done:
		return c.endError("read")
	case <-expired:
		return c.opError("read", os.ErrDeadlineExceeded)
	}
	return nil
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.endError("write"); err != nil {
		return 0, err
	}
	if c.accepted != nil {
		c.reset()
		return len(p), nil // the operating system accepts data before the reset arrives
	}
	if cut, _, _ := c.link.state(c.address); cut == Hang {
		c.lose()
	}
	if c.hasLost() {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	if ended := c.endError("write"); err != nil && ended != nil {
		err = ended
	}
	return n, err
}

// Close implements net.Conn. The server does not learn of it while the link hangs.
func (c *conn) Close() error {
	if !c.end(net.ErrClosed) {
		return nil
	}
	cut, _, changed := c.link.state(c.address)
	if cut != Hang {
		return c.Conn.Close()
	}
	go func() {
		for cut == Hang {
			<-changed
			cut, _, changed = c.link.state(c.address)
		}
		_ = c.Conn.Close() // the client closed it long ago
	}()
	return c.Conn.SetReadDeadline(time.Now()) // ends a read
}

// reset ends the connection, as a reset that both sides receive does.
func (c *conn) reset() {
	if !c.end(syscall.ECONNRESET) {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection may have ended
	}
	_ = c.Conn.Close() // the connection may have ended
}

// end marks the connection as ended for a reason. It reports false if it had ended before.
func (c *conn) end(reason error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended != nil {
		return false
	}
	c.ended = reason
	close(c.done)
	c.link.connections.Delete(c)
	return true
}

// endError returns the error of an operation on a connection that has ended, or nil.
func (c *conn) endError(operation string) error {
	c.mu.Lock()
	reason := c.ended
	c.mu.Unlock()
	if reason == nil {
		return nil
	}
	return c.opError(operation, reason)
}

func (c *conn) opError(operation string, err error) error {
	return &net.OpError{Op: operation, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// lose marks the connection as one that lost data.
func (c *conn) lose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = true
}

func (c *conn) hasLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
	c.mu.Unlock()
	err := c.Conn.SetReadDeadline(t)
	if ended := c.endError("set"); err != nil && ended != nil {
		return ended
	}
	return err
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr {
	if c.accepted != nil {
		return c.accepted
	}
	return c.Conn.RemoteAddr()
}
