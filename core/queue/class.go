package queue

import "container/heap"

// share is the state of one client account in one service class.
type share[T any] struct {
	account string
	class   *class[T]
	entries list[T]
	// counter is the number of tokens charged, lifted to the class's floor
	// whenever the client account begins to wait anew.
	counter float64
	// position is the index in the class's heap, or notInHeap.
	position int
}

// notInHeap is the position of a share that has no entry waiting.
const notInHeap = -1

// class is the state of one service class.
type class[T any] struct {
	tier    int
	entries list[T]
	waiting int
	// shares are the client accounts that wait or were charged above the floor.
	shares map[string]*share[T]
	// backlog holds the shares with entries, least counter first.
	backlog shareHeap[T]
	// floor is the counter of the share that was served last. It never falls.
	floor float64
	// credit is the guaranteed work, in tokens, that the class has not got yet.
	// credit ≥ 0.
	credit float64
}

func newClass[T any](tier int) *class[T] {
	return &class[T]{
		tier:    tier,
		entries: list[T]{of: classLinks[T]},
		shares:  make(map[string]*share[T]),
	}
}

func (c *class[T]) push(e *Entry[T]) {
	s := c.share(e.Account)
	e.owner = s
	s.entries.insert(e)
	c.entries.insert(e)
	c.waiting++
	if s.position == notInHeap {
		s.counter = max(s.counter, c.floor)
		heap.Push(&c.backlog, s)
	}
}

// next returns the entry that is served next, or nil.
func (c *class[T]) next() *Entry[T] {
	if len(c.backlog) == 0 {
		return nil
	}
	return c.backlog[0].entries.head
}

func (c *class[T]) remove(e *Entry[T]) {
	s := e.owner
	e.owner = nil
	s.entries.remove(e)
	c.entries.remove(e)
	c.waiting--
	if s.entries.head == nil {
		heap.Remove(&c.backlog, s.position)
		c.forget(s)
	}
	if c.waiting == 0 {
		c.credit = 0
	}
}

// charge adds tokens to a client account's counter; a negative number corrects
// an earlier charge.
func (c *class[T]) charge(account string, tokens float64) {
	s := c.share(account)
	s.counter += tokens
	if s.position != notInHeap {
		heap.Fix(&c.backlog, s.position)
		return
	}
	c.forget(s)
}

// share returns the state of a client account.
func (c *class[T]) share(account string) *share[T] {
	s, ok := c.shares[account]
	if !ok {
		s = &share[T]{
			account:  account,
			class:    c,
			entries:  list[T]{of: shareLinks[T]},
			counter:  c.floor,
			position: notInHeap,
		}
		c.shares[account] = s
	}
	return s
}

// forget drops an idle share that a new one would not differ from. Shares above
// the floor stay until the floor has passed them.
func (c *class[T]) forget(s *share[T]) {
	if s.counter <= c.floor {
		delete(c.shares, s.account)
	}
}

// sweep drops all idle shares that the floor has passed.
func (c *class[T]) sweep() {
	for _, s := range c.shares {
		if s.position == notInHeap {
			c.forget(s)
		}
	}
}

// shareHeap is a heap of shares by counter, then by name.
type shareHeap[T any] []*share[T]

var _ heap.Interface = (*shareHeap[struct{}])(nil)

// Len returns the number of shares.
func (h shareHeap[T]) Len() int { return len(h) }

// Less reports whether share i is served before share j.
func (h shareHeap[T]) Less(i, j int) bool {
	if h[i].counter != h[j].counter {
		return h[i].counter < h[j].counter
	}
	return h[i].account < h[j].account
}

// Swap exchanges two shares.
func (h shareHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

// Push appends a share, for container/heap.
func (h *shareHeap[T]) Push(x any) {
	s := x.(*share[T])
	s.position = len(*h)
	*h = append(*h, s)
}

// Pop removes the last share, for container/heap.
func (h *shareHeap[T]) Pop() any {
	old := *h
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	s.position = notInHeap
	return s
}
