package usage

import (
	"context"
	"slices"
	"time"

	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/lease"
)

// Limits of what is remembered for the case that the table is restored from a backup.
const (
	// maxFixedWindows is the number of windows whose totals a Reporter remembers.
	maxFixedWindows = 32
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

// remember remembers the totals of a window.
func (r *Reporter) remember(window *Window) {
	i, found := slices.BinarySearchFunc(r.fixed, window.Start, func(w *Window, start time.Time) int { return w.Start.Compare(start) })
	if found {
		return
	}
	r.fixed = slices.Insert(r.fixed, i, window)
	if len(r.fixed) > maxFixedWindows {
		r.fixed = slices.Delete(r.fixed, 0, 1)
	}
}

// reportedThrough returns the start of the last window that must not be settled again. A
// window whose totals this process remembers and whose report it has not seen accepted is
// not among them, since its report can be repeated. known is false if that is not known
// yet.
func (r *Reporter) reportedThrough(progress Progress, length time.Duration) (through time.Time, known bool) {
	through = progress.LastWindow
	announced, known := r.announcedThrough()
	for _, t := range []time.Time{r.confirmed, announced} {
		if t.After(through) {
			through = t
		}
	}
	for i := len(r.fixed) - 1; i >= 0 && r.fixed[i].Start.After(r.confirmed) && r.fixed[i].Start.Equal(through); i-- {
		through = WindowStart(through.Add(-length), length)
	}
	return through, known
}

// announcedThrough returns what Reported knows, or zero if it is nil.
func (r *Reporter) announcedThrough() (start time.Time, known bool) {
	if r.Reported == nil {
		return time.Time{}, true
	}
	return r.Reported.Through()
}

// recover writes again what the table lost when it was restored from a backup since the
// progress was recorded: the totals of the windows that this process remembers, and the
// closures of all that were reported. Parts of reported windows are deleted, because they
// are counted. It reports whether no window may be settled yet.
func (r *Reporter) recover(ctx context.Context, progress Progress, version uint64, length time.Duration) (bool, error) {
	epoch := r.epoch()
	if progress.Epoch >= epoch {
		return false, nil
	}
	through, known := r.reportedThrough(progress, length)
	if !known || through.IsZero() {
		return !known, nil
	}
	return true, r.holder.Do(ctx, func(ctx context.Context, grant *lease.Grant) error {
		for _, window := range r.fixed {
			if !window.Start.After(progress.LastWindow) {
				continue
			}
			if err := r.insertRow(ctx, ClosedKey(window.Start), closure{Window: window.Start}, grant); err != nil {
				return err
			}
			if err := r.insertRow(ctx, WindowKey(window.Start), window, grant); err != nil {
				return err
			}
		}
		start := through
		for i := 0; i < maxRecoveredWindows && start.After(progress.LastWindow); i++ {
			if err := r.insertRow(ctx, ClosedKey(start), closure{Window: start, Reported: true}, grant); err != nil {
				return err
			}
			if progress.LastWindow.IsZero() && i >= maxFixedWindows {
				break // nothing was reported when the backup was made
			}
			start = WindowStart(start.Add(-length), length)
		}
		if err := r.deletePartsThrough(ctx, through, grant); err != nil {
			return err
		}
		return r.storeProgress(ctx, Progress{LastWindow: through, Epoch: epoch}, version, grant)
	})
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
