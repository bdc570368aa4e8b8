package neighbours

import (
	"errors"
	"net"
	"net/http"
	"time"

	"acaciapath.example/core/connections"
	"acaciapath.example/core/memory"
)

// Limits of the bodies of calls between daemons.
const (
	// maxRelayedBytes is the maximum size: the limit of the store, with room for base64.
	maxRelayedBytes = 2 << 20
	// bodyTimeout is the time in which a body must arrive. The callers wait for less.
	bodyTimeout = 3 * time.Second
	// bodyWait is how long a body waits for memory at a time.
	bodyWait = 500 * time.Millisecond
)

// readBody reads the body of a call into memory of a budget, for the address that sent it. If it
// cannot, it refuses the call and returns nil. Otherwise the body must be released.
func readBody(w http.ResponseWriter, r *http.Request, budget *memory.Budget) *memory.Body {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	body := &memory.Body{Budget: budget, Holder: host, MaxWait: bodyWait}
	err = connections.ReadBody(w, r, body, maxRelayedBytes, time.Now().Add(bodyTimeout))
	if err == nil {
		return body
	}
	body.Release()
	w.Header().Set("Connection", "close")
	if errors.Is(err, memory.ErrFull) {
		w.WriteHeader(http.StatusServiceUnavailable)
	} else {
		w.WriteHeader(http.StatusBadRequest)
	}
	return nil
}
