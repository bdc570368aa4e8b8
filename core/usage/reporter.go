package usage

import (
	"context"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/gen/table"
	usageport "acaciapath.example/core/gen/usage"
	"acaciapath.example/core/lease"
	"acaciapath.example/core/platform"

	"github.com/ansel1/merry/v2"
)

// Sizes of calls of the table.
const (
	// pageRows is the number of rows in one answer to a list.
	pageRows = 1000
	// deleteRows is the number of rows deleted in one transaction. The platform
	// takes 100 rows, with those of the conditions.
	deleteRows = 90
)

// maxEmpty is how long windows are reported in which nothing ran, when nothing
// has been reported for a long time.
const maxEmpty = 24 * time.Hour

// ErrSuperseded is returned when a write was refused because the lease of
// usage reports has changed hands.
var ErrSuperseded = merry.Sentinel("usage: lease has changed hands")

// LeaseHolder lends out the grant of the lease of usage reports for one send.
type LeaseHolder interface {
	// Do calls send with the grant and a context that ends with it, or returns
	// an error without calling send.
	Do(ctx context.Context, send func(context.Context, *lease.Grant) error) error
}

var _ LeaseHolder = (*lease.Keeper)(nil)

// Reporter settles usage windows in the name of the lease of usage reports.
type Reporter struct {
	// SettleWhenComplete says that every daemon writes a final part of each window. A window
	// is then settled once it is complete, before the end of the grace.
	SettleWhenComplete bool

	table  table.Service
	usage  usageport.Service
	sender LeaseHolder
	// wrote are the VMs that wrote parts lately, and the last window of each.
	wrote map[string]time.Time
}

// NewReporter returns a reporter that sends in the name of sender.
func NewReporter(rows table.Service, usage usageport.Service, sender LeaseHolder) *Reporter {
	return &Reporter{table: rows, usage: usage, sender: sender, wrote: make(map[string]time.Time)}
}

// Settle closes, fixes and reports the earliest window that is due, and returns
// it, or nil if none is due. After an error it is called again: every step may
// be repeated, and a report that is repeated has the same figures. It returns
// lease.ErrNotHeld or ErrSuperseded if the process is not in charge.
func (r *Reporter) Settle(ctx context.Context, now time.Time, billing config.Billing) (*Window, error) {
	progress, version, err := r.progress(ctx)
	if err != nil {
		return nil, err
	}
	first, err := r.firstPart(ctx)
	if err != nil {
		return nil, err
	}
	start, due := NextWindow(progress.LastWindow, first, now, billing)
	if !due && !start.IsZero() && r.SettleWhenComplete && !now.Before(start.Add(billing.Window)) {
		absent := now.Sub(start) >= absentWindows*billing.Window
		if due, err = r.complete(ctx, start, absent); err != nil {
			return nil, err
		}
	}
	if !due {
		return nil, nil
	}
	var window *Window
	err = r.sender.Do(ctx, func(ctx context.Context, grant *lease.Grant) error {
		window, err = r.fix(ctx, start, grant)
		return err
	})
	if err != nil {
		return nil, err
	}
	if err := r.sender.Do(ctx, func(ctx context.Context, grant *lease.Grant) error {
		return r.report(ctx, window, grant)
	}); err != nil {
		return nil, merry.Prepend(err, "usage: report")
	}
	r.remember(window, billing.Window)
	return window, r.finish(ctx, window, progress, version)
}

// expectWindows is the number of windows for which a VM that writes no parts is
// waited for. One that is cut off from the table writes them through its
// neighbours.
const expectWindows = 1

// remember notes which VMs wrote parts of a window.
func (r *Reporter) remember(window *Window, length time.Duration) {
	for _, vm := range window.VMs() {
		r.wrote[vm] = window.Start
	}
	for vm, last := range r.wrote {
		if window.Start.Sub(last) >= expectWindows*length {
			delete(r.wrote, vm)
		}
	}
}

// absentWindows is the age of a window, in windows, from which VMs that wrote no part
// of it at all are not waited for: they are gone, or nothing helps them to the
// table. The end of the grace may fall into an outage of the table.
const absentWindows = 2

// complete reports whether all parts of a window that has ended are there: a
// final one of each VM that wrote any lately, without those that wrote none of it
// if absent is set. Until a window was settled it is not known which those are.
func (r *Reporter) complete(ctx context.Context, start time.Time, absent bool) (bool, error) {
	if len(r.wrote) == 0 {
		return false, nil
	}
	rows, err := r.parts(ctx, start)
	if err != nil {
		return false, err
	}
	final := make(map[string]bool)
	for _, row := range rows {
		_, name, err := parsePartKey(row.Key)
		if err != nil {
			return false, err
		}
		part, err := decode[Part](row.Value)
		if err != nil {
			return false, err
		}
		final[name.VM] = final[name.VM] || part.Final
	}
	for vm := range r.wrote {
		if _, wrote := final[vm]; !final[vm] && (wrote || !absent) {
			return false, nil
		}
	}
	return true, nil
}

// NextWindow returns the start of the window to settle next, and whether its time
// has come. Last is the last window that was reported and first the earliest
// one with a part; either may be zero. Windows follow each other without a
// gap from last on, so that one in which nothing ran is reported as well,
// unless it is more than a day old. Before the first report, there are no
// windows before the first part.
func NextWindow(last, first, now time.Time, billing config.Billing) (time.Time, bool) {
	length := max(billing.Window, MinWindow)
	next := first
	if !last.IsZero() {
		next = WindowStart(last.Add(length), length)
		if oldest := WindowStart(now.Add(-maxEmpty), length); next.Before(oldest) {
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

// progress returns how far windows have been reported, and the row's version.
func (r *Reporter) progress(ctx context.Context) (Progress, uint64, error) {
	row, err := r.row(ctx, ProgressKey)
	if err != nil || row == nil {
		return Progress{}, 0, err
	}
	progress, err := decode[Progress](row.Value)
	return progress, row.Version, err
}

// firstPart returns the start of the earliest window with a part, or zero.
func (r *Reporter) firstPart(ctx context.Context) (time.Time, error) {
	rows, err := r.table.List(ctx, &table.ListPayload{Prefix: partPrefix, Limit: 1})
	if err != nil || len(rows) == 0 {
		return time.Time{}, err
	}
	start, _, err := parsePartKey(rows[0].Key)
	return start, err
}

// fix returns the fixed figures of a window: those that an earlier reporter
// fixed, else the sums of all parts, after no more can come in.
func (r *Reporter) fix(ctx context.Context, start time.Time, grant *lease.Grant) (*Window, error) {
	fixed, err := r.window(ctx, start)
	if fixed != nil || err != nil {
		return fixed, err
	}
	if err := r.insert(ctx, ClosedKey(start), Progress{LastWindow: start}, grant); err != nil {
		return nil, err
	}
	window, err := r.sum(ctx, start)
	if err != nil {
		return nil, err
	}
	if err := r.insert(ctx, WindowKey(start), window, grant); err != nil {
		return nil, err
	}
	return r.window(ctx, start)
}

// window returns the fixed figures of a window, or nil.
func (r *Reporter) window(ctx context.Context, start time.Time) (*Window, error) {
	row, err := r.row(ctx, WindowKey(start))
	if err != nil || row == nil {
		return nil, err
	}
	window, err := decode[Window](row.Value)
	return &window, err
}

// insert writes a row unless it exists. It returns nil once it certainly does.
func (r *Reporter) insert(ctx context.Context, key string, content any, grant *lease.Grant) error {
	_, err := r.table.Commit(ctx, &table.CommitPayload{
		Conditions: []*table.Condition{{Key: key}, grant.Condition()},
		Writes:     []*table.Write{{Key: key, Value: encode(content)}},
	})
	if platform.AsConflict(err) == nil {
		return err
	}
	row, err := r.row(ctx, key)
	if err == nil && row == nil {
		return ErrSuperseded
	}
	return err
}

// sum adds up the parts of a closed window.
func (r *Reporter) sum(ctx context.Context, start time.Time) (Window, error) {
	window := Window{Start: start, Parts: []PartName{}}
	rows, err := r.parts(ctx, start)
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

// parts returns the rows of all parts of a window.
func (r *Reporter) parts(ctx context.Context, start time.Time) ([]*table.Row, error) {
	var all []*table.Row
	after := ""
	for {
		rows, err := r.table.List(ctx, &table.ListPayload{Prefix: partPrefix + FormatStart(start) + "/", After: after, Limit: pageRows})
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < pageRows {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// report sends the figures of a fixed window.
func (r *Reporter) report(ctx context.Context, window *Window, grant *lease.Grant) error {
	payload := &usageport.ReportPayload{
		Window: FormatStart(window.Start),
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

// finish records that a window was reported and deletes its parts. Parts that
// are left over, because a call failed, make the next Settle repeat the report.
func (r *Reporter) finish(ctx context.Context, window *Window, progress Progress, version uint64) error {
	return r.sender.Do(ctx, func(ctx context.Context, grant *lease.Grant) error {
		if window.Start.After(progress.LastWindow) {
			if err := r.record(ctx, Progress{LastWindow: window.Start}, version, grant); err != nil {
				return err
			}
		}
		return r.deleteParts(ctx, window, grant)
	})
}

func (r *Reporter) record(ctx context.Context, progress Progress, version uint64, grant *lease.Grant) error {
	_, err := r.table.Commit(ctx, &table.CommitPayload{
		Conditions: []*table.Condition{{Key: ProgressKey, Version: version}, grant.Condition()},
		Writes:     []*table.Write{{Key: ProgressKey, Value: encode(progress)}},
	})
	return superseded(err)
}

func (r *Reporter) deleteParts(ctx context.Context, window *Window, grant *lease.Grant) error {
	for first := 0; first < len(window.Parts); first += deleteRows {
		names := window.Parts[first:min(first+deleteRows, len(window.Parts))]
		writes := make([]*table.Write, len(names))
		for i, name := range names {
			writes[i] = &table.Write{Key: PartKey(window.Start, name), Delete: true}
		}
		_, err := r.table.Commit(ctx, &table.CommitPayload{Conditions: []*table.Condition{grant.Condition()}, Writes: writes})
		if err != nil {
			return superseded(err)
		}
	}
	return nil
}

// row returns the row with the given key, or nil.
func (r *Reporter) row(ctx context.Context, key string) (*table.Row, error) {
	rows, err := r.table.Get(ctx, &table.GetPayload{Keys: []string{key}})
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	return rows[0], nil
}

// superseded returns ErrSuperseded for a conflict with the fence row. Any other
// conflict means that an earlier attempt took effect.
func superseded(err error) error {
	conflict := platform.AsConflict(err)
	if conflict == nil {
		return err
	}
	for _, row := range conflict.Rows {
		if row.Key == lease.FenceKey(lease.UsageName) {
			return ErrSuperseded
		}
	}
	return nil
}
