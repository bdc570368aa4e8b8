package fault

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
)

// HeaderCaller is the HTTP header with the name of the caller.
const HeaderCaller = "X-Caller"

type callerKey struct{}

// WithCaller returns a copy of ctx that carries the name of the caller.
func WithCaller(ctx context.Context, caller string) context.Context {
	return context.WithValue(ctx, callerKey{}, caller)
}

// CallerFromContext returns the name set by WithCaller, or an empty string.
func CallerFromContext(ctx context.Context) string {
	name, _ := ctx.Value(callerKey{}).(string)
	return name
}

// RequestCaller returns the name of the caller of a request. It is the name in the
// context of the request, which is set for ports with a fixed caller; otherwise
// the name in HeaderCaller; otherwise the IP address of the caller.
func RequestCaller(r *http.Request) string {
	if name := CallerFromContext(r.Context()); name != "" {
		return name
	}
	if name := r.Header.Get(HeaderCaller); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// Handler wraps next with the faults of injector. Requests other than GET count as
// writes. Requests to an interface that is down are handled by refuse.
func Handler(injector *Injector, next http.Handler, refuse http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := Call{Caller: RequestCaller(r), Write: r.Method != http.MethodGet}
		err := injector.BeforeCall(r.Context(), call)
		if errors.Is(err, ErrDown) {
			refuse(w, r)
			return
		}
		AbortIfError(err)
		if call.Write && injector.ConsumeReplyLoss() {
			next.ServeHTTP(&discard{header: make(http.Header)}, r)
			AbortIfError(ErrReplyLost)
		}
		next.ServeHTTP(w, r)
		AbortIfError(injector.BeforeReply(r.Context(), call))
	})
}

// AbortIfError closes the connection of the current request without a response if
// err is not nil. It must be called in an HTTP handler, which it ends by a panic
// with http.ErrAbortHandler.
func AbortIfError(err error) {
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// discard is a ResponseWriter that drops the response.
type discard struct{ header http.Header }

var (
	_ http.ResponseWriter = (*discard)(nil)
	_ http.Flusher        = (*discard)(nil)
)

// Header returns a header that is never sent.
func (d *discard) Header() http.Header { return d.header }

// Write discards data.
func (d *discard) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader discards the status.
func (d *discard) WriteHeader(int) {}

// Flush does nothing.
func (d *discard) Flush() {}

// maxMessageBytes is the maximum size of a control message.
const maxMessageBytes = 1 << 20

// ControlHandler returns a handler that decodes a control message in JSON and
// passes it to handle. The status of the response is 204, or 400 if the message
// is invalid, has unknown fields, or handle returns an error.
func ControlHandler[T any](handle func(T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var message T
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes))
		dec.DisallowUnknownFields()
		err := dec.Decode(&message)
		if err == nil {
			err = handle(message)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

// WriteJSON sends a response with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message)
}
