package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"acaciapath.example/acaciad/reader"
	"acaciapath.example/core/epoch"
	"acaciapath.example/core/follow"
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
	// followerRetryInterval is the same for a daemon that usually follows a reader.
	// There may be hundreds of these.
	followerRetryInterval = time.Second
	// followerStorePause is how long a feed of a daemon that usually follows a reader does
	// not call a store that failed, unless other calls are answered. In the meantime it
	// tries to follow readers, which call more often.
	followerStorePause = 4 * time.Second
	// feedGapRatio is the time from a change to the next call, as a share of the time
	// within which the daemon must follow a draining backend server. Changes in the
	// meantime are read together. Without the gap, every daemon would call the store
	// once for each change.
	feedGapRatio = 0.3
	// evictionGap is the time to the next call after a cheap backend server began to
	// drain. The platform evicts all cheap servers of a failure domain together, and
	// tens of entries are written within this time.
	evictionGap = 60 * time.Millisecond
	// membersTimeout bounds the wait for the list of members when the daemon starts.
	membersTimeout = 1500 * time.Millisecond
	// trustTime is how long a reader must have sent news to be trusted again after
	// failures.
	trustTime = 5 * time.Second
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

// feed follows one table of the store, by long polling or through a reader.
type feed struct {
	// holdTime is how long the store holds a call while nothing changes.
	holdTime time.Duration
	// gap is the time from a change to the next call.
	gap time.Duration
	// times are the intervals of a reader and its followers.
	times  follow.Times
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
	// readers follows other daemons, and publisher passes the news on to followers.
	readers   *reader.Client
	publisher *reader.Publisher
	// coldStart states that all daemons of the deployment start for the first time, long
	// before there are callers. Otherwise the table is first read from the store, since
	// readers may be starting as well, and callers wait.
	coldStart bool
	// awaitMembers states that the list of members will be set soon after the start.
	awaitMembers bool
	// membersOutdated is called when no reader in the list of members can be used.
	membersOutdated func()

	mu       sync.Mutex // guards selector, role, lastNews and asOf
	selector follow.Selector
	role     follow.Role
	lastNews time.Time
	// asOf is when the store gave the latest news, or zero if there never were any.
	asOf       time.Time
	membersSet chan struct{}

	// failedAt is when the store last failed, and restoredAt when it was last restored.
	failedAt, restoredAt time.Time
	// version is the version of the store up to which the rows are applied, if
	// versionKnown is set. They and failing are used only by run.
	version               uint64
	versionKnown, failing bool
	// answerAge estimates the ages of answers. It is used only by run.
	answerAge follow.AnswerAge
}

// newFeed returns a feed of a table with the given intervals, which still lacks its
// functions.
func newFeed(vm, table string, s platform.Settings, store *platform.Store, logger *logrus.Logger) *feed {
	return &feed{
		holdTime: feedHoldTime(s), gap: feedGap(s), times: follow.NewTimes(s.ServerDrain), store: store, table: table, logger: logger,
		storeRestored: func(time.Time) {}, storeFailed: func(time.Time) {},
		readers: reader.NewClient(), publisher: reader.NewPublisher(), membersOutdated: func() {},
		selector: follow.Selector{VM: vm, Table: table}, membersSet: make(chan struct{}),
	}
}

// age returns the time since the latest news, or 0 if there never were any.
func (f *feed) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastNews.IsZero() {
		return 0
	}
	return now.Sub(f.lastNews)
}

// newsAge returns the time since the store gave the latest news, or 0 if there never were any. An
// answer may have been held up, or waited while the VM stood still.
func (f *feed) newsAge(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.asOf.IsZero() {
		return 0
	}
	return follow.Age(f.asOf, now)
}

// currentRole returns how the daemon learns the changes of the table.
func (f *feed) currentRole() follow.Role {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.role
}

// setMembers replaces the members of the failure domain.
func (f *feed) setMembers(members []follow.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.selector.SetMembers(members)
	select {
	case <-f.membersSet:
	default:
		close(f.membersSet)
	}
}

// run follows the table until ctx is done.
func (f *feed) run(ctx context.Context) {
	defer f.publisher.Stop()
	for !f.coldStart && !f.versionKnown && ctx.Err() == nil {
		f.readStore(ctx, follow.Follows)
	}
	if f.awaitMembers {
		select {
		case <-f.membersSet:
		case <-time.After(membersTimeout):
		case <-ctx.Done():
		}
	}
	for ctx.Err() == nil {
		now := time.Now()
		role, address := f.choose(now)
		pausing := f.isFollower() && f.failing && now.Sub(f.failedAt) < followerStorePause && !f.store.Epochs.AnsweredSince(f.failedAt)
		switch {
		case role != follow.Follows && pausing:
			sleep.For(ctx, feedRetryInterval)
			continue
		case role != follow.Follows:
			f.readStore(ctx, role)
			continue
		case f.versionKnown && !pausing && f.age(now) > f.times.Gap+f.times.Hold:
			// After a reader was silent, the news may already be old.
			f.readStore(ctx, role)
		}
		f.followReader(ctx, address)
	}
}

// choose returns the role of the daemon and the reader to follow, and logs a change of
// the role.
func (f *feed) choose(now time.Time) (follow.Role, string) {
	f.mu.Lock()
	role, address := f.selector.Choose(now)
	exhausted, changed := f.selector.Exhausted(now), role != f.role
	f.role = role
	f.mu.Unlock()
	if changed {
		f.logger.WithFields(logrus.Fields{"table": f.table, "role": role.String(), "reader": address, "version": epoch.Format(f.version)}).
			Info("source of a table changed")
	}
	if exhausted {
		f.membersOutdated()
	}
	return role, address
}

// followReader follows a reader until that fails.
func (f *feed) followReader(ctx context.Context, address string) {
	began := time.Now()
	after := f.version
	if !f.versionKnown {
		after = 0
	}
	count := 0
	err := f.readers.Follow(ctx, address, f.table, after, f.times.Silence, func(news follow.News) {
		now := time.Now()
		if count++; count == 1 {
			f.publisher.Stop()
		}
		switch {
		case news.Failing:
			f.noteFailing("the store does not answer the reader", now)
		case f.failing, news.Restored && !f.justRestored(now):
			f.noteRestored(news.Version, now)
		}
		f.accept(news, false, began, now)
		if now.Sub(began) >= trustTime {
			f.mu.Lock()
			f.selector.Succeeded(address)
			f.mu.Unlock()
		}
	})
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	f.mu.Lock()
	if errors.Is(err, reader.ErrRefused) {
		f.selector.Refused(address, now)
	} else {
		f.selector.Failed(address, now)
	}
	f.mu.Unlock()
	f.logger.WithFields(logrus.Fields{
		"table": f.table, "reader": address, "error": err.Error(), "messages": count, "version": epoch.Format(f.version),
		"followed-ms": now.Sub(began).Milliseconds(),
	}).Info("reader of a table can no longer be followed")
}

// noteFailing records that the store does not answer, for the given reason.
func (f *feed) noteFailing(reason string, now time.Time) {
	if !f.failing {
		f.logger.WithFields(logrus.Fields{"table": f.table, "version": epoch.Format(f.version), "error": reason}).Warn("store feed failed, retrying")
	}
	f.failing = true
	f.storeFailed(now)
}

// noteRestored records that the store answers again.
func (f *feed) noteRestored(version uint64, now time.Time) {
	f.logger.WithFields(logrus.Fields{"table": f.table, "version": epoch.Format(version)}).Info("store feed restored")
	f.failing, f.restoredAt = false, now
	f.storeRestored(now)
}

// justRestored reports whether rows that the store removed during an outage may still be
// written again.
func (f *feed) justRestored(now time.Time) bool {
	return !f.restoredAt.IsZero() && now.Sub(f.restoredAt) < missingEntryHold
}

// accept applies news that arrived at now, in answer to a call that began at asked, and records
// them for followers. It reports whether more changes are likely to follow at once.
func (f *feed) accept(news follow.News, reading bool, asked, now time.Time) bool {
	current, _ := epoch.Split(news.Version)
	f.store.Epochs.Observe(current) // a reader may know before this daemon calls the store
	f.publisher.Record(news, reading, now)
	f.version, f.versionKnown = news.Version, true
	moreExpected := false
	if news.Snapshot || len(news.Entries) > 0 {
		rows := make([]platform.Row, len(news.Entries))
		for i, e := range news.Entries {
			rows[i] = platform.Row(e)
		}
		moreExpected = f.apply(rows, news.Snapshot)
	}
	if news.Failing {
		return moreExpected
	}
	asOf := asked
	if news.StoreTime > 0 {
		asOf = now.Add(-f.answerAge.Observe(current, news.StoreTime, now))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastNews, f.asOf = now, asOf // the rows are applied by now
	return moreExpected
}

// readStore calls the store once, waits for the time until the next call, and reports
// whether the store answered.
func (f *feed) readStore(ctx context.Context, role follow.Role) bool {
	hold, gap := f.holdTime, f.gap
	switch role {
	case follow.Reads:
		hold, gap = f.times.Hold, f.times.Gap
		if !f.publisher.Reading() {
			hold = 0 // followers are waiting
		}
	case follow.Follows:
		hold, gap = 0, 0
	}
	if f.failing {
		hold = 0 // the store may have been restored, and know nothing after a lost version
	}
	asked := time.Now()
	rows, snapshot, err := f.callStore(ctx, hold)
	if err != nil {
		f.handleStoreFailure(ctx, err)
		return false
	}
	now := time.Now()
	if f.failing {
		f.noteRestored(rows.Version, now)
	}
	news := follow.News{Snapshot: snapshot, Version: rows.Version, Restored: f.justRestored(now), StoreTime: rows.StoreTime()}
	for _, row := range rows.Rows {
		news.Entries = append(news.Entries, follow.Entry(row))
	}
	moreExpected := f.accept(news, role == follow.Reads, asked, now)
	switch {
	case !snapshot && (len(rows.Rows) == 0 || rows.IsFullPage()):
	case moreExpected:
		sleep.For(ctx, min(evictionGap, gap))
	default:
		sleep.For(ctx, gap)
	}
	return true
}

// callStore returns all rows of the table and true or, if a version is known, the rows
// changed since then and false.
func (f *feed) callStore(ctx context.Context, hold time.Duration) (platform.Rows, bool, error) {
	if !f.versionKnown {
		rows, err := f.store.Snapshot(ctx, f.table)
		return rows, true, err
	}
	rows, err := f.store.Changes(ctx, f.table, f.version, hold)
	return rows, false, err
}

// handleStoreFailure handles a failed call of the store, and waits until the next
// attempt.
func (f *feed) handleStoreFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, platform.ErrHistoryDropped) {
		f.storeFailed(time.Now())
		f.logger.WithFields(logrus.Fields{"table": f.table, "version": epoch.Format(f.version)}).
			Warn("store dropped its history, reading the whole table again")
		f.versionKnown = false
		return
	}
	f.publisher.MarkFailing()
	f.failedAt = time.Now()
	f.noteFailing(platformapi.Reason(err), f.failedAt)
	interval := feedRetryInterval
	if f.isFollower() {
		interval = followerRetryInterval
	}
	sleep.For(ctx, interval)
}

// isFollower reports whether the daemon is not one of the readers of its failure domain.
func (f *feed) isFollower() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.selector.HasReaders() && !f.selector.IsReader()
}
