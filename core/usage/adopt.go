package usage

import (
	"context"
	"slices"
	"strings"
	"time"

	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/platformapi"

	"github.com/ansel1/merry/v2"
)

// adoptedPrefix is the prefix of the keys of rows that mark adopted parts.
const adoptedPrefix = "usage/adopted/"

// maxAdoptedParts is the maximum number of adopted parts that wait to be written.
const maxAdoptedParts = 256

// ErrTooManyAdopted is returned by Writer.Adopt if maxAdoptedParts are waiting.
var ErrTooManyAdopted = merry.Sentinel("usage: too many adopted parts are waiting")

// adoptedPart is a part of another process whose window was closed before the part
// could be inserted. That process has ended, so the usage is written here, as a part
// of this VM in a later window.
//
// Several processes may adopt the same part. Each inserts marks together with the
// usage, and the table accepts every mark only once.
type adoptedPart struct {
	// origin is the name of the part, and part its content with its own window.
	origin PartName
	part   Part
	// marks are the keys of rows that are inserted with the usage.
	marks []string
	// written is the start of the window in which the usage was written, or zero.
	written time.Time
}

// key returns the key of the row of the part under its own name.
func (a *adoptedPart) key() string { return PartKey(a.part.Window, a.origin) }

// adoptedKey returns the key of the row that marks a part as adopted.
func adoptedKey(window time.Time, origin PartName) string {
	return adoptedPrefix + FormatWindowStart(window) + "/" + origin.VM + "/" + origin.ID
}

// Adopt takes over a commit by which the Writer of another process, which has ended,
// tried to insert a part, and which the table rejected. Flush writes its usage unless
// it is counted already. It returns ErrMalformedRow if the commit inserts no part.
func (w *Writer) Adopt(commit *table.CommitPayload) error {
	adopted, err := parsePartCommit(commit)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.adopted) >= maxAdoptedParts {
		return ErrTooManyAdopted
	}
	w.adopted = append(w.adopted, adopted)
	return nil
}

// parsePartCommit returns the part that a commit of a Writer inserts.
func parsePartCommit(commit *table.CommitPayload) (adoptedPart, error) {
	var adopted adoptedPart
	for _, write := range commit.Writes {
		switch {
		case write.Delete:
			return adopted, merry.Wrap(ErrMalformedRow, merry.WithValue("key", write.Key))
		case strings.HasPrefix(write.Key, adoptedPrefix):
			adopted.marks = append(adopted.marks, write.Key)
		default:
			_, origin, err := parsePartKey(write.Key)
			if err != nil {
				return adopted, err
			}
			if adopted.part, err = decode[Part](write.Value); err != nil {
				return adopted, err
			}
			adopted.origin = origin
		}
	}
	if adopted.origin == (PartName{}) {
		return adopted, merry.Wrap(ErrMalformedRow, merry.AppendMessage("the commit inserts no part"))
	}
	adopted.marks = append(adopted.marks, adoptedKey(adopted.part.Window, adopted.origin))
	return adopted, nil
}

// flushAdopted writes the adopted parts. The caller holds w.flushMu.
func (w *Writer) flushAdopted(ctx context.Context, now time.Time, length time.Duration) error {
	for {
		w.mu.Lock()
		if len(w.adopted) == 0 {
			w.mu.Unlock()
			return nil
		}
		adopted := w.adopted[0]
		w.mu.Unlock()
		if err := w.writeAdopted(ctx, &adopted, now, length); err != nil {
			return err
		}
		w.mu.Lock()
		w.adopted = slices.Delete(w.adopted, 0, 1)
		if !adopted.written.IsZero() {
			w.adoptedWritten = append(w.adoptedWritten, adopted)
			w.adoptedWritten = w.adoptedWritten[max(0, len(w.adoptedWritten)-maxAdoptedParts):]
		}
		w.mu.Unlock()
	}
}

// flushMarks inserts the marks again that the table has lost. Without them, a part that its
// origin or another process sends again would be adopted once more. The caller holds w.flushMu.
func (w *Writer) flushMarks(ctx context.Context) error {
	for {
		w.mu.Lock()
		marks := w.lostMarks
		w.mu.Unlock()
		if len(marks) == 0 {
			return nil
		}
		_, err := w.table.Commit(ctx, &table.CommitPayload{
			Conditions: []*table.Condition{{Key: marks[0]}}, Writes: []*table.Write{{Key: marks[0], Value: []byte("{}")}},
		})
		if err != nil && platformapi.AsConflict(err) == nil {
			return merry.Prepend(err, "usage: write mark of adopted part")
		}
		w.mu.Lock()
		if len(w.lostMarks) > 0 && w.lostMarks[0] == marks[0] {
			w.lostMarks = w.lostMarks[1:]
		}
		w.mu.Unlock()
	}
}

// writeAdopted inserts the usage of an adopted part into an open window. It returns nil
// once the usage is counted, here or elsewhere.
func (w *Writer) writeAdopted(ctx context.Context, adopted *adoptedPart, now time.Time, length time.Duration) error {
	counted, err := w.wasCounted(ctx, &sentPart{name: adopted.origin, part: adopted.part, restored: true})
	if counted || err != nil {
		return err
	}
	for range maxFlushAttempts {
		w.mu.Lock()
		window := w.openWindow(now, length)
		w.mu.Unlock()
		commit, key := w.adoptedCommit(*adopted, window)
		_, err := w.table.Commit(ctx, commit)
		conflict := platformapi.AsConflict(err)
		if conflict == nil {
			if err == nil {
				adopted.written = window
			}
			return err
		}
		for _, row := range conflict.Rows {
			if row.Version > 0 && (row.Key == key || row.Key == adopted.key() || slices.Contains(adopted.marks, row.Key)) {
				return nil // an earlier attempt or another process has inserted it
			}
		}
		w.mu.Lock()
		w.markClosed(window, length)
		w.mu.Unlock()
	}
	return ErrWindowClosed
}

// adoptedCommit returns the commit that inserts the usage of an adopted part into a
// window, and the key of the row with the usage.
func (w *Writer) adoptedCommit(adopted adoptedPart, window time.Time) (*table.CommitPayload, string) {
	key := PartKey(window, PartName{VM: w.vm, ID: adopted.origin.VM + "~" + adopted.origin.ID})
	commit := &table.CommitPayload{
		Conditions: []*table.Condition{{Key: ClosedKey(window)}, {Key: key}, {Key: adopted.key()}},
		Writes:     []*table.Write{{Key: key, Value: encode(Part{Window: window, Lines: adopted.part.Lines})}},
	}
	for _, mark := range adopted.marks {
		commit.Conditions = append(commit.Conditions, &table.Condition{Key: mark})
		commit.Writes = append(commit.Writes, &table.Write{Key: mark, Value: []byte("{}")})
	}
	return commit, key
}
