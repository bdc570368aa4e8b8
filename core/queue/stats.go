package queue

import (
	"math"
	"time"
)

// Time constants of the exponential decay of request counts.
const (
	// statsTimeConstant is that of requestStats.requests and late. It spans a
	// burst of a minute, so that requests that became late early in the
	// burst still count at its end.
	statsTimeConstant = time.Minute
	// recentTimeConstant is that of the present demand.
	recentTimeConstant = 5 * time.Second
	// baselineTimeConstant is that of the usual demand.
	baselineTimeConstant = 3 * time.Minute
)

// lateShareStep is the resolution at which client accounts are compared by
// their shares of late requests. It is the tenth by which the worst-served
// client account may be behind its class. Within one step client accounts share
// by tokens.
const lateShareStep = 0.1

// priorRequests is the number of on-time requests that every client account is
// assumed to have had, so that its first late request does not put it first.
// It is not used at present.
const priorRequests = 1

// minLateRequests is the decayed number of late requests below which the
// statistics of an idle client account may be dropped.
const minLateRequests = 0.5

// requestStats counts the requests of a client account in one service class.
// Requests beyond its usual demand are not counted, so that a client account
// cannot take capacity from others by sending more.
type requestStats struct {
	// requests and late are the decayed counts of the requests, and of those
	// that became late, at the time at. They do not include requests beyond the
	// usual demand. late ≥ 0.
	requests, late float64
	// recent and baseline are the counts of all requests with a short and a
	// long time constant, including those beyond the usual demand.
	recent, baseline decayingCount
	at               time.Time
}

// countRequest counts a request.
func (r *requestStats) countRequest(now time.Time) {
	r.decayTo(now)
	r.requests++
}

// countLate counts a request that became late.
func (r *requestStats) countLate(now time.Time) {
	r.decayTo(now)
	r.late++
}

// decayTo applies the decay since the last call to the counts.
func (r *requestStats) decayTo(now time.Time) {
	factor := decay(now.Sub(r.at), statsTimeConstant)
	r.requests *= factor
	r.late *= factor
	r.at = now
}

// lateShare returns the share of requests that became late, in units of
// lateShareStep. It changes only when a request is counted.
func (r *requestStats) lateShare() int {
	if r.late == 0 {
		return 0
	}
	return int(r.late / r.requests / lateShareStep)
}

// isNegligible reports whether the decayed number of late requests is below
// minLateRequests.
func (r *requestStats) isNegligible(now time.Time) bool {
	return r.late*decay(now.Sub(r.at), statsTimeConstant) < minLateRequests
}

// decayingCount counts requests with exponential decay.
type decayingCount struct {
	// value is the count at the time at.
	value float64
	at    time.Time
}

// add adds a request with the given weight.
func (a *decayingCount) add(weight float64, timeConstant time.Duration, now time.Time) {
	a.value = a.get(timeConstant, now) + weight
	a.at = now
}

// get returns the decayed count at the given time.
func (a *decayingCount) get(timeConstant time.Duration, now time.Time) float64 {
	return a.value * decay(now.Sub(a.at), timeConstant)
}

// demand counts the requests of all client accounts of a class.
type demand struct {
	recent, baseline decayingCount
}

// Parameters of the detection of a surge, which is a sudden increase of the
// requests of one client account.
const (
	// surgeFactor is how much more than those of all others the requests of a
	// client account may grow before further ones count as a surge. A client
	// account with a surge sends 7 to 12 times its usual number.
	surgeFactor = 4
	// minSurgeRequests is the decayed number of recent requests below which
	// there is no surge.
	minSurgeRequests = 20
	// surgeBaselineWeight is the weight of a request of a surge in the
	// baseline. It lets a client account grow permanently, but not within
	// minutes.
	surgeBaselineWeight = 0.05
)

// count counts a request of a client account, in the counts of the class and in
// r, and reports whether it is part of
// a surge: whether the requests of the client account have grown by more than
// surgeFactor times as much as those of all others.
func (d *demand) count(r *requestStats, now time.Time) bool {
	surging := d.surging(r, now)
	weight := 1.0
	if surging {
		weight = surgeBaselineWeight
	}
	d.recent.add(1, recentTimeConstant, now)
	r.recent.add(1, recentTimeConstant, now)
	d.baseline.add(weight, baselineTimeConstant, now)
	r.baseline.add(weight, baselineTimeConstant, now)
	return surging
}

// surging reports whether the client account sends more requests than usual.
func (d *demand) surging(r *requestStats, now time.Time) bool {
	recent, baseline := r.recent.get(recentTimeConstant, now), r.baseline.get(baselineTimeConstant, now)
	othersRecent, othersBaseline := d.recent.get(recentTimeConstant, now)-recent, d.baseline.get(baselineTimeConstant, now)-baseline
	if recent < minSurgeRequests || othersRecent < 1 {
		return false
	}
	return recent*othersBaseline > surgeFactor*othersRecent*baseline
}

// decay returns the factor by which a count decays in the elapsed time.
func decay(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
}
