package queue

import (
	"math"
	"time"
)

// Times over which requests are counted, with exponential decay.
const (
	// recordTime is that of a client account's record. It covers a burst of a
	// minute, so that what was missed early in it is made up for.
	recordTime = time.Minute
	// recentTime is that of what client accounts ask for at present.
	recentTime = 5 * time.Second
	// usualTime is that of what they usually ask for.
	usualTime = 3 * time.Minute
)

// missStep is the difference of two parts of missed requests from which they
// count as different: the tenth by which the worst-served client account may be
// behind its class. Below it client accounts share by tokens.
const missStep = 0.1

// priorRequests are requests served in time that every client account is taken
// to have had, so that its first missed request does not put it first.
const priorRequests = 1

// fadedRequests is the number of missed requests below which a record is
// forgotten.
const fadedRequests = 0.5

// record counts the requests of a client account in one service class. Requests
// beyond the usual are not counted, so that a client account cannot take from
// others by asking for more.
type record struct {
	// asked and missed are the requests, and those of them that became late,
	// with exponential decay. 0 ≤ missed.
	asked, missed float64
	// recent and usual are the requests with shorter and longer decay,
	// including those beyond the usual.
	recent, usual average
	at            time.Time
}

// ask counts a request.
func (r *record) ask(now time.Time) {
	r.fade(now)
	r.asked++
}

// miss counts a request that became late.
func (r *record) miss(now time.Time) {
	r.fade(now)
	r.missed++
}

func (r *record) fade(now time.Time) {
	factor := decay(now.Sub(r.at), recordTime)
	r.asked *= factor
	r.missed *= factor
	r.at = now
}

// misses returns the part of the requests that became late, in steps of
// missStep. It does not change while nothing is counted.
func (r *record) misses() int {
	if r.missed == 0 {
		return 0
	}
	return int(r.missed / r.asked / missStep)
}

// faded reports whether nothing is left that is worth keeping.
func (r *record) faded(now time.Time) bool {
	return r.missed*decay(now.Sub(r.at), recordTime) < fadedRequests
}

// average counts requests with exponential decay.
type average struct {
	value float64
	at    time.Time
}

// add counts a request with a weight.
func (a *average) add(weight float64, over time.Duration, now time.Time) {
	a.value = a.get(over, now) + weight
	a.at = now
}

// get returns the requests at a time.
func (a *average) get(over time.Duration, now time.Time) float64 {
	return a.value * decay(now.Sub(a.at), over)
}

// demand is what all client accounts of a class ask for.
type demand struct {
	recent, usual average
}

// Bounds of what is usual.
const (
	// unusualFactor is how much faster than those of all others the requests of
	// a client account may grow before those beyond count as unusual. A client
	// account that runs hot asks for 7 to 12 times its usual.
	unusualFactor = 4
	// unusualRequests is the number of recent requests below which none is
	// unusual.
	unusualRequests = 20
	// unusualWeight is what an unusual request adds to what is usual, so that a
	// client account can grow for good, but not within minutes.
	unusualWeight = 0.05
)

// ask counts a request of a client account, and reports whether its client
// account asks for more than usual: its requests have grown by more than
// unusualFactor times as much as those of all others.
func (d *demand) ask(r *record, now time.Time) bool {
	unusual := d.unusual(r, now)
	weight := 1.0
	if unusual {
		weight = unusualWeight
	}
	d.recent.add(1, recentTime, now)
	r.recent.add(1, recentTime, now)
	d.usual.add(weight, usualTime, now)
	r.usual.add(weight, usualTime, now)
	return unusual
}

func (d *demand) unusual(r *record, now time.Time) bool {
	recent, usual := r.recent.get(recentTime, now), r.usual.get(usualTime, now)
	othersRecent, othersUsual := d.recent.get(recentTime, now)-recent, d.usual.get(usualTime, now)-usual
	if recent < unusualRequests || othersRecent < 1 {
		return false
	}
	return recent*othersUsual > unusualFactor*othersRecent*usual
}

// decay returns what is left of a count after a time.
func decay(elapsed, over time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / over.Seconds())
}
