package chat

import (
	"time"

	"acaciapath.example/core/refusal"

	"github.com/ansel1/merry/v2"
)

// Bounds of the time between the events of a stream, beyond which its engine
// counts as frozen. They are wide, so that an engine that is only busy is not
// given up, which would add to its work.
const (
	// firstFactor bounds the time to the first event, in targets of the first
	// token.
	firstFactor = 4
	// nextFactor bounds the time to each further event, in targets between
	// tokens.
	nextFactor = 100
	// minStall is the least of both bounds.
	minStall = 5 * time.Second
)

// errStalled ends an attempt whose engine brings no event.
var errStalled = merry.Sentinel("chat: the engine stalls")

// startWatch ends the attempt with errStalled if its engine stalls. Answers that
// are not streamed bring one event at their end and are bounded by the
// request's timeout alone.
func (r *run) startWatch() {
	if !r.request.Stream {
		return
	}
	stop := r.endHop
	r.watch = time.AfterFunc(max(minStall, firstFactor*r.exchange.Class.FirstTokenTarget), func() { stop(errStalled) })
}

// resetWatch gives the engine time for its next event.
func (r *run) resetWatch() {
	if r.watch != nil {
		r.watch.Reset(max(minStall, nextFactor*r.exchange.Class.InterTokenTarget))
	}
}

// stopWatch ends the watch of an attempt.
func (r *run) stopWatch() {
	if r.watch != nil {
		r.watch.Stop()
	}
}

// stalled returns why an attempt whose engine stalls failed.
func stalled() *failure {
	refused := refusal.NewMayHaveRun(refusal.BackendTimeout, "the backend server did not go on with its answer")
	return &failure{refused: refused, again: true, isServer: true}
}
