package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// defaultBurst is the number of retries that an unused budget accumulates.
	defaultBurst = 10
	// defaultPerSecond is the number of retries that are added per second. It
	// lets requests that wait for the budget be retried even if no new requests
	// arrive.
	defaultPerSecond = 10
	// percentBase converts a percentage to a ratio.
	percentBase = 100
)

// Budget limits retries to a percentage of the requests plus a small constant
// rate, so that a failing backend server or failure domain cannot multiply the
// load. It is a token bucket. It is not safe for concurrent use.
type Budget struct {
	// Percent is the number of retries that a hundred requests add.
	// 0 ≤ Percent ≤ 100; with 0 no retries are allowed.
	Percent int
	// Burst is the largest number of retries that an unused budget accumulates.
	// Burst ≥ 0.
	Burst float64
	// PerSecond is the number of retries that are added per second.
	// PerSecond ≥ 0.
	PerSecond float64
	// Available is the number of retries available at present.
	// 0 ≤ Available ≤ Burst.
	Available float64
	// Updated is the time up to which PerSecond has been added. It never moves
	// back.
	Updated time.Time
}

// NewBudget returns a full budget that allows the given percentage of retries,
// or an empty one that allows none if percent is 0 or less.
func NewBudget(percent int, now time.Time) Budget {
	if percent <= 0 {
		return Budget{Updated: now}
	}
	return Budget{Percent: percent, Burst: defaultBurst, PerSecond: defaultPerSecond, Available: defaultBurst, Updated: now}
}

// Earn adds the retries that one request earns. It is called once per request,
// on its first attempt.
func (b *Budget) Earn() { b.add(float64(b.Percent) / percentBase) }

// Spend takes one retry from the budget. It returns false if none is available.
func (b *Budget) Spend(now time.Time) bool {
	if elapsed := now.Sub(b.Updated); elapsed > 0 && b.Percent > 0 {
		b.add(elapsed.Seconds() * b.PerSecond)
		b.Updated = now
	}
	if b.Available < 1 {
		return false
	}
	b.Available--
	return true
}

func (b *Budget) add(retries float64) { b.Available = min(b.Available+retries, b.Burst) }

const (
	// BaseBackoff is the longest backoff before the first retry.
	BaseBackoff = 20 * time.Millisecond
	// MaxBackoff is the longest backoff before any retry.
	MaxBackoff = 2 * time.Second
)

// Backoff returns how long to wait before a retry, by exponential backoff with
// full jitter: a random time up to a limit, which is BaseBackoff for the first
// retry and doubles with every further attempt, up to MaxBackoff. The first
// retry has attempt 1.
func Backoff(attempt int, random *rand.Rand) time.Duration {
	limit := MaxBackoff
	if shift := attempt - 1; shift < 7 {
		limit = min(BaseBackoff<<max(shift, 0), MaxBackoff)
	}
	return time.Duration(random.Int64N(int64(limit) + 1))
}
