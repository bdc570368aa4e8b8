package evacuation_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"acaciapath.example/core/evacuation"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// hold is how long evacuations are held after a restoration.
const hold = 10 * time.Second

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// evacuated returns the evacuated failure domains, sorted.
func evacuated(s *evacuation.Set) []string { return slices.Sorted(maps.Keys(s.Since())) }

// TestSeveralEvacuations has a second failure domain evacuated before the first is taken back,
// while the store drops its history.
func TestSeveralEvacuations(t *testing.T) {
	c := qt.New(t)
	var s evacuation.Set
	c.Assert(s.Replace([]string{"a"}, 1, at(0)), qt.DeepEquals, evacuation.Change{Begun: []string{"a"}})
	c.Assert(s.Update([]string{"b", "a"}, nil, 1, at(1)), qt.DeepEquals, evacuation.Change{Begun: []string{"b"}})
	c.Assert(s.Since(), qt.DeepEquals, map[string]time.Time{"a": at(0), "b": at(1)})
	c.Assert(s.Update(nil, []string{"b", "z"}, 1, at(2)), qt.DeepEquals, evacuation.Change{Ended: []string{"b"}})
	c.Assert(s.Update([]string{"b"}, nil, 1, at(3)), qt.DeepEquals, evacuation.Change{Begun: []string{"b"}})
	// The history was dropped, and the row of a was deleted in the gap.
	c.Assert(s.Replace([]string{"b", "c"}, 1, at(4)), qt.DeepEquals, evacuation.Change{Begun: []string{"c"}, Ended: []string{"a"}})
	c.Assert(s.Replace([]string{"b", "c"}, 1, at(5)).Empty(), qt.IsTrue)
	c.Assert(evacuated(&s), qt.DeepEquals, []string{"b", "c"})
}

// TestEvacuationOutlastsRestoration restores the store from a copy that lacks the rows. One is
// written again, one is taken back, one stays missing.
func TestEvacuationOutlastsRestoration(t *testing.T) {
	c := qt.New(t)
	var s evacuation.Set
	s.Replace([]string{"a", "b", "x"}, 1, at(0))
	c.Assert(s.Replace(nil, 2, at(20)), qt.DeepEquals, evacuation.Change{Held: []string{"a", "b", "x"}})
	c.Assert(s.HoldUntil(), qt.Equals, at(20).Add(hold))
	c.Assert(s.Replace(nil, 2, at(21)).Empty(), qt.IsTrue)
	c.Assert(s.Update([]string{"a"}, nil, 2, at(22)).Empty(), qt.IsTrue)
	c.Assert(s.Update(nil, []string{"b"}, 2, at(23)), qt.DeepEquals, evacuation.Change{Ended: []string{"b"}})
	c.Assert(s.Expire(at(29.9)).Empty(), qt.IsTrue)
	c.Assert(evacuated(&s), qt.DeepEquals, []string{"a", "x"})
	c.Assert(s.Expire(at(30)), qt.DeepEquals, evacuation.Change{Ended: []string{"x"}})
	c.Assert(s.Since(), qt.DeepEquals, map[string]time.Time{"a": at(0)})
	// Later, a missing row ends the evacuation at once, also if the first news of the next epoch
	// are changes.
	c.Assert(s.Replace(nil, 2, at(31)), qt.DeepEquals, evacuation.Change{Ended: []string{"a"}})
	s.Update([]string{"d"}, nil, 2, at(32))
	s.Update([]string{"e"}, nil, 3, at(33))
	c.Assert(s.Replace([]string{"e"}, 3, at(34)), qt.DeepEquals, evacuation.Change{Held: []string{"d"}})
}
