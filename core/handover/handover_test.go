package handover_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"acaciapath.example/core/handover"

	qt "github.com/frankban/quicktest"
)

const gigabyte = 1e9

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestDecide(t *testing.T) {
	for _, test := range []struct {
		name  string
		run   handover.Run
		left  time.Duration
		until time.Duration
		move  bool
	}{
		{
			name: "a letter that has just begun",
			run:  handover.Run{Events: 2, Expected: 40, Pace: 100 * time.Millisecond, Bytes: 3 * gigabyte},
			left: 2500 * time.Millisecond, move: true, until: 1850 * time.Millisecond,
		},
		{
			name: "a chat that is about to end",
			run:  handover.Run{Events: 50, Expected: 57, Pace: 30 * time.Millisecond, Bytes: gigabyte},
			left: 2500 * time.Millisecond,
		},
		{
			name: "of unknown length",
			run:  handover.Run{Events: 1, Bytes: gigabyte},
			left: 2500 * time.Millisecond, move: true, until: 2050 * time.Millisecond,
		},
		{
			name: "heard of late",
			run:  handover.Run{Events: 2, Expected: 40, Pace: 100 * time.Millisecond, Bytes: gigabyte},
			left: 400 * time.Millisecond, move: true,
		},
		{
			name: "too late to copy",
			run:  handover.Run{Events: 2, Expected: 40, Pace: 100 * time.Millisecond, Bytes: 3 * gigabyte},
			left: 200 * time.Millisecond,
		},
		{
			name: "its engine is gone",
			run:  handover.Run{Events: 2, Expected: 40, Pace: 100 * time.Millisecond},
			left: -time.Second,
		},
	} {
		qt.New(t).Run(test.name, func(c *qt.C) {
			plan := handover.Decide(test.run, now.Add(test.left), 10*gigabyte, now, newRandom())
			c.Assert(plan.Move, qt.Equals, test.move)
			if test.move {
				c.Assert(plan.Until, qt.Equals, now.Add(test.until))
				c.Assert(plan.Start.Before(now) || plan.Start.After(plan.Until), qt.IsFalse)
			}
		})
	}
}

// TestCopiesAreSpread replays the loss of an engine with sixty long answers, which
// all hear of it at once: in each third of the time some begin.
func TestCopiesAreSpread(t *testing.T) {
	c := qt.New(t)
	random := newRandom()
	var thirds [3]int
	for range 60 {
		plan := handover.Decide(handover.Run{Events: 1, Bytes: gigabyte}, now.Add(2500*time.Millisecond), 10*gigabyte, now, random)
		thirds[int(3*plan.Start.Sub(now)/(plan.Until.Sub(now)+1))]++
	}
	for _, n := range thirds {
		c.Assert(n >= 10, qt.IsTrue, qt.Commentf("%v", thirds))
	}
}

func TestRetry(t *testing.T) {
	c := qt.New(t)
	plan := handover.Plan{Move: true, Until: now.Add(200 * time.Millisecond)}
	next, ok := plan.Retry(now)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next, qt.Equals, now.Add(150*time.Millisecond))
	_, ok = plan.Retry(next)
	c.Assert(ok, qt.IsFalse)
}
