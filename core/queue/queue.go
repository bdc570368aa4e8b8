package queue

import (
	"slices"
	"time"
)

// GuaranteedShare is the part of the work done for more urgent tiers that a
// class with waiting requests is owed.
const GuaranteedShare = 0.02

// sweepInterval is the number of charges after which idle shares are dropped.
const sweepInterval = 1024

// Queue holds the requests that wait for one pool of replicas.
type Queue[T any] struct {
	// classes are in the order of their tiers, most urgent first.
	classes []*class[T]
	// charges counts up to sweepInterval.
	charges int
}

// New returns an empty queue.
func New[T any]() *Queue[T] { return &Queue[T]{} }

// Push adds an entry, which must not wait in any queue.
func (q *Queue[T]) Push(e *Entry[T]) { q.class(e.Tier).push(e) }

// Next returns the entry that is served next, or nil. The function eligible
// says whether the first entry of a class can be served at present, and is told
// whether the class is owed guaranteed work; classes whose first entry cannot
// be served are passed over. Within a class, requests that can still be served
// in time go first: under overload some are served in time then, where in the
// order of arrival all would be late.
//
// A class that is owed at least cost tokens of guaranteed work goes first;
// among several the most urgent one. Otherwise the most urgent tier goes first.
// So a class with waiting work gets at least GuaranteedShare of what more
// urgent classes get, and waits while at most cost / GuaranteedShare tokens
// are generated for each of them.
func (q *Queue[T]) Next(now time.Time, cost float64, eligible func(e *Entry[T], owed bool) bool) *Entry[T] {
	var first *Entry[T]
	for _, c := range q.classes {
		owed := c.credit > 0 && c.credit >= cost
		if c.waiting == 0 || (first != nil && !owed) {
			continue
		}
		c.age(now)
		e := c.next()
		if !eligible(e, owed) {
			continue
		}
		if owed {
			return e
		}
		first = e
	}
	return first
}

// Take removes an entry that Next returned, and settles its class's credit with
// cost, the expected work of the entry in tokens.
func (q *Queue[T]) Take(e *Entry[T], cost float64) {
	s := e.owner.share
	c := s.class
	c.credit = max(0, c.credit-cost)
	c.floor = max(c.floor, s.counter)
	c.remove(e)
}

// Remove takes an entry out, and reports false if it does not wait.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	if e.owner == nil {
		return false
	}
	e.owner.share.class.remove(e)
	return true
}

// Charge accounts for work done for a client account: tokens may be negative,
// to correct an estimate. Classes of less urgent tiers with waiting requests
// earn their guaranteed share of positive charges.
func (q *Queue[T]) Charge(tier int, account string, tokens float64) {
	q.class(tier).charge(account, tokens)
	if tokens > 0 {
		q.earn(tier, tokens)
	}
	q.charges++
	if q.charges >= sweepInterval {
		q.sweep()
	}
}

// MostUrgent returns the entry that is next in the most urgent class with
// waiting requests, or nil.
func (q *Queue[T]) MostUrgent(now time.Time) *Entry[T] {
	for _, c := range q.classes {
		if c.waiting > 0 {
			c.age(now)
			return c.next()
		}
	}
	return nil
}

// Empty reports whether no request waits.
func (q *Queue[T]) Empty() bool {
	return !slices.ContainsFunc(q.classes, func(c *class[T]) bool { return c.waiting > 0 })
}

// Waiting returns the number of waiting requests of a tier.
func (q *Queue[T]) Waiting(tier int) int {
	for _, c := range q.classes {
		if c.tier == tier {
			return c.waiting
		}
	}
	return 0
}

// WaitingUpTo returns the number of waiting requests of a tier and of all more
// urgent ones.
func (q *Queue[T]) WaitingUpTo(tier int) int {
	n := 0
	for _, c := range q.classes {
		if c.tier <= tier {
			n += c.waiting
		}
	}
	return n
}

// OldestArrival returns when the oldest waiting request of a tier arrived, and false
// if none waits.
func (q *Queue[T]) OldestArrival(tier int) (time.Time, bool) {
	for _, c := range q.classes {
		if c.tier != tier {
			continue
		}
		if e := c.oldest(); e != nil {
			return e.Arrived, true
		}
	}
	return time.Time{}, false
}

// earn gives classes below a tier their share of work done above them.
func (q *Queue[T]) earn(tier int, tokens float64) {
	for _, c := range q.classes {
		if c.tier > tier && c.waiting > 0 {
			c.credit += tokens * GuaranteedShare
		}
	}
}

func (q *Queue[T]) sweep() {
	q.charges = 0
	for _, c := range q.classes {
		c.sweep()
	}
}

// class returns the state of a tier, which it creates if there is none.
func (q *Queue[T]) class(tier int) *class[T] {
	i, ok := slices.BinarySearchFunc(q.classes, tier, func(c *class[T], tier int) int { return c.tier - tier })
	if !ok {
		q.classes = slices.Insert(q.classes, i, newClass[T](tier))
	}
	return q.classes[i]
}
