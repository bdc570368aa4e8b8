package lab

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/loopback"
)

// Replica is a replica whose streams may be resumed. The data of each event is the version of its software.
type Replica struct {
	// ID and Zone are those of its entry, and Version is the version of its software.
	ID, Zone, Version string

	lab     *Lab
	service string
	server  *httptest.Server
	born    int64
	events  int
	pause   time.Duration
	leaving atomic.Bool
}

// NewReplica starts a replica and registers it. Its streams have a number of events, with a pause before
// each.
func (l *Lab) NewReplica(id, service, zone, version string, events int, pause time.Duration) *Replica {
	r := &Replica{ID: id, Zone: zone, Version: version, lab: l, service: service, born: time.Now().UnixMilli(), events: events, pause: pause}
	r.server = loopback.NewServer(http.HandlerFunc(r.serve))
	r.write("ready")
	return r
}

// write writes the entry.
func (r *Replica) write(state string) {
	r.lab.Store.Write("servers", r.ID, map[string]any{
		"service": r.service, "address": strings.TrimPrefix(r.server.URL, "http://"), "zone": r.Zone, "version": r.Version,
		"slots": 64, "state": state, "coldRemainingMs": 0, "sequence": 1, "born": r.born,
	})
}

// Drain has it say that it leaves, in its entry and in all answers, and end after a time.
func (r *Replica) Drain(after time.Duration) {
	r.leaving.Store(true)
	r.write("draining")
	time.AfterFunc(after, func() {
		r.lab.Store.Remove("servers", r.ID)
		r.server.CloseClientConnections()
		r.server.Close()
	})
}

// serve serves one request.
func (r *Replica) serve(w http.ResponseWriter, request *http.Request) {
	h := w.Header()
	if r.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if request.URL.Path == "/healthz" {
		h.Set("X-Replica-Id", r.ID)
		return
	}
	h.Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
	if request.Header.Get("X-Expected-Replica") != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	left, err := strconv.Atoi(request.Header.Get("X-Deadline-Ms"))
	if err != nil {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(left) * time.Millisecond)
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // none counts as 0
	r.lab.Note("%s (%s) runs %s after event %d", r.ID, r.Version, request.Header.Get("X-Attempt-Id"), last)
	h.Set("X-Replica-Signature", platformtest.Signature)
	h.Set("Content-Type", "text/event-stream")
	for i := last + 1; i <= r.events; i++ {
		select {
		case <-request.Context().Done():
			return
		case <-end:
			panic(http.ErrAbortHandler)
		case <-time.After(r.pause):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, r.Version) // the caller may have gone
		_ = http.NewResponseController(w).Flush()
	}
}
