package membership

import (
	"cmp"
	"slices"
)

// broadcast is an update on its way to the other daemons.
type broadcast struct {
	record Record
	// sent is the number of messages that have carried it.
	sent int
}

// broadcasts are the updates that are still to be sent, at most one for each
// daemon.
type broadcasts []broadcast

// add puts an update in, in the place of an older one of the same daemon.
func (b *broadcasts) add(record Record) {
	b.remove(record.MemberID)
	*b = append(*b, broadcast{record: record})
}

// remove drops the update of a daemon.
func (b *broadcasts) remove(id ID) {
	*b = slices.DeleteFunc(*b, func(o broadcast) bool { return o.record.MemberID == id })
}

// take returns up to count updates, those sent least first, and drops those
// that have been sent limit times.
func (b *broadcasts) take(count, limit int) []Record {
	if len(*b) == 0 || count <= 0 {
		return nil
	}
	slices.SortStableFunc(*b, func(x, y broadcast) int { return cmp.Compare(x.sent, y.sent) })
	taken := make([]Record, min(count, len(*b)))
	for i := range taken {
		taken[i] = (*b)[i].record
		(*b)[i].sent++
	}
	*b = slices.DeleteFunc(*b, func(o broadcast) bool { return o.sent >= limit })
	return taken
}
