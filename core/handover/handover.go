// Package handover decides what becomes of a run on a model engine that is about
// to be taken away. It answers the load in which a failure domain loses its cheap
// engines at some seconds' notice while long answers run on them: an answer that
// does not end in time is continued on another engine from a copy of its memory,
// instead of being cut off.
//
// The copying of memory between engines while a request runs on follows Sun et
// al., "Llumnix: Dynamic Scheduling for Large Language Model Serving" (OSDI 2024).
// Functions take the present time as an argument and perform no I/O.
package handover

import "time"

// Run is an answer that runs on an engine which leaves.
type Run struct {
	// Events is the number of events that have arrived. Events ≥ 1.
	Events int
	// Expected is the number of events that the whole answer is expected to
	// have, or 0 if it is not known.
	Expected int
	// Pace is the mean time between events, or 0 if it is not known.
	Pace time.Duration
	// Bytes is the memory of the run on its engine.
	Bytes float64
}

// Plan is what is to be done with a run.
type Plan struct {
	// Move says that its memory is to be copied to another engine.
	Move bool
	// Start is when copying begins.
	Start time.Time
	// Until is when the last try to copy begins.
	Until time.Time
}

const (
	// switchLead is how long before its engine leaves a run must be on its way:
	// the last part of the copy and its queue, some 100 ms each.
	switchLead = 300 * time.Millisecond
	// paceMargin is the factor by which the rest of an answer may take longer
	// than at its pace so far.
	paceMargin = 1.3
	// setUp is the time of a copy beside that of its bytes.
	setUp = 50 * time.Millisecond
)

// Decide returns what is to be done with a run whose engine leaves at a time.
// Bandwidth is that of the copy in bytes a second, or 0 if it is not known. A run
// that is expected to end before its engine leaves stays, and so does one whose
// memory cannot be copied in time. The others begin after the time that their copy
// takes: copies queue on the engine's link, where a small one that comes first
// delays the others least.
func Decide(run Run, leavesAt time.Time, bandwidth float64, now time.Time) Plan {
	left := leavesAt.Sub(now)
	if run.Expected > 0 && run.Pace > 0 {
		rest := float64(max(run.Expected-run.Events, 0)) * float64(run.Pace) * paceMargin
		if time.Duration(rest) < left {
			return Plan{}
		}
	}
	copying := setUp
	if bandwidth > 0 {
		copying += time.Duration(run.Bytes / bandwidth * float64(time.Second))
	}
	if copying >= left {
		return Plan{}
	}
	until := max(0, left-copying-switchLead)
	return Plan{Move: true, Start: now.Add(min(copying, until)), Until: now.Add(until)}
}

// Retry returns when a run is tried again that no engine had room for, and false
// if there is no time left. Room comes free as other runs end.
func (p Plan) Retry(now time.Time) (time.Time, bool) {
	next := now.Add(retryPause)
	return next, !next.After(p.Until)
}

// retryPause is the time between two tries: some runs of an engine end in it.
const retryPause = 150 * time.Millisecond
