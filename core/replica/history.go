package replica

import "time"

// maxChanges is the number of changes at which a history drops the older half.
const maxChanges = 256

// history records how a number changed over time. The zero value means that the
// number was always 0.
type history struct {
	changes []change
	// baseValue is the value before the first recorded change.
	baseValue int
}

// change is the value of a number from a point in time on.
type change struct {
	at    time.Time
	value int
}

// add records that the number has the given value from now on.
func (h *history) add(now time.Time, value int) {
	if len(h.changes) == maxChanges {
		h.drop(maxChanges / 2)
	}
	h.changes = append(h.changes, change{at: now, value: value})
}

// at returns the value at time t and drops all changes up to t.
func (h *history) at(t time.Time) int {
	n := 0
	for n < len(h.changes) && !h.changes[n].at.After(t) {
		n++
	}
	h.drop(n)
	return h.baseValue
}

// drop drops the first n changes.
func (h *history) drop(n int) {
	if n == 0 {
		return
	}
	h.baseValue = h.changes[n-1].value
	h.changes = append(h.changes[:0], h.changes[n:]...)
}
