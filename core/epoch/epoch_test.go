package epoch_test

import (
	"testing"
	"time"

	"acaciapath.example/core/epoch"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestJoinedVersionsAreOrdered checks that joined versions are ordered by the epoch, then
// by the version, and that they can be split again.
func TestJoinedVersionsAreOrdered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() (uint64, uint64, uint64) {
			e, v := rapid.Uint64Range(0, 1<<20-1).Draw(t, "epoch"), rapid.Uint64Range(0, 1<<44-1).Draw(t, "version")
			return e, v, epoch.Join(e, v)
		}
		e1, v1, j1 := draw()
		e2, v2, j2 := draw()
		if (j1 < j2) != (e1 < e2 || e1 == e2 && v1 < v2) {
			t.Fatalf("%s, %s", epoch.Format(j1), epoch.Format(j2))
		}
		if e, v := epoch.Split(j1); e != e1 || v != v1 {
			t.Fatalf("%d:%d split into %d:%d", e1, v1, e, v)
		}
	})
}

// TestTrackerReportsEachRestoreOnce checks that the first epoch is no restoration, and that
// delayed answers of an earlier epoch change nothing.
func TestTrackerReportsEachRestoreOnce(t *testing.T) {
	c := qt.New(t)
	tracker := epoch.NewTracker()
	var seen [][2]uint64
	tracker.OnRestore(func(previous, current uint64) { seen = append(seen, [2]uint64{previous, current}) })
	for _, e := range []uint64{3, 3, 4, 3, 4, 6} {
		tracker.Observe(e)
	}
	c.Assert(seen, qt.DeepEquals, [][2]uint64{{3, 4}, {4, 6}})
	c.Assert(tracker.Current(), qt.Equals, uint64(6))
}

// TestRestoreFromEpochZero has a store whose epochs begin with 0, which counted as not known, so that its first
// restoration was not noticed (review/9, ONE).
func TestRestoreFromEpochZero(t *testing.T) {
	c := qt.New(t)
	tracker := epoch.NewTracker()
	restores := 0
	tracker.OnRestore(func(_, _ uint64) { restores++ })
	tracker.Observe(0)
	c.Assert(restores, qt.Equals, 0)
	tracker.Observe(1)
	tracker.Observe(1)
	c.Assert(restores, qt.Equals, 1)
}

func TestAnsweredSince(t *testing.T) {
	c := qt.New(t)
	tracker := epoch.NewTracker()
	first := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c.Assert(tracker.AnsweredSince(first), qt.IsFalse)
	tracker.Answered(first.Add(time.Second))
	tracker.Answered(first) // a delayed one
	c.Assert(tracker.AnsweredSince(first), qt.IsTrue)
	c.Assert(tracker.AnsweredSince(first.Add(time.Second)), qt.IsFalse)
}
