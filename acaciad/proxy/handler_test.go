package proxy_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
)

func TestRequestAndAnswerAreForwarded(t *testing.T) {
	f := newFixture(t, 2)
	f.loadCatalog()
	s := f.startServer("i-1", "shop", 0)
	r := f.request(f.Context(), http.MethodPost, "/order/a%2Fb?x=1;y", "body")
	r.Header.Set("X-Tenant", "forged")
	r.Header.Set("X-Other", "kept")
	a := f.do(r)
	f.Assert(a.err, qt.IsNil)
	f.Assert(a.status, qt.Equals, http.StatusOK)
	f.Assert(a.body, qt.Equals, "01234567890123456789")
	f.Assert(a.header.Get("X-Replica-Signature"), qt.Equals, platformtest.Signature)
	f.Assert(a.header.Get("X-Attempt-Id"), qt.Equals, "id-1")
	got := s.ReceivedRequests()[0]
	f.Assert(got.Method+" "+got.Path+" "+got.Body, qt.Equals, "POST /order/a%2Fb?x=1;y body")
	f.Assert(got.Header.Get("Authorization"), qt.Equals, "")
	f.Assert(got.Header.Get("X-Tenant"), qt.Equals, "account-a")
	f.Assert(got.Header.Get("X-Other"), qt.Equals, "kept")
	f.Assert(got.Header.Get("X-Expected-Replica"), qt.Equals, "i-1")
	remaining, err := strconv.Atoi(got.Header.Get("X-Deadline-Ms"))
	f.Assert(err, qt.IsNil)
	f.Assert(remaining > 1500 && remaining <= 2000, qt.IsTrue, qt.Commentf("%d ms", remaining))
	f.Assert(f.meteredRequests(), qt.Equals, uint64(1))
}

func TestRefusals(t *testing.T) {
	f := newFixture(t, 2)
	a := f.send(http.MethodGet, "/look/", "")
	f.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
	f.Assert(a.header.Get("Retry-After"), qt.Equals, "0.500")
	f.loadCatalog()
	s := f.startServer("i-1", "llm", 2)
	for _, test := range []struct {
		path, key, body string
		want            int
	}{
		{path: "/none/", key: "key-a", want: http.StatusNotFound},
		{path: "/look", key: "key-a", want: http.StatusNotFound},
		{path: "/look/", key: "key-b", want: http.StatusUnauthorized},
		{path: "/look/", want: http.StatusUnauthorized},
		{path: "/order/", key: "key-a", body: strings.Repeat("x", 1001), want: http.StatusRequestEntityTooLarge},
		{path: "/order/", key: "key-a", want: http.StatusServiceUnavailable},
		{path: "/public/", want: http.StatusServiceUnavailable},
	} {
		r := f.request(f.Context(), http.MethodPost, test.path, test.body)
		r.Header.Set("Authorization", "Bearer "+test.key)
		a := f.do(r)
		f.Assert(a.status, qt.Equals, test.want, qt.Commentf("%s %q", test.path, test.key))
		f.Assert(a.header.Get("X-Replica-Signature"), qt.Equals, "")
		f.Assert(a.header.Get("Retry-After") != "", qt.Equals, test.want == http.StatusServiceUnavailable)
	}
	f.Assert(receivedCount(s), qt.Equals, 0)
}

// TestAtMostOnceRequestRunsOnce checks requests that may run only once, against
// each way in which backend servers fail. Such a request is sent again, or refused
// as not run, only if it certainly did not run.
func TestAtMostOnceRequestRunsOnce(t *testing.T) {
	for _, test := range []struct {
		name string
		mode platformtest.ResponseMode
		want int
		ran  int
	}{
		{name: "overloaded", mode: platformtest.Overloaded, want: http.StatusServiceUnavailable},
		{name: "server error", mode: platformtest.ServerError, want: http.StatusInternalServerError, ran: 1},
		{name: "truncated", mode: platformtest.Truncated, want: http.StatusBadGateway, ran: 1},
		{name: "no answer", mode: platformtest.NoAnswer, want: http.StatusBadGateway, ran: 1},
		{name: "unsigned", mode: platformtest.Unsigned, want: http.StatusBadGateway, ran: 1},
		{name: "wrong id", mode: platformtest.WrongID, want: http.StatusBadGateway, ran: 1},
		{name: "hangs", mode: platformtest.Hangs, want: http.StatusGatewayTimeout, ran: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 4)
			f.loadCatalog()
			one, two := f.startServer("i-1", "shop", 0), f.startServer("i-2", "shop", 0)
			one.SetResponseMode(test.mode)
			two.SetResponseMode(test.mode)
			began := time.Now()
			a := f.send(http.MethodPost, "/order/", "x")
			f.Assert(a.status, qt.Equals, test.want)
			f.Assert(runCount(one, two), qt.Equals, test.ran)
			f.Assert(time.Since(began) < 2200*time.Millisecond, qt.IsTrue)
		})
	}
}

// TestUnreachableServerIsSkipped checks that a backend server that refuses
// connections costs no retry.
func TestUnreachableServerIsSkipped(t *testing.T) {
	f := newFixture(t, 0)
	f.loadCatalog()
	gone, err := loopback.FreeAddress()
	f.Assert(err, qt.IsNil)
	f.registerServer("i-0", "shop", gone)
	s := f.startServer("i-1", "shop", 0)
	for range 8 {
		f.Assert(f.send(http.MethodPost, "/order/", "x").status, qt.Equals, http.StatusOK)
	}
	f.Assert(runCount(s), qt.Equals, 8)
}

// TestReusedAddress lists a backend server at an address that another one has
// taken over. It is tried only once, so that a budget of one retry is enough for
// any number of requests.
func TestReusedAddress(t *testing.T) {
	f := newFixture(t, 1)
	f.loadCatalog()
	other := platformtest.NewServer("i-other", 0)
	f.Cleanup(other.Close)
	f.registerServer("i-0", "shop", other.Address())
	s := f.startServer("i-1", "shop", 0)
	for range 20 {
		f.Assert(f.send(http.MethodPost, "/order/", "x").status, qt.Equals, http.StatusOK)
	}
	f.Assert(runCount(other), qt.Equals, 0)
	f.Assert(receivedCount(other), qt.Equals, 1)
	f.Assert(runCount(s), qt.Equals, 20)
}

// TestIdempotentRequestIsRetried checks that idempotent requests are served by the
// second of two backend servers while the first one fails.
func TestIdempotentRequestIsRetried(t *testing.T) {
	for _, mode := range []platformtest.ResponseMode{platformtest.Overloaded, platformtest.ServerError, platformtest.Truncated, platformtest.NoAnswer, platformtest.Unsigned, platformtest.WrongID} {
		f := newFixture(t, 100)
		f.loadCatalog()
		one, two := f.startServer("i-1", "shop", 0), f.startServer("i-2", "shop", 0)
		one.SetResponseMode(mode)
		for range 5 {
			a := f.send(http.MethodGet, "/look/", "")
			f.Assert(a.err, qt.IsNil)
			f.Assert(a.status, qt.Equals, http.StatusOK, qt.Commentf("mode %d", mode))
		}
		f.Assert(runCount(two) >= 5, qt.IsTrue)
	}
}

// TestServerErrorIsForwarded has both backend servers fail. The caller receives the
// error response of one of them, not a refusal of the router.
func TestServerErrorIsForwarded(t *testing.T) {
	f := newFixture(t, 100)
	f.loadCatalog()
	one, two := f.startServer("i-1", "shop", 0), f.startServer("i-2", "shop", 0)
	one.SetResponseMode(platformtest.ServerError)
	two.SetResponseMode(platformtest.ServerError)
	a := f.send(http.MethodGet, "/look/", "")
	f.Assert(a.status, qt.Equals, http.StatusInternalServerError)
	f.Assert(a.header.Get("X-Replica-Signature"), qt.Equals, platformtest.Signature)
	f.Assert(runCount(one, two), qt.Equals, 2)
}

// TestRetryBudget sends requests that every backend server rejects. The retries of
// all requests together stay within the budget.
func TestRetryBudget(t *testing.T) {
	f := newFixture(t, 2)
	f.loadCatalog()
	one, two := f.startServer("i-1", "shop", 0), f.startServer("i-2", "shop", 0)
	one.SetResponseMode(platformtest.Overloaded)
	two.SetResponseMode(platformtest.Overloaded)
	const n = 20
	for range n {
		a := f.send(http.MethodGet, "/look/", "")
		f.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
	}
	f.Assert(receivedCount(one, two), qt.Equals, n+2)
}

func TestStream(t *testing.T) {
	f := newFixture(t, 2)
	f.loadCatalog()
	s := f.startServer("i-1", "llm", 6)
	a := f.send(http.MethodPost, "/quote/", "x")
	f.Assert(a.err, qt.IsNil)
	f.Assert(a.body, qt.Equals, events(1, 6))
	f.Assert(a.header.Get("X-Replica-Signature"), qt.Equals, platformtest.Signature)
	f.Assert(s.ReceivedRequests()[0].Header.Get("X-Request-Priority"), qt.Equals, "2")
	f.Assert(f.meteredRequests(), qt.Equals, uint64(1))
}

// TestTruncatedStreamIsReported breaks off a stream that cannot be resumed. The
// caller must see an error, and the request must run only once.
func TestTruncatedStreamIsReported(t *testing.T) {
	f := newFixture(t, 8)
	f.loadCatalog()
	one, two := f.startServer("i-1", "llm", 6), f.startServer("i-2", "llm", 6)
	one.SetResponseMode(platformtest.Truncated)
	two.SetResponseMode(platformtest.Truncated)
	a := f.send(http.MethodPost, "/quote/", "x")
	f.Assert(a.status, qt.Equals, http.StatusOK)
	f.Assert(a.err, qt.IsNotNil)
	f.Assert(a.body, qt.Equals, events(1, 3))
	f.Assert(runCount(one, two), qt.Equals, 1)
}

// TestStreamIsResumed breaks off a stream that another backend server can resume.
// No event is lost or sent twice, and the request is counted once.
func TestStreamIsResumed(t *testing.T) {
	f := newFixture(t, 8)
	f.loadCatalog()
	one, two := f.startServer("i-1", "llm", 6), f.startServer("i-2", "llm", 6)
	one.SetResponseMode(platformtest.Truncated)
	for range 6 {
		a := f.send(http.MethodPost, "/reply/", "x")
		f.Assert(a.err, qt.IsNil)
		f.Assert(a.body, qt.Equals, events(1, 6))
	}
	f.Assert(runCount(one) > 0, qt.IsTrue)
	f.Assert(runCount(two), qt.Equals, 6)
	f.Assert(f.meteredRequests(), qt.Equals, uint64(6))
}

// TestResumedStreamBreaksAgain breaks off the stream on both backend servers that
// may run it. The answer must not look complete.
func TestResumedStreamBreaksAgain(t *testing.T) {
	f := newFixture(t, 8)
	f.loadCatalog()
	one, two := f.startServer("i-1", "llm", 6), f.startServer("i-2", "llm", 6)
	one.SetResponseMode(platformtest.Truncated)
	two.SetResponseMode(platformtest.Truncated)
	a := f.send(http.MethodPost, "/reply/", "x")
	f.Assert(a.err, qt.IsNotNil)
	f.Assert(a.body, qt.Equals, events(1, 3))
}

// TestStreamResumptionFails breaks off a stream and has the backend server that
// would resume it fail, in each way. The answer must not look complete.
func TestStreamResumptionFails(t *testing.T) {
	for _, mode := range []platformtest.ResponseMode{platformtest.Overloaded, platformtest.ServerError, platformtest.NoAnswer, platformtest.Unsigned, platformtest.WrongID} {
		f := newFixture(t, 100)
		f.loadCatalog()
		one, two := f.startServer("i-1", "llm", 6), f.startServer("i-2", "llm", 6)
		one.SetResponseMode(platformtest.Truncated)
		two.SetResponseMode(mode)
		for range 6 {
			a := f.send(http.MethodPost, "/reply/", "x")
			if a.status == http.StatusOK {
				f.Assert(a.err, qt.IsNotNil, qt.Commentf("mode %d", mode))
				f.Assert(a.body, qt.Equals, events(1, 3))
			}
		}
	}
}

// TestReservationsAreReleased ends requests in each way. A reservation that is not
// released would occupy a slot of its backend server forever.
func TestReservationsAreReleased(t *testing.T) {
	f := newFixture(t, 100)
	f.loadCatalog()
	servers := []*platformtest.Server{
		f.startServer("i-1", "llm", 6), f.startServer("i-2", "llm", 6), f.startServer("i-3", "shop", 0), f.startServer("i-4", "shop", 0),
	}
	for mode := platformtest.Normal; mode <= platformtest.Hangs; mode++ {
		for _, s := range servers {
			s.SetResponseMode(mode)
		}
		for _, path := range []string{"/quote/", "/reply/", "/look/", "/order/"} {
			ctx, cancel := context.WithTimeout(f.Context(), 150*time.Millisecond)
			f.do(f.request(ctx, http.MethodPost, path, "x"))
			cancel()
		}
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		llm, unreadTokens := f.directory.Load("llm")
		shop, _ := f.directory.Load("shop")
		if llm == 0 && shop == 0 && unreadTokens == 0 {
			return
		}
		if time.Now().After(end) {
			f.Fatalf("%d llm and %d shop requests still occupy slots", llm, shop)
		}
	}
}

// TestCallerDisconnects checks that a request is canceled on its backend server when
// the caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	for _, path := range []string{"/look/", "/quote/", "/order/"} {
		f := newFixture(t, 2)
		f.loadCatalog()
		servers := []*platformtest.Server{f.startServer("i-1", "shop", 0), f.startServer("i-2", "llm", 6)}
		for _, s := range servers {
			s.SetResponseMode(platformtest.Hangs)
		}
		ctx, cancel := context.WithCancel(f.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		began := time.Now()
		a := f.do(f.request(ctx, http.MethodPost, path, "x"))
		f.Assert(a.err, qt.IsNotNil)
		for !sawCallerLeave(servers) {
			f.Assert(time.Since(began) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", path))
			time.Sleep(5 * time.Millisecond)
		}
		f.Assert(receivedCount(servers...), qt.Equals, 1)
	}
}

// sawCallerLeave reports whether a request was canceled on one of the backend
// servers.
func sawCallerLeave(servers []*platformtest.Server) bool {
	for _, s := range servers {
		for _, a := range s.ReceivedRequests() {
			if a.CallerLeft {
				return true
			}
		}
	}
	return false
}

// TestStreamEndsAtTimeout checks that a stream is broken off at the timeout of its
// route.
func TestStreamEndsAtTimeout(t *testing.T) {
	f := newFixture(t, 2)
	f.loadCatalog()
	s := f.startServer("i-1", "llm", 100)
	s.SetPause(100 * time.Millisecond)
	r := f.request(f.Context(), http.MethodPost, "/quote/", "x")
	r.Header.Set("X-Deadline-Ms", "10000")
	began := time.Now()
	a := f.do(r)
	f.Assert(a.err, qt.IsNotNil)
	took := time.Since(began)
	f.Assert(took > 1900*time.Millisecond && took < 2400*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
}

// TestLateStreamsAreRefused checks that a daemon which is about to stop refuses streams as
// not run, and still answers short requests.
func TestLateStreamsAreRefused(t *testing.T) {
	f := newFixture(t, 2)
	f.loadCatalog()
	engine, shop := f.startServer("i-1", "llm", 6), f.startServer("i-2", "shop", 0)
	f.startDrain()
	f.Assert(f.send(http.MethodPost, "/quote/", "x").status, qt.Equals, http.StatusOK)
	f.endStreams()
	a := f.send(http.MethodPost, "/quote/", "x")
	f.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
	f.Assert(a.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	f.Assert(a.close, qt.IsTrue)
	f.Assert(receivedCount(engine), qt.Equals, 1)
	f.Assert(f.send(http.MethodPost, "/order/", "x").status, qt.Equals, http.StatusOK)
	f.Assert(receivedCount(shop), qt.Equals, 1)
}

// TestDraining checks that a draining daemon keeps serving and asks callers to close
// their connections.
func TestDraining(t *testing.T) {
	f := newFixture(t, 2)
	f.loadCatalog()
	f.startServer("i-1", "shop", 0)
	f.startDrain()
	a := f.send(http.MethodGet, "/look/", "")
	f.Assert(a.status, qt.Equals, http.StatusOK)
	f.Assert(a.close, qt.IsTrue)
}
