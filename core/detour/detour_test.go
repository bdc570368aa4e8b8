package detour_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"acaciapath.example/core/detour"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func newSelector() *detour.Selector {
	s := &detour.Selector{FailureDomain: "a"}
	s.SetNeighbours([]detour.Neighbour{
		{Address: "near-1", FailureDomain: "a"}, {Address: "near-2", FailureDomain: "a"}, {Address: "far", FailureDomain: "b"},
	})
	return s
}

// TestDirectPathFails checks a daemon that cannot reach the store directly for a while:
// its calls go through neighbours, those in its failure domain first, and return to the
// direct path once that has recovered.
func TestDirectPathFails(t *testing.T) {
	c := qt.New(t)
	selector, random, now := newSelector(), newRandom(), start
	c.Assert(selector.Choose(now, random), qt.Equals, detour.Direct)
	c.Assert(selector.Failed(detour.Direct, now), qt.IsTrue)
	c.Assert(selector.Failed(detour.Direct, now), qt.IsFalse)
	used := make(map[string]int)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		path := selector.Choose(now, random)
		used[path]++
		selector.Succeeded(path)
	}
	c.Assert(used[detour.Direct], qt.Equals, 0)
	c.Assert(used["far"], qt.Equals, 0)
	c.Assert(used["near-1"] > 10 && used["near-2"] > 10, qt.IsTrue)
	c.Assert(selector.Succeeded(detour.Direct), qt.IsTrue)
	c.Assert(selector.Choose(now, random), qt.Equals, detour.Direct)
}

// TestFailedNeighboursAreSkipped checks that neighbours in other failure domains are used
// if those in the same one have failed, and the direct path if all have failed.
func TestFailedNeighboursAreSkipped(t *testing.T) {
	c := qt.New(t)
	selector, random, now := newSelector(), newRandom(), start
	selector.Failed(detour.Direct, now)
	selector.Failed("near-1", now)
	selector.Failed("near-2", now)
	c.Assert(selector.Choose(now.Add(time.Second), random), qt.Equals, "far")
	selector.Failed("far", now)
	c.Assert(selector.Choose(now.Add(time.Second), random), qt.Equals, detour.Direct)
	c.Assert(selector.PickNeighbour(now.Add(3*time.Second), random) == detour.Direct, qt.IsFalse)
}
