package fault

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Call is a call that an Injector decides on.
type Call struct {
	// Caller is the name of the caller; empty if it is unknown.
	Caller string
	// Write says whether the call changes anything.
	Write bool
}

// Injector holds the faults of one interface and applies them to its calls.
// It is safe for concurrent use.
type Injector struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed and replaced whenever faults change
	closed  bool
}

// NewInjector returns an Injector without faults.
func NewInjector() *Injector { return &Injector{changed: make(chan struct{})} }

// Faults returns the faults as they are now.
func (i *Injector) Faults() Faults {
	f, _, _ := i.state()
	return f
}

// Set replaces the faults.
func (i *Injector) Set(f Faults) { i.Update(func(now *Faults) { *now = f }) }

// Update changes the faults.
func (i *Injector) Update(change func(*Faults)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	change(&i.faults)
	i.faults.Partitions = slices.Clone(i.faults.Partitions)
	i.broadcast()
}

// Close lets go of all calls that are held; they take no effect.
func (i *Injector) Close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
	i.broadcast()
}

// broadcast wakes all calls that wait for a change. i.mu is held.
func (i *Injector) broadcast() {
	close(i.changed)
	i.changed = make(chan struct{})
}

func (i *Injector) state() (f Faults, changed <-chan struct{}, closed bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults, i.changed, i.closed
}

// BeforeCall holds a call for as long as the faults say and returns nil if it is to
// take effect. The end of ctx ends only the wait of a caller that is cut off.
func (i *Injector) BeforeCall(ctx context.Context, call Call) error {
	if i.hold(ctx, call.Caller, Requests) {
		return ErrPartitioned
	}
	if err := i.WaitUnfrozen(); err != nil {
		return err
	}
	if err := i.delay(); err != nil {
		return err
	}
	return i.admit(call)
}

// BeforeReply holds the reply of a call that took effect for as long as the faults
// say and returns nil if it is to be sent.
func (i *Injector) BeforeReply(ctx context.Context, call Call) error {
	if i.hold(ctx, call.Caller, Replies) {
		return ErrPartitioned
	}
	return nil
}

// ConsumeReplyLoss reports whether the reply of a write that takes effect now is to
// be lost, and counts it.
func (i *Injector) ConsumeReplyLoss() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.LoseReplies <= 0 {
		return false
	}
	i.faults.LoseReplies--
	return true
}

// WaitUnfrozen returns as soon as the interface is not frozen. It returns
// ErrClosed if the Injector was closed.
func (i *Injector) WaitUnfrozen() error {
	for {
		f, changed, closed := i.state()
		if closed {
			return ErrClosed
		}
		if !f.Frozen {
			return nil
		}
		<-changed
	}
}

// hold waits while the caller is cut off in the direction, and reports whether
// it was.
func (i *Injector) hold(ctx context.Context, caller string, direction Direction) bool {
	for held := false; ; held = true {
		f, changed, closed := i.state()
		if closed || !f.cut(caller, direction) {
			return held
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return true
		}
	}
}

// delay waits as long as a slow interface takes.
func (i *Injector) delay() error {
	f, _, _ := i.state()
	if f.Delay <= 0 {
		return nil
	}
	timer := time.NewTimer(time.Duration(f.Delay))
	defer timer.Stop()
	for {
		_, changed, closed := i.state()
		if closed {
			return ErrClosed
		}
		select {
		case <-timer.C:
			return nil
		case <-changed:
		}
	}
}

// admit decides on a call that is no longer held.
func (i *Injector) admit(call Call) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case i.closed:
		return ErrClosed
	case i.faults.Crashed:
		return ErrCrashed
	case i.faults.Down:
		return ErrDown
	case call.Write && i.faults.LoseRequests > 0:
		i.faults.LoseRequests--
		return ErrRequestLost
	}
	return nil
}
