package patience

import "time"

// Request describes a request that was sent to a model engine.
type Request struct {
	// Repeatable states that another engine may run it again.
	Repeatable bool
	// RunsLeft is the number of further engines on which it may run.
	RunsLeft int
	// FirstEventTarget is the latency objective of the first event.
	FirstEventTarget time.Duration
	// TimeLeft is the time until its deadline.
	TimeLeft time.Duration
}

const (
	// targetFactor is the wait for the first event, as a multiple of its objective. Up to the
	// objective, the engine that has begun to read the prompt is most likely the first to
	// answer. After twice the objective the answer is late, and callers disconnect after four
	// times the objective at the earliest, so that another engine has as much time again.
	targetFactor = 2
	// minWait is the least wait. It covers the transfer of a long prompt between regions.
	minWait = 500 * time.Millisecond
)

// Wait returns how long the request waits for its first event, or false if it waits at this
// engine until its deadline.
func Wait(r Request) (time.Duration, bool) {
	if !r.Repeatable || r.RunsLeft <= 0 || r.FirstEventTarget <= 0 {
		return 0, false
	}
	wait := max(targetFactor*r.FirstEventTarget, minWait)
	return wait, wait+r.FirstEventTarget < r.TimeLeft
}
