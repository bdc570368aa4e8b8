package scheduler

import (
	"context"
	"time"

	"acaciapath.example/core/dispatch"
	"acaciapath.example/core/replica"
)

// Acquirer gives out places on backend servers: this daemon's Scheduler, or that
// of another daemon.
type Acquirer interface {
	// Acquire waits until a request is started on a backend server. It returns a
	// *refusal.Refusal if the request is refused, or the cause of ctx's end.
	// The place must be given back by Finish.
	Acquire(ctx context.Context, request dispatch.Request) (*Slot, error)
}

// Assignment says where a request was started.
type Assignment struct {
	// Server is the backend server.
	Server replica.Spec
	// Waited is how long the request waited before it was last started.
	Waited time.Duration
	// Attempts is the number of backend servers that it was started on.
	Attempts int
}

// Holder keeps a place for a request.
type Holder interface {
	// Retry gives the place back after the backend server failed the request,
	// and waits for another. It returns nil and no error if there is to be no
	// retry; the place is still to be given back then. After an error the place
	// is given back.
	Retry(ctx context.Context) (*Assignment, error)
	// Resume is Retry for a request of whose answer a part has reached the
	// caller. It may wait as long as if it had just arrived.
	Resume(ctx context.Context) (*Assignment, error)
	// Preempted takes a value when a more urgent request needs the place. The
	// request then stops on its backend server and calls Yield, or goes on if
	// it cannot be resumed.
	Preempted() <-chan struct{}
	// Yield gives the place to the more urgent request and waits for another,
	// as Resume does.
	Yield(ctx context.Context) (*Assignment, error)
	// Finish gives the place back. A second call does nothing.
	Finish(result dispatch.Result)
}

// Slot is a request's place on a backend server.
type Slot struct {
	// Assignment says where the place is.
	Assignment

	holder Holder
}

// NewSlot returns a place that a holder keeps.
func NewSlot(holder Holder, grant *Assignment) *Slot {
	return &Slot{Assignment: *grant, holder: holder}
}

// Retry gives the place back after the backend server failed the request, and
// waits for another. It reports false if there is to be no retry; the place is
// still to be given back then. It returns the same errors as Source.Enter,
// after which the place is given back.
func (p *Slot) Retry(ctx context.Context) (bool, error) {
	return p.move(p.holder.Retry(ctx))
}

// Resume is Retry for a request of whose answer a part has reached the caller.
// It may wait as long as if it had just arrived.
func (p *Slot) Resume(ctx context.Context) (bool, error) {
	return p.move(p.holder.Resume(ctx))
}

// Preempted takes a value when a more urgent request needs the place, see
// Holder.
func (p *Slot) Preempted() <-chan struct{} { return p.holder.Preempted() }

// Yield gives the place to a more urgent request and waits for another. It
// returns the same as Resume.
func (p *Slot) Yield(ctx context.Context) (bool, error) {
	return p.move(p.holder.Yield(ctx))
}

func (p *Slot) move(grant *Assignment, err error) (bool, error) {
	if err != nil || grant == nil {
		return false, err
	}
	p.Assignment = *grant
	return true, nil
}

// Finish gives the place back. A second call does nothing.
func (p *Slot) Finish(result dispatch.Result) { p.holder.Finish(result) }
