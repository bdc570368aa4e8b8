package usage

import (
	"context"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/gen/table"
	usageport "acaciapath.example/core/gen/usage"
	"acaciapath.example/core/lease"
	"acaciapath.example/core/platformapi"

	"github.com/ansel1/merry/v2"
)

// Limits of calls to the table.
const (
	// listPageSize is the number of rows requested by one call of List.
	listPageSize = 1000
	// maxDeletedRows is the maximum number of rows deleted in one transaction. The
	// platform accepts 100 rows, including those of the conditions.
	maxDeletedRows = 90
)

// maxEmptyAge is the age up to which windows without usage are still reported after
// a long time without reports.
const maxEmptyAge = 24 * time.Hour

// ErrSuperseded is returned if a write was rejected because the lease of usage
// reports has changed hands.
var ErrSuperseded = merry.Sentinel("usage: lease has changed hands")

// ErrRestored is returned if the table was restored from a backup while a window was
// settled.
var ErrRestored = merry.Sentinel("usage: table was restored from a backup")

// LeaseHolder runs functions under the lease of usage reports.
type LeaseHolder interface {
	// Do calls send with the grant and a context that ends when the grant does.
	// It returns an error without calling send if the lease is not held.
	Do(ctx context.Context, send func(context.Context, *lease.Grant) error) error
}

var _ LeaseHolder = (*lease.Keeper)(nil)

// Reported tells which windows were reported, from memory that a restoration of the table
// does not change.
type Reported interface {
	// Last returns the announcement of the last window that may have been reported. known
	// is false if that is not known yet.
	Last() (last Announcement, known bool)
	// Announce tells the other processes that a window is about to be reported, together
	// with what is known of earlier ones (Announcement.Extend).
	Announce(ctx context.Context, a Announcement) error
}

// Reporter settles usage windows under the lease of usage reports. It is not safe
// for concurrent use.
type Reporter struct {
	// SettleWhenComplete states that every daemon writes a final part of each
	// window. A window is then settled as soon as all its parts are present, before
	// the end of the grace period.
	SettleWhenComplete bool
	// Epoch returns the epoch of the table (core/epoch). It is nil if the table has none.
	Epoch func() uint64
	// Reported is what all processes know of reported windows. It is nil if the table is
	// never restored.
	Reported Reported
	// RowBytes is the size that rows do not exceed. RowBytes > 0.
	RowBytes int

	table  table.Service
	usage  usageport.Service
	holder LeaseHolder
	// lastWritten is the start of the last settled window that each VM wrote parts
	// of. VMs that stopped writing are removed.
	lastWritten map[string]time.Time
	// notBefore is the end of the window after the last one that was settled. Until
	// then, no window can be due, and the table is not read.
	notBefore time.Time
	// reported are the latest windows whose reports by this process were accepted, sorted.
	reported []*Window
	// reportedLate are those of them that were reported after later ones.
	reportedLate map[time.Time]bool
	// pending is the window that this process has fixed or read last, if it does not know
	// that its report was accepted, or nil.
	pending *Window
}

// NewReporter returns a Reporter that reads and writes rows and sends reports to
// usage, under the lease of holder.
func NewReporter(rows table.Service, usage usageport.Service, holder LeaseHolder) *Reporter {
	return &Reporter{RowBytes: DefaultRowBytes, table: rows, usage: usage, holder: holder, lastWritten: make(map[string]time.Time), reportedLate: make(map[time.Time]bool)}
}

// Settle closes, fixes and reports the earliest window that is due, and returns it,
// or nil if none is due. Every step can be repeated: after an error, call Settle
// again; a repeated report has the same totals. It returns lease.ErrNotHeld or
// ErrSuperseded if the process does not hold the lease.
func (r *Reporter) Settle(ctx context.Context, now time.Time, billing config.Billing) (*Window, error) {
	if now.Before(r.notBefore) {
		return nil, nil
	}
	progress, version, err := r.progress(ctx)
	if err != nil {
		return nil, err
	}
	epoch := r.epoch()
	if progress.Epoch < epoch {
		repeat, known, err := r.recover(ctx, now, progress, version, max(billing.Window, MinWindow))
		if !known || err != nil || repeat != nil {
			return repeat, err
		}
		if progress, version, err = r.progress(ctx); err != nil || progress.Epoch < epoch {
			return nil, err
		}
	}
	first, err := r.firstPart(ctx)
	if err != nil {
		return nil, err
	}
	start, due := NextWindow(progress.LastWindow, r.contiguous(first, billing), now, billing)
	if !due && !start.IsZero() && r.SettleWhenComplete && !now.Before(start.Add(billing.Window)) {
		skipAbsent := now.Sub(start) >= absentAfterWindows*billing.Window
		if due, err = r.isComplete(ctx, start, skipAbsent); err != nil {
			return nil, err
		}
	}
	if !due {
		return nil, nil
	}
	var window *Window
	err = r.holder.Do(ctx, func(ctx context.Context, grant *lease.Grant) error {
		if r.epoch() != epoch {
			return ErrRestored
		}
		window, err = r.fixWindow(ctx, start, grant)
		if err != nil {
			return err
		}
		r.pending = window
		if r.Reported != nil {
			return r.Reported.Announce(ctx, r.announcement(window, progress))
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if err := r.holder.Do(ctx, func(ctx context.Context, grant *lease.Grant) error {
		return r.sendReport(ctx, window, grant)
	}); err != nil {
		return nil, merry.Prepend(err, "usage: report window")
	}
	r.remember(window, progress)
	r.recordWriters(window, billing.Window)
	if err := r.finish(ctx, window, progress, version); err != nil {
		return window, err
	}
	r.notBefore = window.Start.Add(2 * max(billing.Window, MinWindow))
	return window, nil
}

// expectedWindows is the number of windows after its last part for which a VM is
// still expected to write parts. This can be short, because a VM that cannot reach
// the table writes its parts through a neighbour.
const expectedWindows = 1

// recordWriters records the VMs that wrote parts of a settled window, and removes
// those that have not written any for expectedWindows.
func (r *Reporter) recordWriters(window *Window, length time.Duration) {
	for _, vm := range window.VMs() {
		r.lastWritten[vm] = window.Start
	}
	for vm, last := range r.lastWritten {
		if window.Start.Sub(last) >= expectedWindows*length {
			delete(r.lastWritten, vm)
		}
	}
}

// absentAfterWindows is the age of a window, in window lengths since its start, from
// which its settlement no longer waits for VMs that wrote no part of it. Such VMs are
// gone, or cannot reach the table even through a neighbour. Waiting until the end of
// the grace period is riskier, because the table may be unavailable then.
const absentAfterWindows = 2

// isComplete reports whether all parts of a window that has ended are present: a final
// part of each VM in lastWritten, except for VMs that wrote no part of the window if
// skipAbsent is set. It is false until a first window was settled, because the VMs
// that write parts are not known before.
func (r *Reporter) isComplete(ctx context.Context, start time.Time, skipAbsent bool) (bool, error) {
	if len(r.lastWritten) == 0 {
		return false, nil
	}
	rows, err := r.listParts(ctx, start)
	if err != nil {
		return false, err
	}
	hasFinal := make(map[string]bool)
	for _, row := range rows {
		_, name, err := parsePartKey(row.Key)
		if err != nil {
			return false, err
		}
		part, err := decode[Part](row.Value)
		if err != nil {
			return false, err
		}
		hasFinal[name.VM] = hasFinal[name.VM] || part.Final
	}
	for vm := range r.lastWritten {
		if _, wrote := hasFinal[vm]; !hasFinal[vm] && (wrote || !skipAbsent) {
			return false, nil
		}
	}
	return true, nil
}

// NextWindow returns the start of the window to settle next, and whether it is due,
// that is, whether its grace period has ended. last is the last reported window and
// first the earliest window with a part; either may be zero. Windows are reported
// without a gap after last, including windows without usage unless they are older
// than maxEmptyAge. Before the first report, the first window is the earliest one
// with a part. If both are zero, the start is zero.
func NextWindow(last, first, now time.Time, billing config.Billing) (time.Time, bool) {
	length := max(billing.Window, MinWindow)
	next := first
	if !last.IsZero() {
		next = WindowStart(last.Add(length), length)
		if oldest := WindowStart(now.Add(-maxEmptyAge), length); next.Before(oldest) {
			next = oldest
		}
		if !first.IsZero() && first.Before(next) {
			next = first
		}
	}
	if next.IsZero() {
		return next, false
	}
	return next, !now.Before(next.Add(length + billing.Grace))
}

// contiguous returns the window to settle for parts of the window that starts at first. Windows
// before the first one that was announced are settled from the latest to the earliest, so that
// announcements cover no window that was not announced.
func (r *Reporter) contiguous(first time.Time, billing config.Billing) time.Time {
	if r.Reported == nil {
		return first
	}
	if last, _ := r.Reported.Last(); first.Before(last.First) && !first.IsZero() {
		length := max(billing.Window, MinWindow)
		return WindowStart(last.First.Add(-length), length)
	}
	return first
}

// progress returns the stored Progress and the version of its row, or zero values if
// there is none.
func (r *Reporter) progress(ctx context.Context) (Progress, uint64, error) {
	row, err := r.getRow(ctx, ProgressKey)
	if err != nil || row == nil {
		return Progress{}, 0, err
	}
	progress, err := decode[Progress](row.Value)
	return progress, row.Version, err
}

// firstPart returns the start of the earliest window that has a part, or zero.
func (r *Reporter) firstPart(ctx context.Context) (time.Time, error) {
	rows, err := r.table.List(ctx, &table.ListPayload{Prefix: partPrefix, Limit: 1})
	if err != nil || len(rows) == 0 {
		return time.Time{}, err
	}
	start, _, err := parsePartKey(rows[0].Key)
	return start, err
}

// fixWindow returns the fixed totals of a window. If no reporter has fixed them yet,
// it closes the window to further parts and stores the sums of all parts.
func (r *Reporter) fixWindow(ctx context.Context, start time.Time, grant *lease.Grant) (*Window, error) {
	fixed, err := readWindow(ctx, r.table, start)
	if fixed != nil || err != nil {
		return fixed, err
	}
	if err := r.insertRow(ctx, ClosedKey(start), encode(closure{Window: start}), grant); err != nil {
		return nil, err
	}
	window, err := r.sumParts(ctx, start)
	if err != nil {
		return nil, err
	}
	if err := r.insertWindow(ctx, &window, grant); err != nil {
		return nil, err
	}
	fixed, err = readWindow(ctx, r.table, start)
	if fixed == nil && err == nil {
		return nil, ErrRestored
	}
	return fixed, err
}

// insertRow writes a row unless it exists. It returns nil only if the row is known to
// exist, and ErrSuperseded if the lease has changed hands.
func (r *Reporter) insertRow(ctx context.Context, key string, value []byte, grant *lease.Grant) error {
	_, err := r.table.Commit(ctx, &table.CommitPayload{
		Conditions: []*table.Condition{{Key: key}, grant.Condition()},
		Writes:     []*table.Write{{Key: key, Value: value}},
	})
	if platformapi.AsConflict(err) == nil {
		return err
	}
	row, err := r.getRow(ctx, key)
	if err == nil && row == nil {
		return ErrSuperseded
	}
	return err
}

// sumParts returns the sums of all parts of a closed window.
func (r *Reporter) sumParts(ctx context.Context, start time.Time) (Window, error) {
	window := Window{Start: start, Parts: []PartName{}}
	rows, err := r.listParts(ctx, start)
	if err != nil {
		return window, err
	}
	lists := make([][]Line, 0, len(rows))
	for _, row := range rows {
		_, name, err := parsePartKey(row.Key)
		if err != nil {
			return window, err
		}
		part, err := decode[Part](row.Value)
		if err != nil {
			return window, err
		}
		window.Parts = append(window.Parts, name)
		lists = append(lists, part.Lines)
	}
	window.Lines = Sum(lists...)
	return window, nil
}

// listParts returns the rows of all parts of a window.
func (r *Reporter) listParts(ctx context.Context, start time.Time) ([]*table.Row, error) {
	var all []*table.Row
	after := ""
	for {
		rows, err := r.table.List(ctx, &table.ListPayload{Prefix: partPrefix + FormatWindowStart(start) + "/", After: after, Limit: listPageSize})
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < listPageSize {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// sendReport reports a fixed window to the platform.
func (r *Reporter) sendReport(ctx context.Context, window *Window, grant *lease.Grant) error {
	payload := &usageport.ReportPayload{
		Window: FormatWindowStart(window.Start),
		Fence:  grant.Fence,
		Holder: grant.Holder,
		Lines:  make([]*usageport.UsageLine, len(window.Lines)),
	}
	for i, line := range window.Lines {
		payload.Lines[i] = &usageport.UsageLine{
			ClientAccount:    line.ClientAccount,
			ServiceClass:     line.ServiceClass,
			Model:            line.Model,
			Requests:         line.Requests,
			PromptTokens:     line.PromptTokens,
			CompletionTokens: line.CompletionTokens,
			Amount:           line.Amount,
		}
	}
	return r.usage.Report(ctx, payload)
}

// finish records that a window was reported and deletes its parts. If a call fails
// and parts are left, the next Settle repeats the report of the window.
func (r *Reporter) finish(ctx context.Context, window *Window, progress Progress, version uint64) error {
	return r.holder.Do(ctx, func(ctx context.Context, grant *lease.Grant) error {
		if window.Start.After(progress.LastWindow) {
			if err := r.storeProgress(ctx, Progress{LastWindow: window.Start, Epoch: r.epoch()}, version, grant); err != nil {
				return err
			}
		}
		return r.deleteParts(ctx, window, grant)
	})
}

func (r *Reporter) storeProgress(ctx context.Context, progress Progress, version uint64, grant *lease.Grant) error {
	_, err := r.table.Commit(ctx, &table.CommitPayload{
		Conditions: []*table.Condition{{Key: ProgressKey, Version: version}, grant.Condition()},
		Writes:     []*table.Write{{Key: ProgressKey, Value: encode(progress)}},
	})
	return asSuperseded(err)
}

func (r *Reporter) deleteParts(ctx context.Context, window *Window, grant *lease.Grant) error {
	for first := 0; first < len(window.Parts); first += maxDeletedRows {
		names := window.Parts[first:min(first+maxDeletedRows, len(window.Parts))]
		writes := make([]*table.Write, len(names))
		for i, name := range names {
			writes[i] = &table.Write{Key: PartKey(window.Start, name), Delete: true}
		}
		_, err := r.table.Commit(ctx, &table.CommitPayload{Conditions: []*table.Condition{grant.Condition()}, Writes: writes})
		if err != nil {
			return asSuperseded(err)
		}
	}
	return nil
}

// getRow returns the row with the given key, or nil.
func (r *Reporter) getRow(ctx context.Context, key string) (*table.Row, error) {
	rows, err := r.table.Get(ctx, &table.GetPayload{Keys: []string{key}})
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	return rows[0], nil
}

// asSuperseded returns ErrSuperseded if err is a conflict on the fence row. It returns
// nil for a conflict on any other row, which means that an earlier attempt of the same
// write took effect.
func asSuperseded(err error) error {
	conflict := platformapi.AsConflict(err)
	if conflict == nil {
		return err
	}
	for _, row := range conflict.Rows {
		if row.Key == lease.FenceKey(lease.UsageReportsName) {
			return ErrSuperseded
		}
	}
	return nil
}
