package lease

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"acaciapath.example/core/epoch"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/platformapi"
	"acaciapath.example/core/sleep"
)

// callTimeoutDivisor divides the duration of a lease to get the timeout of one
// call to the table.
const callTimeoutDivisor = 4

// Keeper acquires and renews one lease against the table. It is safe for concurrent
// use.
type Keeper struct {
	table table.Service
	clock Clock
	terms Terms

	grant atomic.Pointer[Grant]
	// epochs is set if the table has epochs. It must not change once Run is called.
	epochs *epoch.Tracker

	mu    sync.Mutex // guards the fields below; not held during calls
	lease *Lease
	// lastUncertain is when a send last failed with an unknown outcome, or nil.
	lastUncertain *Instant
}

// NewKeeper returns a Keeper for the lease with the given terms, which reads the
// row every pollInterval while another process holds the lease. It does nothing
// until Run is called.
func NewKeeper(service table.Service, terms Terms, pollInterval time.Duration, clock Clock) *Keeper {
	return &Keeper{table: service, clock: clock, terms: terms, lease: New(terms, pollInterval)}
}

// FollowEpochs makes the keeper follow the epochs of the table. It must be called before
// Run.
func (k *Keeper) FollowEpochs(epochs *epoch.Tracker) { k.epochs = epochs }

// setEpochLocked passes the latest epoch to the lease. The caller holds k.mu.
func (k *Keeper) setEpochLocked() {
	if k.epochs != nil {
		k.lease.SetEpoch(k.epochs.Current(), k.clock())
	}
}

// SetPollInterval sets how often the row is read while another process holds the
// lease. interval > 0.
func (k *Keeper) SetPollInterval(interval time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease.SetPollInterval(interval)
}

// SetCandidates sets the number of processes that poll the row. The holder writes
// it into the row, from which the other processes learn it.
func (k *Keeper) SetCandidates(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease.SetCandidates(n)
}

// Name returns the name of the lease.
func (k *Keeper) Name() string { return k.terms.Name }

// Row returns the last known lease row.
func (k *Keeper) Row() Row {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Row()
}

// Held returns the grant if the process may send now, or nil.
func (k *Keeper) Held() *Grant {
	if grant := k.grant.Load(); grant.MaySend(k.clock()) {
		return grant
	}
	return nil
}

// ExclusiveFence returns the fence of the lease if this process held it last and no other one
// can have acquired it since, otherwise 0.
func (k *Keeper) ExclusiveFence() uint64 {
	if grant := k.grant.Load(); grant.IsExclusive(k.clock(), k.terms.Margin()) {
		return grant.Fence
	}
	return 0
}

// Do calls send with the grant and with a context that ends when the grant does,
// and returns the error of send. If the process may not send, it returns ErrNotHeld
// without calling send. After a step that can take long, send must check
// Grant.MaySend again.
func (k *Keeper) Do(ctx context.Context, send func(context.Context, *Grant) error) error {
	grant := k.grant.Load()
	remaining := grant.Remaining(k.clock())
	if remaining <= 0 {
		return ErrNotHeld
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	err := send(ctx, grant)
	if err != nil && !platformapi.HadNoEffect(err) {
		k.mu.Lock()
		defer k.mu.Unlock()
		now := k.clock()
		k.lastUncertain = &now
	}
	return err
}

// Run acquires and renews the lease until ctx ends. It calls report for each
// failed call to the table, except for conflicts, which only mean that another
// process wrote the row first.
func (k *Keeper) Run(ctx context.Context, report func(error)) {
	for ctx.Err() == nil {
		err := k.runNext(ctx)
		if err != nil && platformapi.AsConflict(err) == nil && ctx.Err() == nil {
			report(err)
		}
		k.waitForNext(ctx)
	}
}

// Release releases the lease. It must be called only after Run has returned and
// all calls of Do have ended. If one of them ended with an unknown outcome, Release
// first waits for the margin, because the send may still be in flight. If ctx ends
// before the lease is released, it returns the error of ctx, and the lease expires
// by itself.
func (k *Keeper) Release(ctx context.Context) error {
	k.grant.Store(nil)
	k.mu.Lock()
	k.lease.Release()
	lastUncertain := k.lastUncertain
	k.mu.Unlock()
	if lastUncertain != nil {
		sleep.For(ctx, k.terms.Margin()-k.clock().minElapsed(*lastUncertain))
	}
	for ctx.Err() == nil {
		if k.released() {
			return nil
		}
		_ = k.runNext(ctx)
		if k.released() {
			return nil
		}
		k.waitForNext(ctx)
	}
	return ctx.Err()
}

func (k *Keeper) released() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Released()
}

// waitForNext waits until the lease has its next request.
func (k *Keeper) waitForNext(ctx context.Context) {
	k.mu.Lock()
	wait := k.lease.NextDelay(k.clock())
	k.mu.Unlock()
	sleep.For(ctx, wait)
}

// runNext makes the next request, if there is one, and processes its result. A
// conflict, which means that another process wrote the row first, is no error.
func (k *Keeper) runNext(ctx context.Context) error {
	k.mu.Lock()
	k.setEpochLocked()
	request := k.lease.Next(k.clock())
	k.mu.Unlock()
	if request.Kind == Wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, k.terms.Duration/callTimeoutDivisor)
	defer cancel()
	rows, err := k.call(ctx, request)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.setEpochLocked()
	switch {
	case err != nil:
		k.lease.HandleFailure(request, err)
	case request.Kind == Read:
		err = k.lease.HandleRead(rows, k.clock())
	default:
		k.lease.HandleCommit(request, rows, k.clock())
	}
	k.grant.Store(k.lease.Grant())
	if platformapi.AsConflict(err) != nil {
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
