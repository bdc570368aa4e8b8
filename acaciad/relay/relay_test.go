package relay_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"acaciapath.example/platform/standin"
	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
)

func TestPassesRequestAndAnswer(t *testing.T) {
	w := newWorld(t, 2)
	w.ready()
	s := w.server("i-1", "shop", 0)
	r := w.request(w.Context(), http.MethodPost, "/order/a%2Fb?x=1;y", "body")
	r.Header.Set("X-Tenant", "forged")
	r.Header.Set("X-Other", "kept")
	a := w.do(r)
	w.Assert(a.err, qt.IsNil)
	w.Assert(a.status, qt.Equals, http.StatusOK)
	w.Assert(a.body, qt.Equals, "01234567890123456789")
	w.Assert(a.header.Get("X-Replica-Signature"), qt.Equals, standin.Signature)
	w.Assert(a.header.Get("X-Attempt-Id"), qt.Equals, "id-1")
	got := s.Arrivals()[0]
	w.Assert(got.Method+" "+got.Path+" "+got.Body, qt.Equals, "POST /order/a%2Fb?x=1;y body")
	w.Assert(got.Header.Get("Authorization"), qt.Equals, "")
	w.Assert(got.Header.Get("X-Tenant"), qt.Equals, "account-a")
	w.Assert(got.Header.Get("X-Other"), qt.Equals, "kept")
	w.Assert(got.Header.Get("X-Expected-Replica"), qt.Equals, "i-1")
	left, err := strconv.Atoi(got.Header.Get("X-Deadline-Ms"))
	w.Assert(err, qt.IsNil)
	w.Assert(left > 1500 && left <= 2000, qt.IsTrue, qt.Commentf("%d ms", left))
	w.Assert(w.counted(), qt.Equals, uint64(1))
}

func TestRefusals(t *testing.T) {
	w := newWorld(t, 2)
	a := w.get(http.MethodGet, "/look/", "")
	w.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
	w.Assert(a.header.Get("Retry-After"), qt.Equals, "0.500")
	w.ready()
	s := w.server("i-1", "llm", 2)
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
		r := w.request(w.Context(), http.MethodPost, test.path, test.body)
		r.Header.Set("Authorization", "Bearer "+test.key)
		a := w.do(r)
		w.Assert(a.status, qt.Equals, test.want, qt.Commentf("%s %q", test.path, test.key))
		w.Assert(a.header.Get("X-Replica-Signature"), qt.Equals, "")
		w.Assert(a.header.Get("Retry-After") != "", qt.Equals, test.want == http.StatusServiceUnavailable)
	}
	w.Assert(arrived(s), qt.Equals, 0)
}

// TestOnceRunsOnce has a backend server fail a request that may run once only in
// every way. It is sent again only where it certainly did not run, and only then
// the caller is told so.
func TestOnceRunsOnce(t *testing.T) {
	for _, test := range []struct {
		name   string
		manner standin.Manner
		want   int
		ran    int
	}{
		{name: "full", manner: standin.Full, want: http.StatusServiceUnavailable},
		{name: "fails", manner: standin.Fails, want: http.StatusInternalServerError, ran: 1},
		{name: "cut", manner: standin.Cut, want: http.StatusBadGateway, ran: 1},
		{name: "mute", manner: standin.Mute, want: http.StatusBadGateway, ran: 1},
		{name: "unsigned", manner: standin.Unsigned, want: http.StatusBadGateway, ran: 1},
		{name: "crossed", manner: standin.Crossed, want: http.StatusBadGateway, ran: 1},
		{name: "hangs", manner: standin.Hangs, want: http.StatusGatewayTimeout, ran: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, 4)
			w.ready()
			one, two := w.server("i-1", "shop", 0), w.server("i-2", "shop", 0)
			one.SetManner(test.manner)
			two.SetManner(test.manner)
			began := time.Now()
			a := w.get(http.MethodPost, "/order/", "x")
			w.Assert(a.status, qt.Equals, test.want)
			w.Assert(ran(one, two), qt.Equals, test.ran)
			w.Assert(time.Since(began) < 2200*time.Millisecond, qt.IsTrue)
		})
	}
}

func TestUnreachedServerIsPassedOver(t *testing.T) {
	w := newWorld(t, 0)
	w.ready()
	gone, err := loopback.FreeAddress()
	w.Assert(err, qt.IsNil)
	w.register("i-0", "shop", gone)
	s := w.server("i-1", "shop", 0)
	for range 8 {
		w.Assert(w.get(http.MethodPost, "/order/", "x").status, qt.Equals, http.StatusOK)
	}
	w.Assert(ran(s), qt.Equals, 8)
}

// TestAddressUsedAgain sends to an address that another backend server has now.
// It is tried once: a budget of one retry is enough for any number of requests.
func TestAddressUsedAgain(t *testing.T) {
	w := newWorld(t, 1)
	w.ready()
	other := standin.NewServer("i-other", 0)
	w.Cleanup(other.Close)
	w.register("i-0", "shop", other.Address())
	s := w.server("i-1", "shop", 0)
	for range 20 {
		w.Assert(w.get(http.MethodPost, "/order/", "x").status, qt.Equals, http.StatusOK)
	}
	w.Assert(ran(other), qt.Equals, 0)
	w.Assert(arrived(other), qt.Equals, 1)
	w.Assert(ran(s), qt.Equals, 20)
}

// TestIdempotentIsTriedAgain has one of two backend servers spoil its answers.
func TestIdempotentIsTriedAgain(t *testing.T) {
	for _, manner := range []standin.Manner{standin.Full, standin.Fails, standin.Cut, standin.Mute, standin.Unsigned, standin.Crossed} {
		w := newWorld(t, 100)
		w.ready()
		one, two := w.server("i-1", "shop", 0), w.server("i-2", "shop", 0)
		one.SetManner(manner)
		for range 5 {
			a := w.get(http.MethodGet, "/look/", "")
			w.Assert(a.err, qt.IsNil)
			w.Assert(a.status, qt.Equals, http.StatusOK, qt.Commentf("manner %d", manner))
		}
		w.Assert(ran(two) >= 5, qt.IsTrue)
	}
}

// TestFailureIsPassedOn has both backend servers fail. The caller gets the answer
// of one of them, not one of the router's own.
func TestFailureIsPassedOn(t *testing.T) {
	w := newWorld(t, 100)
	w.ready()
	one, two := w.server("i-1", "shop", 0), w.server("i-2", "shop", 0)
	one.SetManner(standin.Fails)
	two.SetManner(standin.Fails)
	a := w.get(http.MethodGet, "/look/", "")
	w.Assert(a.status, qt.Equals, http.StatusInternalServerError)
	w.Assert(a.header.Get("X-Replica-Signature"), qt.Equals, standin.Signature)
	w.Assert(ran(one, two), qt.Equals, 2)
}

// TestRetryBudget sends requests that every backend server rejects. Arrivals
// beyond the first of each request stay within the budget.
func TestRetryBudget(t *testing.T) {
	w := newWorld(t, 2)
	w.ready()
	one, two := w.server("i-1", "shop", 0), w.server("i-2", "shop", 0)
	one.SetManner(standin.Full)
	two.SetManner(standin.Full)
	const n = 20
	for range n {
		a := w.get(http.MethodGet, "/look/", "")
		w.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
	}
	w.Assert(arrived(one, two), qt.Equals, n+2)
}

func TestStream(t *testing.T) {
	w := newWorld(t, 2)
	w.ready()
	s := w.server("i-1", "llm", 6)
	a := w.get(http.MethodPost, "/quote/", "x")
	w.Assert(a.err, qt.IsNil)
	w.Assert(a.body, qt.Equals, events(1, 6))
	w.Assert(a.header.Get("X-Replica-Signature"), qt.Equals, standin.Signature)
	w.Assert(s.Arrivals()[0].Header.Get("X-Request-Priority"), qt.Equals, "2")
	w.Assert(w.counted(), qt.Equals, uint64(1))
}

// TestBrokenStreamIsNotComplete breaks off a stream that cannot be resumed. Its
// caller must see that it is not whole, and it runs once.
func TestBrokenStreamIsNotComplete(t *testing.T) {
	w := newWorld(t, 8)
	w.ready()
	one, two := w.server("i-1", "llm", 6), w.server("i-2", "llm", 6)
	one.SetManner(standin.Cut)
	two.SetManner(standin.Cut)
	a := w.get(http.MethodPost, "/quote/", "x")
	w.Assert(a.status, qt.Equals, http.StatusOK)
	w.Assert(a.err, qt.IsNotNil)
	w.Assert(a.body, qt.Equals, events(1, 3))
	w.Assert(ran(one, two), qt.Equals, 1)
}

// TestStreamIsResumed breaks off a stream that another backend server can go on
// with. No event is lost or sent twice, and the request is counted once.
func TestStreamIsResumed(t *testing.T) {
	w := newWorld(t, 8)
	w.ready()
	one, two := w.server("i-1", "llm", 6), w.server("i-2", "llm", 6)
	one.SetManner(standin.Cut)
	for range 6 {
		a := w.get(http.MethodPost, "/reply/", "x")
		w.Assert(a.err, qt.IsNil)
		w.Assert(a.body, qt.Equals, events(1, 6))
	}
	w.Assert(ran(one) > 0, qt.IsTrue)
	w.Assert(ran(two), qt.Equals, 6)
	w.Assert(w.counted(), qt.Equals, uint64(6))
}

// TestResumedStreamThatBreaksAgain breaks the stream off at both backend servers
// that may run it. The answer must not look complete.
func TestResumedStreamThatBreaksAgain(t *testing.T) {
	w := newWorld(t, 8)
	w.ready()
	one, two := w.server("i-1", "llm", 6), w.server("i-2", "llm", 6)
	one.SetManner(standin.Cut)
	two.SetManner(standin.Cut)
	a := w.get(http.MethodPost, "/reply/", "x")
	w.Assert(a.err, qt.IsNotNil)
	w.Assert(a.body, qt.Equals, events(1, 3))
}

// TestResumptionThatFails breaks a stream off and has the backend server that is
// to go on with it fail, in every way. The answer must not look complete.
func TestResumptionThatFails(t *testing.T) {
	for _, manner := range []standin.Manner{standin.Full, standin.Fails, standin.Mute, standin.Unsigned, standin.Crossed} {
		w := newWorld(t, 100)
		w.ready()
		one, two := w.server("i-1", "llm", 6), w.server("i-2", "llm", 6)
		one.SetManner(standin.Cut)
		two.SetManner(manner)
		for range 6 {
			a := w.get(http.MethodPost, "/reply/", "x")
			if a.status == http.StatusOK {
				w.Assert(a.err, qt.IsNotNil, qt.Commentf("manner %d", manner))
				w.Assert(a.body, qt.Equals, events(1, 3))
			}
		}
	}
}

// TestPlacesAreGivenBack ends requests in every way. None may count as running
// afterwards, or its server would be passed over for good.
func TestPlacesAreGivenBack(t *testing.T) {
	w := newWorld(t, 100)
	w.ready()
	servers := []*standin.Server{
		w.server("i-1", "llm", 6), w.server("i-2", "llm", 6), w.server("i-3", "shop", 0), w.server("i-4", "shop", 0),
	}
	for manner := standin.Whole; manner <= standin.Hangs; manner++ {
		for _, s := range servers {
			s.SetManner(manner)
		}
		for _, path := range []string{"/quote/", "/reply/", "/look/", "/order/"} {
			ctx, leave := context.WithTimeout(w.Context(), 150*time.Millisecond)
			w.do(w.request(ctx, http.MethodPost, path, "x"))
			leave()
		}
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		llm, reading := w.directory.Load("llm")
		shop, _ := w.directory.Load("shop")
		if llm == 0 && shop == 0 && reading == 0 {
			return
		}
		if time.Now().After(end) {
			w.Fatalf("%d and %d requests still count as running", llm, shop)
		}
	}
}

// TestCallerLeaves checks that work is stopped at the backend server when its
// caller leaves.
func TestCallerLeaves(t *testing.T) {
	for _, path := range []string{"/look/", "/quote/", "/order/"} {
		w := newWorld(t, 2)
		w.ready()
		servers := []*standin.Server{w.server("i-1", "shop", 0), w.server("i-2", "llm", 6)}
		for _, s := range servers {
			s.SetManner(standin.Hangs)
		}
		ctx, leave := context.WithCancel(w.Context())
		time.AfterFunc(100*time.Millisecond, leave)
		began := time.Now()
		a := w.do(w.request(ctx, http.MethodPost, path, "x"))
		w.Assert(a.err, qt.IsNotNil)
		for !left(servers) {
			w.Assert(time.Since(began) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", path))
			time.Sleep(5 * time.Millisecond)
		}
		w.Assert(arrived(servers...), qt.Equals, 1)
	}
}

// left reports whether a backend server saw its caller leave.
func left(servers []*standin.Server) bool {
	for _, s := range servers {
		for _, a := range s.Arrivals() {
			if a.Left {
				return true
			}
		}
	}
	return false
}

// TestStreamEndsAtTimeout has a stream go on past the timeout of its route.
func TestStreamEndsAtTimeout(t *testing.T) {
	w := newWorld(t, 2)
	w.ready()
	s := w.server("i-1", "llm", 100)
	s.SetPause(100 * time.Millisecond)
	r := w.request(w.Context(), http.MethodPost, "/quote/", "x")
	r.Header.Set("X-Deadline-Ms", "10000")
	began := time.Now()
	a := w.do(r)
	w.Assert(a.err, qt.IsNotNil)
	took := time.Since(began)
	w.Assert(took > 1900*time.Millisecond && took < 2400*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
}

// TestDraining checks that a draining daemon serves on and asks callers to close
// their connections.
func TestDraining(t *testing.T) {
	w := newWorld(t, 2)
	w.ready()
	w.server("i-1", "shop", 0)
	w.drain()
	a := w.get(http.MethodGet, "/look/", "")
	w.Assert(a.status, qt.Equals, http.StatusOK)
	w.Assert(a.close, qt.IsTrue)
}
