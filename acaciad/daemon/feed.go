package daemon

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"acaciapath.example/core/platformapi"
	"acaciapath.example/core/sleep"
	"acaciapath.example/platform"

	"github.com/sirupsen/logrus"
)

// Intervals of feeds.
const (
	// minHoldTime and maxHoldTime bound the time for which the store holds a call
	// while nothing changes.
	minHoldTime = time.Second
	maxHoldTime = 25 * time.Second
	// feedMargin is reserved for applying a change, out of the time within which the
	// daemon must follow it.
	feedMargin = 500 * time.Millisecond
	// feedRetryInterval is the time between two attempts while the store fails.
	feedRetryInterval = 300 * time.Millisecond
	// feedGapRatio is the time from a change to the next call, as a share of the time
	// within which the daemon must follow a draining backend server. Changes in the
	// meantime are read together. Without the gap, every daemon would call the store
	// once for each change.
	feedGapRatio = 0.3
	// evictionGap is the time to the next call after a cheap backend server began to
	// drain. The platform evicts all cheap servers of a failure domain together, and
	// tens of entries are written within this time.
	evictionGap = 60 * time.Millisecond
)

// feedHoldTime returns how long the store holds a call while nothing changes. If the
// connection stops working, the daemon notices only when the held call times out. It
// must then still follow a change in time, counted from when the VM is connected
// again.
func feedHoldTime(s platform.Settings) time.Duration {
	holdTime := s.ReconnectTime + s.ServerDrain - storeTimeout - feedGap(s) - feedMargin
	return min(max(holdTime, minHoldTime), maxHoldTime)
}

// feedGap returns the time from a change to the next call.
func feedGap(s platform.Settings) time.Duration {
	return time.Duration(feedGapRatio * float64(s.ServerDrain))
}

// feed follows one table of the store by long polling.
type feed struct {
	// holdTime is how long the store holds a call while nothing changes.
	holdTime time.Duration
	// gap is the time from a change to the next call.
	gap    time.Duration
	store  *platform.Store
	table  string
	logger *logrus.Logger
	// apply applies rows. snapshot states that they are all rows of the table, not
	// only changed ones. It reports whether more changes are likely to follow at once.
	apply func(rows []platform.Row, snapshot bool) bool
	// storeRestored is called when the store answers again after it failed.
	storeRestored func(now time.Time)
	// storeFailed is called when the store does not answer, or has dropped changes.
	storeFailed func(now time.Time)
	// lastAnswer is when the store last answered, in Unix nanoseconds, or 0.
	lastAnswer atomic.Int64
}

// age returns the time since the store last answered, or 0 if it never did.
func (f *feed) age(now time.Time) time.Duration {
	if at := f.lastAnswer.Load(); at != 0 {
		return now.Sub(time.Unix(0, at))
	}
	return 0
}

// run follows the table until ctx is done.
func (f *feed) run(ctx context.Context) {
	version, versionKnown, failing := uint64(0), false, false
	for ctx.Err() == nil {
		rows, snapshot, err := f.read(ctx, version, versionKnown)
		switch {
		case errors.Is(err, platform.ErrHistoryDropped):
			f.logger.WithFields(logrus.Fields{"table": f.table, "version": version}).
				Warn("store dropped its history, reading the whole table again")
			versionKnown = false
			f.storeFailed(time.Now())
			continue
		case err != nil:
			if ctx.Err() != nil {
				return
			}
			if !failing {
				f.logger.WithFields(logrus.Fields{"table": f.table, "version": version, "error": platformapi.Reason(err)}).
					Warn("store feed failed, retrying")
			}
			failing = true
			f.storeFailed(time.Now())
			sleep.For(ctx, feedRetryInterval)
			continue
		}
		if failing {
			f.logger.WithFields(logrus.Fields{"table": f.table, "version": rows.Version}).Info("store feed restored")
			failing = false
			f.storeRestored(time.Now())
		}
		version, versionKnown = rows.Version, true
		f.lastAnswer.Store(time.Now().UnixNano())
		if snapshot || len(rows.Rows) > 0 {
			moreExpected := f.apply(rows.Rows, snapshot)
			switch {
			case !snapshot && rows.IsFullPage():
			case moreExpected:
				sleep.For(ctx, min(evictionGap, f.gap))
			default:
				sleep.For(ctx, f.gap)
			}
		}
	}
}

// read returns all rows of the table and true or, if versionKnown is set, the rows
// changed since version and false.
func (f *feed) read(ctx context.Context, version uint64, versionKnown bool) (platform.Rows, bool, error) {
	if !versionKnown {
		rows, err := f.store.Snapshot(ctx, f.table)
		return rows, true, err
	}
	rows, err := f.store.Changes(ctx, f.table, version, f.holdTime)
	return rows, false, err
}
