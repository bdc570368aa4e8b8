package neighbours

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/sirupsen/logrus"
)

// relayTimeout bounds a call that is passed on: the longest that the store holds a
// call, and its answer.
const relayTimeout = 30 * time.Second

// maxRelayed bounds the body of a call that is passed on, by the store's own limit
// in base64.
const maxRelayed = 2 << 20

// Relay passes calls of neighbours on to the store. It does not pass on what
// others relay: while the daemon does not reach the store itself, it refuses.
type Relay struct {
	// StoreAddress is the address of the store.
	StoreAddress string
	// Allowed reports whether a call may be passed on.
	Allowed func(method, path string) bool
	// StoreUnreachable reports whether the daemon itself does not reach the store.
	StoreUnreachable func() bool
	// Base sends calls directly.
	Base http.RoundTripper
	// Queue takes writes over of neighbours that shut down.
	Queue *WriteQueue
	// Logger logs calls that failed.
	Logger *logrus.Logger
}

var _ http.Handler = (*Relay)(nil)

// ServeHTTP passes a call on.
func (p *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost && r.URL.Path == pathHanded && p.Allowed(r.Method, r.URL.Query().Get("path")):
		p.Queue.serve(w, r)
		return
	case !p.Allowed(r.Method, r.URL.Path):
		w.WriteHeader(http.StatusNotFound)
		return
	case p.StoreUnreachable():
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), relayTimeout)
	defer cancel()
	out := r.Clone(ctx)
	out.URL = &url.URL{Scheme: "http", Host: p.StoreAddress, Path: r.URL.Path, RawQuery: r.URL.RawQuery}
	out.Host, out.RequestURI = p.StoreAddress, ""
	out.Body = http.MaxBytesReader(w, r.Body, maxRelayed)
	response, err := p.Base.RoundTrip(out)
	if err != nil {
		p.Logger.WithError(err).WithField("path", r.URL.Path).Info("a neighbour's call of the store was not answered")
		panic(http.ErrAbortHandler) // it may have been done
	}
	defer response.Body.Close()
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	if _, err := io.Copy(w, response.Body); err != nil {
		panic(http.ErrAbortHandler) // the answer must not look complete
	}
}
