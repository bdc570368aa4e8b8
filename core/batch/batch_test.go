package batch_test

import (
	"fmt"
	"testing"

	"acaciapath.example/core/batch"
	"acaciapath.example/core/gen/table"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// insert returns a commit that inserts a row while a window is open, as the writer of a
// usage part does.
func insert(key string, bytes int) *table.CommitPayload {
	return &table.CommitPayload{
		Conditions: []*table.Condition{{Key: "closed"}, {Key: key}},
		Writes:     []*table.Write{{Key: key, Value: make([]byte, bytes)}},
	}
}

func TestMergeLimits(t *testing.T) {
	c := qt.New(t)
	var commits []*table.CommitPayload
	for i := range 80 {
		commits = append(commits, insert(fmt.Sprint("part-", i), 10))
	}
	merged, n := batch.Merge(commits)
	c.Assert(n, qt.Equals, 49)
	c.Assert(merged.Conditions, qt.HasLen, 50)
	c.Assert(merged.Writes, qt.HasLen, 49)
	_, n = batch.Merge([]*table.CommitPayload{insert("a", batch.MaxBytes/2), insert("b", batch.MaxBytes/2)})
	c.Assert(n, qt.Equals, 1)
	_, n = batch.Merge([]*table.CommitPayload{insert("a", 2*batch.MaxBytes), insert("b", 1)})
	c.Assert(n, qt.Equals, 1)
	_, n = batch.Merge([]*table.CommitPayload{insert("a", 1), insert("a", 1)})
	c.Assert(n, qt.Equals, 1)
	other := &table.CommitPayload{Conditions: []*table.Condition{{Key: "closed", Version: 3}}, Writes: []*table.Write{{Key: "b"}}}
	_, n = batch.Merge([]*table.CommitPayload{insert("a", 1), other})
	c.Assert(n, qt.Equals, 1)
}

func TestSplit(t *testing.T) {
	c := qt.New(t)
	commits := []*table.CommitPayload{insert("a", 1), insert("b", 1), insert("c", 1)}
	row := &table.Row{Key: "b", Version: 7}
	conflicts := batch.Split(commits, &table.Conflict{Rows: []*table.Row{row}})
	c.Assert(conflicts[0] == nil, qt.IsTrue)
	c.Assert(conflicts[1].Rows, qt.DeepEquals, []*table.Row{row})
	c.Assert(conflicts[2] == nil, qt.IsTrue)
	closed := &table.Row{Key: "closed", Version: 8}
	for _, conflict := range batch.Split(commits, &table.Conflict{Rows: []*table.Row{closed}}) {
		c.Assert(conflict.Rows, qt.DeepEquals, []*table.Row{closed})
	}
	for _, conflict := range batch.Split(commits, &table.Conflict{}) {
		c.Assert(conflict == nil, qt.IsTrue)
	}
}

// TestMergedCommitsAreIndependent checks random commits against a table: a transaction
// takes effect exactly if each of the commits in it would, in their order, and then has
// the same effect.
func TestMergedCommitsAreIndependent(t *testing.T) {
	keys := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
	rapid.Check(t, func(t *rapid.T) {
		rows := make(map[string]uint64)
		for _, key := range []string{"a", "b", "c"} {
			if rapid.Bool().Draw(t, "exists") {
				rows[key] = 1
			}
		}
		var commits []*table.CommitPayload
		for range rapid.IntRange(1, 4).Draw(t, "commits") {
			commit := &table.CommitPayload{}
			for range rapid.IntRange(0, 2).Draw(t, "conditions") {
				commit.Conditions = append(commit.Conditions, &table.Condition{Key: keys.Draw(t, "key"), Version: uint64(rapid.IntRange(0, 1).Draw(t, "version"))})
			}
			for range rapid.IntRange(1, 2).Draw(t, "writes") {
				commit.Writes = append(commit.Writes, &table.Write{Key: keys.Draw(t, "key"), Delete: rapid.Bool().Draw(t, "delete")})
			}
			commits = append(commits, commit)
		}
		merged, n := batch.Merge(commits)
		apply := func(rows map[string]uint64, commit *table.CommitPayload) bool {
			for _, c := range commit.Conditions {
				if rows[c.Key] != c.Version {
					return false
				}
			}
			for _, w := range commit.Writes {
				if rows[w.Key] = 2; w.Delete {
					delete(rows, w.Key)
				}
			}
			return true
		}
		together, oneByOne := clone(rows), clone(rows)
		took := apply(together, merged)
		all := true
		for _, commit := range commits[:n] {
			all = apply(oneByOne, commit) && all
		}
		if took != all {
			t.Fatalf("together %t, one by one %t", took, all)
		}
		if took && fmt.Sprint(together) != fmt.Sprint(oneByOne) {
			t.Fatalf("together %v, one by one %v", together, oneByOne)
		}
	})
}

func clone(rows map[string]uint64) map[string]uint64 {
	c := make(map[string]uint64, len(rows))
	for key, version := range rows {
		c[key] = version
	}
	return c
}
