package origins

import (
	"context"
	"time"

	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/origin"
	"acaciapath.example/core/platformapi"
	"acaciapath.example/core/sleep"
)

// Limits of lookups.
const (
	// readInterval is the least time between two reads of all reports, and readSpread is added
	// for each daemon.
	readInterval = 150 * time.Millisecond
	readSpread   = 3 * time.Millisecond
	// maxReadAge is the age up to which an earlier read is used. The streams of callers that
	// return at once began earlier.
	maxReadAge = 200 * time.Millisecond
	// lookupTime is how long a lookup waits until the reports of all daemons lead to the same
	// version.
	lookupTime = 1200 * time.Millisecond
	// maxListAge is the age up to which the list of servers counts as up to date. On a VM that
	// was cut off since, it lacks versions at which other daemons begin streams.
	maxListAge = time.Second
	// maxReports is the number of reports that are read.
	maxReports = 2000
)

// reading is a read of all reports.
type reading struct {
	began time.Time
	// done is closed when the read has ended, and the fields below are set.
	done    chan struct{}
	reports []origin.Report
	// gone are the rows of daemons that are gone.
	gone []*table.Row
	err  error
}

// Lookup returns the origin of a stream that a caller takes up again and that began since a
// time. service is the service that this daemon picks for it. Lookup reads the reports of other
// daemons if necessary, until lookupTime has passed or ctx is done. If the origin is not known,
// err states why the reports could not be read; without an error, it will not be known later
// either.
func (r *Registry) Lookup(ctx context.Context, stream origin.Stream, service string, since time.Time) (o origin.Origin, known bool, err error) {
	began := time.Now()
	q := origin.Query{Stream: stream, Service: service, Since: since}
	if o, known = r.resolve(q, (*origin.Ledger).Resolve); known {
		r.Metrics.count(lookupKnown)
		return o, true, nil
	}
	err = ctx.Err()
	for after := began.Add(-maxReadAge); ctx.Err() == nil; after = time.Now() {
		var latest *reading
		latest, err = r.readSince(ctx, after)
		final := false
		if err == nil {
			o, known = r.resolve(q, func(l *origin.Ledger, q origin.Query) (o origin.Origin, known bool) {
				o, known, final = l.ResolveAmong(latest.reports, q)
				return o, known
			})
		} else {
			o, known = r.resolve(q, (*origin.Ledger).ResolveByPlan)
		}
		if known {
			r.Metrics.count(lookupReported)
			return o, true, nil
		}
		if final || time.Since(began) > lookupTime {
			break
		}
		sleep.For(ctx, r.readInterval())
	}
	r.Metrics.count(lookupUnknown)
	return origin.Origin{}, false, err
}

// resolve has the ledger resolve a query.
func (r *Registry) resolve(q origin.Query, how func(*origin.Ledger, origin.Query) (origin.Origin, bool)) (origin.Origin, bool) {
	q.Fresh, q.Epoch = r.ListAge(time.Now()) <= maxListAge, r.Epoch()
	r.mu.Lock()
	defer r.mu.Unlock()
	return how(r.ledger, q)
}

// readInterval returns the least time between two reads of all reports.
func (r *Registry) readInterval() time.Duration {
	return readInterval + time.Duration(r.Daemons())*readSpread
}

// readSince returns all reports as of after or later. Lookups share a read.
func (r *Registry) readSince(ctx context.Context, after time.Time) (*reading, error) {
	for ctx.Err() == nil {
		r.mu.Lock()
		current := r.reading
		if current == nil || current.isBefore(after) && current.ended() {
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
			if !current.isBefore(after) {
				return current, current.err
			}
		}
	}
	return nil, ctx.Err()
}

// isBefore reports whether the read began before a time, by the monotonic or the wall clock. The
// monotonic clock stands still while a VM is suspended.
func (r *reading) isBefore(after time.Time) bool {
	return r.began.Before(after) || r.began.Round(0).Before(after.Round(0))
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
		r.Logger.WithField("error", platformapi.Reason(err)).Info("cannot read at which versions streams begin, will retry")
		return
	}
	current.reports = make([]origin.Report, 0, len(rows))
	for _, row := range rows {
		report, ok := r.parse(row)
		if !ok {
			continue
		}
		current.reports = append(current.reports, report)
		if row.Key == rowPrefix+r.VM {
			continue
		}
		if age := current.began.Sub(report.At); age > deleteAge || age > endedDeleteAge && !report.EndedAt.IsZero() {
			current.gone = append(current.gone, row)
		}
	}
}
