package dispatch_test

import (
	"testing"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/dispatch"

	qt "github.com/frankban/quicktest"
)

// TestNoReservationForPastDemand checks that a class without new requests does
// not keep the only slot reserved indefinitely.
func TestNoReservationForPastDemand(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 1))
	urgent, _ := d.Enqueue(request(chat), 0, start)
	c.Assert(d.StartNext(start), qt.Equals, urgent)
	now := start.Add(time.Minute)
	d.Finish(urgent, dispatch.Result{}, now)
	lessUrgent, _ := d.Enqueue(request(letters), 1, now)
	c.Assert(d.StartNext(now), qt.IsNil)
	c.Assert(d.StartNext(now.Add(time.Minute)), qt.Equals, lessUrgent)
}

// TestSlotsAreReserved checks that standard slots are reserved for the expected
// demand of more urgent classes, and that cheap slots are not.
func TestSlotsAreReserved(t *testing.T) {
	c := qt.New(t)
	cheap := spec("b", 1)
	cheap.Kind = config.KindCheap
	d := newDispatcher(spec("a", 4), cheap)
	now := start
	for range 200 {
		ticket, _ := d.Enqueue(request(chat), 0, now)
		c.Assert(d.StartNext(now), qt.Equals, ticket)
		now = now.Add(time.Second)
		d.Finish(ticket, dispatch.Result{CompletionTokens: 1}, now)
	}
	var started []string
	for i := range 5 {
		d.Enqueue(request(letters), i, now)
	}
	for t := d.StartNext(now); t != nil; t = d.StartNext(now) {
		started = append(started, t.Replica.Spec.Name)
	}
	c.Assert(started, qt.DeepEquals, []string{"b", "a"}, qt.Commentf("3 of 4 slots are reserved for an average demand of 1"))
	urgent, _ := d.Enqueue(request(chat), 9, now)
	c.Assert(d.StartNext(now), qt.Equals, urgent)
}
