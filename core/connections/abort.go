package connections

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// ResetAborted makes a server that has not been started reset the connections of callers that speak
// HTTP/1.0 if a handler panics, as with http.ErrAbortHandler. net/http ends an answer to them without
// a length by closing its connection, which it also does if the handler panics, so that a part would
// look complete.
func ResetAborted(server *http.Server) {
	inner, handler := server.ConnContext, server.Handler
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(lingerer); ok && !r.ProtoAtLeast(1, 1) {
			defer resetOnPanic(c)
		}
		handler.ServeHTTP(w, r)
	})
}

// lingerer is a connection that can be reset, as net.TCPConn is.
type lingerer interface{ SetLinger(seconds int) error }

// resetOnPanic has a connection be reset when it is closed, if the calling function panics.
func resetOnPanic(c lingerer) {
	if cause := recover(); cause != nil {
		_ = c.SetLinger(0) // an error means that the connection is closed already
		panic(cause)
	}
}

// SetLinger sets how a connection is closed, as net.TCPConn.SetLinger does, if it can do that.
func SetLinger(c net.Conn, seconds int) error {
	if inner, ok := c.(lingerer); ok {
		return inner.SetLinger(seconds)
	}
	return nil
}
