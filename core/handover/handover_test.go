package handover_test

import (
	"fmt"
	"testing"
	"time"

	"acaciapath.example/core/handover"

	qt "github.com/frankban/quicktest"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Sizes of prompts, in tokens.
const (
	letter = 17_000
	chat   = 1500
)

// newLink returns a link on which a letter takes about 0.2 s, beside other runs.
func newLink(runs ...handover.Held) handover.Link {
	return handover.Link{TokenBytes: 160_000, Bandwidth: 20e9, Runs: runs}
}

func TestDecide(t *testing.T) {
	for _, test := range []struct {
		name string
		run  handover.Run
		left time.Duration
		move bool
	}{
		{
			name: "a letter that has just begun",
			run:  handover.Run{Events: 2, Expected: 60, Pace: 100 * time.Millisecond, Tokens: letter},
			left: 2500 * time.Millisecond, move: true,
		},
		{
			name: "a chat that is about to end",
			run:  handover.Run{Events: 50, Expected: 57, Pace: 30 * time.Millisecond, Tokens: chat},
			left: 2500 * time.Millisecond,
		},
		{
			name: "a short answer of unknown pace",
			run:  handover.Run{Events: 1, Expected: 10, Tokens: letter},
			left: 2500 * time.Millisecond,
		},
		{
			name: "of unknown length",
			run:  handover.Run{Events: 1, Tokens: letter},
			left: 2500 * time.Millisecond, move: true,
		},
		{
			name: "too late to copy",
			run:  handover.Run{Events: 2, Expected: 60, Pace: 100 * time.Millisecond, Tokens: letter},
			left: 400 * time.Millisecond,
		},
		{
			name: "its engine is gone",
			run:  handover.Run{Events: 2, Expected: 60, Pace: 100 * time.Millisecond},
			left: -time.Second,
		},
	} {
		qt.New(t).Run(test.name, func(c *qt.C) {
			plan := handover.Decide(test.run, newLink(), now.Add(test.left), now)
			c.Assert(plan.Move, qt.Equals, test.move)
		})
	}
}

// TestCopiesTakeTurns replays the loss of an engine at 2.5 s notice with forty long
// prompts and four chats, whose daemons all read the same report: the chats come
// first, copies follow each other without waiting on the link, and those that it
// cannot carry in time are not begun.
func TestCopiesTakeTurns(t *testing.T) {
	c := qt.New(t)
	link := newLink()
	for i := range 44 {
		tokens := letter + i
		if i >= 40 {
			tokens = chat
		}
		link.Runs = append(link.Runs, handover.Held{ID: fmt.Sprint(i), Tokens: tokens})
	}
	starts := make(map[time.Time]bool)
	chats, letters := 0, 0
	for _, held := range link.Runs {
		run := handover.Run{ID: held.ID, Events: 1, Tokens: held.Tokens}
		plan := handover.Decide(run, link, now.Add(2500*time.Millisecond), now)
		switch {
		case !plan.Move:
			continue
		case held.Tokens == chat:
			chats++
			c.Check(plan.Start.Sub(now) < 100*time.Millisecond, qt.IsTrue)
		default:
			letters++
		}
		c.Check(starts[plan.Start], qt.IsFalse)
		starts[plan.Start] = true
		c.Check(plan.Start.After(plan.Until), qt.IsFalse)
	}
	c.Assert(chats, qt.Equals, 4)
	c.Assert(letters >= 8 && letters <= 12, qt.IsTrue, qt.Commentf("%d", letters))
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
