package platform

import (
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/time/rate"
)

// errRate is the cause of an unavailable interface that is over its rate.
var errRate = merry.Sentinel("platform: too many calls a second")

// burstPart is the part of a second's calls that may come at once.
const burstPart = 10

// limits bounds the rate of the table service and the object store.
type limits struct {
	writes *rate.Limiter
	reads  *rate.Limiter
}

func newLimits(writesPerSecond, readsPerSecond int) limits {
	return limits{writes: newLimiter(writesPerSecond), reads: newLimiter(readsPerSecond)}
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(perSecond/burstPart, 1))
}

// allow reports whether a call is within the rate at now, and counts it.
func (l limits) allow(e endpoint, now time.Time) bool {
	if e.iface != Table && e.iface != Objects {
		return true
	}
	if e.write {
		return l.writes.AllowN(now, 1)
	}
	return l.reads.AllowN(now, 1)
}
