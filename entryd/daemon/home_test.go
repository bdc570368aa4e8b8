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

// TestOneQueueForAFailureDomain lets two daemons share an engine with one
// place, and checks that a request of a daemon that is not the home waits in the
// home's queue, is served, and is charged by the daemon that it came to.
func TestOneQueueForAFailureDomain(t *testing.T) {
	s := start(t, plan{
		engines: []engine.Options{{Slots: 1}},
		extra:   "\n[backend-server engine-1]\nplaces = 1\n",
	})
	other := s.startDaemon(t, "vm-2", plan{})
	s.member("vm-1", s.daemon)
	s.member("vm-2", other)
	for _, d := range []*daemon.Daemon{s.daemon, other} {
		s.eventually(func() bool { return len(d.Status().Members) == 2 })
	}
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	s.open(ctx, s.request("POST", "/v1/chat/completions", shopKey, chatBody(3000, true)))
	answers := make(chan answer, 2)
	for _, d := range []*daemon.Daemon{s.daemon, other} {
		r := s.request("POST", "/v1/chat/completions", shopKey, chatBody(3, true))
		r.URL.Host = d.CallersAddress()
		r.Host = ""
		go func() { answers <- s.do(r) }()
	}
	s.eventually(func() bool { return waiting(s.daemon)+waiting(other) == 2 })
	s.c.Assert(waiting(s.daemon)*waiting(other), qt.Equals, 0, qt.Commentf("one of them holds the queue"))
	leave()
	for range 2 {
		got := <-answers
		s.c.Assert(got.status, qt.Equals, http.StatusOK)
		s.c.Assert(strings.HasSuffix(got.body, "data: [DONE]\n\n"), qt.IsTrue)
	}
	s.eventually(func() bool { return waiting(s.daemon)+waiting(other) == 0 })
}

// member lists a daemon with the platform.
func (s *system) member(name string, d *daemon.Daemon) {
	s.platform.AddVM(vms.VM{Name: name, FailureDomain: "quito-a", Address: "127.0.0.1", PeerPort: portOf(d.PeerAddress())})
}

// waiting returns how many requests wait in a daemon's queues.
func waiting(d *daemon.Daemon) int {
	n := 0
	for _, q := range d.Status().Queues {
		n += q.Waiting
	}
	return n
}
