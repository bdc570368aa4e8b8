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
// says whether the first entry of a class can be served at present; classes
// whose first entry cannot are passed over.
//
// A class that is owed at least cost tokens of guaranteed work goes first;
// among several the most urgent one. Otherwise the most urgent tier goes first.
// So a class with waiting work gets at least GuaranteedShare of what more
// urgent classes get, and waits while at most cost / GuaranteedShare tokens
// are generated for each of them.
func (q *Queue[T]) Next(cost float64, eligible func(*Entry[T]) bool) *Entry[T] {
	var first *class[T]
	for _, c := range q.classes {
		if c.waiting == 0 || !eligible(c.next()) {
			continue
		}
		if c.credit >= cost && c.credit > 0 {
			return c.next()
		}
		if first == nil {
			first = c
		}
	}
	if first == nil {
		return nil
	}
	return first.next()
}

// Take removes an entry that Next returned, and settles its class's credit with
// cost, the expected work of the entry in tokens.
func (q *Queue[T]) Take(e *Entry[T], cost float64) {
	c := e.owner.class
	c.credit = max(0, c.credit-cost)
	c.floor = max(c.floor, e.owner.counter)
	c.remove(e)
}

// Remove takes an entry out, and reports false if it does not wait.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	if e.owner == nil {
		return false
	}
	e.owner.class.remove(e)
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

// Oldest returns when the oldest waiting request of a tier arrived, and false
// if none waits.
func (q *Queue[T]) Oldest(tier int) (time.Time, bool) {
	for _, c := range q.classes {
		if c.tier == tier && c.entries.head != nil {
			return c.entries.head.Arrived, true
		}
	}
	return time.Time{}, false
}

// All calls yield with each waiting entry by tier and arrival until it returns
// false. The queue must not be changed meanwhile.
func (q *Queue[T]) All(yield func(*Entry[T]) bool) {
	for _, c := range q.classes {
		for e := c.entries.head; e != nil; e = e.inClass.next {
			if !yield(e) {
				return
			}
		}
	}
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
