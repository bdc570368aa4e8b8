package usage

import (
	"context"
	"slices"
	"sync"
	"time"

	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/platform"

	"github.com/ansel1/merry/v2"
)

// maxWaiting is the most windows whose parts wait at once, during an outage.
const maxWaiting = 16

// maxMoves bounds how many closed windows a part is moved on by in one Flush.
const maxMoves = 16

// Writer inserts the parts of one process into the platform's table. It is
// safe for concurrent use.
//
// At most one part is on its way at a time. Until its fate is certain it is
// sent again unchanged under the same key, and since the row is inserted once
// and only while the window is open, it is counted once. What is added in the
// meantime is merged into one list of lines, so that an outage of any length
// takes memory for one line of each key.
type Writer struct {
	table    table.Service
	vm       string
	instance string

	flush sync.Mutex // held by Flush

	mu sync.Mutex // guards the fields below
	// waiting are the parts that were not sent yet, one for each window.
	waiting  []Part
	sent     *sentPart
	sequence uint64
	// earliest is the start before which all windows of this process are
	// known to be closed.
	earliest time.Time
}

// sentPart is a part that may have reached the table.
type sentPart struct {
	name PartName
	part Part
}

// NewWriter returns a writer for a process on the VM with the given name.
// Instance differs for each process that ever runs on the VM; neither has a
// slash.
func NewWriter(service table.Service, vm, instance string) *Writer {
	return &Writer{table: service, vm: vm, instance: instance}
}

// Add takes over the figures of a part. They go into its window, or, if it has
// none or that is closed by the time they are written, into the one that is open
// then. A part without figures is written only if it is final.
func (w *Writer) Add(part Part) {
	if len(part.Lines) == 0 && !part.Final {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.merge(part)
}

// merge adds figures to the part that waits for their window. Beyond maxWaiting
// windows, the oldest ones are merged.
func (w *Writer) merge(part Part) {
	i, found := slices.BinarySearchFunc(w.waiting, part, func(a, b Part) int { return a.Window.Compare(b.Window) })
	if found {
		w.waiting[i].Lines = Sum(w.waiting[i].Lines, part.Lines)
		w.waiting[i].Final = w.waiting[i].Final || part.Final
		return
	}
	w.waiting = slices.Insert(w.waiting, i, part)
	if len(w.waiting) > maxWaiting {
		w.waiting[1].Lines = Sum(w.waiting[0].Lines, w.waiting[1].Lines)
		w.waiting = slices.Delete(w.waiting, 0, 1)
	}
}

// Pending returns the figures that are not known to be in the table.
func (w *Writer) Pending() []Line {
	w.mu.Lock()
	defer w.mu.Unlock()
	var lists [][]Line
	for _, part := range w.waiting {
		lists = append(lists, part.Lines)
	}
	if w.sent != nil {
		lists = append(lists, w.sent.part.Lines)
	}
	return Sum(lists...)
}

// Flush writes all that was added, into the window of the given length that
// holds now. It returns nil once nothing is pending; after an error it is
// called again and goes on where it was.
func (w *Writer) Flush(ctx context.Context, now time.Time, length time.Duration) error {
	w.flush.Lock()
	defer w.flush.Unlock()
	for range maxMoves {
		sent := w.next(now, length)
		if sent == nil {
			return nil
		}
		if err := w.write(ctx, sent, length); err != nil {
			return err
		}
	}
	if len(w.Pending()) > 0 {
		return ErrWindowClosed
	}
	return nil
}

// next returns the part to send: the one whose fate is not certain, else a new
// one of all that waits, or nil if nothing does.
func (w *Writer) next(now time.Time, length time.Duration) *sentPart {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sent != nil {
		return w.sent
	}
	if len(w.waiting) == 0 {
		return nil
	}
	part := w.waiting[0]
	w.waiting = slices.Delete(w.waiting, 0, 1)
	if !part.Window.IsZero() {
		part.Window = WindowStart(part.Window, length)
	}
	if part.Window.IsZero() || part.Window.Before(w.earliest) || now.Sub(part.Window) > max(maxPartAge, length) {
		part.Window, part.Final = w.open(now, length), false
	}
	w.sequence++
	w.sent = &sentPart{name: PartName{VM: w.vm, ID: partID(w.instance, w.sequence)}, part: part}
	return w.sent
}

// open returns the start of the window that holds now, or of the earliest one
// that is not known to be closed.
func (w *Writer) open(now time.Time, length time.Duration) time.Time {
	if start := WindowStart(now, length); start.After(w.earliest) {
		return start
	}
	return w.earliest
}

// write sends a part once. It returns nil if the part's fate is certain.
func (w *Writer) write(ctx context.Context, sent *sentPart, length time.Duration) error {
	key := PartKey(sent.part.Window, sent.name)
	_, err := w.table.Commit(ctx, &table.CommitPayload{
		Conditions: []*table.Condition{{Key: ClosedKey(sent.part.Window)}, {Key: key}},
		Writes:     []*table.Write{{Key: key, Value: encode(sent.part)}},
	})
	if err == nil {
		w.settle(sent, true, length)
		return nil
	}
	if platform.AsConflict(err) == nil {
		return merry.Prepend(err, "usage: write part")
	}
	counted, err := w.counted(ctx, sent)
	if err != nil {
		return merry.Prepend(err, "usage: read part back")
	}
	w.settle(sent, counted, length)
	return nil
}

// counted reports whether an earlier attempt inserted a part that was refused
// just now. The window row is read after the part, because parts are deleted
// only once the window is fixed and lists them.
func (w *Writer) counted(ctx context.Context, sent *sentPart) (bool, error) {
	rows, err := w.table.Get(ctx, &table.GetPayload{Keys: []string{PartKey(sent.part.Window, sent.name)}})
	if err != nil {
		return false, err
	}
	if len(rows) > 0 {
		return true, nil
	}
	rows, err = w.table.Get(ctx, &table.GetPayload{Keys: []string{WindowKey(sent.part.Window)}})
	if err != nil || len(rows) == 0 {
		return false, err
	}
	window, err := decode[Window](rows[0].Value)
	if err != nil {
		return false, err
	}
	return slices.Contains(window.Parts, sent.name), nil
}

// settle ends the part on its way. If it was not counted, its window is closed
// and its figures wait for a later one.
func (w *Writer) settle(sent *sentPart, counted bool, length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent = nil
	if counted {
		return
	}
	if len(sent.part.Lines) > 0 {
		w.merge(sent.part)
	}
	if next := WindowStart(sent.part.Window.Add(max(length, MinWindow)), length); next.After(w.earliest) {
		w.earliest = next
	}
}
