package proxy_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/engine"

	qt "github.com/frankban/quicktest"
)

// TestSecondAnswerIsDiscarded has a backend server answer twice on a connection. The
// second answer must not be taken as the answer to a later request.
func TestSecondAnswerIsDiscarded(t *testing.T) {
	f := newFixture(t, 10)
	f.loadCatalog()
	s := f.startServer("i-1", "shop", 0)
	for i := range 6 {
		s.SetResponseMode(platformtest.AnswersTwice)
		if i%2 == 1 {
			s.SetResponseMode(platformtest.Normal)
		}
		r := f.request(f.Context(), http.MethodGet, "/look/", "")
		id := "id-" + strconv.Itoa(i)
		r.Header.Set("X-Attempt-Id", id)
		a := f.do(r)
		f.Assert(a.err, qt.IsNil)
		if a.status == http.StatusOK {
			f.Assert(a.header.Get("X-Attempt-Id"), qt.Equals, id)
			f.Assert(a.body, qt.Equals, "01234567890123456789")
		}
	}
}

// TestAnswerWithoutLength checks that an answer which ends with its connection counts
// as complete.
func TestAnswerWithoutLength(t *testing.T) {
	f := newFixture(t, 2)
	f.loadCatalog()
	f.startServer("i-1", "shop", 0).SetResponseMode(platformtest.NoLength)
	a := f.send(http.MethodPost, "/order/", "x")
	f.Assert(a.err, qt.IsNil)
	f.Assert(a.status, qt.Equals, http.StatusOK)
	f.Assert(a.body, qt.Equals, "01234567890123456789")
	f.Assert(a.header.Get("Content-Length"), qt.Equals, "20")
}

// TestMalformedAnswer has a backend server send an answer that is not HTTP. The request
// may have run: the caller gets status 502, and the request is not sent again.
func TestMalformedAnswer(t *testing.T) {
	f := newFixture(t, 2)
	f.loadCatalog()
	s := f.startServer("i-1", "shop", 0)
	s.SetResponseMode(platformtest.Malformed)
	a := f.send(http.MethodPost, "/order/", "x")
	f.Assert(a.status, qt.Equals, http.StatusBadGateway)
	f.Assert(receivedCount(s), qt.Equals, 1)
}

// TestMovedRunIsNotPrefilledAgain moves a run with a long prompt between batching
// engines. The second engine must not prefill any of it.
func TestMovedRunIsNotPrefilledAgain(t *testing.T) {
	f, _, _ := newMoveFixture(t)
	options := engine.Options{StepTime: 5 * time.Millisecond, PrefillTimePerToken: time.Microsecond, MemoryTokens: 100_000, CacheTokens: 100_000}
	one, two := platformtest.NewEngine("i-1", eventTokens, options), platformtest.NewEngine("i-2", eventTokens, options)
	f.Cleanup(one.Close)
	f.Cleanup(two.Close)
	f.specs[0].Address = one.Address()
	f.directory.SetServers(f.specs, time.Now())
	got := make(chan answer, 1)
	go func() {
		r := f.request(f.Context(), http.MethodPost, "/quote/", "x")
		r.Header.Set("X-Deadline-Ms", "10000")
		r.Header.Set("X-Prefix-Hash", "a:13000,b:4000")
		r.Header.Set("X-Token-Usage", "17000,"+strconv.Itoa(longStreamEvents*eventTokens))
		got <- f.do(r)
	}()
	f.eventually(func() bool {
		return len(one.Engine().RunningRequests()) == 1 && one.Engine().RunningRequests()[0].GeneratedTokens > 30
	})
	f.registerServer("i-2", "llm", two.Address())
	f.drainEngine(one)
	f.checkComplete(<-got)
	runs := two.Engine().Runs().Entries()
	f.Assert(runs, qt.HasLen, 1)
	f.Assert(runs[0].PrefilledTokens, qt.Equals, 0)
}

// TestServerErrorIsForwardedAtTimeout has one backend server fail a request, and the
// next one not answer in time. The caller receives the error response of the first.
func TestServerErrorIsForwardedAtTimeout(t *testing.T) {
	f := newFixture(t, 2)
	f.loadCatalog()
	one, two := f.startServer("i-1", "shop", 0), f.startServer("i-2", "shop", 0)
	one.SetResponseMode(platformtest.ServerError)
	two.SetResponseMode(platformtest.ServerError)
	f.eventually(func() bool {
		r := f.request(f.Context(), http.MethodGet, "/look/", "")
		r.Header.Set("X-Deadline-Ms", "400")
		two.SetResponseMode(platformtest.Hangs)
		before := receivedCount(one)
		a := f.do(r)
		if receivedCount(one) == before {
			return false // the backend server that hangs was tried first
		}
		f.Assert(a.status, qt.Equals, http.StatusInternalServerError)
		f.Assert(a.header.Get("X-Replica-Signature"), qt.Equals, platformtest.Signature)
		return true
	})
}

// TestFailingServerIsAvoided has a backend server fail the requests that it runs
// although it passes its health check. Requests that may run only once must go to
// the other backend servers.
func TestFailingServerIsAvoided(t *testing.T) {
	f := newFixture(t, 2)
	f.loadCatalog()
	bad := f.startServer("i-1", "shop", 0)
	bad.SetResponseMode(platformtest.ServerError)
	f.startServer("i-2", "shop", 0)
	failed := 0
	for range 20 {
		if f.send(http.MethodPost, "/order/", "x").status != http.StatusOK {
			failed++
		}
	}
	f.Assert(failed <= 2, qt.IsTrue, qt.Commentf("%d of 20 failed", failed))
	f.Assert(receivedCount(bad) <= 2, qt.IsTrue)
}
