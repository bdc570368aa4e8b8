package daemon_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/loopback"
)

// countingServer is a server that counts the runs of each request.
type countingServer struct {
	id, service, domain string
	fleet               *linkedFleet
	http                *httptest.Server
}

// startServer starts a server and lists it.
func (f *linkedFleet) startServer(id, service, domain string) {
	s := &countingServer{id: id, service: service, domain: domain, fleet: f}
	s.http = loopback.NewServer(s)
	f.Cleanup(s.http.CloseClientConnections)
	f.servers = append(f.servers, s)
	f.store.Write("servers", id, map[string]any{
		"service": service, "address": s.address(), "zone": domain, "version": "v1",
		"slots": 64, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": int64(1000),
	})
}

// address returns the IP address and port of the server.
func (s *countingServer) address() string { return strings.TrimPrefix(s.http.URL, "http://") }

// die closes the server's connections, and has it accept no others.
func (s *countingServer) die() {
	_ = s.http.Listener.Close() // it is closed once
	s.http.CloseClientConnections()
}

// ServeHTTP implements http.Handler.
func (s *countingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if id == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	h := w.Header()
	h.Set("X-Attempt-Id", id)
	if r.Header.Get("X-Expected-Replica") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("X-Replica-Signature", platformtest.Signature)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // none counts as 0
	if last == 0 {
		s.fleet.addRun(id, r.RemoteAddr, s.id)
	}
	pause, gap := s.fleet.begin()
	defer s.fleet.end()
	if limit := s.fleet.limits[s.service]; limit > 0 {
		h.Set("Server-Limit", strconv.FormatFloat(limit, 'f', 2, 64))
	}
	time.Sleep(pause)
	if s.service == "shop" {
		_, _ = io.WriteString(w, "done")
		return
	}
	h.Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := last + 1; i <= shortStreamEvents; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		_ = controller.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(gap):
		}
	}
}

// addRun counts a run of a request that came from an address and port.
func (f *linkedFleet) addRun(id, remote, server string) {
	from, _, _ := net.SplitHostPort(remote) // what net/http writes there is valid
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[id] = append(f.runs[id], run{at: time.Now(), from: from, server: server})
}
