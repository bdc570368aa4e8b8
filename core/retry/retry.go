// Package retry decides whether and when a request is sent again.
package retry

import (
	"math/rand/v2"
	"time"
)

// Bounds of a budget.
const (
	// burst is the number of retries that an unused budget saves up.
	burst = 10
	// percent is the unit of a budget's rate.
	percent = 100
)

// Budget bounds retries to a share of the requests, so that a failing backend
// server or failure domain cannot multiply the load. It is not safe for
// concurrent use.
type Budget struct {
	// Percent is the number of retries that a hundred requests earn.
	// 0 ≤ Percent ≤ 100.
	Percent int
	// Saved is the number of retries at hand, in hundredths.
	// 0 ≤ Saved ≤ 100 × burst.
	Saved int
}

// NewBudget returns a budget that has saved up its burst, or an empty one if
// percent is 0.
func NewBudget(share int) Budget {
	if share <= 0 {
		return Budget{}
	}
	return Budget{Percent: share, Saved: burst * percent}
}

// Earn accounts for one first attempt.
func (b *Budget) Earn() { b.Saved = min(b.Saved+b.Percent, burst*percent) }

// Spend takes one retry, and reports false if there is none at hand.
func (b *Budget) Spend() bool {
	if b.Saved < percent {
		return false
	}
	b.Saved -= percent
	return true
}

// Bounds of the wait before a retry.
const (
	// BaseWait is the longest wait before the first retry.
	BaseWait = 20 * time.Millisecond
	// MaxWait is the longest wait before any retry.
	MaxWait = 2 * time.Second
)

// Wait returns how long to wait before a retry, by exponential backoff with
// full jitter: a random time up to BaseWait doubled with every attempt, at most
// MaxWait. The first retry has attempt 1.
func Wait(attempt int, random *rand.Rand) time.Duration {
	limit := MaxWait
	if shift := attempt - 1; shift < 7 {
		limit = min(BaseWait<<max(shift, 0), MaxWait)
	}
	return time.Duration(random.Int64N(int64(limit) + 1))
}
