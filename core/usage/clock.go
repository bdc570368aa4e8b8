package usage

import "time"

// acceptJumpAfter is how long the wall clock must stay ahead after a jump before
// Clock follows it.
const acceptJumpAfter = 15 * time.Minute

// Clock provides the time at which windows are closed. It follows the wall clock,
// but follows a jump ahead only after acceptJumpAfter: closing a window too early
// makes all usage that still accrues in it late, while closing it too late only
// delays its report. A jump back is followed immediately. The zero value starts at
// its first reading. A Clock is not safe for concurrent use.
type Clock struct {
	started bool
	// wall is the time that was returned at monotonic.
	wall      time.Time
	monotonic time.Duration
	// aheadSince is the monotonic time since which the wall clock is ahead, if
	// ahead is set.
	aheadSince time.Duration
	ahead      bool
}

// maxDrift is how far the wall clock may be ahead of the monotonic clock without
// counting as a jump.
const maxDrift = time.Second

// Now returns the current time for closing windows. wall is the reading of the wall
// clock and monotonic that of a clock that never jumps.
func (c *Clock) Now(wall time.Time, monotonic time.Duration) time.Time {
	expected := c.wall.Add(monotonic - c.monotonic)
	jumped := c.started && wall.Sub(expected) > maxDrift
	if jumped && !c.ahead {
		c.aheadSince = monotonic
	}
	c.ahead = jumped
	if jumped && monotonic-c.aheadSince < acceptJumpAfter {
		return expected
	}
	c.started = true
	c.wall, c.monotonic = wall, monotonic
	c.ahead = false
	return wall
}
