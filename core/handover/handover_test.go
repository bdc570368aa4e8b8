package handover_test

import (
	"testing"
	"time"

	"acaciapath.example/core/handover"

	qt "github.com/frankban/quicktest"
)

func TestDecide(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const gigabyte = 1e9
	for _, test := range []struct {
		name     string
		run      handover.Run
		left     time.Duration
		move     bool
		switchIn time.Duration
	}{
		{
			name: "a letter that has just begun",
			run:  handover.Run{Events: 2, Expected: 40, Pace: 100 * time.Millisecond, Bytes: 3 * gigabyte},
			left: 2500 * time.Millisecond, move: true, switchIn: 1800 * time.Millisecond,
		},
		{
			name: "a chat that is about to end",
			run:  handover.Run{Events: 50, Expected: 57, Pace: 30 * time.Millisecond, Bytes: gigabyte},
			left: 2500 * time.Millisecond,
		},
		{
			name: "longer than expected",
			run:  handover.Run{Events: 60, Expected: 57, Pace: 30 * time.Millisecond, Bytes: gigabyte},
			left: 2500 * time.Millisecond,
		},
		{
			name: "of unknown length",
			run:  handover.Run{Events: 1, Bytes: gigabyte},
			left: 2500 * time.Millisecond, move: true, switchIn: 1800 * time.Millisecond,
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
			plan := handover.Decide(test.run, now.Add(test.left), 10*gigabyte, now)
			c.Assert(plan.Move, qt.Equals, test.move)
			if test.move {
				c.Assert(plan.SwitchAt, qt.Equals, now.Add(test.switchIn))
			}
		})
	}
}
