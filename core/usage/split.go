package usage

import (
	"bytes"
	"context"
	"slices"
	"strconv"
	"time"

	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/lease"

	"github.com/ansel1/merry/v2"
)

// DefaultRowBytes is the size of a row that a Reporter and a Writer do not exceed by default. The
// platform takes 64 KB in an encoding that adds a third.
const DefaultRowBytes = 48 << 10

// maxSplitRows is the number of rows of totals that are written in one transaction. The platform takes 1 MB.
const maxSplitRows = 8

// split is the value of the row of a window whose totals do not fit into one row. It is encoded as a list
// with this as its only element: builds that do not know it must not take it for a Window.
type split struct {
	// Rows is the number of rows with the encoded Window, and Digest that of the Window.
	Rows   int    `json:"rows"`
	Digest string `json:"digest"`
}

// key returns the key of the row with part i of the encoded totals of a window. Rows of other totals
// have other keys.
func (s split) key(window time.Time, i int) string {
	return splitPrefix + FormatWindowStart(window) + "/" + s.Digest + "/" + strconv.Itoa(i)
}

// keys returns the keys of all rows.
func (s split) keys(window time.Time) []string {
	keys := make([]string, s.Rows)
	for i := range keys {
		keys[i] = s.key(window, i)
	}
	return keys
}

// insertWindow writes the totals of a window unless they exist. It returns nil only if totals are known
// to exist, and ErrSuperseded if the lease has changed hands.
func (r *Reporter) insertWindow(ctx context.Context, window *Window, grant *lease.Grant) error {
	value := encode(window)
	if len(value) <= r.RowBytes {
		return r.insertRow(ctx, WindowKey(window.Start), value, grant)
	}
	rows := slices.Collect(slices.Chunk(value, r.RowBytes))
	s := split{Rows: len(rows), Digest: window.Digest()}
	var writes []*table.Write
	for i, row := range rows {
		writes = append(writes, &table.Write{Key: s.key(window.Start, i), Value: row})
	}
	for batch := range slices.Chunk(writes, maxSplitRows) {
		// Their content follows from their keys, so that they may be written again.
		_, err := r.table.Commit(ctx, &table.CommitPayload{Conditions: []*table.Condition{grant.Condition()}, Writes: batch})
		if err = asSuperseded(err); err != nil {
			return err
		}
	}
	return r.insertRow(ctx, WindowKey(window.Start), encode([]split{s}), grant)
}

// readWindow returns the fixed totals of a window, or nil if they are not fixed. It returns
// ErrMalformedRow if they cannot be read.
func readWindow(ctx context.Context, rows table.Service, start time.Time) (*Window, error) {
	found, err := rows.Get(ctx, &table.GetPayload{Keys: []string{WindowKey(start)}})
	if err != nil || len(found) == 0 {
		return nil, err
	}
	value := found[0].Value
	if bytes.HasPrefix(value, []byte("[")) {
		if value, err = joinRows(ctx, rows, start, value); err != nil {
			return nil, err
		}
	}
	window, err := decode[Window](value)
	return &window, err
}

// joinRows returns the encoded totals of a window whose row has the given value, a list with a split.
func joinRows(ctx context.Context, rows table.Service, start time.Time, value []byte) ([]byte, error) {
	list, err := decode[[]split](value)
	if err != nil {
		return nil, err
	}
	if len(list) != 1 {
		return nil, merry.Wrap(ErrMalformedRow, merry.AppendMessagef("%d splits of window %s", len(list), FormatWindowStart(start)))
	}
	keys := list[0].keys(start)
	found, err := rows.Get(ctx, &table.GetPayload{Keys: keys})
	if err != nil {
		return nil, err
	}
	byKey := make(map[string][]byte, len(found))
	for _, row := range found {
		byKey[row.Key] = row.Value
	}
	var joined []byte
	for _, key := range keys {
		part, ok := byKey[key]
		if !ok {
			return nil, merry.Wrap(ErrMalformedRow, merry.AppendMessagef("row %s is missing", key))
		}
		joined = append(joined, part...)
	}
	return joined, nil
}

// splitPart returns the first lines of a part, as many as fit into a row of the given size and one at
// least, and a part with the rest, which is empty if all do. Only the last one is final.
func splitPart(part Part, rowBytes int) (first, rest Part) {
	size := len(encode(Part{Window: part.Window, Final: part.Final}))
	for i, line := range part.Lines {
		if size += len(encode(line)) + 1; size > rowBytes && i > 0 {
			return Part{Window: part.Window, Lines: part.Lines[:i:i]}, Part{Window: part.Window, Lines: part.Lines[i:], Final: part.Final}
		}
	}
	return part, Part{}
}
