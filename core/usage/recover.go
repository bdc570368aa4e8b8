package usage

import (
	"context"
	"slices"
	"time"

	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/lease"
	"acaciapath.example/core/platformapi"
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

// remember remembers the totals of a window whose report was accepted.
func (r *Reporter) remember(window *Window) {
	i, found := slices.BinarySearchFunc(r.reported, window.Start, func(w *Window, start time.Time) int { return w.Start.Compare(start) })
	if found {
		return
	}
	r.reported = slices.Insert(r.reported, i, window)
	if len(r.reported) > maxReportedWindows {
		r.reported = slices.Delete(r.reported, 0, 1)
	}
}

// reportedThrough returns the start of the last window that must not be settled again. If
// the last window that was announced is pending here with the totals that were announced,
// it is not among them but returned as repeat, since its report can be repeated. known is
// false if that is not known yet.
func (r *Reporter) reportedThrough(progress Progress, length time.Duration) (through time.Time, repeat *Window, known bool) {
	through = progress.LastWindow
	if n := len(r.reported); n > 0 && r.reported[n-1].Start.After(through) {
		through = r.reported[n-1].Start
	}
	if r.Reported == nil {
		return through, nil, true
	}
	last, known := r.Reported.Last()
	if !last.Window.After(through) {
		return through, nil, known
	}
	if p := r.pending; p != nil && p.Start.Equal(last.Window) && p.Digest() == last.Totals {
		return WindowStart(p.Start.Add(-length), length), p, known
	}
	return last.Window, nil, known
}

// recover writes again what the table lost when it was restored from a backup since the
// progress was recorded: the totals of the windows that this process remembers, and the
// closures of all that were reported. Parts of reported windows are deleted, because they
// are counted. known is false if it is not known yet which windows these are.
func (r *Reporter) recover(ctx context.Context, now time.Time, progress Progress, version uint64, length time.Duration) (known bool, err error) {
	epoch := r.epoch()
	through, repeat, known := r.reportedThrough(progress, length)
	if !known {
		return false, nil
	}
	return true, r.holder.Do(ctx, func(ctx context.Context, grant *lease.Grant) error {
		remembered := slices.Clone(r.reported)
		if repeat != nil {
			remembered = append(remembered, repeat)
		}
		for _, window := range remembered {
			if !window.Start.After(progress.LastWindow) {
				continue
			}
			// Writers whose parts are rejected look for the totals.
			if err := r.insertRow(ctx, WindowKey(window.Start), window, grant); err != nil {
				return err
			}
			if err := r.insertRow(ctx, ClosedKey(window.Start), closure{Window: window.Start}, grant); err != nil {
				return err
			}
			if err := r.moveParts(ctx, window, WindowStart(now, length), length, grant); err != nil {
				return err
			}
		}
		if err := r.closeReported(ctx, progress.LastWindow, through, length, grant); err != nil {
			return err
		}
		if err := r.deletePartsThrough(ctx, through, grant); err != nil {
			return err
		}
		return r.storeProgress(ctx, Progress{LastWindow: through, Epoch: epoch}, version, grant)
	})
}

// closeReported closes the windows after last up to the one that starts at through, and
// marks them as reported. If last is zero, nothing was reported when the backup was made.
func (r *Reporter) closeReported(ctx context.Context, last, through time.Time, length time.Duration, grant *lease.Grant) error {
	most := maxRecoveredWindows
	if last.IsZero() {
		most = maxReportedWindows
	}
	var writes []*table.Write
	for start := through; start.After(last) && len(writes) < most; start = WindowStart(start.Add(-length), length) {
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

// deletePartsThrough deletes the parts of all windows up to the one that starts at through.
func (r *Reporter) deletePartsThrough(ctx context.Context, through time.Time, grant *lease.Grant) error {
	for {
		rows, err := r.table.List(ctx, &table.ListPayload{Prefix: partPrefix, Limit: maxDeletedRows})
		if err != nil {
			return err
		}
		var writes []*table.Write
		for _, row := range rows {
			start, _, err := parsePartKey(row.Key)
			if err != nil {
				return err
			}
			if !start.After(through) {
				writes = append(writes, &table.Write{Key: row.Key, Delete: true})
			}
		}
		if len(writes) == 0 {
			return nil
		}
		_, err = r.table.Commit(ctx, &table.CommitPayload{Conditions: []*table.Condition{grant.Condition()}, Writes: writes})
		if err != nil {
			return asSuperseded(err)
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
