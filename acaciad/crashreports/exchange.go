package crashreports

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"acaciapath.example/core/epoch"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/ownrow"
	"acaciapath.example/core/platformapi"
	"acaciapath.example/core/quarantine"
	"acaciapath.example/platform"
)

// Intervals of writes.
const (
	// spreadPerDaemon is the time over which the daemons spread their writes, for each of
	// them. Many may see the same crash.
	spreadPerDaemon = 4 * time.Millisecond
	// reportInterval is the least time between two writes of the report.
	reportInterval = 300 * time.Millisecond
	// retryInterval is the time from a failed write to the next attempt.
	retryInterval = time.Second
	// writeTimeout bounds a write.
	writeTimeout = 2 * time.Second
)

// maxRemovedReports is the number of reports of VMs that are gone which are deleted after
// a read of the whole table.
const maxRemovedReports = 16

// spread returns a random part of the time over which the daemons spread their writes.
func (g *Guard) spread() time.Duration {
	return time.Duration(rand.Int64N(int64(spreadPerDaemon) * int64(max(g.Daemons(), 1))))
}

// scheduleReportLocked schedules a write of the report. The caller holds g.mu.
func (g *Guard) scheduleReportLocked(now time.Time) {
	if g.reportDue.IsZero() {
		g.reportDue = maxTime(now.Add(g.spread()), g.reportedAt.Add(reportInterval))
		signal(g.wakeWriter)
	}
}

// setWriteLocked schedules a write of the row of a quarantine. The caller holds g.mu.
func (g *Guard) setWriteLocked(part uint64, w pendingWrite) {
	g.writes[part] = w
	signal(g.wakeWriter)
}

// Run decides on quarantines and writes rows until ctx is done. Decisions do not wait for
// writes, which a store that is away may hold up.
func (g *Guard) Run(ctx context.Context) {
	var writer sync.WaitGroup
	defer writer.Wait()
	writer.Go(func() {
		repeat(ctx, g.wakeWriter, func(now time.Time) time.Duration {
			g.writeReport(ctx, now)
			g.writeQuarantines(ctx, now)
			return g.nextWrite(time.Now().Round(0))
		})
	})
	repeat(ctx, g.wake, func(now time.Time) time.Duration {
		g.evaluate(now)
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.ledger.NextEvaluation(time.Now().Round(0))
	})
}

// repeat calls f until ctx is done: again when wake receives, and after the time that f
// returns unless it is 0.
func repeat(ctx context.Context, wake <-chan struct{}, f func(now time.Time) time.Duration) {
	for ctx.Err() == nil {
		var timer <-chan time.Time
		if wait := f(time.Now().Round(0)); wait > 0 {
			timer = time.After(wait)
		}
		select {
		case <-ctx.Done():
		case <-wake:
		case <-timer:
		}
	}
}

// nextWrite returns the time until a write is due, or 0 if none is.
func (g *Guard) nextWrite(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	var wait time.Duration
	until := func(due time.Time) {
		if d := max(due.Sub(now), time.Millisecond); wait == 0 || d < wait {
			wait = d
		}
	}
	if !g.reportDue.IsZero() {
		until(g.reportDue)
	}
	for _, w := range g.writes {
		until(w.due)
	}
	return wait
}

// evaluate quarantines the parts with sufficient evidence, forgets old ones, and schedules
// the trials that requests ask for.
func (g *Guard) evaluate(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	added, forgotten := g.ledger.Evaluate(now)
	for _, q := range added {
		g.setWriteLocked(q.Part, pendingWrite{due: now.Add(g.spread()), value: q})
		g.logChange(changeDecided, q)
	}
	for _, part := range forgotten {
		g.removeLocked(part, changeEnded, now)
	}
	if len(added) > 0 {
		g.publishLocked()
	}
	g.updateSuspiciousLocked()
	for part, r := range *g.refused.Load() {
		if _, pending := g.writes[part]; pending || !r.trialWanted.Load() {
			continue
		}
		if q, due := g.ledger.NextTrial(part, g.VM, now); due {
			g.setWriteLocked(part, pendingWrite{due: now.Add(g.spread()), trial: true, value: q})
		}
	}
	if g.ownRow && g.ledger.Report().IsEmpty() {
		g.scheduleReportLocked(now)
	}
}

// writeReport writes the report of this daemon if it is due, or deletes its row if there is
// nothing to report.
func (g *Guard) writeReport(ctx context.Context, now time.Time) {
	g.mu.Lock()
	if g.reportDue.IsZero() || now.Before(g.reportDue) || !g.ownRowKnown {
		if !g.reportDue.IsZero() && !g.ownRowKnown && !now.Before(g.reportDue) {
			g.reportDue = now.Add(retryInterval)
		}
		g.mu.Unlock()
		return
	}
	report, hasRow, row := g.ledger.Report(), g.ownRow, g.rowLocked()
	g.reportDue, g.reportedAt = time.Time{}, now
	g.mu.Unlock()
	if report.IsEmpty() && !hasRow {
		return
	}
	foreign, err := writeRow(ctx, row, report)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case foreign != nil:
		g.mergeForeignLocked(foreign.Key, foreign.Value, now)
	case err == nil:
		g.ownRow = !report.IsEmpty()
	case ctx.Err() == nil:
		g.ownRow = true // the store may have it
		g.reportDue = time.Now().Round(0).Add(retryInterval + g.spread())
		g.Logger.WithField("error", platformapi.Reason(err)).Info("cannot write the crash report of this VM, will retry")
	}
}

// writeRow writes a report to the row of this VM, or deletes the row if the report is empty. If
// an earlier process of this VM has written the row meanwhile, it returns that row.
func writeRow(ctx context.Context, row *ownrow.Row, report quarantine.Report) (foreign *table.Row, err error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if report.IsEmpty() {
		return row.Delete(ctx)
	}
	value, err := encodeReport(report)
	if err != nil {
		return nil, err
	}
	return row.Write(ctx, value)
}

// rowLocked returns the row of this VM. The caller holds g.mu.
func (g *Guard) rowLocked() *ownrow.Row {
	if g.row == nil {
		g.row = ownrow.New(g.Table, reportPrefix+g.VM)
	}
	return g.row
}

// mergeForeignLocked takes over what an earlier process of this VM has written to the row, and
// has it written again. The caller holds g.mu.
func (g *Guard) mergeForeignLocked(key string, value []byte, now time.Time) {
	g.ownRow = true
	g.Logger.WithField("row", key).Info("an earlier process of this VM has written the crash report, writing it again")
	if report, err := parseReport(value); err != nil {
		g.Logger.WithError(err).WithField("row", key).Warn("invalid crash report ignored")
	} else {
		lifted, _ := g.ledger.Merge(report, true, now)
		for _, part := range lifted {
			g.removeLocked(part, changeDisproved, now)
		}
	}
	g.scheduleReportLocked(now)
}

// maxTime returns the later of two times.
func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// commit commits a write.
func (g *Guard) commit(ctx context.Context, payload *table.CommitPayload) ([]*table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return g.Table.Commit(ctx, payload)
}

// writeQuarantines writes the rows of quarantines that are due. A row that another daemon
// changed meanwhile is left as it is, since the feed brings that change.
func (g *Guard) writeQuarantines(ctx context.Context, now time.Time) {
	g.mu.Lock()
	due := make(map[uint64]pendingWrite)
	for part, w := range g.writes {
		if !now.Before(w.due) {
			due[part] = w
		}
	}
	g.mu.Unlock()
	for part, w := range due {
		g.writeQuarantine(ctx, part, w)
	}
}

// writeQuarantine writes or deletes the row of a quarantine.
func (g *Guard) writeQuarantine(ctx context.Context, part uint64, w pendingWrite) {
	key := quarantinePrefix + formatPart(part)
	g.mu.Lock()
	version := g.versions[part]
	g.mu.Unlock()
	write := &table.Write{Key: key, Delete: w.remove}
	var err error
	if !w.remove {
		write.Value, err = encodeQuarantine(w.value)
	}
	var rows []*table.Row
	if err == nil {
		rows, err = g.commit(ctx, &table.CommitPayload{
			Conditions: []*table.Condition{{Key: key, Version: version}}, Writes: []*table.Write{write},
		})
	}
	conflict := platformapi.AsConflict(err) != nil
	now := time.Now().Round(0)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil && !conflict {
		if ctx.Err() == nil && g.writes[part] == w {
			w.due = now.Add(retryInterval + g.spread())
			g.writes[part] = w
			g.Logger.WithField("error", platformapi.Reason(err)).WithField("part", formatPart(part)).
				Info("cannot write the row of a quarantined prompt part, will retry")
		}
		return
	}
	if g.writes[part] == w {
		delete(g.writes, part)
	}
	if conflict {
		return
	}
	delete(g.versions, part)
	if len(rows) > 0 {
		g.versions[part] = rows[0].Version
	}
	if w.trial {
		g.ledger.Adopt(w.value, now)
		granted := &atomic.Bool{}
		granted.Store(true)
		g.tried[part] = granted
		g.publishLocked()
		g.logChange(changeTrial, w.value)
	}
}

// Apply applies rows of the table. snapshot states that they are all rows as of a version
// of the store. It returns false, since no further changes are likely to follow.
func (g *Guard) Apply(rows []platform.Row, snapshot bool, version uint64) bool {
	now := time.Now().Round(0)
	g.mu.Lock()
	defer g.mu.Unlock()
	seen := make(map[uint64]bool)
	outdated, ownSeen := 0, false
	for _, row := range rows {
		if row.Key == reportPrefix+g.VM && g.ownRowKnown {
			ownSeen = ownSeen || !row.Deleted
			g.checkOwnLocked(row, now)
			continue
		}
		if vm, ok := strings.CutPrefix(row.Key, reportPrefix); ok && !row.Deleted {
			if newest := g.applyReportLocked(vm, row, now); snapshot && !newest.IsZero() && outdated < maxRemovedReports && g.ledger.Outdated(newest, now) {
				outdated++
				go g.removeReport(row)
			}
			continue
		}
		if part, ok := parseQuarantineKey(row.Key); ok {
			seen[part] = !row.Deleted
			g.applyQuarantineLocked(part, row, now)
		}
	}
	if snapshot {
		if g.ownRow && g.ownRowKnown && !ownSeen && g.rowLocked().Version() <= version {
			g.scheduleReportLocked(now)
		}
		g.applyMissingLocked(seen, version, now)
	}
	g.ownRowKnown = true
	g.publishLocked()
	signal(g.wake)
	return false
}

// checkOwnLocked has the row of this VM written again if another process has written or deleted
// it. Late writes of earlier builds have no condition. The caller holds g.mu.
func (g *Guard) checkOwnLocked(row platform.Row, now time.Time) {
	own := g.rowLocked()
	switch {
	case row.Version <= own.Version():
	case row.Deleted && g.ownRow:
		g.scheduleReportLocked(now)
	case !row.Deleted && own.IsForeign(row.Data):
		own.Adopt(row.Version)
		g.mergeForeignLocked(row.Key, row.Data, now)
	}
}

// applyMissingLocked ends the quarantines whose rows are missing as of a version of the
// store. If the store was restored from a copy since, they are not missing but lost: they
// are written again, and so is the report of this daemon. The caller holds g.mu.
func (g *Guard) applyMissingLocked(seen map[uint64]bool, version uint64, now time.Time) {
	current, _ := epoch.Split(version)
	for part, known := range g.versions {
		if seen[part] || known > version {
			continue
		}
		if written, _ := epoch.Split(known); written == current || !g.ledger.IsQuarantined(part) {
			g.endLocked(part)
			continue
		}
		delete(g.versions, part)
		for _, q := range g.ledger.Quarantined() {
			if q.Part == part {
				g.setWriteLocked(part, pendingWrite{due: now.Add(g.spread()), value: q})
			}
		}
	}
	if restored := g.epoch > 0 && current > g.epoch; restored && (g.ownRow || !g.ledger.Report().IsEmpty()) {
		g.scheduleReportLocked(now)
	}
	g.epoch = max(g.epoch, current)
}

// applyReportLocked applies the report of a VM and returns its newest time. The caller
// holds g.mu.
func (g *Guard) applyReportLocked(vm string, row platform.Row, now time.Time) time.Time {
	own := vm == g.VM
	report, err := parseReport(row.Data)
	if err != nil {
		g.Logger.WithError(err).WithField("row", row.Key).Warn("invalid crash report ignored")
		return time.Time{}
	}
	lifted, tell := g.ledger.Merge(report, own, now)
	if tell {
		g.scheduleReportLocked(now)
	}
	for _, part := range lifted {
		g.removeLocked(part, changeDisproved, now)
	}
	if own {
		g.ownRow = true
		g.rowLocked().Adopt(row.Version)
		return time.Time{}
	}
	return report.Newest()
}

// applyQuarantineLocked applies the row of a quarantine, unless a later one is known. The
// caller holds g.mu.
func (g *Guard) applyQuarantineLocked(part uint64, row platform.Row, now time.Time) {
	if row.Version < g.versions[part] {
		return
	}
	if row.Deleted {
		// While the first row of a quarantine is being written, its version is not known, and
		// the deletion is that of an older row.
		_, versionKnown := g.versions[part]
		if w, pending := g.writes[part]; versionKnown || !pending || w.remove {
			g.endLocked(part)
		}
		return
	}
	q, err := parseQuarantine(part, row.Data)
	if err != nil {
		g.Logger.WithError(err).WithField("row", row.Key).Warn("invalid row of a quarantined prompt part ignored")
		return
	}
	g.versions[part] = row.Version
	if w, pending := g.writes[part]; pending && !w.remove && !w.value.Until.After(q.Until) {
		delete(g.writes, part)
	}
	if g.ledger.Disproved(q) {
		g.setWriteLocked(part, pendingWrite{due: now.Add(g.spread()), remove: true})
		return
	}
	if q.Trial != g.VM {
		delete(g.tried, part)
	}
	if g.ledger.Adopt(q, now) {
		g.logChange(changeLearned, q)
	}
}

// endLocked ends a quarantine whose row was deleted. The caller holds g.mu.
func (g *Guard) endLocked(part uint64) {
	delete(g.versions, part)
	delete(g.writes, part)
	delete(g.tried, part)
	if g.ledger.Lift(part) {
		g.logChange(changeEnded, g.endedLocked(part))
	}
}

// removeReport deletes the report of a VM that is gone, unless it changed.
func (g *Guard) removeReport(row platform.Row) {
	time.Sleep(g.spread())
	_, err := g.commit(context.Background(), &table.CommitPayload{
		Conditions: []*table.Condition{{Key: row.Key, Version: row.Version}}, Writes: []*table.Write{{Key: row.Key, Delete: true}},
	})
	if err != nil && platformapi.AsConflict(err) == nil {
		g.Logger.WithField("error", platformapi.Reason(err)).WithField("row", row.Key).Info("cannot delete an outdated crash report, another daemon will")
	}
}
