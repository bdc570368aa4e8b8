package daemon_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"acaciapath.example/core/settings"
	"acaciapath.example/entryd/daemon"
	"acaciapath.example/standin/engine"
	"acaciapath.example/standin/fault"
	"acaciapath.example/standin/platform"

	qt "github.com/frankban/quicktest"
)

var down = fault.Faults{Down: true}

// TestGracefulShutdownCutsNoRequest checks that running, waiting and new
// requests are answered completely during a shutdown, that the daemon reports
// first that it is not ready, and that all usage is written although the
// platform is unavailable at first.
func TestGracefulShutdownCutsNoRequest(t *testing.T) {
	s := start(t, systemOptions{
		engines:     []engine.Options{{StepTime: 2 * time.Millisecond}},
		extraConfig: "\n[backend-server engine-1]\nplaces = 1\n",
		options:     daemon.Options{LeaveDelay: 100 * time.Millisecond},
	})
	running := s.openStream(context.Background(), s.request("POST", "/v1/chat/completions", shopKey, chatBody(200, true)))
	answers := make(chan answer, 2)
	ask := func() { answers <- s.do(s.request("POST", "/v1/chat/completions", shopKey, chatBody(3, true))) }
	go ask()
	s.eventually(func() bool { return s.daemon.Status().Queues[0].Waiting == 1 })

	s.stop()
	s.eventually(func() bool { return s.daemon.Ready() != nil })
	s.c.Assert(s.do(mustGet("http://"+s.daemon.OpsAddress()+"/readyz")).status, qt.Equals, 503)
	go ask()
	s.platform.SetFaults(platform.Table, down)
	text, err := running.readRest()
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(strings.HasSuffix(text, "data: [DONE]\n\n"), qt.IsTrue)
	for range 2 {
		got := <-answers
		s.c.Assert(got.status, qt.Equals, 200)
		s.c.Assert(got.body, qt.Matches, `(?s).*data: \[DONE\]\n\n`)
	}
	s.platform.SetFaults(platform.Table, fault.Faults{})
	<-s.ended
	s.c.Assert(s.err, qt.IsNil)
	s.c.Assert(s.chargedUsage(), qt.HasLen, 1)
	s.c.Assert(s.chargedUsage()[0].CompletionTokens, qt.Equals, uint64(206))
}

// TestDrainTimeout checks the refusals of requests that outlast the drain
// timeout.
func TestDrainTimeout(t *testing.T) {
	s := start(t, systemOptions{
		engines:     []engine.Options{{StepTime: 5 * time.Millisecond, MaxAnswerTokens: 100_000}},
		extraConfig: "\n[backend-server engine-1]\nplaces = 1\n",
		settings:    func(own *settings.Settings) { own.DrainTimeout = 200 * time.Millisecond },
	})
	running := s.openStream(context.Background(), s.request("POST", "/v1/chat/completions", shopKey, chatBody(2000, true)))
	waiting := make(chan answer, 1)
	go func() { waiting <- s.do(s.request("POST", "/v1/chat/completions", shopKey, chatBody(3, true))) }()
	s.eventually(func() bool { return s.daemon.Status().Queues[0].Waiting == 1 })
	s.stop()
	text, err := running.readRest()
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(text, qt.Contains, `"code":"shutting-down"`)
	s.c.Assert(text, qt.Contains, `"run":"unknown"`)
	assertRefusal(t, "shutting-down", <-waiting)
	<-s.ended
	s.c.Assert(s.err, qt.ErrorIs, daemon.ErrRequestsCancelled)
	run := s.engines[0].Runs().Entries()[0]
	s.c.Assert(s.chargedUsage()[0].CompletionTokens, qt.Equals, uint64(run.CompletionTokens))
}
