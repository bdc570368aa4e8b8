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

func newChooser() *detour.Selector {
	c := &detour.Selector{FailureDomain: "a"}
	c.SetNeighbours([]detour.Neighbour{
		{Address: "near-1", FailureDomain: "a"}, {Address: "near-2", FailureDomain: "a"}, {Address: "far", FailureDomain: "b"},
	})
	return c
}

// TestCutOffDaemon replays a daemon that is cut off from the store for a while:
// its calls go through neighbours, those of its failure domain first, and it
// finds out when the direct way is back.
func TestCutOffDaemon(t *testing.T) {
	c := qt.New(t)
	chooser, random, now := newChooser(), newRandom(), start
	c.Assert(chooser.Choose(now, random), qt.Equals, detour.Direct)
	c.Assert(chooser.Failed(detour.Direct, now), qt.IsTrue)
	c.Assert(chooser.Failed(detour.Direct, now), qt.IsFalse)
	used := make(map[string]int)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		way := chooser.Choose(now, random)
		used[way]++
		chooser.Succeeded(way)
	}
	c.Assert(used[detour.Direct], qt.Equals, 0)
	c.Assert(used["far"], qt.Equals, 0)
	c.Assert(used["near-1"] > 10 && used["near-2"] > 10, qt.IsTrue)
	c.Assert(chooser.Succeeded(detour.Direct), qt.IsTrue)
	c.Assert(chooser.Choose(now, random), qt.Equals, detour.Direct)
}

// TestNeighboursThatCannotHelp: those of other failure domains are asked when the
// near ones cannot help, and nobody while none can.
func TestNeighboursThatCannotHelp(t *testing.T) {
	c := qt.New(t)
	chooser, random, now := newChooser(), newRandom(), start
	chooser.Failed(detour.Direct, now)
	chooser.Failed("near-1", now)
	chooser.Failed("near-2", now)
	c.Assert(chooser.Choose(now.Add(time.Second), random), qt.Equals, "far")
	chooser.Failed("far", now)
	c.Assert(chooser.Choose(now.Add(time.Second), random), qt.Equals, detour.Direct)
	c.Assert(chooser.PickNeighbour(now.Add(3*time.Second), random) == detour.Direct, qt.IsFalse)
}
