package fleet

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// HeartbeatMS is the time between two writes of a replica's entry, in milliseconds.
const HeartbeatMS = 1200

// Engine is a stand-in for a model replica whose streams may be resumed. Each event says
// which replica of which software version made it.
type Engine struct {
	// ID, Service, Zone and Version are those of its entry.
	ID, Service, Zone, Version string
	// Address is where it serves.
	Address string

	run    *Run
	store  *Store
	born   int64
	events int
	pause  time.Duration

	mu       sync.Mutex
	state    string
	sequence int
	ended    chan struct{}
	server   *http.Server
}

// NewEngine starts a replica whose streams have a number of events, with a pause before each.
func NewEngine(run *Run, store *Store, id, service, zone, version string, events int, pause time.Duration) *Engine {
	e := &Engine{
		ID: id, Service: service, Zone: zone, Version: version, run: run, store: store, born: time.Now().UnixMilli(),
		events: events, pause: pause, state: "ready", ended: make(chan struct{}),
	}
	e.start("127.0.0.1:0")
	return e
}

// start serves at an address, and writes the entry until the replica ends.
func (e *Engine) start(address string) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		e.run.Impossible("listen: %v", err)
	}
	e.Address = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(e.serve)}
	e.server = server
	go func() { _ = server.Serve(listener) }()
	e.run.OnEnd(func() { _ = server.Close() })
	e.run.Logf("replica %s of %s version=%s zone=%s starts", e.ID, e.Service, e.Version, e.Zone)
	e.write()
	go e.beat()
}

// restartTime is how long a replica is away that is started again.
const restartTime = 300 * time.Millisecond

// DrainAndReturn reports that the replica drains, and starts it again after a time under its
// id and address, with another version of its software.
func (e *Engine) DrainAndReturn(after time.Duration, version string) {
	e.report("draining")
	time.AfterFunc(after, func() {
		e.run.Logf("replica %s ends", e.ID)
		e.mu.Lock()
		close(e.ended)
		e.mu.Unlock()
		_ = e.server.Close()
		time.Sleep(restartTime)
		next := &Engine{
			ID: e.ID, Service: e.Service, Zone: e.Zone, Version: version, run: e.run, store: e.store, born: time.Now().UnixMilli(),
			events: e.events, pause: e.pause, state: "ready", ended: make(chan struct{}),
		}
		next.start(e.Address)
	})
}

// report writes the entry with another state.
func (e *Engine) report(state string) {
	e.run.Logf("replica %s reports %s", e.ID, state)
	e.mu.Lock()
	e.state = state
	e.mu.Unlock()
	e.write()
}

// beat writes the entry until the replica has ended.
func (e *Engine) beat() {
	for {
		select {
		case <-e.ended:
			return
		case <-time.After(HeartbeatMS * time.Millisecond):
			e.write()
		}
	}
}

// write writes the entry.
func (e *Engine) write() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.ended:
		return
	default:
	}
	e.sequence++
	e.store.Write("servers", e.ID, map[string]any{
		"service": e.Service, "address": e.Address, "zone": e.Zone, "version": e.Version, "slots": 64, "state": e.state,
		"coldRemainingMs": 0, "sequence": e.sequence, "born": e.born, "phase": "mixed",
		"modelList": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
	})
}

// Drain reports that the replica drains, and ends it after a time.
func (e *Engine) Drain(after time.Duration) {
	e.report("draining")
	time.AfterFunc(after, func() {
		e.Crash()
		e.store.Remove("servers", e.ID)
	})
}

// Crash ends the replica at once. Its entry stays until three heartbeats are missing.
func (e *Engine) Crash() {
	e.run.Logf("replica %s ends", e.ID)
	e.mu.Lock()
	close(e.ended)
	e.mu.Unlock()
	_ = e.server.Close()
	time.AfterFunc(3*HeartbeatMS*time.Millisecond, func() { e.store.Remove("servers", e.ID) })
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	e.mu.Lock()
	state := e.state
	e.mu.Unlock()
	if state == "draining" {
		h.Set("Server-Leaving", "1")
	}
	switch {
	case r.URL.Path == "/healthz":
		h.Set("X-Replica-Id", e.ID)
		if state == "draining" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case r.URL.Path == "/acaciapath/report":
		h.Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"phase":"mixed","modelList":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,`+
			`"running":0,"kvUsedCount":0,"kvTotalCount":600000,"cacheHandles":0,"state":%q,"born":%d}`, state, e.born)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	if id != "" {
		h.Set("X-Attempt-Id", id)
	}
	switch {
	case r.Header.Get("X-Expected-Replica") != "" && r.Header.Get("X-Expected-Replica") != e.ID:
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // none counts as 0
	e.run.Logf("replica %s version=%s runs attempt=%s after-event=%d resumes=%s", e.ID, e.Version, id, last, r.Header.Get("Resumes"))
	h.Set("X-Replica-Signature", "stand.in."+e.ID)
	h.Set("X-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := last + 1; i <= e.events; i++ {
		select {
		case <-r.Context().Done():
			e.run.Logf("replica %s stops attempt=%s, its channel closed", e.ID, id)
			return
		case <-time.After(e.pause):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: version=%s replica=%s event=%d\n\n", i, e.Version, e.ID, i); err != nil {
			return
		}
		_ = controller.Flush() // the next write fails as well
	}
}
