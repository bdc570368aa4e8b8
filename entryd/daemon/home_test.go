package daemon_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"acaciapath.example/core/gen/vms"
	"acaciapath.example/entryd/daemon"
	"acaciapath.example/standin/engine"

	qt "github.com/frankban/quicktest"
)

// TestOneQueueForAFailureDomain lets two daemons share an engine with one slot.
// It checks that a request of the daemon that is not the home daemon waits in
// the home daemon's queue and is answered.
func TestOneQueueForAFailureDomain(t *testing.T) {
	s := start(t, systemOptions{
		engines:     []engine.Options{{Slots: 1}},
		extraConfig: "\n[backend-server engine-1]\nplaces = 1\n",
	})
	other := s.startDaemon(t, "vm-2", systemOptions{})
	s.addMember("vm-1", s.daemon)
	s.addMember("vm-2", other)
	for _, d := range []*daemon.Daemon{s.daemon, other} {
		s.eventually(func() bool { return len(d.Status().Members) == 2 })
	}
	ctx, disconnect := context.WithCancel(t.Context())
	defer disconnect()
	s.openStream(ctx, s.request("POST", "/v1/chat/completions", shopKey, chatBody(3000, true)))
	answers := make(chan answer, 2)
	for _, d := range []*daemon.Daemon{s.daemon, other} {
		r := s.request("POST", "/v1/chat/completions", shopKey, chatBody(3, true))
		r.URL.Host = d.CallersAddress()
		r.Host = ""
		go func() { answers <- s.do(r) }()
	}
	s.eventually(func() bool { return waitingCount(s.daemon)+waitingCount(other) == 2 })
	s.c.Assert(waitingCount(s.daemon)*waitingCount(other), qt.Equals, 0, qt.Commentf("one daemon holds the queue of both"))
	disconnect()
	for range 2 {
		got := <-answers
		s.c.Assert(got.status, qt.Equals, http.StatusOK)
		s.c.Assert(strings.HasSuffix(got.body, "data: [DONE]\n\n"), qt.IsTrue)
	}
	s.eventually(func() bool { return waitingCount(s.daemon)+waitingCount(other) == 0 })
}

// addMember adds the VM of a daemon to the platform's list.
func (s *system) addMember(name string, d *daemon.Daemon) {
	s.platform.AddVM(vms.VM{Name: name, FailureDomain: "quito-a", Address: "127.0.0.1", PeerPort: portOf(d.PeerAddress())})
}

// waitingCount returns the number of requests in a daemon's queues.
func waitingCount(d *daemon.Daemon) int {
	n := 0
	for _, q := range d.Status().Queues {
		n += q.Waiting
	}
	return n
}
