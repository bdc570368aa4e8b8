package relay_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"acaciapath.example/standin/relay"

	qt "github.com/frankban/quicktest"
)

const (
	// arrivalTimeout is how long a test waits for data that must arrive.
	arrivalTimeout = 20 * time.Second
	// silencePeriod is how long a test checks that nothing arrives.
	silencePeriod = 50 * time.Millisecond
)

// start starts a relay to a new listener and returns it with a channel of the
// connections that the listener accepts.
func start(c *qt.C) (r *relay.Relay, accepted <-chan net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	conns := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns <- conn
		}
	}()
	r, err = relay.New("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	r.SetTarget(listener.Addr().String())
	c.Cleanup(func() { c.Check(r.Close(), qt.IsNil) })
	return r, conns
}

// connect returns both ends of a connection through the relay.
func connect(c *qt.C, r *relay.Relay, accepted <-chan net.Conn) (clientConn, targetConn net.Conn) {
	clientConn, err := net.Dial("tcp", r.Address())
	c.Assert(err, qt.IsNil)
	targetConn = <-accepted
	c.Cleanup(func() {
		_ = clientConn.Close()
		_ = targetConn.Close()
	})
	return clientConn, targetConn
}

func send(c *qt.C, conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	c.Assert(err, qt.IsNil)
}

func receive(c *qt.C, conn net.Conn, text string) {
	c.Helper()
	c.Assert(conn.SetReadDeadline(time.Now().Add(arrivalTimeout)), qt.IsNil)
	buffer := make([]byte, len(text))
	_, err := io.ReadFull(conn, buffer)
	c.Assert(err, qt.IsNil)
	c.Assert(string(buffer), qt.Equals, text)
}

// checkSilent checks that nothing arrives, not even the end of the connection.
func checkSilent(c *qt.C, conn net.Conn) {
	c.Helper()
	c.Assert(conn.SetReadDeadline(time.Now().Add(silencePeriod)), qt.IsNil)
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	c.Assert(err, qt.ErrorAs, &timeout)
	c.Assert(timeout.Timeout(), qt.IsTrue)
}

// checkClosed checks that the connection is closed without further data.
func checkClosed(c *qt.C, conn net.Conn) {
	c.Helper()
	c.Assert(conn.SetReadDeadline(time.Now().Add(arrivalTimeout)), qt.IsNil)
	_, err := conn.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
	timeout, ok := err.(net.Error)
	c.Assert(ok && timeout.Timeout(), qt.IsFalse)
}

func TestForwardsBothDirections(t *testing.T) {
	c := qt.New(t)
	r, accepted := start(c)
	r.SetFaults(relay.Faults{Delay: time.Millisecond})
	clientConn, targetConn := connect(c, r, accepted)
	send(c, clientConn, "ping")
	receive(c, targetConn, "ping")
	send(c, targetConn, "pong")
	receive(c, clientConn, "pong")
	_ = targetConn.Close()
	checkClosed(c, clientConn)
}

func TestDropOneDirection(t *testing.T) {
	for _, fromTarget := range []bool{false, true} {
		c := qt.New(t)
		r, accepted := start(c)
		clientConn, targetConn := connect(c, r, accepted)
		from, to := clientConn, targetConn
		if fromTarget {
			from, to = targetConn, clientConn
		}
		r.SetFaults(relay.Faults{DropToTarget: !fromTarget, DropFromTarget: fromTarget})
		send(c, from, "lost")
		checkSilent(c, to)
		send(c, to, "kept")
		receive(c, from, "kept")
		_ = from.Close()
		checkSilent(c, to)
		r.SetFaults(relay.Faults{})
		checkClosed(c, to)
	}
}

func TestFrozenDataArrivesAfterUnfreeze(t *testing.T) {
	c := qt.New(t)
	r, accepted := start(c)
	clientConn, targetConn := connect(c, r, accepted)
	r.SetFaults(relay.Faults{Frozen: true})
	send(c, clientConn, "late")
	checkSilent(c, targetConn)
	r.SetFaults(relay.Faults{})
	receive(c, targetConn, "late")
}

func TestCloseConnections(t *testing.T) {
	c := qt.New(t)
	r, accepted := start(c)
	clientConn, targetConn := connect(c, r, accepted)
	r.CloseConnections()
	checkClosed(c, clientConn)
	checkClosed(c, targetConn)
}

func TestWithoutTarget(t *testing.T) {
	c := qt.New(t)
	r, err := relay.New("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer r.Close()
	clientConn, err := net.Dial("tcp", r.Address())
	c.Assert(err, qt.IsNil)
	defer clientConn.Close()
	checkClosed(c, clientConn)
}

// TestBlockedClients cuts off one of two clients.
func TestBlockedClients(t *testing.T) {
	c := qt.New(t)
	r, accepted := start(c)
	one, _ := connect(c, r, accepted)
	two, twoTarget := connect(c, r, accepted)
	r.SetBlocked(func(client net.Addr) bool { return client.String() != two.LocalAddr().String() })
	read := func(conn net.Conn) error {
		c.Assert(conn.SetReadDeadline(time.Now().Add(arrivalTimeout)), qt.IsNil)
		_, err := conn.Read(make([]byte, 1))
		return err
	}
	c.Assert(read(one), qt.ErrorIs, syscall.ECONNRESET)
	later, err := net.Dial("tcp", r.Address())
	if err == nil { // otherwise the reset came before Dial had returned
		defer later.Close()
		err = read(later)
	}
	c.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
	send(c, twoTarget, "x")
	c.Assert(read(two), qt.IsNil)
	r.SetBlocked(nil)
	_, restored := connect(c, r, accepted)
	c.Assert(restored, qt.IsNotNil)
}

// TestLossyLink has data under way on a link that loses all packets. It arrives when it is sent again
// after the link is sound, unless the sender has reset the connection.
func TestLossyLink(t *testing.T) {
	for _, end := range []string{"open", "closed", "reset"} {
		t.Run(end, func(t *testing.T) {
			c := qt.New(t)
			r, accepted := start(c)
			clientConn, targetConn := connect(c, r, accepted)
			r.SetFaults(relay.Faults{Lossy: true})
			sent := time.Now()
			send(c, clientConn, "late")
			switch end {
			case "closed":
				_ = clientConn.Close()
			case "reset":
				c.Assert(clientConn.(*net.TCPConn).SetLinger(0), qt.IsNil)
				_ = clientConn.Close()
			}
			time.Sleep(300 * time.Millisecond)
			checkSilent(c, targetConn)
			r.SetFaults(relay.Faults{})
			if end == "reset" {
				checkClosed(c, targetConn)
				return
			}
			receive(c, targetConn, "late")
			c.Assert(time.Since(sent) > 550*time.Millisecond, qt.IsTrue, qt.Commentf("sent again after 0.2, 0.6, 1.4 s"))
		})
	}
}

// TestConnectionOpenedOnLossyLink checks that it carries nothing.
func TestConnectionOpenedOnLossyLink(t *testing.T) {
	c := qt.New(t)
	r, accepted := start(c)
	r.SetFaults(relay.Faults{Lossy: true})
	clientConn, err := net.Dial("tcp", r.Address())
	c.Assert(err, qt.IsNil)
	defer clientConn.Close()
	send(c, clientConn, "lost")
	time.Sleep(silencePeriod)
	r.SetFaults(relay.Faults{})
	time.Sleep(silencePeriod)
	c.Assert(accepted, qt.HasLen, 0)
}
