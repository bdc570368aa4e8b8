package caller

import (
	"net"
	"sync/atomic"
	"time"

	"acaciapath.example/core/connections"
	"acaciapath.example/core/refusal"
)

// Limits of the handling of refused connections.
const (
	// refusalTimeout limits the time from a refusal to the closing of its
	// connection.
	refusalTimeout        = 500 * time.Millisecond
	maxConcurrentRefusals = 64
	maxDiscardedBytes     = 64 << 10
)

// Listener limits the number of open connections and answers further
// connections with a refusal.
type Listener struct {
	net.Listener

	limit        atomic.Int64
	openCount    atomic.Int64
	refusalSlots chan struct{}
	onRefused    func()
}

// NewListener returns a listener that keeps up to limit connections of inner
// open. onRefused is called for each refused connection.
func NewListener(inner net.Listener, limit int, onRefused func()) *Listener {
	l := &Listener{Listener: inner, refusalSlots: make(chan struct{}, maxConcurrentRefusals), onRefused: onRefused}
	l.SetLimit(limit)
	return l
}

// SetLimit changes the limit. Open connections above a lower limit are kept.
func (l *Listener) SetLimit(limit int) { l.limit.Store(int64(limit)) }

// OpenConnections returns the number of open connections.
func (l *Listener) OpenConnections() int { return int(l.openCount.Load()) }

// Accept returns the next connection within the limit.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.openCount.Add(1) <= l.limit.Load() {
			return &connection{Conn: conn, openCount: &l.openCount}, nil
		}
		l.openCount.Add(-1)
		l.refuse(conn)
	}
}

// refuse sends a refusal and closes the connection. If maxConcurrentRefusals
// are already being sent, it only closes the connection.
func (l *Listener) refuse(conn net.Conn) {
	l.onRefused()
	select {
	case l.refusalSlots <- struct{}{}:
	default:
		_ = conn.Close()
		return
	}
	go func() {
		defer func() { <-l.refusalSlots }()
		writeRefusal(conn)
	}()
}

// writeRefusal sends a refusal and closes the connection. Before closing, it
// discards what the caller sends, up to maxDiscardedBytes: closing a connection
// with unread data would discard the refusal.
func writeRefusal(conn net.Conn) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(refusalTimeout))
	r := refusal.New(refusal.TooManyRequests, "too many connections are open").WithRetryAfter(time.Second)
	if _, err := conn.Write(rawResponse(r)); err != nil {
		return
	}
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	discard(conn, maxDiscardedBytes)
}

// discard reads and drops up to limit bytes.
func discard(conn net.Conn, limit int) {
	buffer := make([]byte, 4<<10)
	for read := 0; read < limit; {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		read += n
	}
}

// connection decrements the number of open connections when it is closed.
type connection struct {
	net.Conn
	openCount *atomic.Int64
	closed    atomic.Bool
}

// SetLinger sets how the connection is closed, if it can do that.
func (c *connection) SetLinger(seconds int) error { return connections.SetLinger(c.Conn, seconds) }

// Close closes the connection.
func (c *connection) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.openCount.Add(-1)
	}
	return c.Conn.Close()
}
