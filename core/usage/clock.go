package usage

import "time"

// acceptAfter is how long the wall clock has to be ahead before it is believed.
const acceptAfter = 15 * time.Minute

// Clock tells the time by which windows are closed. It follows the wall clock,
// but a jump ahead only after acceptAfter: a window that is closed ahead of its
// time makes all that is used in it late, while a window that is closed late is
// only that. A jump back is followed at once. The zero value starts at its first
// reading. It is not safe for concurrent use.
type Clock struct {
	started bool
	// wall is the time told at monotonic.
	wall      time.Time
	monotonic time.Duration
	// aheadSince is the monotonic time since which the wall clock is ahead.
	aheadSince time.Duration
	ahead      bool
}

// maxAhead is how far the wall clock may be ahead without having jumped.
const maxAhead = time.Second

// Now returns the time to close windows by. Wall is the wall clock's reading and
// monotonic that of a clock that never jumps.
func (c *Clock) Now(wall time.Time, monotonic time.Duration) time.Time {
	expected := c.wall.Add(monotonic - c.monotonic)
	jumped := c.started && wall.Sub(expected) > maxAhead
	if jumped && !c.ahead {
		c.aheadSince = monotonic
	}
	c.ahead = jumped
	if jumped && monotonic-c.aheadSince < acceptAfter {
		return expected
	}
	c.started = true
	c.wall, c.monotonic = wall, monotonic
	c.ahead = false
	return wall
}
