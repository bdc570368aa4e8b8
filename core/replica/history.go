package replica

import "time"

// historyLimit is the number of changes that are remembered.
const historyLimit = 256

// history remembers how a number changed. The zero value stands for 0 at all
// times.
type history struct {
	changes []change
	// before is the value before the first change.
	before int
}

// change is a value from a time on.
type change struct {
	at    time.Time
	value int
}

// add remembers a value from now on.
func (h *history) add(now time.Time, value int) {
	if len(h.changes) == historyLimit {
		h.drop(historyLimit / 2)
	}
	h.changes = append(h.changes, change{at: now, value: value})
}

// at returns the value at a time, and forgets what was before.
func (h *history) at(t time.Time) int {
	n := 0
	for n < len(h.changes) && !h.changes[n].at.After(t) {
		n++
	}
	h.drop(n)
	return h.before
}

// drop forgets the first n changes.
func (h *history) drop(n int) {
	if n == 0 {
		return
	}
	h.before = h.changes[n-1].value
	h.changes = append(h.changes[:0], h.changes[n:]...)
}
