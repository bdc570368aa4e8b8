package queue

import (
	"slices"
	"time"
)

// GuaranteedShare is the share of the work done for more urgent tiers that a
// class with waiting requests is guaranteed.
const GuaranteedShare = 0.02

// sweepInterval is the number of charges between two sweeps, which drop the
// states of idle client accounts.
const sweepInterval = 1024

// Queue holds the requests that wait for one pool of replicas.
type Queue[T any] struct {
	// classes are sorted by tier, most urgent first.
	classes []*class[T]
	// charges counts the charges since the last sweep.
	charges int
}

// New returns an empty queue.
func New[T any]() *Queue[T] { return &Queue[T]{} }

// Push adds an entry, which must not be in a queue.
func (q *Queue[T]) Push(e *Entry[T]) { q.class(e.Tier).push(e) }

// Next returns the entry to serve next, or nil. It does not remove the entry.
// The function eligible reports whether the first entry of a class can be
// served at present; its argument owed states that the class is owed guaranteed
// work. Classes whose first entry is not eligible are skipped. Within a class,
// requests that can still be served on time go first: under overload some are
// then served on time, whereas in order of arrival all would be late.
//
// The most urgent class that is owed at least cost tokens of guaranteed work
// goes first. If there is none, the most urgent tier goes first. A class with
// waiting work thus gets at least GuaranteedShare of the work of more urgent
// classes, and waits while at most cost / GuaranteedShare tokens are generated
// for each of them.
func (q *Queue[T]) Next(now time.Time, cost float64, eligible func(e *Entry[T], owed bool) bool) *Entry[T] {
	var first *Entry[T]
	for _, c := range q.classes {
		owed := c.credit > 0 && c.credit >= cost
		if c.waiting == 0 || (first != nil && !owed) {
			continue
		}
		c.markLate(now)
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

// Take removes an entry that Next returned and subtracts cost, the expected
// work of the entry in tokens, from the credit of its class.
func (q *Queue[T]) Take(e *Entry[T], cost float64) {
	s := e.subqueue.state
	c := s.class
	c.credit = max(0, c.credit-cost)
	c.floor = max(c.floor, s.counter)
	c.remove(e)
}

// Remove removes an entry. It returns false if the entry is not waiting.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	if e.subqueue == nil {
		return false
	}
	e.subqueue.state.class.remove(e)
	return true
}

// Charge records work done for a client account. Tokens may be negative, to
// correct an estimate. Less urgent classes with waiting requests earn their
// guaranteed share of positive charges.
func (q *Queue[T]) Charge(tier int, account string, tokens float64) {
	q.class(tier).charge(account, tokens)
	if tokens > 0 {
		q.addCredit(tier, tokens)
	}
	q.charges++
	if q.charges >= sweepInterval {
		q.sweep()
	}
}

// MostUrgent returns the next entry of the most urgent class with waiting
// requests, or nil.
func (q *Queue[T]) MostUrgent(now time.Time) *Entry[T] {
	for _, c := range q.classes {
		if c.waiting > 0 {
			c.markLate(now)
			return c.next()
		}
	}
	return nil
}

// Empty reports whether no request is waiting.
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

// WaitingUpTo returns the number of waiting requests of a tier and all more
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

// OldestArrival returns when the oldest waiting request of a tier arrived, and
// false if none is waiting.
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

// addCredit credits less urgent classes with waiting requests with their
// guaranteed share of work done for a tier.
func (q *Queue[T]) addCredit(tier int, tokens float64) {
	for _, c := range q.classes {
		if c.tier > tier && c.waiting > 0 {
			c.credit += tokens * GuaranteedShare
		}
	}
}

// sweep drops the states of client accounts that are no longer needed.
func (q *Queue[T]) sweep() {
	q.charges = 0
	for _, c := range q.classes {
		c.sweep()
	}
}

// class returns the class of a tier. It creates the class if there is none.
func (q *Queue[T]) class(tier int) *class[T] {
	i, ok := slices.BinarySearchFunc(q.classes, tier, func(c *class[T], tier int) int { return c.tier - tier })
	if !ok {
		q.classes = slices.Insert(q.classes, i, newClass[T](tier))
	}
	return q.classes[i]
}
