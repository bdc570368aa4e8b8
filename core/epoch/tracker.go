package epoch

import (
	"sync"
	"time"
)

// Tracker knows the latest epoch of a store, and when the store last answered. It is safe
// for concurrent use.
type Tracker struct {
	mu      sync.Mutex // guards the fields below
	current uint64
	// observed states that current is known. It may be 0.
	observed bool
	// answeredAt is when the store last answered a call, or zero.
	answeredAt time.Time
	hooks      []func(previous, current uint64)
	// superseded is closed and replaced when a later epoch is observed.
	superseded chan struct{}
}

// NewTracker returns a tracker that has seen no epoch, which counts as epoch 0.
func NewTracker() *Tracker { return &Tracker{superseded: make(chan struct{})} }

// Current returns the latest epoch that was observed.
func (t *Tracker) Current() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// Superseded returns a channel that is closed when a later epoch than the current one is
// observed.
func (t *Tracker) Superseded() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.superseded
}

// OnRestore adds a function that is called when a later epoch than a known one is observed.
// It must not wait for calls of the store.
func (t *Tracker) OnRestore(f func(previous, current uint64)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hooks = append(t.hooks, f)
}

// Answered records that the store answered a call at now.
func (t *Tracker) Answered(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.After(t.answeredAt) {
		t.answeredAt = now
	}
}

// AnsweredSince reports whether the store has answered a call after a time.
func (t *Tracker) AnsweredSince(after time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answeredAt.After(after)
}

// Observe records that the store answered in an epoch. An earlier epoch than the current
// one is ignored, since answers may be delayed.
func (t *Tracker) Observe(epoch uint64) {
	t.mu.Lock()
	previous, known := t.current, t.observed
	t.observed = true
	if epoch > previous {
		t.current = epoch
		close(t.superseded)
		t.superseded = make(chan struct{})
	}
	hooks := t.hooks
	t.mu.Unlock()
	if !known || epoch <= previous {
		return
	}
	for _, hook := range hooks {
		hook(previous, epoch)
	}
}
