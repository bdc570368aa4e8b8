package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// newBackupFixture returns a fixture with two listed engines that can keep copies of each
// other's runs.
func newBackupFixture(t *testing.T) (*fixture, []*platformtest.Server) {
	f := newFixture(t, 2)
	c := testCatalog()
	for i := range c.Services {
		if c.Services[i].Engine != nil {
			c.Services[i].Engine.CanBackUpRuns, c.Services[i].Engine.KVCacheTokens = true, 100_000
		}
	}
	f.directory.SetCatalog(c, time.Now())
	engines := []*platformtest.Server{f.startServer("i-1", "llm", longStreamEvents), f.startServer("i-2", "llm", longStreamEvents)}
	for _, e := range engines {
		e.SetPause(eventInterval)
	}
	return f, engines
}

// startStream sends a short request that may not be repeated. It returns the engine that runs
// it and the other one, once the caller has had the beginning of the answer.
func (f *fixture) startStream(engines []*platformtest.Server, usage string) (answers chan answer, runs, other *platformtest.Server) {
	answers = make(chan answer, 1)
	go func() {
		r := f.request(f.Context(), http.MethodPost, "/quote/", "x")
		r.Header.Set("X-Deadline-Ms", "10000")
		r.Header.Set("X-Token-Usage", usage)
		answers <- f.do(r)
	}()
	f.eventually(func() bool { return receivedCount(engines...) == 1 })
	time.Sleep(15 * eventInterval)
	if receivedCount(engines[0]) == 1 {
		return answers, engines[0], engines[1]
	}
	return answers, engines[1], engines[0]
}

// TestRunGoesOnAfterCrash crashes an engine during a run that may not be repeated. The run goes
// on at the engine that keeps its copy, and is counted once.
func TestRunGoesOnAfterCrash(t *testing.T) {
	f, engines := newBackupFixture(t)
	answers, runs, other := f.startStream(engines, "1500,240")
	f.Assert(runs.ReceivedRequests()[0].Header.Get("X-Kv-Backup"), qt.Equals, other.Address())
	runs.Crash()
	f.checkComplete(<-answers)
	f.Assert(receivedCount(other), qt.Equals, 1)
	second := other.ReceivedRequests()[0]
	f.Assert(second.Header.Get("Kv-From"), qt.Equals, other.Address()+"/id-1")
	f.Assert(second.Header.Get("Last-Event-Id") != "", qt.IsTrue)
	f.Assert(second.Resumed, qt.IsTrue)
	f.Assert(f.meteredRequests(), qt.Equals, uint64(1))
	running, _ := f.directory.Load("llm")
	f.Assert(running, qt.Equals, 0)
}

// TestRunDoesNotGoOnWhileItsEngineListens cuts the stream of an engine that goes on, which may
// generate the rest of the answer. The run is not sent to the other engine.
func TestRunDoesNotGoOnWhileItsEngineListens(t *testing.T) {
	f, engines := newBackupFixture(t)
	for _, e := range engines {
		e.SetResponseMode(platformtest.Truncated)
	}
	answers, _, other := f.startStream(engines, "1500,240")
	f.Assert((<-answers).err, qt.IsNotNil)
	f.Assert(receivedCount(other), qt.Equals, 0)
}

// TestCrashWithoutCopyBreaksOff crashes an engine whose run the other engine had no room for.
// The stream breaks off, and does not start over.
func TestCrashWithoutCopyBreaksOff(t *testing.T) {
	f, engines := newBackupFixture(t)
	for _, e := range engines {
		e.SetRejectCopies(true)
	}
	answers, runs, other := f.startStream(engines, "1500,240")
	runs.Crash()
	f.Assert((<-answers).err, qt.IsNotNil)
	f.Assert(runCount(other), qt.Equals, 0)
}

// TestLongPromptHasNoCopy checks that a run whose copies would fill another engine has none.
func TestLongPromptHasNoCopy(t *testing.T) {
	f, engines := newBackupFixture(t)
	answers, runs, other := f.startStream(engines, "17000,240")
	f.Assert(runs.ReceivedRequests()[0].Header.Get("X-Kv-Backup"), qt.Equals, "")
	runs.Crash()
	f.Assert((<-answers).err, qt.IsNotNil)
	f.Assert(receivedCount(other), qt.Equals, 0)
}
