package control

import (
	"context"
	"errors"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/lease"
	"acaciapath.example/core/platform"
	"acaciapath.example/core/usage"

	"github.com/sirupsen/logrus"
)

// Times of usage windows.
const (
	// settleInterval is how often the holder looks for a window to settle.
	settleInterval = time.Second
	// retryInterval is the time between two tries to write a part.
	retryInterval = 400 * time.Millisecond
	// parts is the number of parts that a daemon writes in a window: what runs
	// in the last one is lost if its process is killed.
	partsPerWindow = 1
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
	// Billing has the length of windows, and the time that parts have to come in.
	Billing config.Billing
	// Logger logs what was settled and what failed.
	Logger *logrus.Logger
}

// RunParts writes the daemon's parts until ctx ends, and what is left after it.
func (u *Usage) RunParts(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		edge := usage.WindowStart(now, u.Billing.Window).Add(u.Billing.Window)
		sleep(ctx, time.Until(edge))
		u.flush(ctx, edge.Add(-time.Nanosecond))
	}
}

// Finish writes what is left when the daemon shuts down.
func (u *Usage) Finish(ctx context.Context) { u.flush(ctx, time.Now()) }

// flush writes what ran up to now, which is in the window that is closed.
func (u *Usage) flush(ctx context.Context, now time.Time) {
	if part := u.Meter.Close(now, u.Billing.Window); len(part.Lines) > 0 {
		u.Writer.Add(part)
	}
	limit := time.Now().Add(u.Billing.Window / 2)
	for {
		err := u.Writer.Flush(ctx, now, u.Billing.Window)
		if err == nil {
			return
		}
		u.Logger.WithError(err).WithField("window", usage.FormatStart(usage.WindowStart(now, u.Billing.Window))).
			Warn("the part of a usage window is not written yet")
		if ctx.Err() != nil || time.Now().After(limit) {
			return
		}
		sleep(ctx, retryInterval)
	}
}

// RunSettle settles windows while the daemon holds the lease, until ctx ends.
func (u *Usage) RunSettle(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, settleInterval)
		for u.Keeper.Held() != nil && u.settle(ctx) {
		}
	}
}

// settle settles one window if one is due, and reports whether another may be.
func (u *Usage) settle(ctx context.Context) bool {
	window, err := u.Reporter.Settle(ctx, time.Now(), u.Billing)
	switch {
	case errors.Is(err, lease.ErrNotHeld), errors.Is(err, usage.ErrSuperseded):
		return false
	case err != nil:
		u.Logger.WithField("error", platform.Reason(err)).Warn("a usage window is not settled yet")
		return false
	case window == nil:
		return false
	}
	requests := uint64(0)
	for _, line := range window.Lines {
		requests += line.Requests
	}
	u.Logger.WithFields(logrus.Fields{
		"window": usage.FormatStart(window.Start), "requests": requests, "parts": len(window.Parts),
		"late-ms": time.Since(window.Start.Add(u.Billing.Window)).Milliseconds(),
	}).Info("usage window reported")
	return true
}

// sleep waits, or until ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
