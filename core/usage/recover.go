package usage

import (
	"context"
	"slices"
	"time"

	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/lease"
	"acaciapath.example/core/platformapi"

	"github.com/ansel1/merry/v2"
)

// Limits of what is remembered for the case that the table is restored from a backup.
const (
	// maxReportedWindows is the number of windows whose totals a Reporter remembers.
	maxReportedWindows = 32
	// maxRecoveredWindows is the number of windows that are closed again. A backup that
	// lacks more of them is not expected.
	maxRecoveredWindows = 256
)

// epoch returns the epoch of the table, or 0 if it has none.
func (r *Reporter) epoch() uint64 {
	if r.Epoch == nil {
		return 0
	}
	return r.Epoch()
}

// remember remembers the totals of a window whose report was accepted. progress is that from
// before.
func (r *Reporter) remember(window *Window, progress Progress) {
	r.pending = nil
	i, found := slices.BinarySearchFunc(r.reported, window.Start, func(w *Window, start time.Time) int { return w.Start.Compare(start) })
	if found {
		return
	}
	r.reported = slices.Insert(r.reported, i, window)
	if !window.Start.After(progress.LastWindow) {
		r.reportedLate[window.Start] = true
	}
	if len(r.reported) > maxReportedWindows {
		delete(r.reportedLate, r.reported[0].Start)
		r.reported = slices.Delete(r.reported, 0, 1)
	}
}

// announcement returns what is announced before a window is reported.
func (r *Reporter) announcement(window *Window, progress Progress) Announcement {
	a := Announcement{First: window.Start, Window: window.Start, Totals: window.Digest()}
	last, known := r.Reported.Last()
	if last.Window.IsZero() && (!known || !progress.LastWindow.IsZero()) {
		a.First = time.Time{}
	}
	return a
}

// lastReported returns the windows that may have been reported. If the window that was
// announced last is pending here with the totals that were announced, its report can be
// repeated, and it is returned as well. known is false if that is not known yet.
func (r *Reporter) lastReported(progress Progress) (last Announcement, repeat *Window, known bool) {
	through := progress.LastWindow
	if n := len(r.reported); n > 0 && r.reported[n-1].Start.After(through) {
		through = r.reported[n-1].Start
	}
	if r.Reported == nil {
		return Announcement{Window: through}, nil, true
	}
	last, known = r.Reported.Last()
	if r.pending != nil && r.pending.Digest() == last.Totals {
		repeat = r.pending
	}
	if through.After(last.Window) {
		last.Window = through
	}
	return last, repeat, known
}

// recover writes again what the table lost when it was restored from a backup since the
// progress was recorded: the totals of the windows that this process remembers, and the
// closures of all that were reported. A report that may have failed is sent again, and its
// window is returned as repeat. Parts of reported windows are deleted, because they are
// counted. known is false if it is not known yet which windows these are.
func (r *Reporter) recover(ctx context.Context, now time.Time, progress Progress, version uint64, length time.Duration) (repeat *Window, known bool, err error) {
	epoch := r.epoch()
	last, repeat, known := r.lastReported(progress)
	if !known {
		return nil, false, nil
	}
	return repeat, true, r.holder.Do(ctx, func(ctx context.Context, grant *lease.Grant) error {
		remembered := slices.Clone(r.reported)
		if repeat != nil {
			remembered = append(remembered, repeat)
		}
		for _, window := range remembered {
			if !window.Start.After(progress.LastWindow) && !r.reportedLate[window.Start] && window != repeat {
				continue
			}
			// Writers whose parts are rejected look for the totals.
			if err := r.insertWindow(ctx, window, grant); err != nil {
				return err
			}
			if err := r.insertRow(ctx, ClosedKey(window.Start), encode(closure{Window: window.Start}), grant); err != nil {
				return err
			}
			if err := r.moveParts(ctx, window, WindowStart(now, length), length, grant); err != nil {
				return err
			}
		}
		if repeat != nil {
			if err := r.sendReport(ctx, repeat, grant); err != nil {
				return merry.Prepend(err, "usage: repeat report of window")
			}
			r.remember(repeat, progress)
		}
		if err := r.closeReported(ctx, progress.LastWindow, last, length, grant); err != nil {
			return err
		}
		if err := r.deleteReportedParts(ctx, last, grant); err != nil {
			return err
		}
		return r.storeProgress(ctx, Progress{LastWindow: last.Window, Epoch: epoch}, version, grant)
	})
}

// closeReported closes the windows up to last that were reported since the backup was made,
// and marks them as reported. recorded is the start of the last one that the backup has, or
// zero.
func (r *Reporter) closeReported(ctx context.Context, recorded time.Time, last Announcement, length time.Duration, grant *lease.Grant) error {
	most := maxRecoveredWindows
	if recorded.IsZero() && last.First.IsZero() {
		most = maxReportedWindows
	}
	var writes []*table.Write
	for start := last.Window; start.After(recorded) && last.Covers(start) && len(writes) < most; start = WindowStart(start.Add(-length), length) {
		writes = append(writes, &table.Write{Key: ClosedKey(start), Value: encode(closure{Window: start, Reported: true})})
	}
	for batch := range slices.Chunk(writes, maxDeletedRows) {
		_, err := r.table.Commit(ctx, &table.CommitPayload{Conditions: []*table.Condition{grant.Condition()}, Writes: batch})
		if err != nil {
			return asSuperseded(err)
		}
	}
	return nil
}

// deleteReportedParts deletes the parts of all windows up to last that were reported.
func (r *Reporter) deleteReportedParts(ctx context.Context, last Announcement, grant *lease.Grant) error {
	after := ""
	for {
		rows, err := r.table.List(ctx, &table.ListPayload{Prefix: partPrefix, After: after, Limit: maxDeletedRows})
		if err != nil || len(rows) == 0 {
			return err
		}
		after = rows[len(rows)-1].Key
		var writes []*table.Write
		for _, row := range rows {
			start, _, err := parsePartKey(row.Key)
			if err != nil {
				return err
			}
			if start.After(last.Window) {
				break // rows are sorted by the start of their window
			}
			if last.Covers(start) {
				writes = append(writes, &table.Write{Key: row.Key, Delete: true})
			}
		}
		if len(writes) > 0 {
			_, err = r.table.Commit(ctx, &table.CommitPayload{Conditions: []*table.Condition{grant.Condition()}, Writes: writes})
			if err != nil {
				return asSuperseded(err)
			}
		}
	}
}

// moveParts moves the parts of a closed window that its totals do not contain to the
// earliest open window from open on. They were inserted after the table was restored and
// before the window was closed again.
func (r *Reporter) moveParts(ctx context.Context, window *Window, open time.Time, length time.Duration, grant *lease.Grant) error {
	rows, err := r.listParts(ctx, window.Start)
	if err != nil {
		return err
	}
	for _, row := range rows {
		_, name, err := parsePartKey(row.Key)
		if err != nil {
			return err
		}
		if slices.Contains(window.Parts, name) {
			continue
		}
		part, err := decode[Part](row.Value)
		if err != nil {
			return err
		}
		if open, err = r.movePart(ctx, row.Key, part, name, open, length, grant); err != nil {
			return err
		}
	}
	return nil
}

// movePart moves the part with the given key to the earliest open window from open on, and
// returns the start of that window. A mark tells its writer that it was moved.
func (r *Reporter) movePart(ctx context.Context, key string, part Part, name PartName, open time.Time, length time.Duration, grant *lease.Grant) (time.Time, error) {
	mark := adoptedKey(part.Window, name)
	for range maxFlushAttempts {
		moved := Part{Window: open, Lines: part.Lines}
		_, err := r.table.Commit(ctx, &table.CommitPayload{
			Conditions: []*table.Condition{{Key: mark}, {Key: ClosedKey(open)}, grant.Condition()},
			Writes: []*table.Write{
				{Key: key, Delete: true},
				{Key: mark, Value: []byte("{}")},
				{Key: PartKey(open, name), Value: encode(moved)},
			},
		})
		conflict := platformapi.AsConflict(err)
		if conflict == nil {
			return open, err
		}
		if err := asSuperseded(err); err != nil {
			return open, err
		}
		if slices.ContainsFunc(conflict.Rows, func(row *table.Row) bool { return row.Key == mark }) {
			return open, nil // an earlier attempt has moved it
		}
		open = WindowStart(open.Add(length), length)
	}
	return open, ErrWindowClosed
}
