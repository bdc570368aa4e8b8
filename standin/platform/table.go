package platform

import (
	"context"
	"slices"
	"sync"

	"acaciapath.example/core/gen/table"
)

// tableService is the table service. It executes one transaction at a time.
type tableService struct {
	server      *Server
	mu          sync.Mutex // guards the fields below
	rows        *rowSet
	lastVersion uint64 // version of the last write
}

var _ table.Service = (*tableService)(nil)

func newTableService(s *Server) *tableService {
	return &tableService{server: s, rows: newRowSet()}
}

// Get returns those of the requested rows that exist.
func (t *tableService) Get(ctx context.Context, p *table.GetPayload) ([]*table.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []*table.Row{}
	for _, key := range p.Keys {
		if row := t.rows.get(key); row != nil {
			rows = append(rows, cloneRow(row))
		}
	}
	e := LogEntry{Outcome: Done}
	if len(p.Keys) > 0 {
		e.ID = p.Keys[0]
	}
	t.server.record(ctx, e)
	return rows, nil
}

// List returns rows whose keys have the prefix, in key order. A limit that is not
// positive or too high means maxListLimit.
func (t *tableService) List(ctx context.Context, p *table.ListPayload) ([]*table.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := p.Limit
	if limit <= 0 || limit > maxListLimit {
		limit = maxListLimit
	}
	rows := []*table.Row{}
	for _, row := range t.rows.list(p.Prefix, p.After, limit) {
		rows = append(rows, cloneRow(row))
	}
	t.server.record(ctx, LogEntry{ID: p.Prefix, Outcome: Done})
	return rows, nil
}

// maxListLimit is the maximum number of rows that List returns. For calls over
// HTTP core/design sets the same limit.
const maxListLimit = 1000

// Commit applies all writes if all conditions hold. Otherwise it applies none and
// returns a *table.Conflict with the current rows of the conditions that failed.
func (t *tableService) Commit(ctx context.Context, p *table.CommitPayload) ([]*table.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if unmetConditions := t.unmetConditions(p.Conditions); len(unmetConditions) > 0 {
		t.server.record(ctx, LogEntry{ID: unmetConditions[0].Key, Outcome: Conflict})
		return nil, &table.Conflict{Message: "a condition did not hold", Rows: unmetConditions}
	}
	written := []*table.Row{}
	for _, w := range p.Writes {
		written = append(written, t.applyWrite(w))
	}
	e := LogEntry{Rows: logRows(written), Outcome: Done}
	if len(written) > 0 {
		e.ID = written[0].Key
	}
	t.server.record(ctx, e)
	return cloneRows(written), nil
}

// unmetConditions returns the current rows of the conditions that do not hold.
// The caller must hold t.mu.
func (t *tableService) unmetConditions(conditions []*table.Condition) []*table.Row {
	var rows []*table.Row
	for _, c := range conditions {
		if t.rows.version(c.Key) == c.Version {
			continue
		}
		row := &table.Row{Key: c.Key, Value: []byte{}}
		if found := t.rows.get(c.Key); found != nil {
			row = cloneRow(found)
		}
		rows = append(rows, row)
	}
	return rows
}

// applyWrite applies one write and returns the resulting row; the version of a
// deleted row is 0. The caller must hold t.mu.
func (t *tableService) applyWrite(w *table.Write) *table.Row {
	if w.Delete {
		t.rows.remove(w.Key)
		return &table.Row{Key: w.Key, Value: []byte{}}
	}
	t.lastVersion++
	row := &table.Row{Key: w.Key, Version: t.lastVersion, Value: append([]byte{}, w.Value...)}
	t.rows.put(row)
	return row
}

func cloneRow(row *table.Row) *table.Row {
	return &table.Row{Key: row.Key, Version: row.Version, Value: slices.Clone(row.Value)}
}

func cloneRows(rows []*table.Row) []*table.Row {
	clones := make([]*table.Row, len(rows))
	for i, row := range rows {
		clones[i] = cloneRow(row)
	}
	return clones
}
