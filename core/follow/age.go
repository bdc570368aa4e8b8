package follow

import "time"

// delayPeriod is the time over which the smallest delay of an answer is remembered. The clocks of
// the store and of a VM drift apart by less than a few milliseconds within it.
const delayPeriod = time.Minute

// AnswerAge estimates how old answers of the store are when they are handled. An answer can be
// held up by the network, or wait in the buffers of a process that stands still. The zero value
// has seen no answer. It is not safe for concurrent use.
type AnswerAge struct {
	// epoch is the epoch of the store. Its clock may start anew in each.
	epoch uint64
	// steady and wall are the delays by the monotonic and by the wall clock. The monotonic
	// clock stands still while a VM is suspended.
	steady, wall minimum
	// origin is the time to which monotonic readings refer.
	origin time.Time
}

// Observe returns the age of an answer that is handled at now, and in which the store states its
// own time. The fastest answer of the last minute counts as not delayed.
func (a *AnswerAge) Observe(epoch uint64, stored time.Duration, now time.Time) time.Duration {
	if a.origin.IsZero() || epoch != a.epoch {
		*a = AnswerAge{epoch: epoch, origin: now}
	}
	monotonic := now.Sub(a.origin)
	steady := a.steady.observe(monotonic-stored, monotonic)
	wall := a.wall.observe(now.Round(0).Sub(a.origin.Round(0))-stored, monotonic)
	return max(steady, wall)
}

// Age returns the time since then by the monotonic or the wall clock, whichever is longer.
func Age(then, now time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}

// minimum is the least of the values of one to two periods.
type minimum struct {
	current, previous time.Duration
	// until is the end of the period of current, or zero if there are no values.
	until time.Duration
}

// observe adds a value at a time and returns by how much it exceeds the minimum.
func (m *minimum) observe(value, at time.Duration) time.Duration {
	switch {
	case m.until == 0:
		m.current, m.previous, m.until = value, value, at+delayPeriod
	case at >= m.until:
		m.previous, m.current, m.until = m.current, value, at+delayPeriod
	default:
		m.current = min(m.current, value)
	}
	return value - min(m.current, m.previous)
}
