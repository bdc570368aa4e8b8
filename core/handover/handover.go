package handover

import "time"

// Run is a request that runs on an engine which is draining.
type Run struct {
	// ID is the id of the request.
	ID string
	// ReceivedEvents is the number of events of the response that have arrived.
	// ReceivedEvents ≥ 1.
	ReceivedEvents int
	// ExpectedEvents is the expected number of events of the whole response, or 0
	// if it is not known.
	ExpectedEvents int
	// EventInterval is the mean time between events, or 0 if it is not known.
	EventInterval time.Duration
	// KVTokens is the number of tokens of the run in the KV cache of its engine.
	KVTokens int
}

// Plan states whether and when a run is moved to another engine.
type Plan struct {
	// Move reports whether the run's KV cache is to be copied to another engine.
	// If not, the run stays, and the other fields are zero.
	Move bool
	// Start is when the first attempt to copy starts.
	Start time.Time
	// LatestStart is the latest time at which an attempt to copy may start.
	LatestStart time.Time
}

const (
	// switchoverLead is how long before its engine stops the first copy of a run must
	// be complete. It covers the copy of the last part and its time in the queue, some
	// 100 ms each.
	switchoverLead = 300 * time.Millisecond
	// remainingTimeFactor is a safety factor: the rest of a response may take that much
	// longer than its event interval so far suggests.
	remainingTimeFactor = 1.3
	// defaultEventInterval is the event interval assumed while that of the run is not
	// known. It is that of an event of three tokens in a full batch.
	defaultEventInterval = 60 * time.Millisecond
	// copySetupTime is the fixed time that a copy takes in addition to the transfer of its
	// bytes.
	copySetupTime = 10 * time.Millisecond
	// crossDomainFactor is how much longer a copy takes on average than one within the
	// failure domain. A copy to another failure domain takes twice as long, and about
	// half of the copies go there.
	crossDomainFactor = 1.5
)

// Decide returns the plan for a run whose engine stops at stopsAt. A run stays if it
// is expected to end before that, or if the copy of its KV cache could not complete in
// time once its turn on the link comes.
func Decide(run Run, link Link, stopsAt, now time.Time) Plan {
	left := stopsAt.Sub(now)
	if run.ExpectedEvents > 0 {
		interval := run.EventInterval
		if interval == 0 {
			interval = defaultEventInterval
		}
		remaining := float64(max(run.ExpectedEvents-run.ReceivedEvents, 0)) * float64(interval) * remainingTimeFactor
		if time.Duration(remaining) < left {
			return Plan{}
		}
	}
	latestDelay := left - link.copyTime(run.KVTokens) - switchoverLead
	startDelay := link.startDelay(run)
	if latestDelay < startDelay {
		return Plan{}
	}
	return Plan{Move: true, Start: now.Add(startDelay), LatestStart: now.Add(latestDelay)}
}

// Link describes the network link over which an engine copies the KV caches of its
// runs, one after the other.
type Link struct {
	// KVBytesPerToken is the KV cache size of one token, in bytes.
	KVBytesPerToken float64
	// BytesPerSecond is the bandwidth of the link, or 0 if it is not known.
	BytesPerSecond float64
	// Runs are the runs that the engine reports, from all entry daemons.
	Runs []ReportedRun
}

// ReportedRun is a run that an engine reports to have in its KV cache.
type ReportedRun struct {
	// ID is the id of the request.
	ID string
	// KVTokens is the number of its tokens in the KV cache.
	KVTokens int
}

// copyTime returns how long the copy of the given number of tokens takes.
func (l Link) copyTime(tokens int) time.Duration {
	if l.BytesPerSecond <= 0 {
		return copySetupTime
	}
	return copySetupTime + time.Duration(float64(tokens)*l.KVBytesPerToken*crossDomainFactor/l.BytesPerSecond*float64(time.Second))
}

// startDelay returns the time until the link is free for a run, that is, until all
// smaller runs are copied. This order copies the most runs in the time left, and all entry
// daemons compute the same order without exchanging messages.
func (l Link) startDelay(run Run) time.Duration {
	delay := time.Duration(0)
	for _, other := range l.Runs {
		if other.ID == run.ID || other.KVTokens > run.KVTokens || other.KVTokens == run.KVTokens && other.ID > run.ID {
			continue
		}
		delay += l.copyTime(other.KVTokens)
	}
	return delay
}

// NextAttempt returns when to try again to copy a run that no engine had room for,
// and false if no time is left for another attempt. Engines get room as other runs
// end.
func (p Plan) NextAttempt(now time.Time) (time.Time, bool) {
	next := now.Add(retryInterval)
	return next, !next.After(p.LatestStart)
}

// retryInterval is the time between two attempts. Within it, some runs of an engine
// usually end.
const retryInterval = 150 * time.Millisecond
