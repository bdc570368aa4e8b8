package chat

import (
	"time"

	"acaciapath.example/core/refusal"

	"github.com/ansel1/merry/v2"
)

// Limits on the time between the events of a stream, after which the engine
// counts as stalled. They are generous because giving up on an engine that is
// only busy would add to its work.
const (
	// firstEventFactor is the time limit for the first event, as a multiple of
	// the class's first-token target.
	firstEventFactor = 4
	// nextEventFactor is the time limit for each further event, as a multiple
	// of the class's inter-token target.
	nextEventFactor = 100
	// minStallTimeout is the lower bound of both time limits.
	minStallTimeout = 5 * time.Second
)

// errStalled is the cause that cancels an attempt whose engine sends no event
// in time.
var errStalled = merry.Sentinel("chat: engine sent no event in time")

// startStallTimer cancels the attempt with errStalled if its engine stalls. An
// answer that is not streamed arrives at once at its end and is limited by the
// request timeout alone.
func (r *run) startStallTimer() {
	if !r.request.Stream {
		return
	}
	cancel := r.cancelAttemptCause
	r.stallTimer = time.AfterFunc(max(minStallTimeout, firstEventFactor*r.exchange.Class.FirstTokenTarget), func() { cancel(errStalled) })
}

// resetStallTimer restarts the time limit for the next event.
func (r *run) resetStallTimer() {
	if r.stallTimer != nil {
		r.stallTimer.Reset(max(minStallTimeout, nextEventFactor*r.exchange.Class.InterTokenTarget))
	}
}

// stopStallTimer stops the stall timer of an attempt.
func (r *run) stopStallTimer() {
	if r.stallTimer != nil {
		r.stallTimer.Stop()
	}
}

// stallFailure returns the failure of an attempt whose engine stalled.
func stallFailure() *failure {
	refused := refusal.NewMayHaveRun(refusal.BackendTimeout, "the backend server did not go on with its answer")
	return &failure{refused: refused, retryable: true, serverFailed: true}
}
