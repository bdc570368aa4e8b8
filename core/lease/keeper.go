package lease

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/platform"
	"acaciapath.example/core/sleep"
)

// callPart is the share of a lease's duration, as a divisor, that bounds one
// call of the table.
const callPart = 4

// Keeper acquires and renews one lease. It is safe for concurrent use.
type Keeper struct {
	table table.Service
	clock Clock
	terms Terms

	grant atomic.Pointer[Grant]

	mu    sync.Mutex // guards the fields below; not held during calls
	lease *Lease
	// doubt is when a send last ended without a certain answer.
	doubt *Instant
}

// NewKeeper returns a keeper of the lease with the given terms. It does
// nothing until Run is called.
func NewKeeper(service table.Service, terms Terms, poll time.Duration, clock Clock) *Keeper {
	return &Keeper{table: service, clock: clock, terms: terms, lease: New(terms, poll)}
}

// SetPoll changes how often the row is read while somebody else holds it.
func (k *Keeper) SetPoll(poll time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease.SetPoll(poll)
}

// SetCandidates tells the number of processes that read the row, which the
// others learn from it.
func (k *Keeper) SetCandidates(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease.SetCandidates(n)
}

// Name returns the name of the lease.
func (k *Keeper) Name() string { return k.terms.Name }

// Row returns the lease row as it was last known.
func (k *Keeper) Row() Row {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Row()
}

// Held returns the grant if the process may send now, else nil.
func (k *Keeper) Held() *Grant {
	if grant := k.grant.Load(); grant.MaySend(k.clock()) {
		return grant
	}
	return nil
}

// Do calls send with the grant, and with a context that ends at the send
// deadline. It returns ErrNotHeld, without calling send, if the process may
// not send. Send calls Grant.MaySend again after anything that can take long.
func (k *Keeper) Do(ctx context.Context, send func(context.Context, *Grant) error) error {
	grant := k.grant.Load()
	remaining := grant.Remaining(k.clock())
	if remaining <= 0 {
		return ErrNotHeld
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	err := send(ctx, grant)
	if err != nil && !platform.HadNoEffect(err) {
		k.mu.Lock()
		defer k.mu.Unlock()
		now := k.clock()
		k.doubt = &now
	}
	return err
}

// Run acquires and renews the lease until ctx ends. Report is told of calls
// that failed, but not of conflicts, by which another process was faster.
func (k *Keeper) Run(ctx context.Context, report func(error)) {
	for ctx.Err() == nil {
		err := k.step(ctx)
		if err != nil && platform.AsConflict(err) == nil && ctx.Err() == nil {
			report(err)
		}
		k.sleep(ctx)
	}
}

// Release gives the lease back, once Run has returned and all calls of Do have
// ended. If one of them got no certain answer, it first waits out the margin,
// because the send may still be on its way. It returns the error of ctx if that
// ends first; the lease then expires by itself.
func (k *Keeper) Release(ctx context.Context) error {
	k.grant.Store(nil)
	k.mu.Lock()
	k.lease.Release()
	doubt := k.doubt
	k.mu.Unlock()
	if doubt != nil {
		sleep.For(ctx, k.terms.Margin()-k.clock().atLeast(*doubt))
	}
	for ctx.Err() == nil {
		if k.released() {
			return nil
		}
		_ = k.step(ctx)
		if k.released() {
			return nil
		}
		k.sleep(ctx)
	}
	return ctx.Err()
}

func (k *Keeper) released() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Released()
}

// sleep waits until the lease has something to ask.
func (k *Keeper) sleep(ctx context.Context) {
	k.mu.Lock()
	wait := k.lease.NextDelay(k.clock())
	k.mu.Unlock()
	sleep.For(ctx, wait)
}

// step makes the next request, if there is one, and takes in its answer. That
// somebody else was first is no error.
func (k *Keeper) step(ctx context.Context) error {
	k.mu.Lock()
	request := k.lease.Next(k.clock())
	k.mu.Unlock()
	if request.Kind == Wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, k.terms.Duration/callPart)
	defer cancel()
	rows, err := k.call(ctx, request)
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err != nil:
		k.lease.HandleFailure(request, err)
	case request.Kind == Read:
		err = k.lease.HandleRead(rows, k.clock())
	default:
		k.lease.HandleCommit(request, rows, k.clock())
	}
	k.grant.Store(k.lease.Grant())
	if platform.AsConflict(err) != nil {
		return nil
	}
	return err
}

func (k *Keeper) call(ctx context.Context, request Request) ([]*table.Row, error) {
	if request.Kind == Read {
		return k.table.Get(ctx, request.Get)
	}
	return k.table.Commit(ctx, request.Commit)
}
