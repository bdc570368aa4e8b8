package platform

import (
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/time/rate"
)

// errRateLimit is returned for a call that exceeds the rate limit of its
// interface.
var errRateLimit = merry.Sentinel("platform: too many calls a second")

// burstDivisor is the ratio of the calls allowed per second to the largest burst.
const burstDivisor = 10

// rateLimits limits the rate of calls to the table service and the object store
// together.
type rateLimits struct {
	writes *rate.Limiter
	reads  *rate.Limiter
}

func newRateLimits(writesPerSecond, readsPerSecond int) rateLimits {
	return rateLimits{writes: newLimiter(writesPerSecond), reads: newLimiter(readsPerSecond)}
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(perSecond/burstDivisor, 1))
}

// allow reports whether a call at now is within the rate limit, and counts it if
// so.
func (l rateLimits) allow(m methodInfo, now time.Time) bool {
	if m.iface != Table && m.iface != Objects {
		return true
	}
	if m.write {
		return l.writes.AllowN(now, 1)
	}
	return l.reads.AllowN(now, 1)
}
