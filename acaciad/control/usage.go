package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/lease"
	"acaciapath.example/core/platform"
	"acaciapath.example/core/sleep"
	"acaciapath.example/core/usage"

	"github.com/sirupsen/logrus"
)

// Times of usage windows.
const (
	// settleInterval is how often the holder looks for a window to settle.
	settleInterval = time.Second
	// retryInterval is the time between two tries to write a part.
	retryInterval = 400 * time.Millisecond
	// smallFleet is the number of daemons below which each writes two parts in a
	// window. What ran since the last part is lost if a process is killed; with
	// fewer daemons, that of a whole window could be more than a window's figures
	// may be off by.
	smallFleet = 20
	// pruneInterval is how often rows of old windows are deleted, some forty of
	// them at a time; a minute has twelve windows.
	pruneInterval = time.Minute
	// returnDelay is how long after the store has come back windows are not
	// closed, so that all daemons can write the parts that wait.
	returnDelay = 1200 * time.Millisecond
)

// Usage writes this daemon's parts of usage windows, and settles windows while
// the daemon holds the lease.
type Usage struct {
	// Meter has what ran on this daemon.
	Meter *usage.Meter
	// Writer writes the daemon's parts.
	Writer *usage.Writer
	// Reporter settles windows.
	Reporter *usage.Reporter
	// Keeper holds the lease of the duties.
	Keeper *lease.Keeper
	// LeaseDuration is the duration of the lease.
	LeaseDuration time.Duration
	// Billing has the length of windows, and the time that parts have to come in.
	Billing config.Billing
	// ReportWithin is how long after its end a window must be reported.
	ReportWithin time.Duration
	// StartHandOver has other daemons carry out what this one writes from now on.
	StartHandOver func()
	// Logger logs what was settled and what failed.
	Logger *logrus.Logger

	// random spreads the reads of the candidates for the lease.
	random *rand.Rand
	// reported are the VMs that wrote parts of the last window.
	reported []string
	// ending says that the daemon shuts down.
	ending atomic.Bool
	// failed is when the table last did not answer.
	failed atomic.Int64
}

// RunParts closes the daemon's parts at their times, and writes them, until ctx
// ends.
func (u *Usage) RunParts(ctx context.Context) {
	closed := make(chan struct{}, 1)
	var writing sync.WaitGroup
	writing.Go(func() { u.writeParts(ctx, closed) })
	for ctx.Err() == nil {
		part := u.partLength()
		edge := time.Now().Truncate(part).Add(part)
		sleep.For(ctx, time.Until(edge))
		u.close(edge.Add(-time.Nanosecond))
		select {
		case closed <- struct{}{}:
		default: // the one before is not written yet
		}
	}
	writing.Wait()
}

// writeParts writes what is closed until ctx ends. It does not delay the closing of
// further parts, however long the store is away: what ran would be counted in a
// later window.
func (u *Usage) writeParts(ctx context.Context, closed <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-closed:
		}
		for !u.flush(ctx) && ctx.Err() == nil {
			sleep.For(ctx, retryInterval)
		}
	}
}

// partLength returns the time after which a part is written.
func (u *Usage) partLength() time.Duration {
	if u.Keeper.Row().Candidates < smallFleet {
		return u.Billing.Window / 2
	}
	return u.Billing.Window
}

// BeginShutdown says that the daemon has begun to shut down: what the store does not take
// from now on is handed over to other daemons at once, since the store may be away
// for longer than the shutdown takes.
func (u *Usage) BeginShutdown() { u.ending.Store(true) }

// Finish writes what is left when the daemon shuts down, until ctx ends.
func (u *Usage) Finish(ctx context.Context) {
	u.close(time.Now())
	for !u.flush(ctx) && ctx.Err() == nil {
		sleep.For(ctx, retryInterval)
	}
}

// close takes over what ran up to now.
func (u *Usage) close(now time.Time) {
	part := u.Meter.TakePart(now, u.Billing.Window)
	part.Final = now.Add(time.Nanosecond).Equal(part.Window.Add(u.Billing.Window))
	u.Writer.Add(part)
}

// flush writes what is closed, and reports whether nothing is left.
func (u *Usage) flush(ctx context.Context) bool {
	now := time.Now()
	err := u.Writer.Flush(ctx, now, u.Billing.Window)
	if err == nil {
		return true
	}
	u.failed.Store(now.UnixNano())
	u.Logger.WithError(err).WithField("window", usage.FormatStart(usage.WindowStart(now, u.Billing.Window))).
		Warn("the part of a usage window is not written yet")
	if u.ending.Load() {
		u.StartHandOver()
	}
	return false
}

// RunSettle settles windows while the daemon holds the lease, until ctx ends.
func (u *Usage) RunSettle(ctx context.Context) {
	u.random = rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0))
	pruned := time.Now()
	for ctx.Err() == nil {
		sleep.For(ctx, settleInterval)
		if now := time.Now(); now.Sub(pruned) >= pruneInterval && u.Keeper.Held() != nil {
			pruned = now
			u.prune(ctx, now)
		}
		if n := u.Keeper.Row().Candidates; n > 0 {
			u.Keeper.SetPoll(lease.PollInterval(u.LeaseDuration, n, u.random))
		}
		for more := true; more && u.Keeper.Held() != nil; {
			more = u.settle(ctx)
		}
	}
}

// prune deletes the rows of old windows.
func (u *Usage) prune(ctx context.Context, now time.Time) {
	n, err := u.Reporter.Prune(ctx, now)
	switch {
	case err != nil:
		u.Logger.WithField("error", platform.Reason(err)).Info("rows of old usage windows are not deleted yet")
	case n > 0:
		u.Logger.WithField("windows", n).Info("rows of old usage windows deleted")
	}
}

// billing returns the time that parts have now to come in: longer just after the
// store was away, but not so long that the window is reported late.
func (u *Usage) billing(now time.Time) config.Billing {
	b := u.Billing
	if back := time.Unix(0, u.failed.Load()); now.Sub(back) < returnDelay {
		b.Grace = max(b.Grace, u.ReportWithin-settleInterval)
	}
	return b
}

// settle settles one window if one is due, and reports whether another may be.
func (u *Usage) settle(ctx context.Context) bool {
	now := time.Now()
	window, err := u.Reporter.Settle(ctx, now, u.billing(now))
	switch {
	case errors.Is(err, lease.ErrNotHeld), errors.Is(err, usage.ErrSuperseded):
		return false
	case err != nil:
		u.failed.Store(time.Now().UnixNano())
		u.Logger.WithField("error", platform.Reason(err)).Warn("a usage window is not settled yet")
		return false
	case window == nil:
		return false
	}
	requests := uint64(0)
	for _, line := range window.Lines {
		requests += line.Requests
	}
	vms := window.VMs()
	u.Keeper.SetCandidates(len(vms))
	absent := slices.DeleteFunc(u.reported, func(vm string) bool { return slices.Contains(vms, vm) })
	u.reported = vms
	u.Logger.WithFields(logrus.Fields{
		"window": usage.FormatStart(window.Start), "requests": requests, "parts": len(window.Parts),
		"vms": len(vms), "absent": absent,
		"late-ms": time.Since(window.Start.Add(u.Billing.Window)).Milliseconds(),
	}).Info("usage window reported")
	return true
}
