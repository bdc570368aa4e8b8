package fault

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
)

// HeaderCaller names the caller of a request.
const HeaderCaller = "X-Caller"

type callerKey struct{}

// WithCaller returns a context for requests of the named caller.
func WithCaller(ctx context.Context, caller string) context.Context {
	return context.WithValue(ctx, callerKey{}, caller)
}

// CallerFromContext returns the name that was given with WithCaller, or an empty string.
func CallerFromContext(ctx context.Context) string {
	name, _ := ctx.Value(callerKey{}).(string)
	return name
}

// RequestCaller returns the name of a request's caller: that of the port that it came
// by, if the port has one, else that in HeaderCaller, else the IP number that
// it came from.
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

// Handler returns next with the faults of injector. A call of an interface
// that is down is answered by refuse.
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

// AbortIfError ends the connection of the request that is being handled, without an
// answer, if err is not nil.
func AbortIfError(err error) {
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// discard is a ResponseWriter for replies that are lost.
type discard struct{ header http.Header }

var (
	_ http.ResponseWriter = (*discard)(nil)
	_ http.Flusher        = (*discard)(nil)
)

// Header returns a header that is never sent.
func (d *discard) Header() http.Header { return d.header }

// Write drops data.
func (d *discard) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader drops the status.
func (d *discard) WriteHeader(int) {}

// Flush does nothing.
func (d *discard) Flush() {}

// maxMessage bounds the size of a control message in bytes.
const maxMessage = 1 << 20

// ControlHandler returns a handler that decodes a JSON message, gives it to take, and
// answers 204, or 400 if the message is malformed or take returns an error.
func ControlHandler[T any](take func(T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var message T
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessage))
		dec.DisallowUnknownFields()
		err := dec.Decode(&message)
		if err == nil {
			err = take(message)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

// WriteJSON answers with a status and a message in JSON.
func WriteJSON(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message)
}
