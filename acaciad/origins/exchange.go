package origins

import (
	"context"
	"math/rand/v2"
	"time"

	"acaciapath.example/core/epoch"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/origin"
	"acaciapath.example/core/ownrow"
	"acaciapath.example/core/platformapi"
	"acaciapath.example/core/sleep"

	"github.com/sirupsen/logrus"
)

// Intervals of the exchange.
const (
	// writeInterval is the time between two writes of a report, and writeSpread is added for
	// each daemon, since all of them write at the same times.
	writeInterval = 100 * time.Millisecond
	writeSpread   = 5 * time.Millisecond
	// startDelay is the time from a restart to the first write, and startSpread is its random
	// part. Many daemons may start together, and until then the row from before is in force.
	startDelay  = time.Second
	startSpread = 1500 * time.Millisecond
	// checkDelay is the time from a change of plans to a read of the plans of the others.
	// While some differ, they are read again after checkInterval, to which checkSpread is
	// added for each daemon.
	checkDelay    = 2 * time.Second
	checkInterval = 5 * time.Second
	checkSpread   = 25 * time.Millisecond
	// deleteAge is the age from which rows are deleted that nobody writes any more, and
	// endedDeleteAge that for daemons that said that they ended.
	deleteAge      = time.Hour
	endedDeleteAge = 2 * time.Minute
	// maxDeletedRows is the number of rows that are deleted in one transaction.
	maxDeletedRows = 50
	// retryInterval is the time from a failed call to the next attempt.
	retryInterval = time.Second
	// callTimeout bounds a call of the store, and firstCallTimeout the first one for which callers
	// wait. The store usually answers in a few milliseconds.
	callTimeout      = 1500 * time.Millisecond
	firstCallTimeout = 400 * time.Millisecond
	// lateWriteTime is how long writes of an earlier process may take effect after a restart,
	// and lateWriteSpread is added at random before the row is read then.
	lateWriteTime   = 7 * time.Second
	lateWriteSpread = time.Second
)

// Run writes the row of this daemon when it changes, until ctx is done. It first reads the row
// from before a restart.
func (r *Registry) Run(ctx context.Context) {
	defer r.setEnded()
	restarted, err := r.readOwn(ctx)
	for ; err != nil && ctx.Err() == nil; restarted, err = r.readOwn(ctx) {
		sleep.For(ctx, r.retryDelay())
	}
	if restarted {
		go r.checkOwn(ctx)
		r.delayStart(ctx)
	}
	for ctx.Err() == nil {
		timer := time.NewTimer(min(r.usePlans(time.Now()), r.startDue(time.Now())))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-r.wake:
		case <-timer.C:
		}
		timer.Stop()
		if !r.isChanged() {
			continue
		}
		interval := writeInterval + time.Duration(r.Daemons())*writeSpread
		if !r.write(ctx) {
			interval = r.retryDelay()
		} else if r.isUnconfirmed() {
			continue
		}
		sleep.For(ctx, interval+rand.N(writeSpread))
	}
}

// setEnded records that Run returns.
func (r *Registry) setEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	close(r.written)
	r.written = make(chan struct{})
}

// retryDelay returns the time from a failed call of the row to the next one. While callers wait for a
// plan, calls are repeated soon.
func (r *Registry) retryDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ledger.LacksAnyPlan() && time.Since(r.failingSince) < reportWait {
		return writeInterval + rand.N(writeInterval)
	}
	return retryInterval + rand.N(retryInterval)
}

// rowCallTimeout returns the timeout of the next call of the row.
func (r *Registry) rowCallTimeout() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended && r.ledger.LacksAnyPlan() && r.failingSince.IsZero() {
		return firstCallTimeout
	}
	return callTimeout
}

// delayStart waits before the first write after a restart, unless callers wait for a plan that the
// row from before lacks.
func (r *Registry) delayStart(ctx context.Context) {
	for end := time.Now().Add(startDelay + rand.N(startSpread)); ctx.Err() == nil && time.Now().Before(end); {
		r.mu.Lock()
		lacks := r.ledger.LacksAnyPlan()
		r.mu.Unlock()
		if lacks {
			return
		}
		sleep.For(ctx, min(writeInterval, time.Until(end)))
	}
}

// readOwn reads the row of this VM and reports whether there is one by which others still
// believe streams to begin.
func (r *Registry) readOwn(ctx context.Context) (found bool, err error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.rowCallTimeout())
	defer cancel()
	row, err := r.ownRow().Read(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.recordCallLocked(began, err)
	if err != nil {
		return false, err
	}
	written := uint64(epoch.First) // without a row, nothing tells whether epochs begin with 0
	if row != nil {
		if report, ok := r.parse(row); ok {
			r.ledger.Merge(report, time.Now())
			written, found = report.Epoch, report.EndedAt.IsZero()
		}
	}
	if found {
		r.checkDue = time.Now().Add(checkDelay)
	}
	if r.Epoch() > epoch.First || written < r.Epoch() {
		r.ledger.HandleRestore(time.Now()) // it may just have been
	}
	if written < r.Epoch() {
		r.ledger.RecordLostReports(written, time.Now())
		time.AfterFunc(origin.Memory, r.handleCompleteReport)
	}
	r.scheduleLocked()
	return found, nil
}

// ownRow returns the row of this VM.
func (r *Registry) ownRow() *ownrow.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.row == nil {
		r.row = ownrow.New(r.Table, rowPrefix+r.VM)
	}
	return r.row
}

// checkOwn looks whether writes of an earlier process of this VM have replaced the row, once they
// no longer take effect. Those of earlier builds have no condition.
func (r *Registry) checkOwn(ctx context.Context) {
	sleep.For(ctx, lateWriteTime+rand.N(lateWriteSpread))
	own := r.ownRow()
	rows, err := r.Table.Get(ctx, &table.GetPayload{Keys: []string{own.Key()}})
	for ; err != nil && ctx.Err() == nil; rows, err = r.Table.Get(ctx, &table.GetPayload{Keys: []string{own.Key()}}) {
		sleep.For(ctx, retryInterval)
	}
	for _, row := range rows {
		if row.Version > own.Version() && own.IsForeign(row.Value) {
			r.mergeForeign(row)
		}
	}
}

// mergeForeign takes over what an earlier process of this VM wrote after its row had been read,
// and has the row written again.
func (r *Registry) mergeForeign(row *table.Row) {
	report, ok := r.parse(row)
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.ledger.MergeLate(report, time.Now())
	}
	r.Logger.WithField("row", row.Key).Info("an earlier process of this VM has written the row of streams, writing it again")
	r.scheduleLocked()
}

// startDue begins what is due, a read of the plans of the others or a refresh of the row, and
// returns the time until something is.
func (r *Registry) startDue(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := planInterval
	if !r.refreshDue.IsZero() {
		if !now.Before(r.refreshDue) {
			r.refreshDue = now.Add(origin.RefreshInterval)
			r.scheduleLocked()
		}
		left = min(left, r.refreshDue.Sub(now))
	}
	switch {
	case r.checkDue.IsZero():
	case now.Before(r.checkDue):
		left = min(left, r.checkDue.Sub(now))
	default:
		r.checkDue = time.Time{}
		go r.check(now)
	}
	return left
}

// check reads the plans of the others.
func (r *Registry) check(now time.Time) {
	current, err := r.readSince(context.Background(), now)
	r.mu.Lock()
	defer r.mu.Unlock()
	differ, exceptions := true, false
	if err == nil {
		differ, exceptions = r.ledger.SetOthers(current.reports, r.Epoch(), now)
	}
	if differ && r.checkDue.IsZero() {
		r.checkDue = now.Add(checkInterval + time.Duration(r.Daemons())*checkSpread)
		r.wakeLocked()
	}
	if exceptions {
		r.scheduleLocked()
	}
	if err == nil && len(current.gone) > 0 {
		go r.deleteRows(current.gone)
	}
}

// deleteRows deletes rows that nobody has written since they were read.
func (r *Registry) deleteRows(rows []*table.Row) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	p := &table.CommitPayload{}
	for _, row := range rows[:min(len(rows), maxDeletedRows)] {
		p.Conditions = append(p.Conditions, &table.Condition{Key: row.Key, Version: row.Version})
		p.Writes = append(p.Writes, &table.Write{Key: row.Key, Delete: true})
	}
	if _, err := r.Table.Commit(ctx, p); err != nil {
		if platformapi.AsConflict(err) == nil { // otherwise another daemon has deleted them
			r.Logger.WithField("error", platformapi.Reason(err)).Info("cannot delete the reports of daemons that are gone, will retry")
		}
		return
	}
	r.Logger.WithField("rows", len(p.Writes)).Info("reports of daemons that are gone deleted")
}

// Finish tells the others that this daemon begins no more streams. Run must have returned.
func (r *Registry) Finish(ctx context.Context, now time.Time) {
	r.mu.Lock()
	report := r.ledger.Report(now)
	report.Epoch, report.EndedAt = r.ledger.Epoch(r.Epoch(), now), now
	for service, plan := range report.Plans {
		report.Plans[service] = plan.Confirm(now) // the report has all streams that began otherwise
	}
	r.mu.Unlock()
	value, err := encodeReport(report)
	if err == nil && len(report.Plans) > 0 {
		var foreign *table.Row
		if foreign, err = r.commit(ctx, value); foreign != nil {
			_, err = r.commit(ctx, value)
		}
	}
	if err != nil {
		r.Logger.WithField("error", platformapi.Reason(err)).Info("cannot tell other daemons that no more streams begin here")
	}
}

// commit writes the row, unless an earlier process of this VM has written it meanwhile. That row
// is returned then.
func (r *Registry) commit(ctx context.Context, value []byte) (foreign *table.Row, err error) {
	ctx, cancel := context.WithTimeout(ctx, r.rowCallTimeout())
	defer cancel()
	return r.ownRow().Write(ctx, value)
}

// startWriting records that a report is being written.
func (r *Registry) startWriting(report origin.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writing == nil {
		r.writing = &reportWrite{done: make(chan struct{})}
	}
	r.writing.reports = append(r.writing.reports, report)
}

// isUnconfirmed reports whether the plans are in use and others do not know that yet.
func (r *Registry) isUnconfirmed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writing != nil
}

// isChanged reports whether the row is to be written.
func (r *Registry) isChanged() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// write writes the row and reports whether that succeeded.
func (r *Registry) write(ctx context.Context) bool {
	r.mu.Lock()
	r.changed = false
	report := r.ledger.Report(time.Now())
	report.Epoch = r.ledger.Epoch(r.Epoch(), report.At)
	r.mu.Unlock()
	if len(report.Plans) == 0 {
		return true
	}
	value, err := encodeReport(report)
	var foreign *table.Row
	if err == nil {
		r.startWriting(report)
		foreign, err = r.commit(ctx, value)
	}
	if foreign != nil {
		r.mergeForeign(foreign)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	unconfirmed := err == nil && foreign == nil && report.IsUnconfirmed()
	if r.writing != nil && !unconfirmed {
		close(r.writing.done)
		r.writing = nil
	}
	defer r.recordCallLocked(report.At, err)
	if foreign != nil {
		return true // it is written again at once
	}
	if err != nil {
		r.failedAt = report.At
		if ctx.Err() == nil {
			r.Logger.WithField("error", platformapi.Reason(err)).Info("cannot write at which versions streams begin, will retry")
		}
		r.scheduleLocked()
		return false
	}
	if r.checkDue.IsZero() && r.ledger.MayDiffer(report) {
		r.checkDue = report.At.Add(checkDelay)
	}
	if r.ledger.SetReported(report) || r.ledger.PlansChanged() {
		r.scheduleLocked()
	}
	r.refreshDue, r.reportedAt = report.At.Add(origin.RefreshInterval), report.At
	r.logPlans(report)
	return true
}

// logPlans logs the plans of a report that have changed.
func (r *Registry) logPlans(report origin.Report) {
	for service, known := range report.Plans {
		if known.Since.Equal(report.At) {
			r.Logger.WithFields(logrus.Fields{"service": service, "plan": known.Plan.String()}).
				Info("streams begin at other versions")
		}
	}
}
