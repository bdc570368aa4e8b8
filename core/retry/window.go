package retry

import "time"

// windowBuckets is the number of equal parts of the period of a Window in which it counts.
const windowBuckets = 10

// Window limits retries to a share of the requests of the last period plus a constant. Unlike
// a Budget, it lets all of them be made at one moment.
//
// Load: a large part of the backend servers crashes at once, so that a daemon has to send most
// of the requests that it has running to other servers within a fraction of a second, and
// hardly any before and after.
//
// The zero value allows no retries. It is not safe for concurrent use.
type Window struct {
	// Period is the period over which requests and retries are counted. Period > 0 if any
	// retries are allowed.
	Period time.Duration
	// Ratio is the number of retries that each request of the period allows. Ratio ≥ 0.
	Ratio float64
	// Extra is the number of retries that are allowed in a period without requests.
	// Extra ≥ 0.
	Extra float64

	// counts holds the counts of the part of the period that begins at newest and of those
	// before it. There is one more than the period has, so that no retry of the last period
	// is missing.
	counts [windowBuckets + 1]windowCounts
	newest time.Time
}

// windowCounts are the requests and retries of a part of a period.
type windowCounts struct{ requests, retries int }

// advance drops the counts that are older than the period.
func (w *Window) advance(now time.Time) {
	step := max(w.Period/windowBuckets, 1)
	if w.newest.IsZero() || now.Sub(w.newest) > w.Period+step {
		w.counts, w.newest = [windowBuckets + 1]windowCounts{}, now
		return
	}
	for now.Sub(w.newest) >= step {
		copy(w.counts[1:], w.counts[:windowBuckets])
		w.counts[0], w.newest = windowCounts{}, w.newest.Add(step)
	}
}

// Earn counts one request. It is called once per request, on its first attempt.
func (w *Window) Earn(now time.Time) {
	w.advance(now)
	w.counts[0].requests++
}

// Spend takes one retry. It returns false if none is allowed.
func (w *Window) Spend(now time.Time) bool {
	w.advance(now)
	requests, retries := 0, 0
	for i, c := range w.counts {
		retries += c.retries
		if i < windowBuckets {
			requests += c.requests
		}
	}
	if float64(retries)+1 > w.Ratio*float64(requests)+w.Extra {
		return false
	}
	w.counts[0].retries++
	return true
}
