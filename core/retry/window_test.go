package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"acaciapath.example/core/retry"

	qt "github.com/frankban/quicktest"
)

const period = 10 * time.Second

// spendAll returns the number of retries that w allows at now.
func spendAll(w *retry.Window, now time.Time) int {
	n := 0
	for w.Spend(now) {
		n++
	}
	return n
}

// TestWindowAllowsCrash replays a daemon with 60 requests in 10 s whose servers crash at one
// moment: the retries that its requests allow are all there, once.
func TestWindowAllowsCrash(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := retry.Window{Period: period, Ratio: 0.1, Extra: 2}
	at := start
	for range 60 {
		w.Earn(at)
		at = at.Add(period / 70)
	}
	qt.Assert(t, spendAll(&w, at), qt.Equals, 8)
	qt.Assert(t, spendAll(&w, at.Add(period/2)), qt.Equals, 0)
	qt.Assert(t, spendAll(&w, at.Add(3*period)), qt.Equals, 2)
}

func TestWindowWithoutRetries(t *testing.T) {
	var w retry.Window
	w.Earn(time.Now())
	qt.Assert(t, w.Spend(time.Now()), qt.IsFalse)
}

// TestWindowBoundsEachPeriod has requests and attempts to retry at random times, and checks that
// no period has more retries than its requests and those of the period before allow.
func TestWindowBoundsEachPeriod(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := retry.Window{Period: period, Ratio: 0.2, Extra: 3}
	var requests, retries []time.Time
	for at := start; at.Before(start.Add(6 * period)); at = at.Add(time.Duration(random.Int64N(int64(300 * time.Millisecond)))) {
		if at.Sub(start)/(period/2)%3 == 0 {
			w.Earn(at)
			requests = append(requests, at)
		}
		for range random.IntN(3) {
			if w.Spend(at) {
				retries = append(retries, at)
			}
		}
	}
	in := func(times []time.Time, from, to time.Time) int {
		n := 0
		for _, at := range times {
			if !at.Before(from) && at.Before(to) {
				n++
			}
		}
		return n
	}
	qt.Assert(t, len(retries) > 20, qt.IsTrue)
	for _, first := range retries {
		n := in(retries, first, first.Add(period))
		allowed := 0.2*float64(in(requests, first.Add(-period), first.Add(period))) + 3
		qt.Check(t, float64(n) <= allowed, qt.IsTrue, qt.Commentf("%d retries within %s of %s", n, period, first))
	}
}
