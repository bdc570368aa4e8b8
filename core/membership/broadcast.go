package membership

import (
	"cmp"
	"slices"
)

// broadcast is an update that messages to other daemons still have to carry.
type broadcast struct {
	record Record
	// sendCount is the number of messages that have carried the record.
	sendCount int
}

// broadcasts holds the updates that are still to be sent, at most one for each
// daemon.
type broadcasts []broadcast

// add queues an update and removes an older one about the same daemon.
func (b *broadcasts) add(record Record) {
	b.remove(record.MemberID)
	*b = append(*b, broadcast{record: record})
}

// remove removes the update about a daemon, if there is one.
func (b *broadcasts) remove(id ID) {
	*b = slices.DeleteFunc(*b, func(o broadcast) bool { return o.record.MemberID == id })
}

// take returns up to count updates, those that were sent least often first. It
// removes the updates that have now been sent limit times.
func (b *broadcasts) take(count, limit int) []Record {
	if len(*b) == 0 || count <= 0 {
		return nil
	}
	slices.SortStableFunc(*b, func(x, y broadcast) int { return cmp.Compare(x.sendCount, y.sendCount) })
	taken := make([]Record, min(count, len(*b)))
	for i := range taken {
		taken[i] = (*b)[i].record
		(*b)[i].sendCount++
	}
	*b = slices.DeleteFunc(*b, func(o broadcast) bool { return o.sendCount >= limit })
	return taken
}
