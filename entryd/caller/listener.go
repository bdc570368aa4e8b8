package caller

import (
	"net"
	"sync/atomic"
	"time"

	"acaciapath.example/core/refusal"
)

// Bounds of what is done for a connection that is refused.
const (
	refuseTimeout = 500 * time.Millisecond
	refuseAtOnce  = 64
	refuseBytes   = 64 << 10
)

// Listener accepts up to a number of connections at once, and answers all
// others with a refusal.
type Listener struct {
	net.Listener

	limit    atomic.Int64
	open     atomic.Int64
	refusing chan struct{}
	refused  func()
}

// NewListener returns a listener that accepts up to limit connections of inner
// at once. Refused is called for each other.
func NewListener(inner net.Listener, limit int, refused func()) *Listener {
	l := &Listener{Listener: inner, refusing: make(chan struct{}, refuseAtOnce), refused: refused}
	l.SetLimit(limit)
	return l
}

// SetLimit changes the limit. Connections above a lower one stay.
func (l *Listener) SetLimit(limit int) { l.limit.Store(int64(limit)) }

// OpenConnections returns the number of connections.
func (l *Listener) OpenConnections() int { return int(l.open.Load()) }

// Accept returns the next connection within the limit.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit.Load() {
			return &connection{Conn: conn, open: &l.open}, nil
		}
		l.open.Add(-1)
		l.refuse(conn)
	}
}

// refuse answers a connection with a refusal if not too many are being refused,
// and closes it.
func (l *Listener) refuse(conn net.Conn) {
	l.refused()
	select {
	case l.refusing <- struct{}{}:
	default:
		_ = conn.Close()
		return
	}
	go func() {
		defer func() { <-l.refusing }()
		writeRefusal(conn)
	}()
}

// writeRefusal sends a refusal and closes the connection. It reads what the
// caller sends, for a while, since a close with unread data would discard the
// refusal.
func writeRefusal(conn net.Conn) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(refuseTimeout))
	r := refusal.New(refusal.TooManyRequests, "too many connections are open").WithRetryAfter(time.Second)
	if _, err := conn.Write(rawResponse(r)); err != nil {
		return
	}
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	discard(conn, refuseBytes)
}

// discard reads up to a number of bytes.
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

// connection counts itself out when it is closed.
type connection struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

// Close closes the connection.
func (c *connection) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}
