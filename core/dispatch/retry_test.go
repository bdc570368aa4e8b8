package dispatch_test

import (
	"testing"
	"time"

	"acaciapath.example/core/dispatch"
	"acaciapath.example/core/replica"

	qt "github.com/frankban/quicktest"
)

func TestRetry(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 1), spec("b", 1))
	ticket, r := d.Enqueue(request(chat), 0, start)
	c.Assert(r == nil, qt.IsTrue)
	c.Assert(d.StartNext(start), qt.Equals, ticket)
	first := ticket.Replica
	c.Assert(d.Retry(ticket, start), qt.IsTrue)
	c.Assert(ticket.Waiting(), qt.IsTrue)
	c.Assert(d.StartNext(start), qt.Equals, ticket)
	c.Assert(ticket.Replica, qt.Not(qt.Equals), first)
	c.Assert(first.State(start), qt.Equals, replica.Failed)
	c.Assert(d.Retry(ticket, start), qt.IsFalse, qt.Commentf("no other replica is left"))
	d.Finish(ticket, dispatch.Result{ReplicaFailed: true}, start)
	c.Assert(d.Queues(start)[0].Running, qt.Equals, 0)
}

// TestRetriesAreBounded fails 100 requests at once and checks that all are
// retried, but no faster than the retry budget allows.
func TestRetriesAreBounded(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 100), spec("b", 100), spec("c", 100))
	tickets := make([]*dispatch.Ticket[int], 100)
	for i := range tickets {
		tickets[i], _ = d.Enqueue(request(letters), i, start)
		c.Assert(d.StartNext(start), qt.Equals, tickets[i])
	}
	for _, ticket := range tickets {
		c.Assert(d.Retry(ticket, start), qt.IsTrue)
		c.Assert(ticket.Waiting(), qt.IsTrue)
	}
	now := start.Add(20 * time.Second)
	for range 10 {
		c.Assert(d.StartNext(now), qt.IsNotNil, qt.Commentf("the burst"))
	}
	c.Assert(d.StartNext(now), qt.IsNil)
	for range 90 {
		now = now.Add(100 * time.Millisecond)
		c.Assert(d.StartNext(now), qt.IsNotNil)
		c.Assert(d.StartNext(now), qt.IsNil)
	}
}

func TestFinishWhileAwaitingBudget(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 100), spec("b", 100))
	tickets := make([]*dispatch.Ticket[int], 11)
	for i := range tickets {
		tickets[i], _ = d.Enqueue(request(letters), i, start)
		c.Assert(d.StartNext(start), qt.Equals, tickets[i])
	}
	for _, ticket := range tickets {
		c.Assert(d.Retry(ticket, start), qt.IsTrue)
	}
	last := tickets[10]
	d.Finish(last, dispatch.Result{}, start)
	c.Assert(last.Waiting(), qt.IsFalse)
	now, started := start.Add(time.Hour), 0
	for d.StartNext(now) != nil {
		started++
	}
	c.Assert(started, qt.Equals, 10)
}

// TestAttemptsAreBounded checks that a request that fails on every replica is
// sent to maxAttempts of them at most.
func TestAttemptsAreBounded(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 1), spec("b", 1), spec("c", 1), spec("d", 1), spec("e", 1), spec("f", 1), spec("g", 1))
	now := start
	ticket, _ := d.Enqueue(request(letters), 1, now)
	sent := 0
	for again := true; again; sent++ {
		now = now.Add(time.Minute)
		c.Assert(d.StartNext(now), qt.Equals, ticket)
		again = d.Retry(ticket, now)
	}
	c.Assert(sent, qt.Equals, 5)
}

// TestResumedRequestGoesFirst checks that a resumed request is served before a
// later one that has no token yet.
func TestResumedRequestGoesFirst(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 1), spec("b", 1))
	first, _ := d.Enqueue(request(chat), 1, start)
	c.Assert(d.StartNext(start), qt.Equals, first)
	other, _ := d.Enqueue(request(chat), 2, start)
	c.Assert(d.StartNext(start), qt.Equals, other)
	later := start.Add(2 * time.Second)
	d.Enqueue(request(chat), 3, later)
	c.Assert(d.Resume(first, later), qt.IsTrue)
	d.Finish(other, dispatch.Result{}, later)
	c.Assert(d.StartNext(later), qt.Equals, first)
}
