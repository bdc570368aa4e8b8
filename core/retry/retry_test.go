package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"acaciapath.example/core/retry"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestBudget checks, over random times that may also go back, that retries
// never exceed their percentage of the requests and their rate per second by
// more than the burst.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(1, 100).Draw(t, "percent")
		b := retry.NewBudget(percent, start)
		requests, retries, now, latest := 0, 0, start, start
		for range 1000 {
			now = now.Add(time.Duration(rapid.IntRange(-10, 20).Draw(t, "ms")) * time.Millisecond)
			if now.After(latest) {
				latest = now
			}
			if rapid.Bool().Draw(t, "retry") {
				if b.Spend(now) {
					retries++
				}
			} else {
				b.Earn()
				requests++
			}
			allowed := float64(requests*percent)/100 + 10*latest.Sub(start).Seconds() + 10
			if float64(retries) > allowed+1e-6 {
				t.Fatalf("%d retries for %d requests at %d%%, %.2f allowed", retries, requests, percent, allowed)
			}
		}
	})
}

func TestZeroPercentAllowsNoRetries(t *testing.T) {
	c := qt.New(t)
	b := retry.NewBudget(0, start)
	b.Earn()
	c.Assert(b.Spend(start.Add(time.Hour)), qt.IsFalse)
}

func TestBudgetRefills(t *testing.T) {
	c := qt.New(t)
	b := retry.NewBudget(10, start)
	for range 10 {
		c.Assert(b.Spend(start), qt.IsTrue)
	}
	c.Assert(b.Spend(start), qt.IsFalse)
	c.Assert(b.Spend(start.Add(100*time.Millisecond)), qt.IsTrue)
}

func TestBackoff(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for attempt := range 70 {
		limit := retry.MaxBackoff
		if attempt <= 7 {
			limit = min(retry.MaxBackoff, retry.BaseBackoff<<max(attempt-1, 0))
		}
		for range 20 {
			wait := retry.Backoff(attempt, random)
			c.Assert(wait >= 0 && wait <= limit, qt.IsTrue, qt.Commentf("attempt %d: %s", attempt, wait))
		}
	}
}
