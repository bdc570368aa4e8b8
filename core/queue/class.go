package queue

import (
	"container/heap"
	"time"
)

// urgency tells the two kinds of entries of a class apart.
type urgency int

// The kinds of entries.
const (
	// fresh entries can still be served in time.
	fresh urgency = iota
	// late entries cannot.
	late
	urgencies
)

// share is the state of one client account in one service class.
type share[T any] struct {
	account string
	class   *class[T]
	// counter is the number of tokens charged, lifted to the class's floor
	// whenever the client account begins to wait anew.
	counter float64
	// record is how many of the client account's requests became late.
	record record
	// lanes hold the fresh and the late entries.
	lanes [urgencies]lane[T]
}

// lane holds the fresh or the late entries of one client account.
type lane[T any] struct {
	share   *share[T]
	urgency urgency
	entries list[T]
	// position is the index in the class's heap, or notInHeap.
	position int
}

// notInHeap is the position of a lane that has no entry waiting.
const notInHeap = -1

func newShare[T any](c *class[T], account string) *share[T] {
	s := &share[T]{account: account, class: c, counter: c.floor}
	for u := range urgencies {
		s.lanes[u] = lane[T]{
			share:    s,
			urgency:  u,
			entries:  list[T]{of: laneLinks[T]},
			position: notInHeap,
		}
	}
	return s
}

// idle reports whether the client account has no entry waiting.
func (s *share[T]) idle() bool {
	return s.lanes[fresh].position == notInHeap && s.lanes[late].position == notInHeap
}

// class is the state of one service class.
type class[T any] struct {
	tier    int
	waiting int
	// entries are the fresh and the late entries in the order of arrival.
	entries [urgencies]list[T]
	// backlog holds the lanes with entries, least counter first.
	backlog [urgencies]laneHeap[T]
	// shares are the client accounts that wait or were charged above the floor.
	shares map[string]*share[T]
	// floor is the counter of the share that was served last. It never falls.
	floor float64
	// credit is the guaranteed work, in tokens, that the class has not got yet.
	// credit ≥ 0.
	credit float64
	// demand tells the client accounts that ask for more than usual.
	demand demand
	// now is the latest time that the class was told. It never moves back.
	now time.Time
}

func newClass[T any](tier int) *class[T] {
	c := &class[T]{tier: tier, shares: make(map[string]*share[T])}
	for u := range urgencies {
		c.entries[u] = list[T]{of: classLinks[T]}
	}
	return c
}

func (c *class[T]) push(e *Entry[T]) {
	s := c.share(e.Account)
	if s.idle() {
		s.counter = max(s.counter, c.floor)
	}
	c.tell(e.Arrived)
	if !e.asked {
		e.asked = true
		e.unusual = c.demand.ask(&s.record, c.now)
		if !e.unusual {
			s.record.ask(c.now)
		}
	}
	c.insert(e, s, fresh)
	c.fix(s, fresh)
	c.waiting++
}

// tell notes the present time.
func (c *class[T]) tell(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
}

// fix restores the order of a heap after a change of a share.
func (c *class[T]) fix(s *share[T], u urgency) {
	if i := s.lanes[u].position; i != notInHeap {
		heap.Fix(&c.backlog[u], i)
	}
}

// insert puts an entry into one of its client account's lanes.
func (c *class[T]) insert(e *Entry[T], s *share[T], u urgency) {
	l := &s.lanes[u]
	e.owner = l
	l.entries.insert(e)
	c.entries[u].insert(e)
	if l.position == notInHeap {
		heap.Push(&c.backlog[u], l)
	}
}

// detach takes an entry out of its lane.
func (c *class[T]) detach(e *Entry[T]) {
	l := e.owner
	e.owner = nil
	l.entries.remove(e)
	c.entries[l.urgency].remove(e)
	if l.entries.head == nil {
		heap.Remove(&c.backlog[l.urgency], l.position)
	}
}

// age moves the entries that have become late. The requests of a class are
// late after the same time, so that the first to arrive is the first to be late.
func (c *class[T]) age(now time.Time) {
	c.tell(now)
	for {
		e := c.entries[fresh].head
		if e == nil || !now.After(e.StartDeadline) {
			return
		}
		s := e.owner.share
		c.detach(e)
		if !e.unusual {
			s.record.miss(c.now)
		}
		c.insert(e, s, late)
		c.fix(s, fresh)
	}
}

// next returns the entry that is served next, or nil.
func (c *class[T]) next() *Entry[T] {
	for u := range urgencies {
		if len(c.backlog[u]) > 0 {
			return c.backlog[u][0].entries.head
		}
	}
	return nil
}

// oldest returns the entry that arrived first, or nil.
func (c *class[T]) oldest() *Entry[T] {
	a, b := c.entries[fresh].head, c.entries[late].head
	if a == nil || (b != nil && b.Arrived.Before(a.Arrived)) {
		return b
	}
	return a
}

func (c *class[T]) remove(e *Entry[T]) {
	s := e.owner.share
	c.detach(e)
	c.waiting--
	c.forget(s)
	if c.waiting == 0 {
		c.credit = 0
	}
}

// charge adds tokens to a client account's counter; a negative number corrects
// an earlier charge.
func (c *class[T]) charge(account string, tokens float64) {
	s := c.share(account)
	s.counter += tokens
	for u := range urgencies {
		c.fix(s, u)
	}
	c.forget(s)
}

// share returns the state of a client account.
func (c *class[T]) share(account string) *share[T] {
	s, ok := c.shares[account]
	if !ok {
		s = newShare(c, account)
		c.shares[account] = s
	}
	return s
}

// forget drops an idle share that a new one would not differ from. Shares above
// the floor stay until the floor has passed them, and shares with a record until
// it has faded.
func (c *class[T]) forget(s *share[T]) {
	if s.idle() && s.counter <= c.floor && s.record.faded(c.now) {
		delete(c.shares, s.account)
	}
}

// sweep drops all idle shares that the floor has passed.
func (c *class[T]) sweep() {
	for _, s := range c.shares {
		c.forget(s)
	}
}

// laneHeap is a heap of lanes: fresh ones by the part of their shares' requests
// that became late, then all by their shares' counters, then by name.
type laneHeap[T any] []*lane[T]

var _ heap.Interface = (*laneHeap[struct{}])(nil)

// Len returns the number of lanes.
func (h laneHeap[T]) Len() int { return len(h) }

// Less reports whether lane i is served before lane j.
func (h laneHeap[T]) Less(i, j int) bool {
	a, b := h[i].share, h[j].share
	if h[i].urgency == fresh {
		if x, y := a.record.misses(), b.record.misses(); x != y {
			return x > y
		}
	}
	if a.counter != b.counter {
		return a.counter < b.counter
	}
	return a.account < b.account
}

// Swap exchanges two lanes.
func (h laneHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

// Push appends a lane, for container/heap.
func (h *laneHeap[T]) Push(x any) {
	l := x.(*lane[T])
	l.position = len(*h)
	*h = append(*h, l)
}

// Pop removes the last lane, for container/heap.
func (h *laneHeap[T]) Pop() any {
	old := *h
	l := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	l.position = notInHeap
	return l
}
