package follow_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"acaciapath.example/core/follow"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// members returns n members, of which the first three are large.
func members(n int) []follow.Member {
	list := make([]follow.Member, n)
	for i := range list {
		list[i] = follow.Member{VM: fmt.Sprintf("vm-%d", i), Address: fmt.Sprintf("10.0.0.%d:7000", i), Cores: 0.2}
		if i < 3 {
			list[i].Cores = 0.8
		}
	}
	return list
}

// TestRank checks that the order does not depend on that of the list, that large VMs
// come first, that tables are read by different members, and that a small VM that
// joins displaces nobody in front.
func TestRank(t *testing.T) {
	c := qt.New(t)
	list := members(32)
	ranked := follow.Rank(list, "servers")
	slices.Reverse(list)
	c.Assert(follow.Rank(list, "servers"), qt.DeepEquals, ranked)
	for _, m := range ranked[:3] {
		c.Assert(m.Cores, qt.Equals, 0.8)
	}
	first := make(map[string]bool)
	for i := range 20 {
		first[follow.Rank(list, fmt.Sprint(i))[0].VM] = true
	}
	c.Assert(len(first), qt.Equals, 3)
	joined := append(list, follow.Member{VM: "vm-new", Address: "10.0.0.99:7000", Cores: 0.2})
	c.Assert(follow.Rank(joined, "servers")[:3], qt.DeepEquals, ranked[:3])
}

// TestSelector checks the roles while readers fail and come back.
func TestSelector(t *testing.T) {
	c := qt.New(t)
	list := members(32)
	ranked := follow.Rank(list, "servers")
	follower := follow.Selector{VM: ranked[9].VM, Table: "servers"}
	second := follow.Selector{VM: ranked[1].VM, Table: "servers"}
	role, _ := follower.Choose(start)
	c.Assert(role, qt.Equals, follow.Alone)
	follower.SetMembers(list[:follow.MinMembers-1])
	role, _ = follower.Choose(start)
	c.Assert(role, qt.Equals, follow.Alone)
	c.Assert(follower.Exhausted(start), qt.IsFalse)
	follower.SetMembers(list)
	second.SetMembers(list)
	for i := range 3 {
		role, address := follower.Choose(start)
		c.Assert(role, qt.Equals, follow.Follows)
		c.Assert(address, qt.Equals, ranked[i].Address)
		follower.Failed(address, start)
	}
	role, _ = follower.Choose(start)
	c.Assert(role, qt.Equals, follow.Alone)
	c.Assert(follower.Exhausted(start), qt.IsTrue)
	role, address := second.Choose(start)
	c.Assert(role, qt.Equals, follow.Follows)
	c.Assert(address, qt.Equals, ranked[0].Address)
	second.Failed(address, start)
	role, _ = second.Choose(start)
	c.Assert(role, qt.Equals, follow.Reads)

	// The cooldown doubles until the reader has succeeded, and outlasts a new list.
	first := ranked[0].Address
	follower.Failed(first, start)
	follower.SetMembers(list)
	role, address = follower.Choose(start.Add(3 * time.Second))
	c.Assert(role, qt.Equals, follow.Follows)
	c.Assert(address, qt.Equals, ranked[1].Address)
	role, address = follower.Choose(start.Add(4 * time.Second))
	c.Assert(role, qt.Equals, follow.Follows)
	c.Assert(address, qt.Equals, first)
	follower.Succeeded(first)
	follower.Failed(first, start)
	_, address = follower.Choose(start.Add(2 * time.Second))
	c.Assert(address, qt.Equals, first)
}

// TestTimes checks that a follower that loses its reader has time left to read the
// store itself, and that a reader is never silent for too long.
func TestTimes(t *testing.T) {
	c := qt.New(t)
	for _, bound := range []time.Duration{2500 * time.Millisecond, 5 * time.Second} {
		times := follow.NewTimes(bound)
		c.Assert(times.Gap+times.Hold < times.Silence, qt.IsTrue)
		// A change just after news that were delayed by nearly the silence is noticed
		// when the next news are missing for the silence.
		c.Assert(2*times.Silence < bound, qt.IsTrue)
	}
}

// TestLog plays changes of a table, from which several followers learn through a log.
// Each follower must know the rows of the version that it was told.
func TestLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log follow.Log
		if _, ok := log.Since(0); ok {
			t.Fatal("an empty log has news")
		}
		table := make(map[string]uint64)
		history := map[uint64]map[string]uint64{}
		version := uint64(1)
		remember := func() {
			rows := make(map[string]uint64)
			for key, v := range table {
				rows[key] = v
			}
			history[version] = rows
		}
		remember()
		log.Apply(follow.News{Snapshot: true, Version: version})
		type follower struct {
			version uint64
			rows    map[string]uint64
		}
		followers := []*follower{{rows: map[string]uint64{}}, {rows: map[string]uint64{}}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				news := follow.News{}
				for range rapid.IntRange(1, 3).Draw(t, "changes") {
					version++
					key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
					deleted := rapid.Bool().Draw(t, "deleted")
					if table[key] = version; deleted {
						delete(table, key)
					}
					news.Entries = append(news.Entries, follow.Entry{Key: key, Version: version, Deleted: deleted})
					remember()
				}
				news.Version = version
				log.Apply(news)
			case 2: // the store dropped its history
				version++
				remember()
				news := follow.News{Snapshot: true, Version: version}
				for key, v := range table {
					news.Entries = append(news.Entries, follow.Entry{Key: key, Version: v})
				}
				log.Apply(news)
				log.Apply(follow.News{Version: version - 1, Entries: []follow.Entry{{Key: "old", Version: version - 1}}})
			case 3:
				f := rapid.SampledFrom(followers).Draw(t, "follower")
				news, ok := log.Since(f.version)
				if !ok {
					t.Fatal("the log is older than a follower")
				}
				if news.Snapshot {
					f.rows = map[string]uint64{}
				}
				for _, e := range news.Entries {
					if f.rows[e.Key] = e.Version; e.Deleted {
						delete(f.rows, e.Key)
					}
				}
				f.version = news.Version
				if fmt.Sprint(f.rows) != fmt.Sprint(history[f.version]) {
					t.Fatalf("at version %d: %v, want %v", f.version, f.rows, history[f.version])
				}
			}
		}
		if _, ok := log.Since(version + 1); ok {
			t.Fatal("news after a version that the log has not reached")
		}
	})
}

// TestLogIsBounded checks that a follower that lacks more changes than the log keeps
// gets all rows.
func TestLogIsBounded(t *testing.T) {
	c := qt.New(t)
	var log follow.Log
	log.Apply(follow.News{Snapshot: true, Version: 1})
	for v := uint64(2); v < 10_000; v++ {
		log.Apply(follow.News{Version: v, Entries: []follow.Entry{{Key: "k", Version: v}}})
	}
	news, ok := log.Since(1)
	c.Assert(ok && news.Snapshot, qt.IsTrue)
	c.Assert(news.Entries, qt.HasLen, 1)
	news, _ = log.Since(9000)
	c.Assert(news.Snapshot, qt.IsFalse)
	c.Assert(news.Entries, qt.HasLen, 999)
}
