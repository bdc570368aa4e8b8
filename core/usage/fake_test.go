package usage_test

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"

	"acaciapath.example/core/gen/table"
)

var errLost = errors.New("no reply")

// fault is what happens to one call of a fakeTable.
type fault int

const (
	faultNone fault = iota
	faultDown
	faultLostReply
	faultDelayed // the commit takes effect after a later call
)

// fakeTable is a table service in memory.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]*table.Row
	delayed []*table.CommitPayload
	commits int
	// faults returns what happens to the next call; nil means no fault.
	faults  func(method string) fault
	history history
	// before runs ahead of each call, to let another process go first.
	before func()
}

var _ table.Service = (*fakeTable)(nil)

func newFakeTable() *fakeTable { return &fakeTable{rows: make(map[string]*table.Row)} }

// enter starts a call and returns the event of its start.
func (t *fakeTable) enter() int64 {
	call := t.history.start()
	if t.before != nil {
		t.before()
	}
	t.mu.Lock()
	return call
}

func (t *fakeTable) fault(method string) fault {
	if t.faults == nil {
		return faultNone
	}
	return t.faults(method)
}

func (t *fakeTable) Get(_ context.Context, p *table.GetPayload) (rows []*table.Row, err error) {
	call := t.enter()
	defer t.mu.Unlock()
	defer func() { t.history.get(call, p, rows, err) }()
	if t.fault("get") != faultNone {
		return nil, errLost
	}
	for _, key := range p.Keys {
		if row := t.rows[key]; row != nil {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (t *fakeTable) List(_ context.Context, p *table.ListPayload) ([]*table.Row, error) {
	t.enter()
	defer t.mu.Unlock()
	if t.fault("list") != faultNone {
		return nil, errLost
	}
	return t.list(p.Prefix, p.After, p.Limit), nil
}

func (t *fakeTable) list(prefix, after string, limit int) []*table.Row {
	var rows []*table.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))]
}

func (t *fakeTable) Commit(_ context.Context, p *table.CommitPayload) (rows []*table.Row, err error) {
	call := t.enter()
	defer t.mu.Unlock()
	defer func() { t.history.commit(call, p, err) }()
	f := t.fault("commit")
	if f == faultDelayed {
		t.delayed = append(t.delayed, p)
		return nil, errLost
	}
	if f == faultDown {
		return nil, table.MakeUnavailable(errLost)
	}
	rows, err = t.apply(p)
	if f == faultLostReply {
		return nil, errLost
	}
	return rows, err
}

// release applies the commits that were delayed.
func (t *fakeTable) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.delayed {
		_, _ = t.apply(p)
	}
	t.delayed = nil
}

func (t *fakeTable) apply(p *table.CommitPayload) ([]*table.Row, error) {
	var failed []*table.Row
	for _, c := range p.Conditions {
		row := t.rows[c.Key]
		if row == nil {
			row = &table.Row{Key: c.Key}
		}
		if row.Version != c.Version {
			failed = append(failed, row)
		}
	}
	if len(failed) > 0 {
		return nil, &table.Conflict{Message: "condition", Rows: failed}
	}
	t.commits++
	var rows []*table.Row
	for _, w := range p.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		version := uint64(1)
		if row := t.rows[w.Key]; row != nil {
			version = row.Version + 1
		}
		t.rows[w.Key] = &table.Row{Key: w.Key, Version: version, Value: w.Value}
		rows = append(rows, t.rows[w.Key])
	}
	return rows, nil
}
