package retry_test

import (
	"math/rand/v2"
	"testing"

	"acaciapath.example/core/retry"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestBudget checks that retries never exceed their share of the requests by
// more than the burst.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		b := retry.NewBudget(percent)
		requests, retries := 0, 0
		for range 1000 {
			if rapid.Bool().Draw(t, "retry") {
				if b.Spend() {
					retries++
				}
			} else {
				b.Earn()
				requests++
			}
			if retries > requests*percent/100+10 {
				t.Fatalf("%d retries for %d requests at %d%%", retries, requests, percent)
			}
		}
	})
}

func TestNoBudget(t *testing.T) {
	c := qt.New(t)
	b := retry.NewBudget(0)
	b.Earn()
	c.Assert(b.Spend(), qt.IsFalse)
}

func TestWait(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for attempt := range 70 {
		limit := retry.MaxWait
		if attempt <= 7 {
			limit = min(retry.MaxWait, retry.BaseWait<<max(attempt-1, 0))
		}
		for range 20 {
			wait := retry.Wait(attempt, random)
			c.Assert(wait >= 0 && wait <= limit, qt.IsTrue, qt.Commentf("attempt %d: %s", attempt, wait))
		}
	}
}
