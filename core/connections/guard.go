package connections

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"acaciapath.example/core/memory"
)

// Reasons of refusals.
const (
	ReasonHeadTooLarge = "head-too-large"
	ReasonHeadTooSlow  = "head-too-slow"
	ReasonMemory       = "memory"
	ReasonConnections  = "connections"
)

// Guard keeps the connections of an HTTP server within limits and a budget of memory, which
// net/http bounds only for each connection and cannot change while it runs. It is safe for
// concurrent use.
type Guard struct {
	// Budget is where the memory of heads is taken from, for the address that sends them.
	Budget *memory.Budget
	// OnRefused is called for each connection that is refused or closed, with the address of
	// the other end and a reason.
	OnRefused func(address, reason string)

	limits atomic.Pointer[Limits]

	mu   sync.Mutex // guards the fields below
	open int
	// idle are the connections that have no complete head, and bodies those whose request has a
	// body that is being read, the one of each that waits longest for bytes first.
	idle, bodies *list.List
}

// NewGuard returns a guard without connections.
func NewGuard(budget *memory.Budget, limits Limits, onRefused func(address, reason string)) *Guard {
	g := &Guard{Budget: budget, OnRefused: onRefused, idle: list.New(), bodies: list.New()}
	g.SetLimits(limits)
	return g
}

// SetLimits changes the limits. Open connections above a lower limit stay open.
func (g *Guard) SetLimits(limits Limits) { g.limits.Store(&limits) }

// Limits returns the limits.
func (g *Guard) Limits() Limits { return *g.limits.Load() }

// guardKey is the key of the connection in the context of a request.
type guardKey struct{}

// Protect prepares a server that has not been started and has no timeouts and limits of its own. It
// must be served with a listener that Listen has returned.
func (g *Guard) Protect(server *http.Server) {
	server.MaxHeaderBytes = maxServerHeadBytes
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, guardKey{}, c) }
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if guarded, ok := c.(*conn); ok && state == http.StateIdle {
			guarded.awaitHead()
		}
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		guarded, ok := r.Context().Value(guardKey{}).(*conn)
		if ok {
			guarded.endHead()
		}
		handler.ServeHTTP(w, r)
		if ok && r.ContentLength != 0 {
			// net/http reads on, up to 256 KB and without a limit on the time.
			_ = guarded.SetReadDeadline(time.Now().Add(unreadTime)) // an error shows in the read
		}
	})
	ResetAborted(server)
}

// unreadTime is how long the rest of a body is awaited that the handler has not read.
const unreadTime = time.Second

// maxServerHeadBytes is the limit of net/http, which applies beside that of the guard.
const maxServerHeadBytes = 16 << 20

// Listen returns a listener that keeps the connections of inner within the limits.
func (g *Guard) Listen(inner net.Listener) net.Listener {
	return &guardedListener{Listener: inner, guard: g}
}

// guardedListener is a listener whose connections are guarded.
type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection within the limits.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(inner, time.Now()); c != nil {
			return c, nil
		}
	}
}

// minBodyWait is how long a body must have stood still before its connection makes room for another
// one.
const minBodyWait = 250 * time.Millisecond

// admit returns a guarded connection. If there are too many, the one that waits longest for bytes of a
// head or a body is closed. If none waits, inner is closed before anything is read, so that its other
// end knows that no request was run, and admit returns nil.
func (g *Guard) admit(inner net.Conn, now time.Time) net.Conn {
	c := &conn{Conn: inner, guard: g, address: hostOf(inner)}
	g.mu.Lock()
	var evicted *conn
	ofBody := false
	if g.open >= g.limits.Load().Connections {
		if evicted, ofBody = g.longestWaiting(now); evicted == nil {
			g.mu.Unlock()
			_ = inner.Close() // nothing was read
			g.OnRefused(c.address, ReasonConnections)
			return nil
		}
		evicted.unlist()
		evicted.leave()
	}
	g.open++
	c.counted = true
	c.list(g.idle, now)
	g.mu.Unlock()
	if evicted != nil {
		if ofBody {
			evicted.expel()
		} else {
			evicted.endIdle()
		}
		g.OnRefused(evicted.address, ReasonConnections)
	}
	return c
}

// longestWaiting returns the connection that waits longest for bytes, or nil if none makes room, and
// whether they are those of a body. The caller holds g.mu.
func (g *Guard) longestWaiting(now time.Time) (longest *conn, ofBody bool) {
	if front := g.idle.Front(); front != nil {
		longest = front.Value.(*conn)
	}
	if front := g.bodies.Front(); front != nil {
		body := front.Value.(*conn)
		if now.Sub(body.waitsSince) >= minBodyWait && (longest == nil || body.waitsSince.Before(longest.waitsSince)) {
			return body, true
		}
	}
	return longest, false
}

// hostOf returns the address of the other end of a connection, without its port.
func hostOf(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return c.RemoteAddr().String()
	}
	return host
}

// await records that a connection waits for bytes of a head (in g.idle) or a body (in g.bodies) from
// now on, or for none if in is nil.
func (g *Guard) await(c *conn, in *list.List, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.unlist()
	if in != nil && c.counted {
		c.list(in, now)
	}
}

// remove forgets a connection that is closed.
func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.unlist()
	c.leave()
}
