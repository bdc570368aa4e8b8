package lease_test

import (
	"context"
	"errors"
	"sync"

	"acaciapath.example/core/gen/table"
)

var errNoReply = errors.New("no reply")

// fault is a fault injected into the calls of a fakeTable.
type fault int

const (
	faultNone fault = iota
	faultUnavailable
	faultLostReply
)

// fakeTable is a table service in memory.
type fakeTable struct {
	mu   sync.Mutex
	rows map[string]*table.Row
	// fault is injected into every call.
	fault fault
}

var _ table.Service = (*fakeTable)(nil)

func newFakeTable() *fakeTable { return &fakeTable{rows: make(map[string]*table.Row)} }

func (t *fakeTable) setFault(f fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
}

func (t *fakeTable) Get(_ context.Context, p *table.GetPayload) ([]*table.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fault == faultUnavailable {
		return nil, table.MakeUnavailable(errNoReply)
	}
	return t.get(p), nil
}

func (t *fakeTable) get(p *table.GetPayload) []*table.Row {
	var rows []*table.Row
	for _, key := range p.Keys {
		if row := t.rows[key]; row != nil {
			rows = append(rows, row)
		}
	}
	return rows
}

func (t *fakeTable) List(context.Context, *table.ListPayload) ([]*table.Row, error) {
	return nil, errNoReply
}

func (t *fakeTable) Commit(_ context.Context, p *table.CommitPayload) ([]*table.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fault == faultUnavailable {
		return nil, table.MakeUnavailable(errNoReply)
	}
	rows, err := t.commit(p)
	if t.fault == faultLostReply {
		return nil, errNoReply
	}
	return rows, err
}

func (t *fakeTable) commit(p *table.CommitPayload) ([]*table.Row, error) {
	for _, c := range p.Conditions {
		if t.version(c.Key) != c.Version {
			return nil, &table.Conflict{Message: "condition", Rows: []*table.Row{{Key: c.Key}}}
		}
	}
	var rows []*table.Row
	for _, w := range p.Writes {
		row := &table.Row{Key: w.Key, Version: t.version(w.Key) + 1, Value: w.Value}
		t.rows[w.Key] = row
		rows = append(rows, row)
	}
	return rows, nil
}

func (t *fakeTable) version(key string) uint64 {
	if row := t.rows[key]; row != nil {
		return row.Version
	}
	return 0
}
