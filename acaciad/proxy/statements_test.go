package proxy_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"acaciapath.example/core/replica"
	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// TestLeavingServerGetsNoRequests has a server say in the head of a stream that it leaves.
// From then on it must get no request, whatever the list of servers says of the same
// boot; the stream there goes on. A later boot is used again.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	f := newFixture(t, 8)
	f.loadCatalog()
	leaving, stays := f.startServer("i-1", "llm", 4), f.startServer("i-2", "llm", 4)
	leaving.SetLeaving(true)
	leaving.SetPause(300 * time.Millisecond)
	began := make(chan answer, 1)
	for receivedCount(leaving) == 0 {
		ctx, cancel := context.WithCancel(f.Context())
		f.Cleanup(cancel)
		go func() { began <- f.do(f.request(ctx, http.MethodPost, "/quote/", "x")) }()
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(350 * time.Millisecond) // the head arrives with the first event
	for i := range 10 {
		switch i % 3 {
		case 0:
			f.directory.SetServers(f.specs, time.Now())
		case 1: // the entry is removed and comes back
			f.directory.SetServers(f.specs[1:], time.Now())
			f.directory.SetServers(f.specs, time.Now())
		}
		a := f.send(http.MethodPost, "/quote/", "x")
		f.Assert(a.err, qt.IsNil)
		f.Assert(receivedCount(leaving), qt.Equals, 1)
	}
	f.Assert(receivedCount(stays) >= 10, qt.IsTrue)
	first := <-began
	f.Assert(first.err, qt.IsNil)
	f.Assert(first.body, qt.Equals, events(1, 4))

	leaving.SetLeaving(false)
	again := append([]replica.Spec(nil), f.specs...)
	again[0].StartedAt = time.UnixMilli(5000)
	f.directory.SetServers(again, time.Now())
	f.eventually(func() bool {
		f.send(http.MethodPost, "/quote/", "x")
		return receivedCount(leaving) > 1
	})
}

// TestRefusingServerThatLeavesGetsNoRequests has servers say in refusals and failures that
// they leave.
func TestRefusingServerThatLeavesGetsNoRequests(t *testing.T) {
	for _, mode := range []platformtest.ResponseMode{platformtest.Overloaded, platformtest.ServerError, platformtest.Normal} {
		f := newFixture(t, 8)
		f.loadCatalog()
		leaving := f.startServer("i-1", "shop", 0)
		leaving.SetLeaving(true)
		leaving.SetResponseMode(mode)
		for range 5 {
			f.send(http.MethodGet, "/look/", "")
			f.directory.SetServers(f.specs, time.Now())
		}
		f.Check(receivedCount(leaving), qt.Equals, 1, qt.Commentf("mode %d", mode))
	}
}

// TestPausedServerGetsNoRequests has a server reject a request and ask for a pause. Until
// it ends, callers are refused with the time that is left, and the server gets no request,
// neither a first one nor a retry, also if its entry comes anew.
func TestPausedServerGetsNoRequests(t *testing.T) {
	for _, test := range []struct {
		value string
		pause time.Duration
	}{
		{value: "1", pause: time.Second},
		{value: "1.5", pause: 1500 * time.Millisecond},
		{value: " 0.8 ", pause: 800 * time.Millisecond},
		{value: "-2"},
		{value: "0"},
		{value: "soon"},
		{value: "NaN"},
		{value: "1e300", pause: 2 * time.Second},
		{value: "Inf"},
	} {
		t.Run(test.value, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 50)
			f.loadCatalog()
			paused := f.startServer("i-1", "shop", 0)
			paused.SetResponseMode(platformtest.Overloaded)
			paused.SetRetryAfter(test.value)
			began := time.Now()
			f.Assert(f.send(http.MethodGet, "/look/", "").status, qt.Equals, http.StatusServiceUnavailable)
			paused.SetResponseMode(platformtest.Normal)
			received := receivedCount(paused)
			if test.pause == 0 {
				f.Assert(f.send(http.MethodGet, "/look/", "").status, qt.Equals, http.StatusOK)
				return
			}
			for i := 0; time.Since(began) < test.pause-100*time.Millisecond; i++ {
				if i%2 == 1 {
					f.directory.SetServers(nil, time.Now())
					f.directory.SetServers(f.specs, time.Now())
				}
				a := f.send(http.MethodGet, "/look/", "")
				f.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
				wait, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
				f.Assert(err, qt.IsNil)
				left := test.pause - time.Since(began)
				f.Assert(wait >= min(left, 10*time.Second).Seconds()-0.05, qt.IsTrue, qt.Commentf("Retry-After %f, %s left", wait, left))
				time.Sleep(50 * time.Millisecond)
			}
			f.Assert(receivedCount(paused), qt.Equals, received)
			if test.pause < 2*time.Second {
				f.eventually(func() bool { return f.send(http.MethodGet, "/look/", "").status == http.StatusOK })
				f.Assert(time.Since(began) < 2*test.pause+time.Second, qt.IsTrue)
			}
		})
	}
}

// TestRetryAvoidsPausedServer has one of two servers ask for a pause. Requests that the other
// one fails must not be retried there.
func TestRetryAvoidsPausedServer(t *testing.T) {
	f := newFixture(t, 50)
	f.loadCatalog()
	paused, failing := f.startServer("i-1", "shop", 0), f.startServer("i-2", "shop", 0)
	paused.SetResponseMode(platformtest.Overloaded)
	paused.SetRetryAfter("3")
	failing.SetResponseMode(platformtest.ServerError)
	for receivedCount(paused) == 0 {
		f.send(http.MethodGet, "/look/", "")
	}
	received := receivedCount(paused)
	for range 10 {
		f.send(http.MethodGet, "/look/", "")
	}
	f.Assert(receivedCount(paused), qt.Equals, received)
}
