package queue

import (
	"container/heap"
	"time"
)

// timeliness states whether an entry can still be served on time.
type timeliness int

const (
	// onTime entries have not passed their start deadline.
	onTime timeliness = iota
	// late entries have passed it.
	late
	timelinessCount
)

// accountState is the state of one client account in one service class.
type accountState[T any] struct {
	account string
	class   *class[T]
	// counter is the virtual token counter: the number of tokens charged. It is
	// raised to the floor of the class when the client account starts to wait
	// again after having no waiting entries.
	counter float64
	// stats are the counts of the requests of the client account and of those
	// that became late.
	stats requestStats
	// subqueues hold the on-time and the late entries.
	subqueues [timelinessCount]subqueue[T]
}

// subqueue holds the on-time or the late entries of one client account.
type subqueue[T any] struct {
	state      *accountState[T]
	timeliness timeliness
	entries    list[T]
	// heapIndex is the index in the heap of the class, or notInHeap.
	heapIndex int
}

// notInHeap is the heapIndex of a subqueue without entries.
const notInHeap = -1

func newAccountState[T any](c *class[T], account string) *accountState[T] {
	s := &accountState[T]{account: account, class: c, counter: c.floor}
	for t := range timelinessCount {
		s.subqueues[t] = subqueue[T]{
			state:      s,
			timeliness: t,
			entries:    list[T]{linksOf: subqueueLinks[T]},
			heapIndex:  notInHeap,
		}
	}
	return s
}

// idle reports whether the client account has no waiting entry.
func (s *accountState[T]) idle() bool {
	return s.subqueues[onTime].heapIndex == notInHeap && s.subqueues[late].heapIndex == notInHeap
}

// class is the state of one service class.
type class[T any] struct {
	tier    int
	waiting int
	// entries are the on-time and the late entries, in order of arrival.
	entries [timelinessCount]list[T]
	// backlog holds the subqueues with entries, each heap in the order in which
	// they are served.
	backlog [timelinessCount]subqueueHeap[T]
	// accounts holds the client accounts that cannot be dropped yet, see
	// dropIfUnneeded.
	accounts map[string]*accountState[T]
	// floor is the highest counter at which a client account was served. It
	// never decreases.
	floor float64
	// credit is the guaranteed work that the class is owed, in tokens. It is
	// never negative.
	credit float64
	// demand detects client accounts that send more requests than usual.
	demand demand
	// now is the latest time that was passed to the class. It never moves back.
	now time.Time
}

func newClass[T any](tier int) *class[T] {
	c := &class[T]{tier: tier, accounts: make(map[string]*accountState[T])}
	for t := range timelinessCount {
		c.entries[t] = list[T]{linksOf: classLinks[T]}
	}
	return c
}

func (c *class[T]) push(e *Entry[T]) {
	s := c.state(e.Account)
	if s.idle() {
		s.counter = max(s.counter, c.floor)
	}
	c.advance(e.Arrived)
	if !e.counted {
		e.counted = true
		e.surging = c.demand.count(&s.stats, c.now)
		if !e.surging {
			s.stats.countRequest(c.now)
		}
	}
	c.insert(e, s, onTime)
	c.fix(s, onTime)
	c.waiting++
}

// advance moves the time of the class forward to now.
func (c *class[T]) advance(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
}

// fix restores the order of the on-time or the late heap after a change of the
// state of a client account.
func (c *class[T]) fix(s *accountState[T], t timeliness) {
	if i := s.subqueues[t].heapIndex; i != notInHeap {
		heap.Fix(&c.backlog[t], i)
	}
}

// insert adds an entry to one of the subqueues of its client account.
func (c *class[T]) insert(e *Entry[T], s *accountState[T], t timeliness) {
	sub := &s.subqueues[t]
	e.subqueue = sub
	sub.entries.insert(e)
	c.entries[t].insert(e)
	if sub.heapIndex == notInHeap {
		heap.Push(&c.backlog[t], sub)
	}
}

// detach removes an entry from its subqueue.
func (c *class[T]) detach(e *Entry[T]) {
	sub := e.subqueue
	e.subqueue = nil
	sub.entries.remove(e)
	c.entries[sub.timeliness].remove(e)
	if sub.entries.head == nil {
		heap.Remove(&c.backlog[sub.timeliness], sub.heapIndex)
	}
}

// markLate moves the entries whose start deadline has passed to the late
// subqueues. It relies on all requests of a class having the same time from
// arrival to start deadline, so that they become late in order of arrival.
func (c *class[T]) markLate(now time.Time) {
	c.advance(now)
	for {
		e := c.entries[onTime].head
		if e == nil || !now.After(e.StartDeadline) {
			return
		}
		s := e.subqueue.state
		c.detach(e)
		if !e.surging {
			s.stats.countLate(c.now)
		}
		c.insert(e, s, late)
		c.fix(s, onTime)
	}
}

// next returns the entry to serve next, or nil.
func (c *class[T]) next() *Entry[T] {
	for t := range timelinessCount {
		if len(c.backlog[t]) > 0 {
			return c.backlog[t][0].entries.head
		}
	}
	return nil
}

// oldest returns the entry that arrived first, or nil.
func (c *class[T]) oldest() *Entry[T] {
	a, b := c.entries[onTime].head, c.entries[late].head
	if a == nil || (b != nil && b.Arrived.Before(a.Arrived)) {
		return b
	}
	return a
}

func (c *class[T]) remove(e *Entry[T]) {
	s := e.subqueue.state
	c.detach(e)
	c.waiting--
	c.dropIfUnneeded(s)
	if c.waiting == 0 {
		c.credit = 0
	}
}

// charge adds tokens to the counter of a client account; a negative number
// corrects an earlier charge.
func (c *class[T]) charge(account string, tokens float64) {
	s := c.state(account)
	s.counter += tokens
	for t := range timelinessCount {
		c.fix(s, t)
	}
	c.dropIfUnneeded(s)
}

// state returns the state of a client account. It creates the state if there is
// none.
func (c *class[T]) state(account string) *accountState[T] {
	s, ok := c.accounts[account]
	if !ok {
		s = newAccountState(c, account)
		c.accounts[account] = s
	}
	return s
}

// dropIfUnneeded drops the state of an idle client account if it is equivalent
// to a new one. A state whose counter is above the floor is kept until the
// floor has passed it, and one with late requests until their decayed number is
// negligible.
func (c *class[T]) dropIfUnneeded(s *accountState[T]) {
	if s.idle() && s.counter <= c.floor && s.stats.isNegligible(c.now) {
		delete(c.accounts, s.account)
	}
}

// sweep drops the states of all client accounts that are no longer needed.
func (c *class[T]) sweep() {
	for _, s := range c.accounts {
		c.dropIfUnneeded(s)
	}
}

// subqueueHeap is a heap of subqueues. On-time ones are ordered by the share of
// late requests of their client account, highest first. Late ones, and on-time
// ones with equal shares, are ordered by counter, lowest first, and then by
// name.
type subqueueHeap[T any] []*subqueue[T]

var _ heap.Interface = (*subqueueHeap[struct{}])(nil)

// Len returns the number of subqueues.
func (h subqueueHeap[T]) Len() int { return len(h) }

// Less reports whether subqueue i is served before subqueue j.
func (h subqueueHeap[T]) Less(i, j int) bool {
	a, b := h[i].state, h[j].state
	if h[i].timeliness == onTime {
		if x, y := a.stats.lateShare(), b.stats.lateShare(); x != y {
			return x > y
		}
	}
	if a.counter != b.counter {
		return a.counter < b.counter
	}
	return a.account < b.account
}

// Swap exchanges two subqueues.
func (h subqueueHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push appends a subqueue, for container/heap.
func (h *subqueueHeap[T]) Push(x any) {
	sub := x.(*subqueue[T])
	sub.heapIndex = len(*h)
	*h = append(*h, sub)
}

// Pop removes the last subqueue, for container/heap.
func (h *subqueueHeap[T]) Pop() any {
	old := *h
	sub := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	sub.heapIndex = notInHeap
	return sub
}
