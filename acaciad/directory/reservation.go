package directory

import (
	"context"
	"time"

	"acaciapath.example/core/order"
	"acaciapath.example/core/placement"
	"acaciapath.example/core/replica"
)

// Outcome is how a request ended on a backend server.
type Outcome int

// Outcomes of requests.
const (
	// Succeeded means that the answer was complete.
	Succeeded Outcome = iota
	// Failed means that the backend server could not be reached, failed the request or
	// broke off the answer.
	Failed
	// Rejected means that the backend server did not accept the request.
	Rejected
	// Misdirected means that a different server answered at the address.
	Misdirected
	// Neutral means that the outcome says nothing about the backend server, for example
	// because the caller disconnected.
	Neutral
)

// Reservation is a slot for one request on a backend server. It must be released with
// Finish.
type Reservation struct {
	// Spec describes the backend server.
	Spec replica.Spec
	// Running and UnreadTokens are the requests and the unread prompt tokens that
	// this daemon had there before the reservation.
	Running, UnreadTokens int

	directory *Directory
	service   string
	// reservedAt is when the slot was reserved.
	reservedAt   time.Time
	pool         *placement.Pool
	server       *placement.Server
	requirements placement.Requirements
	drainState   *drainState
	promptRead   bool
	// heldTokens is what the request holds in the engine's memory, in tokens.
	heldTokens int
	// pressure records the time to the first event under pressureID. It is nil if the
	// request does not generate tokens or has no target for that time.
	pressure   *order.Pressure
	pressureID uint64
}

// Draining returns a context that is done once the backend server is known to drain.
func (r *Reservation) Draining() context.Context { return r.drainState.ctx }

// StopsAt returns when the backend server is expected to stop. It may be called only
// once the context that Draining returns is done.
func (r *Reservation) StopsAt() time.Time { return r.drainState.stopsAt }

// MarkPromptRead records that the backend server has read the prompt.
func (r *Reservation) MarkPromptRead(now time.Time) {
	r.directory.mu.Lock()
	defer r.directory.mu.Unlock()
	r.pool.RecordAnswer(r.server)
	r.markPromptReadLocked(now)
}

// markPromptReadLocked records once that the prompt has been read. The caller holds
// r.directory.mu.
func (r *Reservation) markPromptReadLocked(now time.Time) {
	if r.promptRead {
		return
	}
	r.promptRead = true
	r.server.RecordFirstEvent(r.requirements)
	if r.pressure != nil {
		r.pressure.End(r.pressureID, now)
	}
}

// ObserveInterval records the mean time between the events of the stream, which ended.
func (r *Reservation) ObserveInterval(interval time.Duration, now time.Time) {
	r.directory.mu.Lock()
	defer r.directory.mu.Unlock()
	r.pool.ObserveInterval(r.server, r.requirements.Lane, interval, now)
}

// SetLimit records the limit of requests a second that the backend server names in an
// answer. It reports whether the limit is new or changed.
func (r *Reservation) SetLimit(perSecond float64, now time.Time) bool {
	r.directory.mu.Lock()
	defer r.directory.mu.Unlock()
	return r.pool.SetLimit(r.server, perSecond, now)
}

// EndLimit records that the answer to the request, which was sent at sent, names no limit.
// It reports whether that ended one.
func (r *Reservation) EndLimit(sent time.Time) bool {
	r.directory.mu.Lock()
	defer r.directory.mu.Unlock()
	return r.server.EndLimit(sent)
}

// LoseContact records that the backend server could not be reached or broke off the answer.
// It returns the number of servers that may be cold because of that, and were not believed to
// be cold before.
func (r *Reservation) LoseContact(now time.Time) int {
	r.directory.mu.Lock()
	defer r.directory.mu.Unlock()
	return r.pool.LoseContact(r.server, now)
}

// Finish releases the reservation and records the outcome. It may be called without
// MarkPromptRead.
func (r *Reservation) Finish(outcome Outcome, now time.Time) {
	r.directory.mu.Lock()
	defer r.directory.mu.Unlock()
	r.markPromptReadLocked(now)
	r.server.FinishRequest(r.heldTokens, now)
	if outcome != Rejected {
		r.server.ForgetRequest(r.reservedAt)
	}
	defer r.directory.lines[r.service].wake()
	switch outcome {
	case Succeeded:
		r.pool.RecordSuccess(r.server, now)
		r.pool.ObserveRunTime(now.Sub(r.reservedAt))
	case Failed:
		r.server.RecordFailure(now)
	case Rejected:
		r.pool.RecordRoomRejection(r.server, r.reservedAt, now)
	case Misdirected:
		r.pool.SetMisdirected(r.server)
	}
}
