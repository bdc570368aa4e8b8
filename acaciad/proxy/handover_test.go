package proxy_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"acaciapath.example/platform"
	"acaciapath.example/platform/standin"

	qt "github.com/frankban/quicktest"
)

// Streams of the tests of handovers: an event in 20 ms, so that they outlast an
// engine that leaves in 900 ms.
const (
	longEvents = 80
	longPause  = 20 * time.Millisecond
	longNotice = 900 * time.Millisecond
	// eventTokens is that of the catalog.
	eventTokens = 3
)

// leavingWorld has two engines that can move runs.
func leavingWorld(t *testing.T) (*world, *standin.Server, *standin.Server) {
	w := newWorld(t, 2)
	c := testCatalog()
	for i := range c.Services {
		if c.Services[i].Engine != nil {
			c.Services[i].Engine.CanCopyRuns = true
		}
	}
	w.directory.SetCatalog(c, time.Now())
	w.handler.Engines = &platform.EngineClient{Transport: w.handler.Client.Transport()}
	one := w.server("i-1", "llm", longEvents)
	one.SetPause(longPause)
	two := standin.NewServer("i-2", longEvents)
	two.SetPause(longPause)
	w.Cleanup(two.Close)
	return w, one, two
}

// begin starts a long stream on the one engine that is listed, and lists another.
func (w *world) begin(path string, one, two *standin.Server) chan answer {
	got := make(chan answer, 1)
	go func() {
		r := w.request(w.Context(), http.MethodPost, path, "x")
		r.Header.Set("X-Deadline-Ms", "10000")
		r.Header.Set("X-Token-Usage", "17000,480")
		r.Header.Set("X-Length-Hint", strconv.Itoa(longEvents*eventTokens))
		got <- w.do(r)
	}()
	w.eventually(func() bool { return arrived(one) == 1 })
	time.Sleep(10 * longPause)
	w.register("i-2", "llm", two.Address())
	return got
}

// leave has the first engine leave. Only the engine itself says when.
func (w *world) leave(one *standin.Server) {
	one.SetLeaving(longNotice)
	w.specs[0].Draining = true
	w.directory.SetServers(w.specs, time.Now())
}

// checkWhole checks that a stream has each event once and in order.
func (w *world) checkWhole(a answer) {
	w.Helper()
	w.Assert(a.err, qt.IsNil)
	w.Assert(a.body, qt.Equals, events(1, longEvents))
	w.Assert(a.header.Get("X-Replica-Signature"), qt.Equals, standin.Signature)
}

// TestRunsMoveFromLeavingEngines replays the loss of cheap engines at short
// notice while answers run on them that may run once only: they go on elsewhere
// from their memory, run as one, and are counted once.
func TestRunsMoveFromLeavingEngines(t *testing.T) {
	w, one, two := leavingWorld(t)
	got := w.begin("/quote/", one, two)
	w.leave(one)
	time.AfterFunc(longNotice, one.Close)
	w.checkWhole(<-got)
	w.Assert(arrived(one), qt.Equals, 1)
	w.Assert(arrived(two), qt.Equals, 1)
	second := two.ReceivedRequests()[0]
	w.Assert(second.Header.Get("Kv-From"), qt.Equals, one.Address()+"/h-id-1")
	w.Assert(second.Header.Get("Last-Event-Id") != "", qt.IsTrue)
	w.Assert(w.counted(), qt.Equals, uint64(1))
	running, _ := w.directory.Load("llm")
	w.Assert(running, qt.Equals, 0)
}

// TestRunsThatEndInTimeStay: an answer that ends before its engine leaves is not
// moved.
func TestRunsThatEndInTimeStay(t *testing.T) {
	w, one, two := leavingWorld(t)
	got := w.begin("/quote/", one, two)
	one.SetLeaving(10 * time.Second)
	w.specs[0].Draining = true
	w.directory.SetServers(w.specs, time.Now())
	w.checkWhole(<-got)
	moves, _ := one.CopyCounts()
	w.Assert(moves, qt.Equals, 0)
	w.Assert(arrived(two), qt.Equals, 0)
}

// TestRunsWithoutRoomElsewhere: no engine takes the run. It goes on where it is,
// and is not sent to another engine when that breaks off.
func TestRunsWithoutRoomElsewhere(t *testing.T) {
	w, one, two := leavingWorld(t)
	two.SetRejectCopies(true)
	got := w.begin("/quote/", one, two)
	w.leave(one)
	time.AfterFunc(longNotice, one.Close)
	w.Assert((<-got).err, qt.IsNotNil)
	w.Assert(arrived(two), qt.Equals, 0)
	running, _ := w.directory.Load("llm")
	w.Assert(running, qt.Equals, 0)
}

// TestMovedRunIsRefused: the engine that has the copy does not take the request
// any more. A stream that may run once is broken off and does not run anew.
func TestMovedRunIsRefused(t *testing.T) {
	w, one, two := leavingWorld(t)
	two.SetResponseMode(standin.Overloaded)
	got := w.begin("/quote/", one, two)
	w.leave(one)
	w.Assert((<-got).err, qt.IsNotNil)
	for _, a := range two.ReceivedRequests() {
		w.Assert(a.Ran, qt.IsFalse)
	}
	running, _ := w.directory.Load("llm")
	w.Assert(running, qt.Equals, 0)
}

// TestCallerLeavesDuringHandover: nothing is left behind of a handover whose
// caller has left.
func TestCallerLeavesDuringHandover(t *testing.T) {
	w, one, two := leavingWorld(t)
	two.SetRejectCopies(true)
	ctx, cancel := context.WithCancel(w.Context())
	go w.do(w.request(ctx, http.MethodPost, "/quote/", "x"))
	w.eventually(func() bool { return arrived(one) == 1 })
	time.Sleep(3 * longPause)
	w.register("i-2", "llm", two.Address())
	w.leave(one)
	w.eventually(func() bool { moves, _ := one.CopyCounts(); return moves > 0 })
	cancel()
	w.eventually(func() bool { running, _ := w.directory.Load("llm"); return running == 0 })
	w.Assert(arrived(two), qt.Equals, 0)
}
