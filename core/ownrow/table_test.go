package ownrow_test

import (
	"context"
	"errors"
	"maps"
	"slices"

	"acaciapath.example/core/epoch"
	"acaciapath.example/core/gen/table"
)

// errUnanswered is returned for a commit without an answer.
var errUnanswered = errors.New("no answer")

// outcome is what happens to a commit.
type outcome int

const (
	// answered performs the commit and answers.
	answered outcome = iota
	// answerLost performs the commit and does not answer.
	answerLost
	// performedLate does not answer. The commit may be performed at any time later.
	performedLate
	// rejected answers that nothing was done.
	rejected
	outcomes
)

// lateTable is a table that performs commits late, and can be restored from a backup. After that
// it gives the same versions out again. It has the epoch in its versions, like platform.Table.
type lateTable struct {
	rows    map[string]table.Row
	version uint64
	epoch   uint64
	late    []*table.CommitPayload
	// next returns the outcome of the next commit.
	next func() outcome
}

// lateBackup is a backup of a lateTable.
type lateBackup struct {
	rows    map[string]table.Row
	version uint64
}

var _ table.Service = (*lateTable)(nil)

func newLateTable(next func() outcome) *lateTable {
	return &lateTable{rows: make(map[string]table.Row), epoch: epoch.First, next: next}
}

func (t *lateTable) backup() lateBackup {
	return lateBackup{rows: maps.Clone(t.rows), version: t.version}
}

func (t *lateTable) restore(b lateBackup) {
	t.rows, t.version = maps.Clone(b.rows), b.version
	t.epoch++
}

// perform performs a commit if its conditions hold, by the versions without the epoch.
func (t *lateTable) perform(p *table.CommitPayload) (failed []*table.Row) {
	for _, c := range p.Conditions {
		_, expected := epoch.Split(c.Version)
		if row := t.rows[c.Key]; row.Version != expected {
			failed = append(failed, t.joined(c.Key))
		}
	}
	if len(failed) > 0 {
		return failed
	}
	t.version++
	for _, w := range p.Writes {
		delete(t.rows, w.Key)
		if !w.Delete {
			t.rows[w.Key] = table.Row{Key: w.Key, Version: t.version, Value: slices.Clone(w.Value)}
		}
	}
	return nil
}

// joined returns a row whose version has the epoch, with version 0 if there is none.
func (t *lateTable) joined(key string) *table.Row {
	row, found := t.rows[key]
	if !found {
		return &table.Row{Key: key}
	}
	return &table.Row{Key: key, Version: epoch.Join(t.epoch, row.Version), Value: row.Value}
}

// Get implements table.Service.
func (t *lateTable) Get(_ context.Context, p *table.GetPayload) (rows []*table.Row, err error) {
	for _, key := range p.Keys {
		if row := t.joined(key); row.Version > 0 {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// List implements table.Service. It is not used.
func (t *lateTable) List(context.Context, *table.ListPayload) ([]*table.Row, error) {
	return nil, errUnanswered
}

// Commit implements table.Service.
func (t *lateTable) Commit(_ context.Context, p *table.CommitPayload) ([]*table.Row, error) {
	for _, c := range p.Conditions {
		if in, _ := epoch.Split(c.Version); in > 0 && in < t.epoch {
			return nil, &table.Conflict{Rows: []*table.Row{{Key: c.Key}}}
		}
	}
	switch t.next() {
	case rejected:
		return nil, table.MakeUnavailable(errUnanswered)
	case performedLate:
		t.late = append(t.late, p)
		return nil, errUnanswered
	case answerLost:
		t.perform(p)
		return nil, errUnanswered
	}
	if failed := t.perform(p); failed != nil {
		return nil, &table.Conflict{Rows: failed}
	}
	var rows []*table.Row
	for _, w := range p.Writes {
		if !w.Delete {
			rows = append(rows, t.joined(w.Key))
		}
	}
	return rows, nil
}
