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
	"acaciapath.example/core/platformapi"
	"acaciapath.example/core/sleep"
	"acaciapath.example/core/usage"

	"github.com/sirupsen/logrus"
)

// Intervals and delays of usage windows.
const (
	// settleInterval is how often the holder of the lease checks for a window to
	// settle.
	settleInterval = time.Second
	// minFlushRetry and maxFlushRetry bound the time between two attempts to write parts,
	// which doubles with each failure. After an outage, all parts must be written within
	// storeReturnGrace.
	minFlushRetry = 400 * time.Millisecond
	maxFlushRetry = 1100 * time.Millisecond
	// smallDeployment is the number of daemons below which each writes two parts
	// per window. If a process is killed, its usage since the last part is lost.
	// With fewer daemons, the usage of one daemon in a whole window could exceed
	// the error that is allowed in the figures of a window.
	smallDeployment = 20
	// pruneInterval is how often rows of old windows are deleted, about forty at a
	// time. There are twelve windows in a minute.
	pruneInterval = time.Minute
	// storeReturnGrace is how long after the last failure of the store the grace
	// period for parts is extended, so that all daemons can write pending parts.
	storeReturnGrace = 1200 * time.Millisecond
)

// Usage writes this daemon's parts of usage windows, and settles windows while the
// daemon holds the lease. A part is the usage of one daemon in a window or in half
// of one.
type Usage struct {
	// Meter counts the usage on this daemon.
	Meter *usage.Meter
	// Writer stores the daemon's parts.
	Writer *usage.Writer
	// Reporter settles windows and reports them to the platform.
	Reporter *usage.Reporter
	// Keeper holds the lease of the control tasks.
	Keeper *lease.Keeper
	// LeaseDuration is the duration of the lease of the control tasks.
	LeaseDuration time.Duration
	// Billing has the length of windows and the grace period for parts.
	Billing config.Billing
	// ReportWithin is the time after its end within which a window must be
	// reported.
	ReportWithin time.Duration
	// Reported knows which windows were reported.
	Reported *Reported
	// StartHandOver makes the store client hand over writes to other daemons from
	// now on.
	StartHandOver func()
	// Logger logs settled windows and failures.
	Logger *logrus.Logger

	// restored receives after the store was restored from a copy.
	restored     chan struct{}
	restoredOnce sync.Once

	// random spreads the polls of the candidates for the lease over time.
	random *rand.Rand
	// lastVMs lists the VMs that wrote parts of the last settled window.
	lastVMs []string
	// shuttingDown states that the daemon is shutting down.
	shuttingDown atomic.Bool
	// lastFailure is when a call of the store last failed, in Unix nanoseconds.
	lastFailure atomic.Int64
}

// RunParts closes the daemon's part at the end of each interval and writes it, until
// ctx is done.
func (u *Usage) RunParts(ctx context.Context) {
	closed := make(chan struct{}, 1)
	var writer sync.WaitGroup
	writer.Go(func() { u.writeParts(ctx, closed) })
	for ctx.Err() == nil {
		part := u.partInterval()
		end := time.Now().Truncate(part).Add(part)
		sleep.For(ctx, time.Until(end))
		u.closePart(end.Add(-time.Nanosecond))
		select {
		case closed <- struct{}{}:
		default: // the previous part is not written yet
		}
	}
	writer.Wait()
}

// HandleRestore has the parts that the store may have lost written again, because the store
// was restored from a copy.
func (u *Usage) HandleRestore() {
	u.Reported.HandleRestore(time.Now())
	last, _ := u.Reported.Last()
	u.Writer.HandleRestore(last, u.Billing.Window)
	select {
	case u.restoredSignal() <- struct{}{}:
	default:
	}
}

// restoredSignal returns the channel that receives after a restoration.
func (u *Usage) restoredSignal() chan struct{} {
	u.restoredOnce.Do(func() { u.restored = make(chan struct{}, 1) })
	return u.restored
}

// writeParts writes closed parts until ctx is done. It runs apart from the closing
// of parts, which must not be delayed while the store is unavailable: usage would be
// counted in a later window.
func (u *Usage) writeParts(ctx context.Context, closed <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-closed:
		case <-u.restoredSignal():
		}
		u.flushAll(ctx)
	}
}

// flushAll tries to write all closed parts until that has succeeded or ctx is done.
func (u *Usage) flushAll(ctx context.Context) {
	for retry := minFlushRetry; !u.flush(ctx) && ctx.Err() == nil; retry = min(2*retry, maxFlushRetry) {
		sleep.For(ctx, retry)
	}
}

// partInterval returns the length of a part.
func (u *Usage) partInterval() time.Duration {
	if u.Keeper.Row().Candidates < smallDeployment {
		return u.Billing.Window / 2
	}
	return u.Billing.Window
}

// BeginShutdown marks the beginning of the shutdown. From now on, parts that cannot be
// written are handed over to other daemons at once, since the store may be
// unavailable for longer than the shutdown takes.
func (u *Usage) BeginShutdown() {
	u.Writer.StartHandOver()
	u.shuttingDown.Store(true)
}

// Finish writes the remaining usage at the end of the shutdown. It returns when all
// is written or ctx is done.
func (u *Usage) Finish(ctx context.Context) {
	u.closePart(time.Now())
	u.flushAll(ctx)
}

// closePart closes the current part at now and queues it for writing.
func (u *Usage) closePart(now time.Time) {
	part := u.Meter.TakePart(now, u.Billing.Window)
	part.Final = now.Add(time.Nanosecond).Equal(part.Window.Add(u.Billing.Window))
	u.Writer.Add(part)
}

// flush writes all closed parts and reports whether that succeeded.
func (u *Usage) flush(ctx context.Context) bool {
	now := time.Now()
	err := u.Writer.Flush(ctx, now, u.Billing.Window)
	if err == nil {
		return true
	}
	u.lastFailure.Store(now.UnixNano())
	u.Logger.WithError(err).WithField("window", usage.FormatWindowStart(usage.WindowStart(now, u.Billing.Window))).
		Warn("cannot write usage part, will retry")
	if u.shuttingDown.Load() {
		u.StartHandOver()
	}
	return false
}

// RunSettlement settles windows while the daemon holds the lease, until ctx is done.
func (u *Usage) RunSettlement(ctx context.Context) {
	u.random = rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0))
	lastPrune, candidates := time.Now(), 0
	for ctx.Err() == nil {
		sleep.For(ctx, settleInterval)
		if now := time.Now(); now.Sub(lastPrune) >= pruneInterval && u.Keeper.Held() != nil {
			lastPrune = now
			u.prune(ctx, now)
		}
		if n := u.Keeper.Row().Candidates; n > 0 && n != candidates {
			candidates = n
			u.Keeper.SetPollInterval(lease.PollInterval(u.LeaseDuration, n, u.random))
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
		u.Logger.WithField("error", platformapi.Reason(err)).Info("cannot delete rows of old usage windows, will retry")
	case n > 0:
		u.Logger.WithField("windows", n).Info("rows of old usage windows deleted")
	}
}

// effectiveBilling returns the billing settings with the grace period for parts that
// applies at now. It is longer just after a failure of the store, but not so long
// that a window is reported late.
func (u *Usage) effectiveBilling(now time.Time) config.Billing {
	b := u.Billing
	if failedAt := time.Unix(0, u.lastFailure.Load()); now.Sub(failedAt) < storeReturnGrace {
		b.Grace = max(b.Grace, u.ReportWithin-settleInterval)
	}
	return b
}

// settle settles one window if one is due, and reports whether another one may be
// due.
func (u *Usage) settle(ctx context.Context) bool {
	now := time.Now()
	if err := u.Reported.Learn(ctx); err != nil {
		u.lastFailure.Store(now.UnixNano())
		u.Logger.WithField("error", platformapi.Reason(err)).Warn("cannot read which usage windows were reported, will retry")
		return false
	}
	window, err := u.Reporter.Settle(ctx, now, u.effectiveBilling(now))
	switch {
	case errors.Is(err, lease.ErrNotHeld), errors.Is(err, usage.ErrSuperseded):
		return false
	case err != nil:
		u.lastFailure.Store(time.Now().UnixNano())
		u.Logger.WithField("error", platformapi.Reason(err)).Warn("cannot settle usage window, will retry")
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
	absent := slices.DeleteFunc(u.lastVMs, func(vm string) bool { return slices.Contains(vms, vm) })
	u.lastVMs = vms
	u.Logger.WithFields(logrus.Fields{
		"window": usage.FormatWindowStart(window.Start), "requests": requests, "parts": len(window.Parts),
		"vms": len(vms), "absent": absent,
		"late-ms": time.Since(window.Start.Add(u.Billing.Window)).Milliseconds(),
	}).Info("usage window reported")
	return true
}
