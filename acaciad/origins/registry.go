package origins

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/origin"
	"acaciapath.example/core/platformapi"
	"acaciapath.example/core/sleep"

	"github.com/sirupsen/logrus"
)

// Intervals of the exchange.
const (
	// writeInterval is the time between two writes of a report, and writeSpread is added for
	// each daemon, since all of them write at the same times.
	writeInterval = 400 * time.Millisecond
	writeSpread   = 10 * time.Millisecond
	// retryInterval is the time from a failed call to the next attempt.
	retryInterval = 500 * time.Millisecond
	// expiryInterval is how often versions are looked for that are no longer remembered.
	expiryInterval = 5 * time.Second
	// callTimeout bounds a call of the store.
	callTimeout = 1500 * time.Millisecond
	// readInterval is the least time between two reads of all reports, and readSpread is added
	// for each daemon.
	readInterval = 150 * time.Millisecond
	readSpread   = 3 * time.Millisecond
	// lookupTime is how long a lookup waits for the report of the daemon that began the
	// stream.
	lookupTime = 1200 * time.Millisecond
	// maxListAge is the age up to which the list of servers counts as up to date. It allows for a
	// connection to the store that fell silent.
	maxListAge = 5 * time.Second
)

// maxRemoved is the number of reports of VMs that are gone which are deleted at once.
const maxRemoved = 16

// Registry knows the origins of streams. It is safe for concurrent use. Its exported fields
// must not change once it is used.
type Registry struct {
	// VM is the name of the daemon's VM.
	VM string
	// Table stores the rows.
	Table table.Service
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
	// changed states that the row is to be written.
	changed bool
	// written are the versions in the row.
	written map[string][]origin.Version
	// reading is the latest read of all reports, which may have ended.
	reading *reading
}

// reading is a read of all reports.
type reading struct {
	began time.Time
	// done is closed when the read has ended, and reports and err are set.
	done    chan struct{}
	reports []origin.Report
	err     error
}

// NewRegistry returns a registry that knows no streams, whose exported fields must be set
// before use.
func NewRegistry() *Registry {
	return &Registry{
		Daemons: func() int { return 0 }, ListAge: func(time.Time) time.Duration { return 0 },
		wake: make(chan struct{}, 1), ledger: origin.NewLedger(),
	}
}

// SetListed replaces the versions of the listed servers of each service.
func (r *Registry) SetListed(versions map[string][]origin.Version, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.SetListed(versions, now)
	r.scheduleVersionsLocked(now)
}

// scheduleVersionsLocked schedules a write of the row if the versions in it have changed. The
// caller holds r.mu.
func (r *Registry) scheduleVersionsLocked(now time.Time) {
	if !maps.EqualFunc(r.ledger.StreamingVersions(now), r.written, slices.Equal) {
		r.scheduleLocked()
	}
}

// Await records that a request was sent to a server of a version, whose first event would
// begin a stream.
func (r *Registry) Await(o origin.Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.Await(o)
}

// EndAwait records that a request of Await has had its first event, or ended.
func (r *Registry) EndAwait(o origin.Origin, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ledger.EndAwait(o); !r.ledger.AllSettled(now) {
		r.scheduleVersionsLocked(now)
	}
}

// HandleRestore has the row written again that the store may have lost, since it was restored
// from a copy.
func (r *Registry) HandleRestore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scheduleLocked()
}

// scheduleLocked schedules a write of the row. The caller holds r.mu.
func (r *Registry) scheduleLocked() {
	r.changed = true
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Begin records that a request receives a stream that began at an origin.
func (r *Registry) Begin(stream origin.Stream, o origin.Origin, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ledger.Begin(stream, o, now) {
		r.scheduleLocked()
	}
}

// End records that a request of Begin has ended, and whether the caller was sent the whole
// stream.
func (r *Registry) End(stream origin.Stream, complete bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.End(stream, complete, now)
}

// Lookup returns the origin of a stream that a caller takes up again. It reads the reports of
// other daemons if necessary, until lookupTime has passed or ctx is done.
func (r *Registry) Lookup(ctx context.Context, stream origin.Stream, service string) (o origin.Origin, known bool) {
	began := time.Now()
	if o, known = r.resolve(nil, stream, service, began); known {
		r.Metrics.count(lookupKnown)
		return o, true
	}
	for after := began; ctx.Err() == nil; after = time.Now() {
		reports, err := r.read(ctx, after)
		if err == nil {
			if o, known = r.resolve(reports, stream, service, time.Now()); known {
				r.Metrics.count(lookupReported)
				return o, true
			}
		}
		if time.Since(began) > lookupTime {
			break
		}
		sleep.For(ctx, r.readInterval())
	}
	r.Metrics.count(lookupUnknown)
	return origin.Origin{}, false
}

// resolve returns the origin of a stream by what this daemon knows and, unless they are nil,
// by the reports of all daemons.
func (r *Registry) resolve(reports []origin.Report, stream origin.Stream, service string, now time.Time) (origin.Origin, bool) {
	fresh := r.ListAge(now) <= maxListAge
	r.mu.Lock()
	defer r.mu.Unlock()
	if reports == nil {
		return r.ledger.Resolve(stream, service, fresh, now)
	}
	return r.ledger.ResolveAmong(reports, stream, service, fresh, now)
}

// readInterval returns the least time between two reads of all reports.
func (r *Registry) readInterval() time.Duration {
	return readInterval + time.Duration(r.Daemons())*readSpread
}

// read returns all reports as of after or later. Lookups share a read.
func (r *Registry) read(ctx context.Context, after time.Time) ([]origin.Report, error) {
	for ctx.Err() == nil {
		r.mu.Lock()
		current := r.reading
		if current == nil || current.began.Before(after) && current.ended() {
			wait := time.Duration(0)
			if current != nil {
				wait = r.readInterval() - time.Since(current.began)
			}
			current = &reading{began: time.Now().Add(max(wait, 0)), done: make(chan struct{})}
			r.reading = current
			go r.readAll(current)
		}
		r.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-current.done:
			if !current.began.Before(after) {
				return current.reports, current.err
			}
		}
	}
	return nil, ctx.Err()
}

// ended reports whether the read has ended.
func (r *reading) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// readAll reads all reports once the read may begin.
func (r *Registry) readAll(current *reading) {
	defer close(current.done)
	time.Sleep(time.Until(current.began))
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	rows, err := r.Table.List(ctx, &table.ListPayload{Prefix: rowPrefix, Limit: maxReports})
	if err != nil {
		current.err = err
		r.Logger.WithField("error", platformapi.Reason(err)).Info("cannot read which versions began streams, will retry")
		return
	}
	current.reports = make([]origin.Report, 0, len(rows))
	for _, row := range rows {
		if report, ok := r.parse(row); ok {
			current.reports = append(current.reports, report)
		}
	}
}

// maxReports is the number of reports that are read.
const maxReports = 2000

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

// Run writes the row of this daemon when it changes, until ctx is done. It first reads the row
// from before a restart.
func (r *Registry) Run(ctx context.Context) {
	for ctx.Err() == nil && !r.readOwn(ctx) {
		sleep.For(ctx, retryInterval)
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-time.After(expiryInterval):
		}
		interval := writeInterval + time.Duration(r.Daemons())*writeSpread
		if !r.write(ctx) {
			interval = retryInterval
		}
		sleep.For(ctx, interval+rand.N(writeSpread))
	}
}

// readOwn reads the row of this VM and reports whether that succeeded.
func (r *Registry) readOwn(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := r.Table.Get(ctx, &table.GetPayload{Keys: []string{rowPrefix + r.VM}})
	if err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		if report, ok := r.parse(row); ok {
			r.ledger.Merge(report, time.Now())
		}
	}
	return true
}

// write writes the row if it is to be written, and reports whether that succeeded.
func (r *Registry) write(ctx context.Context) bool {
	now := time.Now()
	r.mu.Lock()
	versions := r.ledger.StreamingVersions(now)
	changed := !maps.EqualFunc(versions, r.written, slices.Equal)
	if !r.changed && !changed {
		r.mu.Unlock()
		return true
	}
	r.changed, r.written = false, versions
	report, settled := r.ledger.Report(now), r.ledger.AllSettled(now)
	r.mu.Unlock()
	value, err := encodeReport(report)
	if err == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_, err = r.Table.Commit(callCtx, &table.CommitPayload{Writes: []*table.Write{{Key: rowPrefix + r.VM, Value: value}}})
	}
	if err != nil {
		if ctx.Err() == nil {
			r.Logger.WithField("error", platformapi.Reason(err)).Info("cannot write which versions began the streams of this VM, will retry")
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.scheduleLocked()
		return false
	}
	if changed && settled {
		r.removeOutdated(ctx, versions, now)
	}
	return true
}

// removeOutdated deletes the rows of VMs that are gone, which have versions that are no
// longer in service.
func (r *Registry) removeOutdated(ctx context.Context, versions map[string][]origin.Version, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := r.Table.List(ctx, &table.ListPayload{Prefix: rowPrefix, Limit: maxReports})
	if err != nil {
		return // another daemon will
	}
	removed := 0
	for _, row := range rows {
		report, ok := r.parse(row)
		if ok && !report.Outdated(versions, now) || removed == maxRemoved || row.Key == rowPrefix+r.VM {
			continue
		}
		removed++
		_, err := r.Table.Commit(ctx, &table.CommitPayload{
			Conditions: []*table.Condition{{Key: row.Key, Version: row.Version}}, Writes: []*table.Write{{Key: row.Key, Delete: true}},
		})
		if err != nil && platformapi.AsConflict(err) == nil {
			r.Logger.WithField("error", platformapi.Reason(err)).WithField("row", row.Key).Info("cannot delete an outdated report of streams, another daemon will")
		}
	}
}
