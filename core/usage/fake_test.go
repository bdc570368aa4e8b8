package usage_test

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"

	"acaciapath.example/core/gen/table"
)

var (
	errNoReply  = errors.New("no reply")
	errTooLarge = errors.New("row too large")
)

// fault is a fault injected into one call of a fakeTable or fakePlatform.
type fault int

const (
	faultNone fault = iota
	faultUnavailable
	faultLostReply
	faultDelayed // the commit takes effect after a later call
)

// fakeTable is a table service in memory.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]*table.Row
	delayed []*table.CommitPayload
	commits int
	// nextFault returns the fault of the next call; nil means no faults.
	nextFault func(method string) fault
	// rowBytes is the largest value that is accepted, or 0.
	rowBytes int
	history  history
	// beforeCall runs before each call, to interleave another process.
	beforeCall func()
}

var _ table.Service = (*fakeTable)(nil)

func newFakeTable() *fakeTable { return &fakeTable{rows: make(map[string]*table.Row)} }

// startCall starts a call, locks the table and returns the event number of the start.
func (t *fakeTable) startCall() int64 {
	call := t.history.nextEvent()
	if t.beforeCall != nil {
		t.beforeCall()
	}
	t.mu.Lock()
	return call
}

func (t *fakeTable) fault(method string) fault {
	if t.nextFault == nil {
		return faultNone
	}
	return t.nextFault(method)
}

func (t *fakeTable) Get(_ context.Context, p *table.GetPayload) (rows []*table.Row, err error) {
	call := t.startCall()
	defer t.mu.Unlock()
	defer func() { t.history.get(call, p, rows, err) }()
	if t.fault("get") != faultNone {
		return nil, errNoReply
	}
	for _, key := range p.Keys {
		if row := t.rows[key]; row != nil {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (t *fakeTable) List(_ context.Context, p *table.ListPayload) ([]*table.Row, error) {
	t.startCall()
	defer t.mu.Unlock()
	if t.fault("list") != faultNone {
		return nil, errNoReply
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
	call := t.startCall()
	defer t.mu.Unlock()
	defer func() { t.history.commit(call, p, err) }()
	f := t.fault("commit")
	if f == faultDelayed {
		t.delayed = append(t.delayed, p)
		return nil, errNoReply
	}
	if f == faultUnavailable {
		return nil, table.MakeUnavailable(errNoReply)
	}
	rows, err = t.apply(p)
	if f == faultLostReply {
		return nil, errNoReply
	}
	return rows, err
}

// applyDelayed applies the commits that were delayed.
func (t *fakeTable) applyDelayed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.delayed {
		_, _ = t.apply(p)
	}
	t.delayed = nil
}

func (t *fakeTable) apply(p *table.CommitPayload) ([]*table.Row, error) {
	for _, w := range p.Writes {
		if t.rowBytes > 0 && len(w.Value) > t.rowBytes {
			return nil, errTooLarge
		}
	}
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
