// Package batch joins commits of several processes into one transaction of the table, to
// make fewer calls when hundreds of daemons write at the same time, as at the end of
// each usage window.
package batch

import "acaciapath.example/core/gen/table"

// Limits of one transaction.
const (
	// MaxRows is the maximum number of conditions and writes together.
	MaxRows = 100
	// MaxBytes is the maximum size of all keys and values. The table accepts 1 MB, in an
	// encoding that adds a third.
	MaxBytes = 500 << 10
)

// Merge joins as many of the first commits as one transaction may hold, and returns the
// transaction and their number, which is at least 1. Commits are joined only if they
// write different rows and no condition of one names a row that another writes, so that
// the transaction takes effect exactly if each of them would. commits is not empty.
func Merge(commits []*table.CommitPayload) (*table.CommitPayload, int) {
	m := &merger{merged: &table.CommitPayload{}, conditions: make(map[string]uint64), writes: make(map[string]bool)}
	for i, commit := range commits {
		if i > 0 && !m.accepts(commit) {
			return m.merged, i
		}
		m.add(commit)
	}
	return m.merged, len(commits)
}

// Split returns the conflict of each of the commits that were joined into a transaction
// which the table rejected with a conflict. It is nil for those whose conditions hold.
func Split(commits []*table.CommitPayload, conflict *table.Conflict) []*table.Conflict {
	failed := make(map[string]*table.Row)
	for _, row := range conflict.Rows {
		failed[row.Key] = row
	}
	conflicts := make([]*table.Conflict, len(commits))
	for i, commit := range commits {
		var rows []*table.Row
		for _, c := range commit.Conditions {
			if row := failed[c.Key]; row != nil {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 {
			conflicts[i] = &table.Conflict{Message: conflict.Message, Rows: rows}
		}
	}
	return conflicts
}

// merger is a transaction that grows.
type merger struct {
	merged *table.CommitPayload
	// conditions has the version in the condition of each row, and writes has the rows
	// that are written.
	conditions  map[string]uint64
	writes      map[string]bool
	rows, bytes int
}

// accepts reports whether a commit can be joined.
func (m *merger) accepts(commit *table.CommitPayload) bool {
	rows, bytes := len(commit.Conditions)+len(commit.Writes), size(commit)
	if m.rows+rows > MaxRows || m.bytes+bytes > MaxBytes {
		return false
	}
	for _, c := range commit.Conditions {
		if version, ok := m.conditions[c.Key]; ok && version != c.Version || m.writes[c.Key] {
			return false
		}
	}
	for _, w := range commit.Writes {
		if _, ok := m.conditions[w.Key]; ok || m.writes[w.Key] {
			return false
		}
	}
	return true
}

// add joins a commit.
func (m *merger) add(commit *table.CommitPayload) {
	for _, c := range commit.Conditions {
		if version, ok := m.conditions[c.Key]; !ok || version != c.Version {
			m.conditions[c.Key] = c.Version
			m.merged.Conditions = append(m.merged.Conditions, c)
			m.rows++
		}
	}
	for _, w := range commit.Writes {
		m.writes[w.Key] = true
		m.rows++
	}
	m.merged.Writes = append(m.merged.Writes, commit.Writes...)
	m.bytes += size(commit)
}

// size returns the size of the keys and values of a commit, in bytes.
func size(commit *table.CommitPayload) int {
	n := 0
	for _, c := range commit.Conditions {
		n += len(c.Key)
	}
	for _, w := range commit.Writes {
		n += len(w.Key) + len(w.Value)
	}
	return n
}
