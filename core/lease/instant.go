package lease

import "time"

// Instant is a reading of a process's clocks.
type Instant struct {
	// Monotonic is the time since some start of the process. It never moves
	// back.
	Monotonic time.Duration
	// Wall is the wall clock, without a monotonic reading. It may jump.
	Wall time.Time
}

// atLeast returns the least time that has passed since earlier. The wall clock
// has no say: a jump must not shorten a wait.
func (i Instant) atLeast(earlier Instant) time.Duration {
	return i.Monotonic - earlier.Monotonic
}

// atMost returns the most time that has passed since earlier. The wall clock
// counts if it is ahead, because a monotonic clock may stand still while the
// VM is frozen.
func (i Instant) atMost(earlier Instant) time.Duration {
	return max(i.Monotonic-earlier.Monotonic, i.Wall.Sub(earlier.Wall))
}

// Clock reads the clocks of the process.
type Clock func() Instant
