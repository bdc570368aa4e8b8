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
	// perSecond is the number of retries that a second earns, so that what
	// waits to be sent again is sent although no new request arrives.
	perSecond = 10
	// percent is the unit of a budget's rate.
	percent = 100
)

// Budget bounds retries to a share of the requests and a small rate, so that a
// failing backend server or failure domain cannot multiply the load. It is not
// safe for concurrent use.
type Budget struct {
	// Percent is the number of retries that a hundred requests earn.
	// 0 ≤ Percent ≤ 100; with 0 there are no retries.
	Percent int
	// Burst is the number of retries that an unused budget saves up. Burst ≥ 0.
	Burst float64
	// PerSecond is the number of retries that a second earns. PerSecond ≥ 0.
	PerSecond float64
	// Available is the number of retries at hand. 0 ≤ Available ≤ Burst.
	Available float64
	// Updated is the time up to which seconds have earned. It never moves back.
	Updated time.Time
}

// NewBudget returns a budget that has saved up its burst, or an empty one if
// share, in percent, is 0.
func NewBudget(share int, now time.Time) Budget {
	if share <= 0 {
		return Budget{Updated: now}
	}
	return Budget{Percent: share, Burst: burst, PerSecond: perSecond, Available: burst, Updated: now}
}

// Earn accounts for one first attempt.
func (b *Budget) Earn() { b.save(float64(b.Percent) / percent) }

// Spend takes one retry, and reports false if there is none at hand.
func (b *Budget) Spend(now time.Time) bool {
	if elapsed := now.Sub(b.Updated); elapsed > 0 && b.Percent > 0 {
		b.save(elapsed.Seconds() * b.PerSecond)
		b.Updated = now
	}
	if b.Available < 1 {
		return false
	}
	b.Available--
	return true
}

func (b *Budget) save(retries float64) { b.Available = min(b.Available+retries, b.Burst) }

// Bounds of the wait before a retry.
const (
	// BaseBackoff is the longest wait before the first retry.
	BaseBackoff = 20 * time.Millisecond
	// MaxBackoff is the longest wait before any retry.
	MaxBackoff = 2 * time.Second
)

// Backoff returns how long to wait before a retry, by exponential backoff with
// full jitter: a random time up to BaseWait doubled with every attempt, at most
// MaxWait. The first retry has attempt 1.
func Backoff(attempt int, random *rand.Rand) time.Duration {
	limit := MaxBackoff
	if shift := attempt - 1; shift < 7 {
		limit = min(BaseBackoff<<max(shift, 0), MaxBackoff)
	}
	return time.Duration(random.Int64N(int64(limit) + 1))
}
