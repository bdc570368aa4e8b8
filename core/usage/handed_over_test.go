package usage_test

import (
	"context"
	"maps"
	"testing"

	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/usage"

	qt "github.com/frankban/quicktest"
)

// TestPartHandedOverTwiceIsCountedOnce has a part handed over to two neighbours at the end of its process. One
// inserts it, the other is told that it exists and adopts it. A restoration from a backup loses the row. Both then
// counted it, the first by sending the write again: more requests were reported than had run.
func TestPartHandedOverTwiceIsCountedOnce(t *testing.T) {
	for _, adoptsFirst := range []bool{true, false} {
		c := qt.New(t)
		service := newFakeTable()
		var handedOver *table.CommitPayload
		ending := usage.NewWriter(&capturingTable{fakeTable: service, captured: &handedOver}, "vm-1", "a1")
		ending.StartHandOver()
		ending.Add(partOf(8))
		c.Assert(ending.Flush(c.Context(), start, length), qt.IsNotNil) // the neighbours have the write
		backup := maps.Clone(service.rows)
		_, err := service.Commit(c.Context(), handedOver)
		c.Assert(err, qt.IsNil)
		other := usage.NewWriter(service, "vm-2", "a1")
		_, err = service.Commit(c.Context(), handedOver)
		c.Assert(err, qt.IsNotNil)
		c.Assert(other.Adopt(handedOver), qt.IsNil)
		service.rows = backup
		other.HandleRestore(usage.Announcement{}, length)
		sendAgain := func() { _, _ = service.Commit(c.Context(), handedOver) } // a conflict is part of the test
		if !adoptsFirst {
			sendAgain()
		}
		c.Assert(other.Flush(c.Context(), start, length), qt.IsNil)
		sendAgain()
		total := uint64(0)
		for _, n := range requestsIn(service) {
			total += n
		}
		c.Check(total, qt.Equals, uint64(8), qt.Commentf("adopts first: %t", adoptsFirst))
	}
}

// capturingTable is a table whose commits are handed over instead.
type capturingTable struct {
	*fakeTable
	captured **table.CommitPayload
}

func (t *capturingTable) Commit(_ context.Context, p *table.CommitPayload) ([]*table.Row, error) {
	*t.captured = p
	return nil, errNoReply
}
