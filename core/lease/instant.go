package lease

import "time"

// Instant is a reading of the monotonic clock and the wall clock of a process.
type Instant struct {
	// Monotonic is the time since a fixed point in the life of the process. It
	// never decreases.
	Monotonic time.Duration
	// Wall is the wall clock time, without a monotonic reading. It may jump.
	Wall time.Time
}

// minElapsed returns a lower bound of the time that has passed since earlier. It
// ignores the wall clock, because a jump must not shorten a wait.
func (i Instant) minElapsed(earlier Instant) time.Duration {
	return i.Monotonic - earlier.Monotonic
}

// maxElapsed returns an upper bound of the time that has passed since earlier. It
// uses the wall clock if that shows more time, because the monotonic clock may
// stop while the VM is frozen.
func (i Instant) maxElapsed(earlier Instant) time.Duration {
	return max(i.Monotonic-earlier.Monotonic, i.Wall.Sub(earlier.Wall))
}

// Clock reads the clocks of the process.
type Clock func() Instant
