package neighbours

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"acaciapath.example/core/memory"

	"github.com/sirupsen/logrus"
)

// relayTimeout bounds a relayed call. It exceeds the longest time for which the store
// holds a call.
const relayTimeout = 30 * time.Second

// Relay forwards calls of neighbours to the store. It never forwards them to another
// daemon: while the daemon itself cannot reach the store, it refuses them.
type Relay struct {
	// StoreAddress is the address of the store, as host and port.
	StoreAddress string
	// Allowed reports whether a call may be relayed.
	Allowed func(method, path string) bool
	// Headers are the names of the headers of answers that are passed on, beside the type
	// of their content.
	Headers []string
	// StoreUnreachable reports whether the daemon itself cannot reach the store.
	StoreUnreachable func() bool
	// Base sends calls to the store directly.
	Base http.RoundTripper
	// Queue accepts writes of neighbours that shut down.
	Queue *WriteQueue
	// Collector commits writes of neighbours together.
	Collector *Collector
	// Memory is where the memory of relayed calls is taken from.
	Memory *memory.Budget
	// Logger logs failed calls.
	Logger *logrus.Logger
}

var _ http.Handler = (*Relay)(nil)

// ServeHTTP relays a call or accepts a write for the queue.
func (l *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost && r.URL.Path == handOverPath && l.Allowed(r.Method, r.URL.Query().Get("path")):
		l.Queue.serve(w, r, l.Memory)
		return
	case r.Method == http.MethodPost && r.URL.Path == collectedPath && l.Allowed(r.Method, r.URL.Query().Get("path")):
		if l.StoreUnreachable() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		l.Collector.serve(w, r, l.Memory)
		return
	case !l.Allowed(r.Method, r.URL.Path):
		w.WriteHeader(http.StatusNotFound)
		return
	case l.StoreUnreachable():
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body := readBody(w, r, l.Memory)
	if body == nil {
		return
	}
	defer body.Release()
	ctx, cancel := context.WithTimeout(r.Context(), relayTimeout)
	defer cancel()
	out := r.Clone(ctx)
	out.URL = &url.URL{Scheme: "http", Host: l.StoreAddress, Path: r.URL.Path, RawQuery: r.URL.RawQuery}
	out.Host, out.RequestURI = l.StoreAddress, ""
	out.Body, out.ContentLength, out.TransferEncoding = http.NoBody, int64(body.Len()), nil
	if body.Len() > 0 {
		out.Body = io.NopCloser(body.Reader())
	}
	response, err := l.Base.RoundTrip(out)
	if err != nil {
		l.Logger.WithError(err).WithField("path", r.URL.Path).Info("relayed store call failed, aborting the connection")
		panic(http.ErrAbortHandler) // the call may have been executed
	}
	defer response.Body.Close()
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	for _, name := range l.Headers {
		if values := response.Header.Values(name); len(values) > 0 {
			w.Header()[http.CanonicalHeaderKey(name)] = values
		}
	}
	w.WriteHeader(response.StatusCode)
	if _, err := io.Copy(w, response.Body); err != nil {
		panic(http.ErrAbortHandler) // the answer must not look complete
	}
}
