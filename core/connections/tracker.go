// Package connections stops HTTP servers without cutting off requests that have just been
// accepted. http.Server.Shutdown drops a request that it reads after it was called,
// also on a connection that was accepted before.
package connections

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// newConnectionLinger is how long after the listeners are closed a connection may
	// take to send its first request.
	newConnectionLinger = time.Second
	// checkInterval is the time between two checks whether connections still have
	// requests.
	checkInterval = 20 * time.Millisecond
)

// Tracker knows the connections of a server. It is safe for concurrent use.
type Tracker struct {
	server *http.Server

	mu        sync.Mutex // guards the fields below
	listeners []net.Listener
	states    map[net.Conn]http.ConnState
}

// Track starts to track the connections of a server that has not been started. The
// server's ConnState hook, if any, is called first.
func Track(server *http.Server) *Tracker {
	t := &Tracker{server: server, states: make(map[net.Conn]http.ConnState)}
	hook := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if hook != nil {
			hook(c, state)
		}
		t.observe(c, state)
	}
	return t
}

// observe records the state of a connection.
func (t *Tracker) observe(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(t.states, c)
		return
	}
	t.states[c] = state
}

// Serve accepts connections of a listener until Shutdown is called, and returns nil then.
func (t *Tracker) Serve(listener net.Listener) error {
	t.mu.Lock()
	t.listeners = append(t.listeners, listener)
	t.mu.Unlock()
	err := t.server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Shutdown closes the listeners and idle connections, and waits until no connection has a
// request and new connections had time to send theirs. It then closes the remaining
// connections and returns nil. If ctx ends first, it returns its error and leaves
// connections open. Answers should ask callers to close their connections meanwhile.
func (t *Tracker) Shutdown(ctx context.Context) error {
	t.closeListeners()
	t.closeIdle()
	linger, withNew := time.After(newConnectionLinger), true
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for t.busy(withNew) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-linger:
			withNew = false
		case <-ticker.C:
		}
	}
	return t.server.Shutdown(ctx)
}

// closeListeners stops accepting connections. Those in the queue of the kernel are reset:
// their callers know that no request of theirs was read.
func (t *Tracker) closeListeners() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.listeners {
		_ = l.Close() // an error means that it is closed already
	}
}

// closeIdle makes the server close connections that wait for their next request. They are
// not closed here: the server may just have read a request whose state it has not reported
// yet, and that request must be answered.
func (t *Tracker) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, state := range t.states {
		if state != http.StateIdle {
			continue
		}
		if guarded, ok := c.(*conn); ok {
			guarded.endIdle()
		} else {
			_ = c.SetReadDeadline(time.Unix(1, 0)) // an error means that it is closed already
		}
	}
}

// busy reports whether a connection has a request or, if withNew is set, may send its
// first one.
func (t *Tracker) busy(withNew bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, state := range t.states {
		if state == http.StateActive || withNew && state == http.StateNew {
			return true
		}
	}
	return false
}
