package connections

import "time"

// Limits bound what the other end of a connection may send before a request is complete, and how
// long it may take.
type Limits struct {
	// HeadBytes is the maximum size of a request line and headers. A head that exceeds it by up
	// to readAhead may pass.
	HeadBytes int
	// HeadTimeout is the time from the first byte of a head to its last one.
	HeadTimeout time.Duration
	// IdleTimeout is the time without a byte between requests, and before the first one.
	IdleTimeout time.Duration
	// Connections is the maximum number of open connections.
	Connections int
}

// Pace is the slowest progress of a body that is allowed.
type Pace struct {
	// Grace is how long nothing may arrive, and how much longer the whole may take than at
	// BytesPerSecond.
	Grace time.Duration
	// BytesPerSecond is the least rate after the grace. BytesPerSecond > 0.
	BytesPerSecond float64
}

// DefaultPace is far below what any client needs that has a deadline, and still above that of
// clients that send a byte now and then to keep a connection open.
var DefaultPace = Pace{Grace: 10 * time.Second, BytesPerSecond: 1 << 10}

// Deadline returns when the next byte must have arrived of a body that began to arrive at began and
// has read bytes.
func (p Pace) Deadline(began time.Time, read int64, now time.Time) time.Time {
	whole := began.Add(p.Grace + time.Duration(float64(read)/p.BytesPerSecond*float64(time.Second)))
	if next := now.Add(p.Grace); next.Before(whole) {
		return next
	}
	return whole
}
