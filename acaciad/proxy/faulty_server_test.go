package proxy_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"acaciapath.example/platform/standin"
	"acaciapath.example/standin/engine"

	qt "github.com/frankban/quicktest"
)

// TestSecondAnswerIsNobodys: a backend server that answers twice on a connection
// spoils no later request with its second answer.
func TestSecondAnswerIsNobodys(t *testing.T) {
	w := newWorld(t, 10)
	w.ready()
	s := w.server("i-1", "shop", 0)
	for i := range 6 {
		s.SetResponseMode(standin.AnswersTwice)
		if i%2 == 1 {
			s.SetResponseMode(standin.Normal)
		}
		r := w.request(w.Context(), http.MethodGet, "/look/", "")
		id := "id-" + strconv.Itoa(i)
		r.Header.Set("X-Attempt-Id", id)
		a := w.do(r)
		w.Assert(a.err, qt.IsNil)
		if a.status == http.StatusOK {
			w.Assert(a.header.Get("X-Attempt-Id"), qt.Equals, id)
			w.Assert(a.body, qt.Equals, "01234567890123456789")
		}
	}
}

// TestAnswerWithoutLength: an answer that ends with its connection is whole.
func TestAnswerWithoutLength(t *testing.T) {
	w := newWorld(t, 2)
	w.ready()
	w.server("i-1", "shop", 0).SetResponseMode(standin.NoLength)
	a := w.get(http.MethodPost, "/order/", "x")
	w.Assert(a.err, qt.IsNil)
	w.Assert(a.status, qt.Equals, http.StatusOK)
	w.Assert(a.body, qt.Equals, "01234567890123456789")
	w.Assert(a.header.Get("Content-Length"), qt.Equals, "20")
}

// TestNoAnswerInTheProtocol: bytes that are no answer may mean that the request
// ran.
func TestNoAnswerInTheProtocol(t *testing.T) {
	w := newWorld(t, 2)
	w.ready()
	s := w.server("i-1", "shop", 0)
	s.SetResponseMode(standin.Malformed)
	a := w.get(http.MethodPost, "/order/", "x")
	w.Assert(a.status, qt.Equals, http.StatusBadGateway)
	w.Assert(arrived(s), qt.Equals, 1)
}

// TestMovedRunsAreNotReadAgain moves a long prompt between engines that batch:
// the second one reads none of it.
func TestMovedRunsAreNotReadAgain(t *testing.T) {
	w, _, _ := leavingWorld(t)
	options := engine.Options{StepTime: 5 * time.Millisecond, PrefillTime: time.Microsecond, MemoryTokens: 100_000, CacheTokens: 100_000}
	one, two := standin.NewEngine("i-1", eventTokens, options), standin.NewEngine("i-2", eventTokens, options)
	w.Cleanup(one.Close)
	w.Cleanup(two.Close)
	w.specs[0].Address = one.Address()
	w.directory.SetServers(w.specs, time.Now())
	got := make(chan answer, 1)
	go func() {
		r := w.request(w.Context(), http.MethodPost, "/quote/", "x")
		r.Header.Set("X-Deadline-Ms", "10000")
		r.Header.Set("X-Prefix-Hash", "a:13000,b:4000")
		r.Header.Set("X-Token-Usage", "17000,"+strconv.Itoa(longEvents*eventTokens))
		got <- w.do(r)
	}()
	w.eventually(func() bool { return len(one.Engine().Held()) == 1 && one.Engine().Held()[0].Made > 30 })
	w.register("i-2", "llm", two.Address())
	w.leave(one)
	w.checkWhole(<-got)
	runs := two.Engine().Runs().Entries()
	w.Assert(runs, qt.HasLen, 1)
	w.Assert(runs[0].PrefilledTokens, qt.Equals, 0)
}

// TestFailureIsPassedOnAtTheTimeout: a backend server failed a request, and another
// one that is tried does not answer in time. The caller gets the failure of the first.
func TestFailureIsPassedOnAtTheTimeout(t *testing.T) {
	w := newWorld(t, 2)
	w.ready()
	one, two := w.server("i-1", "shop", 0), w.server("i-2", "shop", 0)
	one.SetResponseMode(standin.ServerError)
	two.SetResponseMode(standin.ServerError)
	w.eventually(func() bool {
		r := w.request(w.Context(), http.MethodGet, "/look/", "")
		r.Header.Set("X-Deadline-Ms", "400")
		two.SetResponseMode(standin.Hangs)
		before := arrived(one)
		a := w.do(r)
		if arrived(one) == before {
			return false // the one that hangs was tried first
		}
		w.Assert(a.status, qt.Equals, http.StatusInternalServerError)
		w.Assert(a.header.Get("X-Replica-Signature"), qt.Equals, standin.Signature)
		return true
	})
}

// TestServersThatFailRequestsAreAvoided replays a backend server that fails the
// requests that it runs while its health check is good: requests that may run once
// go to the others.
func TestServersThatFailRequestsAreAvoided(t *testing.T) {
	w := newWorld(t, 2)
	w.ready()
	bad := w.server("i-1", "shop", 0)
	bad.SetResponseMode(standin.ServerError)
	w.server("i-2", "shop", 0)
	failed := 0
	for range 20 {
		if w.get(http.MethodPost, "/order/", "x").status != http.StatusOK {
			failed++
		}
	}
	w.Assert(failed <= 2, qt.IsTrue, qt.Commentf("%d of 20 failed", failed))
	w.Assert(arrived(bad) <= 2, qt.IsTrue)
}
