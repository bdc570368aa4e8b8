package proxy_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"acaciapath.example/platform"
	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// The streams of these tests take 1.6 s, so that they outlast an engine that stops
// 900 ms after it starts to drain.
const (
	longStreamEvents = 80
	eventInterval    = 20 * time.Millisecond
	drainNotice      = 900 * time.Millisecond
	// eventTokens is the number of tokens per event in testCatalog.
	eventTokens = 3
)

// newMoveFixture returns a fixture and two engines that can copy runs. Only the
// first engine is listed.
func newMoveFixture(t *testing.T) (*fixture, *platformtest.Server, *platformtest.Server) {
	f := newFixture(t, 2)
	c := testCatalog()
	for i := range c.Services {
		if c.Services[i].Engine != nil {
			c.Services[i].Engine.CanCopyRuns = true
		}
	}
	f.directory.SetCatalog(c, time.Now())
	f.handler.EngineClient = &platform.EngineClient{Transport: f.handler.Client.Transport(), StopTransport: f.handler.Client.SingleUseTransport()}
	one := f.startServer("i-1", "llm", longStreamEvents)
	one.SetPause(eventInterval)
	two := platformtest.NewServer("i-2", longStreamEvents)
	two.SetPause(eventInterval)
	f.Cleanup(two.Close)
	return f, one, two
}

// startLongStream starts a long stream on the first engine, and then lists the
// second one.
func (f *fixture) startLongStream(path string, one, two *platformtest.Server) chan answer {
	answers := make(chan answer, 1)
	go func() {
		r := f.request(f.Context(), http.MethodPost, path, "x")
		r.Header.Set("X-Deadline-Ms", "10000")
		r.Header.Set("X-Token-Usage", "17000,480")
		r.Header.Set("X-Length-Hint", strconv.Itoa(longStreamEvents*eventTokens))
		answers <- f.do(r)
	}()
	f.eventually(func() bool { return receivedCount(one) == 1 })
	time.Sleep(10 * eventInterval)
	f.registerServer("i-2", "llm", two.Address())
	return answers
}

// drainEngine has the first engine drain. The list does not say when it stops; only
// the engine itself reports that.
func (f *fixture) drainEngine(one *platformtest.Server) {
	one.SetDraining(drainNotice)
	f.specs[0].Draining = true
	f.directory.SetServers(f.specs, time.Now())
}

// checkComplete checks that a stream has each event once and in order.
func (f *fixture) checkComplete(a answer) {
	f.Helper()
	f.Assert(a.err, qt.IsNil)
	f.Assert(a.body, qt.Equals, events(1, longStreamEvents))
	f.Assert(a.header.Get("X-Replica-Signature"), qt.Equals, platformtest.Signature)
}

// TestRunMovesFromDrainingEngine has a cheap engine stop at short notice during a
// run that may not be repeated. The run continues on another engine from its KV
// cache, and is counted once.
func TestRunMovesFromDrainingEngine(t *testing.T) {
	f, one, two := newMoveFixture(t)
	answers := f.startLongStream("/quote/", one, two)
	f.drainEngine(one)
	time.AfterFunc(drainNotice, one.Close)
	f.checkComplete(<-answers)
	f.Assert(receivedCount(one), qt.Equals, 1)
	f.Assert(receivedCount(two), qt.Equals, 1)
	second := two.ReceivedRequests()[0]
	f.Assert(second.Header.Get("Kv-From"), qt.Equals, one.Address()+"/h-id-1")
	f.Assert(second.Header.Get("Last-Event-Id") != "", qt.IsTrue)
	f.Assert(f.meteredRequests(), qt.Equals, uint64(1))
	running, _ := f.directory.Load("llm")
	f.Assert(running, qt.Equals, 0)
}

// TestRunThatEndsInTimeStays checks that a run which ends before its engine stops is
// not moved.
func TestRunThatEndsInTimeStays(t *testing.T) {
	f, one, two := newMoveFixture(t)
	answers := f.startLongStream("/quote/", one, two)
	one.SetDraining(10 * time.Second)
	f.specs[0].Draining = true
	f.directory.SetServers(f.specs, time.Now())
	f.checkComplete(<-answers)
	copyRequests, _ := one.CopyCounts()
	f.Assert(copyRequests, qt.Equals, 0)
	f.Assert(receivedCount(two), qt.Equals, 0)
}

// TestRunWithoutTargetStays has no engine with room for the run. The run stays where
// it is, and is not sent to another engine when it breaks off.
func TestRunWithoutTargetStays(t *testing.T) {
	f, one, two := newMoveFixture(t)
	two.SetRejectCopies(true)
	answers := f.startLongStream("/quote/", one, two)
	f.drainEngine(one)
	time.AfterFunc(drainNotice, one.Close)
	f.Assert((<-answers).err, qt.IsNotNil)
	f.Assert(receivedCount(two), qt.Equals, 0)
	running, _ := f.directory.Load("llm")
	f.Assert(running, qt.Equals, 0)
}

// TestMovedRunIsRejected has the engine that holds the copy reject the request. The
// stream of a run that may not be repeated is broken off, and does not start over.
func TestMovedRunIsRejected(t *testing.T) {
	f, one, two := newMoveFixture(t)
	two.SetResponseMode(platformtest.Overloaded)
	answers := f.startLongStream("/quote/", one, two)
	f.drainEngine(one)
	f.Assert((<-answers).err, qt.IsNotNil)
	for _, a := range two.ReceivedRequests() {
		f.Assert(a.Ran, qt.IsFalse)
	}
	running, _ := f.directory.Load("llm")
	f.Assert(running, qt.Equals, 0)
}

// TestCallerDisconnectsDuringHandover checks that the reservations of a handover are
// released if the caller disconnects.
func TestCallerDisconnectsDuringHandover(t *testing.T) {
	f, one, two := newMoveFixture(t)
	two.SetRejectCopies(true)
	ctx, cancel := context.WithCancel(f.Context())
	go f.do(f.request(ctx, http.MethodPost, "/quote/", "x"))
	f.eventually(func() bool { return receivedCount(one) == 1 })
	time.Sleep(3 * eventInterval)
	f.registerServer("i-2", "llm", two.Address())
	f.drainEngine(one)
	f.eventually(func() bool { copyRequests, _ := one.CopyCounts(); return copyRequests > 0 })
	cancel()
	f.eventually(func() bool { running, _ := f.directory.Load("llm"); return running == 0 })
	f.Assert(receivedCount(two), qt.Equals, 0)
}
