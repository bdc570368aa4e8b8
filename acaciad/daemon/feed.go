package daemon

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"acaciapath.example/core/platform"
	"acaciapath.example/core/sleep"
	adapter "acaciapath.example/platform"

	"github.com/sirupsen/logrus"
)

// Times of the feeds.
const (
	// minFeedWait and maxFeedWait bound how long the store holds a call while
	// nothing changes.
	minFeedWait = time.Second
	maxFeedWait = 25 * time.Second
	// feedMargin is what is left of the time in which a change must be followed
	// for taking it in.
	feedMargin = 500 * time.Millisecond
	// feedRetry is the time between two tries while the store does not answer.
	feedRetry = 300 * time.Millisecond
	// feedGapShare is the time from one change to the next call, as a share of the
	// time in which a leaving backend server must be followed: changes that come
	// meanwhile are read together. Every daemon calls once for each change
	// otherwise.
	feedGapShare = 0.3
	// burstGap is the time to the next call after a cheap backend server began
	// to leave: the platform takes all cheap ones of a failure domain away
	// together, and some tens of entries are written within it.
	burstGap = 60 * time.Millisecond
)

// feedWait returns how long the store holds a call while nothing changes. A
// connection may have fallen silent, which shows only when its call ends; a
// change must then still be followed in time, counted from when the VM is in
// touch again.
func feedWait(s adapter.Settings) time.Duration {
	wait := s.ReconnectTime + s.ServerDrain - storeTimeout - feedGap(s) - feedMargin
	return min(max(wait, minFeedWait), maxFeedWait)
}

// feedGap returns the time from one change to the next call.
func feedGap(s adapter.Settings) time.Duration {
	return time.Duration(feedGapShare * float64(s.ServerDrain))
}

// feed follows one table of the store.
type feed struct {
	// wait is how long the store holds a call while nothing changes.
	wait time.Duration
	// gap is the time from one change to the next call.
	gap    time.Duration
	store  *adapter.Store
	name   string
	logger *logrus.Logger
	// apply takes rows in. Whole says that rows are all that there are. It
	// reports whether further changes are likely to follow at once.
	apply func(rows []adapter.Row, whole bool) bool
	// returned is called when the store answers again after it was away.
	returned func(now time.Time)
	// failed is called when the store does not answer, or has dropped changes.
	failed func(now time.Time)
	// answered is when the store last answered, in Unix nanoseconds.
	answered atomic.Int64
}

// age returns the time since the store last answered, or 0 if it never did.
func (f *feed) age(now time.Time) time.Duration {
	if at := f.answered.Load(); at != 0 {
		return now.Sub(time.Unix(0, at))
	}
	return 0
}

// run follows the table until ctx ends.
func (f *feed) run(ctx context.Context) {
	version, known, failing := uint64(0), false, false
	for ctx.Err() == nil {
		rows, whole, err := f.next(ctx, version, known)
		switch {
		case errors.Is(err, adapter.ErrHistoryDropped):
			f.logger.WithFields(logrus.Fields{"table": f.name, "version": version}).
				Warn("the store has dropped its history, the table is read anew")
			known = false
			f.failed(time.Now())
			continue
		case err != nil:
			if ctx.Err() != nil {
				return
			}
			if !failing {
				f.logger.WithFields(logrus.Fields{"table": f.name, "version": version, "error": platform.Reason(err)}).
					Warn("store lost")
			}
			failing = true
			f.failed(time.Now())
			sleep.For(ctx, feedRetry)
			continue
		}
		if failing {
			f.logger.WithFields(logrus.Fields{"table": f.name, "version": rows.Version}).Info("store regained")
			failing = false
			f.returned(time.Now())
		}
		version, known = rows.Version, true
		f.answered.Store(time.Now().UnixNano())
		if whole || len(rows.Rows) > 0 {
			more := f.apply(rows.Rows, whole)
			switch {
			case !whole && rows.Full():
			case more:
				sleep.For(ctx, min(burstGap, f.gap))
			default:
				sleep.For(ctx, f.gap)
			}
		}
	}
}

// next returns the rows of the table, or their changes once they are known.
func (f *feed) next(ctx context.Context, version uint64, known bool) (adapter.Rows, bool, error) {
	if !known {
		rows, err := f.store.Snapshot(ctx, f.name)
		return rows, true, err
	}
	rows, err := f.store.Changes(ctx, f.name, version, f.wait)
	return rows, false, err
}
