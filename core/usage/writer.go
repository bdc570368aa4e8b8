package usage

import (
	"context"
	"slices"
	"sync"
	"time"

	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/platformapi"

	"github.com/ansel1/merry/v2"
)

// maxWaitingWindows is the maximum number of windows whose parts are kept during an
// outage of the table.
const maxWaitingWindows = 16

// maxInsertedParts is the maximum number of parts that are kept after they were inserted,
// for the case that the table is restored from a backup.
const maxInsertedParts = 64

// maxFlushAttempts is the maximum number of attempts to write parts in one Flush that fail. A
// part that finds its window closed moves on to a later window.
const maxFlushAttempts = 16

// Writer inserts the parts of one process into the platform's table. It is
// safe for concurrent use.
//
// At most one part is in flight at a time. Until its outcome is known, it is sent
// again unchanged under the same key. Because the row is inserted only once and only
// while the window is open, the part is counted once. Usage added in the meantime is
// merged into one part for each window, with one line for each key, and the number of
// windows is bounded. So the memory needed does not grow with the length of an outage.
type Writer struct {
	// RowBytes is the size that rows do not exceed. RowBytes > 0.
	RowBytes int

	table    table.Service
	vm       string
	instance string

	flushMu sync.Mutex // held by Flush

	mu sync.Mutex // guards the fields below
	// inserted are the latest parts that are known to be in the table, and again those
	// that are inserted once more because the table was restored from a backup.
	inserted, again []*sentPart
	// waiting are the parts that were not sent yet, one for each window, sorted by
	// window.
	waiting  []Part
	inFlight *sentPart
	// adopted are parts of processes that have ended.
	adopted []adoptedPart
	// adoptedWritten are the latest of them that were written.
	adoptedWritten []adoptedPart
	// lostMarks are the marks of those that were reported, and which the table may have lost
	// because it was restored from a backup.
	lostMarks []string
	sequence  uint64
	// handingOver states that writes may be handed over to other processes.
	handingOver bool
	// earliestOpen is the start of the earliest window that is not known to be
	// closed.
	earliestOpen time.Time
}

// sentPart is a part that may have been inserted into the table.
type sentPart struct {
	name PartName
	part Part
	// restored states that the table was restored from a backup since the part was first
	// sent, so that it may be counted in a window whose totals the table has lost.
	restored bool
	// resend states that this happened while the part was in flight, so that an answer may
	// be about the table before.
	resend bool
}

// NewWriter returns a Writer for a process on the VM with the given name. instance
// must differ for each process that ever runs on the VM. Neither may contain a slash.
func NewWriter(service table.Service, vm, instance string) *Writer {
	return &Writer{RowBytes: DefaultRowBytes, table: service, vm: vm, instance: instance}
}

// Add queues a part to be written by Flush. Its usage is counted in its own window, or
// in a later open one if the part has a zero Window or its window is closed or too old
// by then. A part without lines is written only if it is final.
func (w *Writer) Add(part Part) {
	if len(part.Lines) == 0 && !part.Final {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.merge(part)
}

// merge adds a part to the waiting part of the same window. If more than
// maxWaitingWindows windows are waiting, it merges the two oldest into the later one.
func (w *Writer) merge(part Part) {
	i, found := slices.BinarySearchFunc(w.waiting, part, func(a, b Part) int { return a.Window.Compare(b.Window) })
	if found {
		w.waiting[i].Lines = Sum(w.waiting[i].Lines, part.Lines)
		w.waiting[i].Final = w.waiting[i].Final || part.Final
		return
	}
	w.waiting = slices.Insert(w.waiting, i, part)
	if len(w.waiting) > maxWaitingWindows {
		w.waiting[1].Lines = Sum(w.waiting[0].Lines, w.waiting[1].Lines)
		w.waiting = slices.Delete(w.waiting, 0, 1)
	}
}

// StartHandOver records that writes may be handed over to other processes from now on, which may
// adopt a part that another one inserts.
func (w *Writer) StartHandOver() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.handingOver = true
}

// Pending returns the sums of all usage that is not known to be in the table.
func (w *Writer) Pending() []Line {
	w.mu.Lock()
	defer w.mu.Unlock()
	var lists [][]Line
	for _, part := range w.waiting {
		lists = append(lists, part.Lines)
	}
	for _, sent := range w.again {
		lists = append(lists, sent.part.Lines)
	}
	if w.inFlight != nil {
		lists = append(lists, w.inFlight.part.Lines)
	}
	return Sum(lists...)
}

// Flush writes all parts that were added or adopted. length is the length of windows, and now
// determines the open window. It returns nil once nothing is pending. After an error,
// the usage is kept and the next Flush continues. It returns ErrWindowClosed if parts
// are still pending after maxFlushAttempts attempts.
func (w *Writer) Flush(ctx context.Context, now time.Time, length time.Duration) error {
	w.flushMu.Lock()
	defer w.flushMu.Unlock()
	if err := w.flushMarks(ctx); err != nil {
		return err
	}
	for w.hasAgain() {
		if _, err := w.send(ctx, w.nextPart(now, length), length); err != nil {
			return err
		}
	}
	for rejected := 0; rejected < maxFlushAttempts; {
		sent := w.nextPart(now, length)
		if sent == nil {
			return w.flushAdopted(ctx, now, length)
		}
		counted, err := w.send(ctx, sent, length)
		if err != nil {
			return err
		}
		if !counted {
			rejected++
		}
	}
	if len(w.Pending()) > 0 {
		return ErrWindowClosed
	}
	return nil
}

// HandleRestore makes the next Flush insert all parts again that belong to windows that were
// not reported, because the table was restored from a backup. last is the last announcement
// of a window. Parts of windows that it covers are counted in reports, unless they were
// inserted again before, after their window was reported. Parts keep their names, so that
// each is still counted once. Parts that were not sent yet go to later windows. length is
// the length of windows.
func (w *Writer) HandleRestore(last Announcement, length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !last.Window.IsZero() {
		w.markClosed(last.Window, length)
	}
	if w.inFlight != nil {
		w.inFlight.restored, w.inFlight.resend = true, true
	}
	for _, sent := range w.inserted {
		if sent.restored || !last.Covers(sent.part.Window) {
			sent.restored = true
			w.again = append(w.again, sent)
		}
	}
	w.inserted = nil
	var reported []adoptedPart
	w.lostMarks = nil
	for _, adopted := range w.adoptedWritten {
		switch {
		case last.Covers(adopted.written):
			reported = append(reported, adopted)
			w.lostMarks = append(w.lostMarks, adopted.marks...)
		case len(w.adopted) < maxAdoptedParts:
			w.adopted = append(w.adopted, adopted)
		}
	}
	w.adoptedWritten = reported
}

// hasAgain reports whether parts wait to be inserted again.
func (w *Writer) hasAgain() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.again) > 0
}

// wasReported reports whether a part belongs to a window that was reported before the table
// was restored from a backup, and may be counted there.
func (w *Writer) wasReported(ctx context.Context, sent *sentPart) (bool, error) {
	w.mu.Lock()
	restored := sent.restored
	w.mu.Unlock()
	if !restored {
		return false, nil
	}
	rows, err := w.table.Get(ctx, &table.GetPayload{Keys: []string{ClosedKey(sent.part.Window)}})
	if err != nil || len(rows) == 0 || len(rows[0].Value) == 0 {
		return false, err
	}
	closed, err := decode[closure](rows[0].Value)
	return closed.Reported, err
}

// nextPart returns the part to send: the one in flight whose outcome is unknown, or
// else the waiting part of the earliest window, or nil if there is none.
func (w *Writer) nextPart(now time.Time, length time.Duration) *sentPart {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inFlight != nil {
		return w.inFlight
	}
	if len(w.again) > 0 {
		w.inFlight = w.again[0]
		w.again = slices.Delete(w.again, 0, 1)
		return w.inFlight
	}
	if len(w.waiting) == 0 {
		return nil
	}
	part, rest := splitPart(w.waiting[0], w.RowBytes)
	if len(rest.Lines) > 0 {
		w.waiting[0] = rest
	} else {
		w.waiting = slices.Delete(w.waiting, 0, 1)
	}
	if !part.Window.IsZero() {
		part.Window = WindowStart(part.Window, length)
	}
	if part.Window.IsZero() || part.Window.Before(w.earliestOpen) || now.Sub(part.Window) > max(maxPartAge, length) {
		part.Window, part.Final = w.openWindow(now, length), false
	}
	w.sequence++
	w.inFlight = &sentPart{name: PartName{VM: w.vm, ID: partID(w.instance, w.sequence)}, part: part}
	return w.inFlight
}

// openWindow returns the start of the window that contains now, or that of the
// earliest window that is not known to be closed if this is later.
func (w *Writer) openWindow(now time.Time, length time.Duration) time.Time {
	if start := WindowStart(now, length); start.After(w.earliestOpen) {
		return start
	}
	return w.earliestOpen
}

// send sends a part once. It returns no error if the outcome is known: the part was
// inserted, and counted is true, or its window is closed and its usage waits for a later window.
func (w *Writer) send(ctx context.Context, sent *sentPart, length time.Duration) (counted bool, err error) {
	key := PartKey(sent.part.Window, sent.name)
	conditions := []*table.Condition{{Key: ClosedKey(sent.part.Window)}, {Key: key}}
	w.mu.Lock()
	if w.handingOver || sent.restored {
		conditions = append(conditions, &table.Condition{Key: adoptedKey(sent.part.Window, sent.name)})
	}
	w.mu.Unlock()
	_, err = w.table.Commit(ctx, &table.CommitPayload{Conditions: conditions, Writes: []*table.Write{{Key: key, Value: encode(sent.part)}}})
	if err == nil {
		w.resolve(sent, true, length)
		return true, nil
	}
	if platformapi.AsConflict(err) == nil {
		return false, merry.Prepend(err, "usage: write part")
	}
	counted, err = w.wasCounted(ctx, sent)
	if err != nil {
		return false, merry.Prepend(err, "usage: check whether part was counted")
	}
	w.resolve(sent, counted, length)
	return counted, nil
}

// wasCounted reports whether an earlier attempt had inserted a part that was rejected
// now. It reads the window row after the row of the part, because a part is deleted
// only after the window was fixed and lists it.
func (w *Writer) wasCounted(ctx context.Context, sent *sentPart) (bool, error) {
	rows, err := w.table.Get(ctx, &table.GetPayload{Keys: []string{PartKey(sent.part.Window, sent.name)}})
	if err != nil {
		return false, err
	}
	if len(rows) > 0 {
		return true, nil
	}
	window, err := readWindow(ctx, w.table, sent.part.Window)
	if err != nil {
		return false, err
	}
	if window != nil && slices.Contains(window.Parts, sent.name) {
		return true, nil
	}
	if adopted, err := w.wasAdopted(ctx, sent); adopted || err != nil || window != nil {
		return adopted, err
	}
	return w.wasReported(ctx, sent)
}

// wasAdopted reports whether another process has adopted a part, or a reporter has moved it to a later
// window, because its own had been reported before the table was restored from a backup.
func (w *Writer) wasAdopted(ctx context.Context, sent *sentPart) (bool, error) {
	rows, err := w.table.Get(ctx, &table.GetPayload{Keys: []string{adoptedKey(sent.part.Window, sent.name)}})
	return len(rows) > 0, err
}

// resolve ends the part in flight, or has it sent again if the table was restored
// meanwhile. If it was not counted, its window is closed, and
// its usage waits for a later window.
func (w *Writer) resolve(sent *sentPart, counted bool, length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight = nil
	if sent.resend {
		sent.resend = false
		w.again = append(w.again, sent)
		return
	}
	if counted {
		w.inserted = append(w.inserted, sent)
		if excess := len(w.inserted) - maxInsertedParts; excess > 0 {
			w.inserted = slices.Delete(w.inserted, 0, excess)
		}
		return
	}
	if len(sent.part.Lines) > 0 {
		w.merge(sent.part)
	}
	w.markClosed(sent.part.Window, length)
}

// markClosed records that the window that starts at window is closed. The caller holds
// w.mu.
func (w *Writer) markClosed(window time.Time, length time.Duration) {
	if next := WindowStart(window.Add(max(length, MinWindow)), length); next.After(w.earliestOpen) {
		w.earliestOpen = next
	}
}
