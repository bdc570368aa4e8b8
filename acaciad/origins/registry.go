package origins

import (
	"context"
	"slices"
	"sync"
	"time"

	"acaciapath.example/core/epoch"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/origin"
	"acaciapath.example/core/ownrow"

	"github.com/sirupsen/logrus"
)

// Times of plans and streams.
const (
	// planInterval is the time between changes of plans that can wait. They come at multiples
	// of it by the wall clock, so that all daemons change their plans together.
	planInterval = 10 * time.Second
	// maxTouchAge is the age of the list of servers up to which a daemon counts as in touch
	// when the store is restored. The store may have been away for a while.
	maxTouchAge = 5 * time.Second
	// chooseWait bounds how long a stream that is about to begin waits for a change of plans
	// that is being written. The store usually answers in less.
	chooseWait = 300 * time.Millisecond
	// reportWait bounds how long a stream that is to begin elsewhere than planned waits until
	// others can read that, and one that is about to begin for the first plan of this VM.
	reportWait = 2 * time.Second
)

// Registry knows the origins of streams. It is safe for concurrent use. Its exported fields
// must not change once it is used.
type Registry struct {
	// VM is the name of the daemon's VM.
	VM string
	// Table stores the rows.
	Table table.Service
	// Epoch returns the epoch of the store.
	Epoch func() uint64
	// Daemons returns the number of daemons, or 0 if it is not known.
	Daemons func() int
	// ListAge returns the age of the list of servers.
	ListAge func(now time.Time) time.Duration
	// Metrics counts lookups.
	Metrics *Metrics
	// Logger logs failed calls.
	Logger *logrus.Logger

	// wake makes Run look for something to write.
	wake chan struct{}
	// invalid has the versions of the invalid rows that have been logged, by their keys.
	invalid sync.Map

	mu     sync.Mutex // guards the fields below
	ledger *origin.Ledger
	// row is the row of this VM, or nil before it is used.
	row *ownrow.Row
	// changed states that the row is to be written.
	changed bool
	// checkDue is when the plans of the others are to be read, or zero, and refreshDue when the
	// row is to be written again.
	checkDue, refreshDue time.Time
	// plansDue is when the plans by the listed servers are used, or zero if they are.
	plansDue time.Time
	// reading is the latest read of all reports, which may have ended.
	reading *reading
	// writing is the write of a change of plans, or of another report, or nil.
	writing *reportWrite
	// reportedAt and failedAt are when the reports were made that were last written, and that
	// last could not be. written is closed and replaced at the end of each write, and when the
	// row was read first.
	reportedAt, failedAt time.Time
	written              chan struct{}
	// ended states that Run has returned, so that the row is not written any more.
	ended bool
	// failingSince is the begin of the first of the calls of the row that have failed since one
	// succeeded, or zero.
	failingSince time.Time
}

// reportWrite is the write of a report, and of another one which confirms that its plans are in
// use.
type reportWrite struct {
	reports []origin.Report
	// done is closed when the writes have ended.
	done chan struct{}
}

// differs reports whether others may take a stream that begins at a version for one of another
// version until the writes have ended.
func (w *reportWrite) differs(service string, stream origin.Stream, version string) bool {
	return slices.ContainsFunc(w.reports, func(r origin.Report) bool { return r.Plans[service].Differs(stream, version, r.At) })
}

// NewRegistry returns a registry that knows no streams, whose exported fields must be set
// before use.
func NewRegistry() *Registry {
	return &Registry{
		Epoch: func() uint64 { return epoch.First }, Daemons: func() int { return 0 }, ListAge: func(time.Time) time.Duration { return 0 },
		wake: make(chan struct{}, 1), written: make(chan struct{}), ledger: origin.NewLedger(),
	}
}

// SetListed replaces the servers that are listed. The plans by them are used once others can
// read them.
func (r *Registry) SetListed(listed map[string]origin.Servers, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ledger.SetListed(listed, now) {
		r.usePlansLocked()
		return
	}
	if r.plansDue.IsZero() {
		r.plansDue = now.Round(0).Truncate(planInterval).Add(planInterval)
		r.wakeLocked()
	}
}

// usePlansLocked has the plans by the listed servers used. The caller holds r.mu.
func (r *Registry) usePlansLocked() {
	r.plansDue = time.Time{}
	if r.ledger.UsePlans() {
		r.scheduleLocked()
	}
}

// usePlans has the plans by the listed servers used if that is due, and returns the time until
// it is.
func (r *Registry) usePlans(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.plansDue.IsZero() {
		return planInterval
	}
	if left := r.plansDue.Sub(now.Round(0)); left > 0 {
		return left
	}
	r.usePlansLocked()
	return planInterval
}

// HandleRestore has the row written again that the store may have lost, since it was restored
// from a copy.
func (r *Registry) HandleRestore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.ledger.HandleRestore(now)
	if age := r.ListAge(now); age > maxTouchAge {
		r.ledger.RecordLostReports(r.Epoch()-1, now)
		time.AfterFunc(origin.Memory, r.handleCompleteReport)
		r.Logger.WithField("list-age-ms", age.Milliseconds()).Info("not in touch before the store was restored, not telling others which plans were in use")
	}
	r.checkDue = now.Add(checkDelay)
	r.scheduleLocked()
}

// handleCompleteReport has the row written again, which is complete now.
func (r *Registry) handleCompleteReport() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scheduleLocked()
}

// scheduleLocked schedules a write of the row. The caller holds r.mu.
func (r *Registry) scheduleLocked() {
	r.changed = true
	r.wakeLocked()
}

// wakeLocked wakes Run.
func (r *Registry) wakeLocked() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Choose returns the version at which a stream is to begin at a service, or false if any will
// do. It waits for the first plan of this VM that others can read, for reportWait at most: if the VM
// is killed, they take the stream for one of their own plans. While a plan is being written that
// leads to another version than the one in use, it waits for chooseWait at most, since others
// cannot tell then which of them was in use.
func (r *Registry) Choose(ctx context.Context, service string, stream origin.Stream) (version string, ok bool) {
	if !r.awaitPlan(ctx, service) {
		return r.guess(ctx, service, stream)
	}
	r.mu.Lock()
	version, ok = r.ledger.Choose(service, stream)
	write := r.writing
	changes := write != nil && ok && write.differs(service, stream, version)
	r.mu.Unlock()
	if !changes {
		return version, ok
	}
	timer := time.NewTimer(chooseWait)
	defer timer.Stop()
	select {
	case <-write.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Choose(service, stream)
}

// awaitPlan waits until others can read a plan of this VM for a service, unless no servers are
// listed. It reports false if they cannot: ctx is done, reportWait has passed, the store has
// failed for so long, or Run has returned.
func (r *Registry) awaitPlan(ctx context.Context, service string) bool {
	ctx, cancel := context.WithTimeout(ctx, reportWait)
	defer cancel()
	for {
		r.mu.Lock()
		lacks, ended, failingSince, written := r.ledger.LacksPlan(service), r.ended, r.failingSince, r.written
		r.mu.Unlock()
		switch {
		case !lacks:
			return true
		case ended, !failingSince.IsZero() && time.Since(failingSince) >= reportWait:
			return false
		}
		select {
		case <-written:
		case <-ctx.Done():
			return false
		}
	}
}

// guess returns the version at which a stream is to begin while others can read no plan of this VM.
func (r *Registry) guess(ctx context.Context, service string, stream origin.Stream) (version string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, chooseWait)
	defer cancel()
	now := time.Now()
	var reports []origin.Report
	if latest, err := r.readSince(ctx, now.Add(-retryInterval)); err == nil {
		reports = latest.reports
	}
	r.Metrics.countGuess(len(reports) > 0)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Guess(service, stream, reports, now)
}

// PlansOther reports whether others take a stream that begins now for one of another version than
// the given one.
func (r *Registry) PlansOther(service string, stream origin.Stream, version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.PlansOther(service, stream, version)
}

// recordCallLocked records the result of a call of the row that began at a time. The caller holds
// r.mu.
func (r *Registry) recordCallLocked(began time.Time, err error) {
	switch {
	case err == nil:
		r.failingSince = time.Time{}
	case r.failingSince.IsZero():
		r.failingSince = began
	}
	close(r.written)
	r.written = make(chan struct{})
}

// Begin records that a request receives a stream that began at an origin, or is about to.
// picked is the service that this daemon picked for it.
func (r *Registry) Begin(stream origin.Stream, picked string, o origin.Origin, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ledger.Begin(stream, picked, o, now) {
		r.scheduleLocked()
	}
}

// AwaitReport waits until others can read that a stream began, which was recorded at a time and is
// not told by a plan. It reports false if the row could not be written last, and if ctx is done or
// reportWait has passed before.
func (r *Registry) AwaitReport(ctx context.Context, began time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, reportWait)
	defer cancel()
	for {
		r.mu.Lock()
		known, failed, written := r.reportedAt.After(began), r.failedAt.After(r.reportedAt), r.written
		r.mu.Unlock()
		if known || failed {
			return known
		}
		select {
		case <-written:
		case <-ctx.Done():
			return false
		}
	}
}

// End records that a request of Begin has ended. complete states that the stream cannot be
// taken up again.
func (r *Registry) End(stream origin.Stream, complete bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.End(stream, complete, now)
}

// parse parses a row, and logs one that is invalid, once.
func (r *Registry) parse(row *table.Row) (origin.Report, bool) {
	report, err := parseReport(row.Value)
	if err != nil {
		if logged, _ := r.invalid.Swap(row.Key, row.Version); logged == row.Version {
			return report, false
		}
		r.Logger.WithError(err).WithField("row", row.Key).Warn("invalid report of streams ignored")
	}
	return report, err == nil
}
