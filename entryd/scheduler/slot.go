package scheduler

import (
	"context"
	"time"

	"acaciapath.example/core/dispatch"
	"acaciapath.example/core/replica"
)

// Acquirer hands out slots on backend servers. It is implemented by Scheduler,
// and by a client of another daemon's scheduler.
type Acquirer interface {
	// Acquire waits until the request is started on a backend server and
	// returns its slot, which must be released with Finish. It returns a
	// *refusal.Refusal if the request is refused, or the cause of ctx if ctx is
	// done.
	Acquire(ctx context.Context, request dispatch.Request) (*Slot, error)
}

// Assignment describes the backend server on which a request was started.
type Assignment struct {
	// Server is the backend server.
	Server replica.Spec
	// Waited is the time that the request spent in the queue before its latest
	// start.
	Waited time.Duration
	// Attempts is the number of backend servers on which the request has been
	// started so far.
	Attempts int
}

// Holder implements the operations of a Slot.
type Holder interface {
	// Retry releases the slot after the backend server failed the request, and
	// waits for another slot. It returns nil and no error if the request must
	// not be retried; the slot is then still held. After an error the slot has
	// been released.
	Retry(ctx context.Context) (*Assignment, error)
	// Resume is like Retry for a request whose answer has partly been sent to
	// the caller. Its wait limit starts anew.
	Resume(ctx context.Context) (*Assignment, error)
	// Preempted returns a channel that receives a value when a more urgent
	// request needs the slot. The request then stops on its backend server and
	// calls Yield, or continues if it cannot be resumed.
	Preempted() <-chan struct{}
	// Yield releases the slot for a more urgent request and waits for another
	// slot, like Resume.
	Yield(ctx context.Context) (*Assignment, error)
	// Finish releases the slot. Further calls have no effect.
	Finish(result dispatch.Result)
}

// Slot is the capacity for one request on a backend server, held by that
// request.
type Slot struct {
	// Assignment describes the backend server.
	Assignment

	holder Holder
}

// NewSlot returns a slot whose operations are implemented by holder.
func NewSlot(holder Holder, assignment *Assignment) *Slot {
	return &Slot{Assignment: *assignment, holder: holder}
}

// Retry releases the slot after the backend server failed the request, and
// waits for another slot. It returns false if the request must not be retried;
// the slot is then still held. It returns the same errors as Acquirer.Acquire,
// after which the slot has been released.
func (p *Slot) Retry(ctx context.Context) (bool, error) {
	return p.update(p.holder.Retry(ctx))
}

// Resume is like Retry for a request whose answer has partly been sent to the
// caller. Its wait limit starts anew.
func (p *Slot) Resume(ctx context.Context) (bool, error) {
	return p.update(p.holder.Resume(ctx))
}

// Preempted returns a channel that receives a value when a more urgent request
// needs the slot; see Holder.
func (p *Slot) Preempted() <-chan struct{} { return p.holder.Preempted() }

// Yield releases the slot for a more urgent request and waits for another slot.
// It returns the same results as Resume.
func (p *Slot) Yield(ctx context.Context) (bool, error) {
	return p.update(p.holder.Yield(ctx))
}

func (p *Slot) update(assignment *Assignment, err error) (bool, error) {
	if err != nil || assignment == nil {
		return false, err
	}
	p.Assignment = *assignment
	return true, nil
}

// Finish releases the slot. Further calls have no effect.
func (p *Slot) Finish(result dispatch.Result) { p.holder.Finish(result) }
