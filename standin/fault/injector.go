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
	// Write reports whether the call changes state.
	Write bool
}

// Injector holds the faults of one interface and applies them to its calls.
// It is safe for concurrent use.
type Injector struct {
	mu      sync.Mutex // guards the fields below
	faults  Faults
	changed chan struct{} // closed and replaced whenever faults change
	closed  bool
}

// NewInjector returns an Injector without faults.
func NewInjector() *Injector { return &Injector{changed: make(chan struct{})} }

// Faults returns the current faults.
func (i *Injector) Faults() Faults {
	f, _, _ := i.state()
	return f
}

// Set replaces the faults.
func (i *Injector) Set(f Faults) { i.Update(func(current *Faults) { *current = f }) }

// Update calls change with the current faults, which it may modify.
func (i *Injector) Update(change func(*Faults)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	change(&i.faults)
	i.faults.Partitions = slices.Clone(i.faults.Partitions)
	i.broadcast()
}

// Close unblocks all calls. Calls that have not taken effect fail without effect;
// replies that a partition blocks are lost.
func (i *Injector) Close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
	i.broadcast()
}

// broadcast wakes all calls that wait for a change of the faults. The caller must
// hold i.mu.
func (i *Injector) broadcast() {
	close(i.changed)
	i.changed = make(chan struct{})
}

func (i *Injector) state() (f Faults, changed <-chan struct{}, closed bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults, i.changed, i.closed
}

// BeforeCall blocks or delays a call according to the faults. It returns nil if
// the call must take effect. The end of ctx ends only the wait of a partitioned
// caller.
func (i *Injector) BeforeCall(ctx context.Context, call Call) error {
	if i.awaitPartitionEnd(ctx, call.Caller, Requests) {
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

// BeforeReply must be called when a call has taken effect. It blocks the reply
// while a partition drops replies to the caller. It returns nil if the reply must
// be sent.
func (i *Injector) BeforeReply(ctx context.Context, call Call) error {
	if i.awaitPartitionEnd(ctx, call.Caller, Replies) {
		return ErrPartitioned
	}
	return nil
}

// ConsumeReplyLoss reports whether the reply to a write that takes effect now is
// lost. If so, it decrements Faults.LoseReplies.
func (i *Injector) ConsumeReplyLoss() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.LoseReplies <= 0 {
		return false
	}
	i.faults.LoseReplies--
	return true
}

// WaitUnfrozen waits until the interface is not frozen. It returns ErrClosed if
// the Injector is closed.
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

// awaitPartitionEnd waits while messages of the caller in the direction are
// dropped, until ctx ends. It reports whether it had to wait.
func (i *Injector) awaitPartitionEnd(ctx context.Context, caller string, direction Direction) bool {
	for waited := false; ; waited = true {
		f, changed, closed := i.state()
		if closed || !f.drops(caller, direction) {
			return waited
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return true
		}
	}
}

// delay waits for Faults.Delay. It returns ErrClosed if the Injector is closed.
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

// admit returns nil if a call that is no longer blocked must take effect.
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
