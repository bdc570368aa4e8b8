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
	// ID is the id of the request.
	ID string
	// ReceivedEvents is the number of events that have arrived. ReceivedEvents ≥ 1.
	ReceivedEvents int
	// ExpectedEvents is the number of events that the whole answer is expected to
	// have, or 0 if it is not known.
	ExpectedEvents int
	// EventInterval is the mean time between events, or 0 if it is not known.
	EventInterval time.Duration
	// KVTokens is the memory of the run on its engine.
	KVTokens int
}

// Plan is what is to be done with a run.
type Plan struct {
	// Move says that its memory is to be copied to another engine.
	Move bool
	// Start is when copying begins.
	Start time.Time
	// LatestStart is when the last try to copy begins.
	LatestStart time.Time
}

const (
	// switchLead is how long before its engine leaves a run must be on its way:
	// the last part of the copy and its queue, some 100 ms each.
	switchLead = 300 * time.Millisecond
	// paceMargin is the factor by which the rest of an answer may take longer
	// than at its pace so far.
	paceMargin = 1.3
	// usualPace is the pace of an answer of which too little has arrived: that
	// of an event of three tokens in a full batch.
	usualPace = 60 * time.Millisecond
	// setUp is the time of a copy beside that of its bytes.
	setUp = 10 * time.Millisecond
	// queueFactor is how much longer a copy takes than inside a failure domain:
	// twice as long to another one, where about half of them go.
	queueFactor = 1.5
)

// Decide returns what is to be done with a run whose engine leaves at a time. A
// run that is expected to end before its engine leaves stays, and so does one
// whose memory cannot be copied in time when its turn has come.
func Decide(run Run, link Link, leavesAt, now time.Time) Plan {
	left := leavesAt.Sub(now)
	if run.ExpectedEvents > 0 {
		pace := run.EventInterval
		if pace == 0 {
			pace = usualPace
		}
		rest := float64(max(run.ExpectedEvents-run.ReceivedEvents, 0)) * float64(pace) * paceMargin
		if time.Duration(rest) < left {
			return Plan{}
		}
	}
	until := left - link.copyTime(run.KVTokens) - switchLead
	turn := link.turn(run)
	if until < turn {
		return Plan{}
	}
	return Plan{Move: true, Start: now.Add(turn), LatestStart: now.Add(until)}
}

// Link is what is known of the link by which an engine copies the memory of its
// runs, one after the other.
type Link struct {
	// KVBytesPerToken is the memory of one token.
	KVBytesPerToken float64
	// BytesPerSecond is in bytes a second, or 0 if it is not known.
	BytesPerSecond float64
	// Runs are those that the engine reports, of all entry daemons.
	Runs []ReportedRun
}

// ReportedRun is a run in the memory of an engine.
type ReportedRun struct {
	// ID is the id of the request.
	ID string
	// KVTokens is its memory.
	KVTokens int
}

// copyTime returns how long a copy takes.
func (l Link) copyTime(tokens int) time.Duration {
	if l.BytesPerSecond <= 0 {
		return setUp
	}
	return setUp + time.Duration(float64(tokens)*l.KVBytesPerToken*queueFactor/l.BytesPerSecond*float64(time.Second))
}

// turn returns after which time the link is free for a run: after the copies of
// all that are smaller. So most runs are copied in the time that is left, and all
// entry daemons keep the same order without a message.
func (l Link) turn(run Run) time.Duration {
	turn := time.Duration(0)
	for _, other := range l.Runs {
		if other.ID == run.ID || other.KVTokens > run.KVTokens || other.KVTokens == run.KVTokens && other.ID > run.ID {
			continue
		}
		turn += l.copyTime(other.KVTokens)
	}
	return turn
}

// NextAttempt returns when a run is tried again that no engine had room for, and false
// if there is no time left. Room comes free as other runs end.
func (p Plan) NextAttempt(now time.Time) (time.Time, bool) {
	next := now.Add(retryPause)
	return next, !next.After(p.LatestStart)
}

// retryPause is the time between two tries: some runs of an engine end in it.
const retryPause = 150 * time.Millisecond
