package memory

import (
	"context"
	"slices"
	"sync"
)

// shareRatio is the largest ratio of what one holder has to what is left. A single holder gets
// two thirds of a budget, and there is always some left for another.
const shareRatio = 2

// Limits of the number of reservations that wait.
const (
	maxWaiting          = 256
	maxWaitingPerHolder = 64
)

// mayHold reports whether a holder that has held bytes may have more of a budget of total bytes, of
// which used are taken. The load that it answers is a crowd of one client account that sends all
// that its requests may hold at once: its share shrinks with what is left, so that the crowd waits
// for itself.
func mayHold(total, used, held, more int64) bool {
	return held+more <= shareRatio*(total-used-more)
}

// Budget is an amount of memory that holders take and give back. A holder is a client account, an
// address or another name, and has no more than its share. It is safe for concurrent use.
type Budget struct {
	total int64

	mu sync.Mutex // guards the fields below
	// used is the sum of held. 0 ≤ used ≤ total.
	used int64
	held map[string]int64
	// waiting are the reservations that wait, in the order of their arrival.
	waiting []*waiting
}

// waiting is a reservation that waits.
type waiting struct {
	holder  string
	bytes   int64
	granted chan struct{}
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64) *Budget {
	return &Budget{total: bytes, held: make(map[string]int64)}
}

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Reserve takes bytes for a holder, and reports whether its share allows that.
func (b *Budget) Reserve(holder string, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserve(holder, bytes)
}

// reserve is Reserve for callers that hold b.mu.
func (b *Budget) reserve(holder string, bytes int64) bool {
	if !mayHold(b.total, b.used, b.held[holder], bytes) {
		return false
	}
	b.used += bytes
	b.held[holder] += bytes
	return true
}

// Wait is like Reserve, but waits until the holder's share allows it or ctx is done. It returns
// false at once if too many reservations wait.
func (b *Budget) Wait(ctx context.Context, holder string, bytes int64) bool {
	b.mu.Lock()
	if b.reserve(holder, bytes) {
		b.mu.Unlock()
		return true
	}
	ofHolder := 0
	for _, w := range b.waiting {
		if w.holder == holder {
			ofHolder++
		}
	}
	if len(b.waiting) >= maxWaiting || ofHolder >= maxWaitingPerHolder {
		b.mu.Unlock()
		return false
	}
	w := &waiting{holder: holder, bytes: bytes, granted: make(chan struct{})}
	b.waiting = append(b.waiting, w)
	b.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	before := len(b.waiting)
	b.waiting = slices.DeleteFunc(b.waiting, func(other *waiting) bool { return other == w })
	return len(b.waiting) == before // it was granted meanwhile
}

// Release gives back bytes that a holder has.
func (b *Budget) Release(holder string, bytes int64) {
	if bytes == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
	if b.held[holder] -= bytes; b.held[holder] == 0 {
		delete(b.held, holder)
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(w *waiting) bool {
		granted := b.reserve(w.holder, w.bytes)
		if granted {
			close(w.granted)
		}
		return granted
	})
}
