package fleet

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"acaciapath.example/standin/loopback"
)

// signature is the signature of all replicas.
const signature = "3e1b.07.stand-in"

// eventTokens is the number of tokens in an event.
const eventTokens = 3

// Replica is a replica whose streams name its software version in each event, and whose other
// answers have a fixed body.
type Replica struct {
	ID, Version, Service, Zone string
	// Streams states that answers are streams, of an event for each eventTokens tokens out.
	Streams bool
	// Pause is the time before each event, or before the answer.
	Pause time.Duration

	server *httptest.Server
	born   int64

	mu       sync.Mutex // guards the fields below
	sequence int
	// leaving states that the replica says in all its answers that it leaves.
	leaving bool
	runs    []Run
}

// Run is a request that a replica ran.
type Run struct {
	Version, Attempt, LastEventID string
	Began                         time.Time
}

// PlainBody is the body of an answer that is no stream.
const PlainBody = "0123456789abcdefghij"

// Start starts the replica.
func (r *Replica) Start() {
	r.born = time.Now().UnixMilli()
	r.server = loopback.NewServer(http.HandlerFunc(r.serve))
}

// Restart starts a replica that was closed again, with the same id and address and another software
// version.
func (r *Replica) Restart(version string) error {
	listener, err := net.Listen("tcp4", r.Address())
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.Version, r.born, r.sequence, r.leaving = version, time.Now().UnixMilli(), 0, false
	r.mu.Unlock()
	r.server = httptest.NewUnstartedServer(http.HandlerFunc(r.serve))
	_ = r.server.Listener.Close() // it was not used
	r.server.Listener = listener
	r.server.Start()
	return nil
}

// Close stops the replica and resets its channels.
func (r *Replica) Close() {
	r.server.CloseClientConnections()
	r.server.Close()
}

// Address returns the IP address and port of the replica.
func (r *Replica) Address() string { return strings.TrimPrefix(r.server.URL, "http://") }

// Write writes the entry of the replica.
func (f *Fleet) Write(r *Replica, state string) {
	r.mu.Lock()
	r.sequence++
	r.leaving = state == "draining"
	entry := map[string]any{
		"service": r.Service, "address": r.Address(), "zone": r.Zone, "version": r.Version, "slots": 64, "state": state,
		"coldRemainingMs": 0, "sequence": r.sequence, "born": r.born,
	}
	r.mu.Unlock()
	f.Record("replica %s (%s, version %s) writes state %s", r.ID, r.Service, entry["version"], state)
	f.Store.Write("servers", r.ID, entry)
}

// Remove removes the entry of the replica.
func (f *Fleet) Remove(r *Replica) {
	f.Record("the entry of replica %s is removed", r.ID)
	f.Store.Remove("servers", r.ID)
}

// bornAt returns the start of the replica in Unix milliseconds.
func (r *Replica) bornAt() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.born
}

// Runs returns the requests that the replica ran.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// serve serves one request.
func (r *Replica) serve(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	leaving := r.leaving
	r.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	switch request.URL.Path {
	case "/healthz":
		w.Header().Set("X-Replica-Id", r.ID)
		return
	case "/acaciapath/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"phase":"mixed","modelList":[],"busy":false,"sequence":1,"waiting":0,"running":0,"kvUsedCount":0,"kvTotalCount":500000,"cacheHandles":0,"state":"ready","runs":[],"born":%d}`, r.bornAt())
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	h := w.Header()
	h.Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
	if request.Header.Get("X-Expected-Replica") != r.ID {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	version := r.Version
	r.runs = append(r.runs, Run{Version: version, Attempt: request.Header.Get("X-Attempt-Id"), LastEventID: request.Header.Get("Last-Event-Id"), Began: time.Now()})
	r.mu.Unlock()
	h.Set("X-Replica-Signature", signature)
	if !r.Streams {
		time.Sleep(r.Pause)
		h.Set("Content-Length", strconv.Itoa(len(PlainBody)))
		_, _ = io.WriteString(w, PlainBody)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	_, tokens, _ := strings.Cut(request.Header.Get("X-Token-Usage"), ",")
	out, _ := strconv.Atoi(tokens)                               // clients send a number
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // none counts as 0
	controller := http.NewResponseController(w)
	for i := last + 1; i <= out/eventTokens; i++ {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(r.Pause):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", i, version, r.ID)
		_ = controller.Flush()
	}
}

// RecordRuns records what the replicas ran.
func (f *Fleet) RecordRuns(replicas []*Replica) {
	for _, r := range replicas {
		for _, run := range r.Runs() {
			f.Record("replica %s (version %s) ran attempt %s from event %q, begun at %.3f s", r.ID, run.Version, run.Attempt, run.LastEventID, run.Began.Sub(f.began).Seconds())
		}
	}
}
