package relay_test

import (
	"io"
	"net"
	"testing"
	"time"

	"acaciapath.example/standin/relay"

	qt "github.com/frankban/quicktest"
)

// patience is a safety net for what must arrive, and quiet how long is waited
// for what must not.
const (
	patience = 20 * time.Second
	quiet    = 50 * time.Millisecond
)

// start starts a relay in front of a listener that passes on its connections.
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

// pair returns both ends of a connection through the relay.
func pair(c *qt.C, r *relay.Relay, accepted <-chan net.Conn) (near, far net.Conn) {
	near, err := net.Dial("tcp", r.Address())
	c.Assert(err, qt.IsNil)
	far = <-accepted
	c.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

func send(c *qt.C, conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	c.Assert(err, qt.IsNil)
}

func receive(c *qt.C, conn net.Conn, text string) {
	c.Helper()
	c.Assert(conn.SetReadDeadline(time.Now().Add(patience)), qt.IsNil)
	buffer := make([]byte, len(text))
	_, err := io.ReadFull(conn, buffer)
	c.Assert(err, qt.IsNil)
	c.Assert(string(buffer), qt.Equals, text)
}

// silent checks that nothing arrives, not even the end of the connection.
func silent(c *qt.C, conn net.Conn) {
	c.Helper()
	c.Assert(conn.SetReadDeadline(time.Now().Add(quiet)), qt.IsNil)
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	c.Assert(err, qt.ErrorAs, &timeout)
	c.Assert(timeout.Timeout(), qt.IsTrue)
}

func ended(c *qt.C, conn net.Conn) {
	c.Helper()
	c.Assert(conn.SetReadDeadline(time.Now().Add(patience)), qt.IsNil)
	_, err := conn.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
	timeout, ok := err.(net.Error)
	c.Assert(ok && timeout.Timeout(), qt.IsFalse)
}

func TestForwards(t *testing.T) {
	c := qt.New(t)
	r, accepted := start(c)
	r.SetFaults(relay.Faults{Delay: time.Millisecond})
	near, far := pair(c, r, accepted)
	send(c, near, "ping")
	receive(c, far, "ping")
	send(c, far, "pong")
	receive(c, near, "pong")
	_ = far.Close()
	ended(c, near)
}

func TestCutOneWay(t *testing.T) {
	for _, back := range []bool{false, true} {
		c := qt.New(t)
		r, accepted := start(c)
		near, far := pair(c, r, accepted)
		from, to := near, far
		if back {
			from, to = far, near
		}
		r.SetFaults(relay.Faults{DropToTarget: !back, DropFromTarget: back})
		send(c, from, "lost")
		silent(c, to)
		send(c, to, "kept")
		receive(c, from, "kept")
		_ = from.Close()
		silent(c, to)
		r.SetFaults(relay.Faults{})
		ended(c, to)
	}
}

func TestFrozenDataArrivesLate(t *testing.T) {
	c := qt.New(t)
	r, accepted := start(c)
	near, far := pair(c, r, accepted)
	r.SetFaults(relay.Faults{Frozen: true})
	send(c, near, "late")
	silent(c, far)
	r.SetFaults(relay.Faults{})
	receive(c, far, "late")
}

func TestReset(t *testing.T) {
	c := qt.New(t)
	r, accepted := start(c)
	near, far := pair(c, r, accepted)
	r.CloseConnections()
	ended(c, near)
	ended(c, far)
}

func TestWithoutTarget(t *testing.T) {
	c := qt.New(t)
	r, err := relay.New("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer r.Close()
	near, err := net.Dial("tcp", r.Address())
	c.Assert(err, qt.IsNil)
	defer near.Close()
	ended(c, near)
}
