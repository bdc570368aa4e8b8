package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// newHungFixture returns a fixture with an engine that hangs and has the next request, and a
// sound one. The objective of the first event is 300 ms.
func newHungFixture(t *testing.T, retries float64) (f *fixture, hung, sound *platformtest.Server) {
	f = newFixture(t, retries)
	c := testCatalog()
	for i := range c.Routes {
		c.Routes[i].LatencyTarget = 300 * time.Millisecond
	}
	f.directory.SetCatalog(c, time.Now())
	hung = f.startServer("i-1", "llm", 6)
	hung.SetResponseMode(platformtest.Hangs)
	sound = platformtest.NewServer("i-2", 6)
	f.Cleanup(sound.Close)
	return f, hung, sound
}

// sendBeside sends a request that reaches the hung engine, and then lists the sound one.
func (f *fixture) sendBeside(path string, hung, sound *platformtest.Server) answer {
	answers := make(chan answer, 1)
	go func() { answers <- f.send(http.MethodPost, path, "x") }()
	f.eventually(func() bool { return receivedCount(hung) == 1 })
	f.registerServer("i-2", "llm", sound.Address())
	return <-answers
}

// TestRepeatableStreamLeavesHungEngine has an engine hang. A stream that may be repeated goes to
// another engine, and the first one is told to stop.
func TestRepeatableStreamLeavesHungEngine(t *testing.T) {
	f, hung, sound := newHungFixture(t, 1)
	a := f.sendBeside("/reply/", hung, sound)
	f.Assert(a.err, qt.IsNil)
	f.Assert(a.body, qt.Equals, events(1, 6))
	f.eventually(func() bool { return hung.ReceivedRequests()[0].CallerLeft })
	running, _ := f.directory.Load("llm")
	f.Assert(running, qt.Equals, 0)
}

// TestOtherStreamStaysAtHungEngine checks that a stream which may run once stays, and that one
// without a retry in the budget does.
func TestOtherStreamStaysAtHungEngine(t *testing.T) {
	for _, test := range []struct {
		path    string
		retries float64
	}{{"/quote/", 1}, {"/reply/", 0}} {
		f, hung, sound := newHungFixture(t, test.retries)
		a := f.sendBeside(test.path, hung, sound)
		f.Check(a.status, qt.Equals, http.StatusGatewayTimeout)
		f.Check(receivedCount(sound), qt.Equals, 0)
	}
}
