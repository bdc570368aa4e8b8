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

// newLink returns a link with the given runs, on which the copy of a letter takes about
// 0.2 s.
func newLink(runs ...handover.ReportedRun) handover.Link {
	return handover.Link{KVBytesPerToken: 160_000, BytesPerSecond: 20e9, Runs: runs}
}

func TestDecide(t *testing.T) {
	for _, test := range []struct {
		name string
		run  handover.Run
		left time.Duration
		move bool
	}{
		{
			name: "letter that has just started",
			run:  handover.Run{ReceivedEvents: 2, ExpectedEvents: 60, EventInterval: 100 * time.Millisecond, KVTokens: letter},
			left: 2500 * time.Millisecond, move: true,
		},
		{
			name: "chat that is about to end",
			run:  handover.Run{ReceivedEvents: 50, ExpectedEvents: 57, EventInterval: 30 * time.Millisecond, KVTokens: chat},
			left: 2500 * time.Millisecond,
		},
		{
			name: "short response with unknown event interval",
			run:  handover.Run{ReceivedEvents: 1, ExpectedEvents: 10, KVTokens: letter},
			left: 2500 * time.Millisecond,
		},
		{
			name: "response of unknown length",
			run:  handover.Run{ReceivedEvents: 1, KVTokens: letter},
			left: 2500 * time.Millisecond, move: true,
		},
		{
			name: "too late to copy",
			run:  handover.Run{ReceivedEvents: 2, ExpectedEvents: 60, EventInterval: 100 * time.Millisecond, KVTokens: letter},
			left: 400 * time.Millisecond,
		},
		{
			name: "engine is gone",
			run:  handover.Run{ReceivedEvents: 2, ExpectedEvents: 60, EventInterval: 100 * time.Millisecond},
			left: -time.Second,
		},
	} {
		qt.New(t).Run(test.name, func(c *qt.C) {
			plan := handover.Decide(test.run, newLink(), now.Add(test.left), now)
			c.Assert(plan.Move, qt.Equals, test.move)
		})
	}
}

// TestCopiesTakeTurns checks the plans for an engine that stops in 2.5 s with forty long
// prompts and four chats, where all daemons read the same report: the chats are copied
// first, no two copies start at the same time, and copies that cannot complete in time
// are not started.
func TestCopiesTakeTurns(t *testing.T) {
	c := qt.New(t)
	link := newLink()
	for i := range 44 {
		tokens := letter + i
		if i >= 40 {
			tokens = chat
		}
		link.Runs = append(link.Runs, handover.ReportedRun{ID: fmt.Sprint(i), KVTokens: tokens})
	}
	starts := make(map[time.Time]bool)
	chats, letters := 0, 0
	for _, reported := range link.Runs {
		run := handover.Run{ID: reported.ID, ReceivedEvents: 1, KVTokens: reported.KVTokens}
		plan := handover.Decide(run, link, now.Add(2500*time.Millisecond), now)
		switch {
		case !plan.Move:
			continue
		case reported.KVTokens == chat:
			chats++
			c.Check(plan.Start.Sub(now) < 100*time.Millisecond, qt.IsTrue)
		default:
			letters++
		}
		c.Check(starts[plan.Start], qt.IsFalse)
		starts[plan.Start] = true
		c.Check(plan.Start.After(plan.LatestStart), qt.IsFalse)
	}
	c.Assert(chats, qt.Equals, 4)
	c.Assert(letters >= 8 && letters <= 12, qt.IsTrue, qt.Commentf("%d", letters))
}

func TestNextAttempt(t *testing.T) {
	c := qt.New(t)
	plan := handover.Plan{Move: true, LatestStart: now.Add(200 * time.Millisecond)}
	next, ok := plan.NextAttempt(now)
	c.Assert(ok, qt.IsTrue)
	c.Assert(next, qt.Equals, now.Add(150*time.Millisecond))
	_, ok = plan.NextAttempt(next)
	c.Assert(ok, qt.IsFalse)
}
