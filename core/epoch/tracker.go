package epoch

import "sync"

// Tracker knows the latest epoch of a store. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex // guards the fields below
	current uint64
	hooks   []func(previous, current uint64)
}

// NewTracker returns a tracker that has seen no epoch, which counts as epoch 0.
func NewTracker() *Tracker { return &Tracker{} }

// Current returns the latest epoch that was observed.
func (t *Tracker) Current() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// OnRestore adds a function that is called when a later epoch than a known one is observed.
// It must not wait for calls of the store.
func (t *Tracker) OnRestore(f func(previous, current uint64)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hooks = append(t.hooks, f)
}

// Observe records that the store answered in an epoch. An earlier epoch than the current
// one is ignored, since answers may be delayed.
func (t *Tracker) Observe(epoch uint64) {
	t.mu.Lock()
	previous := t.current
	t.current = max(previous, epoch)
	hooks := t.hooks
	t.mu.Unlock()
	if previous == 0 || epoch <= previous {
		return
	}
	for _, hook := range hooks {
		hook(previous, epoch)
	}
}
