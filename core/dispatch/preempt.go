package dispatch

import (
	"slices"
	"time"

	"acaciapath.example/core/config"
)

// Constants of preemption.
const (
	// preemptShare is the part of all charged tokens that may be processed
	// again because of preemption.
	preemptShare = 0.01
	// preemptBurst bounds the tokens that an unused budget saves up.
	preemptBurst = 20_000
	// preemptAfter is the part of the target of the first token that a request
	// waits before others are preempted for it: 1/4.
	preemptAfter = 4
)

// Preempt returns a running request that is to give its place to a more urgent
// one, or nil if none is to. The daemon stops it on its replica and calls
// Yield, or Finish if it has ended meanwhile. A request is only preempted for
// one of a more urgent tier that can still be served in time, only if another
// replica can go on with it, and only as far as the budget for work done twice
// goes.
func (d *Dispatcher[T]) Preempt(now time.Time) *Ticket[T] {
	for _, p := range d.pools {
		if t := p.preempt(d.FailureDomain, now); t != nil {
			return t
		}
	}
	return nil
}

// RequeuePreempted puts a preempted request back into the queue, at the place of its
// arrival. Being preempted does not count as an attempt that failed.
func (d *Dispatcher[T]) RequeuePreempted(t *Ticket[T], now time.Time) {
	if t.ended || t.Replica == nil {
		return
	}
	t.preempted = false
	t.Attempts--
	d.stop(t, now)
	t.pool.queue.Push(&t.entry)
}

// preempt chooses a request to preempt, or nil.
func (p *pool[T]) preempt(failureDomain string, now time.Time) *Ticket[T] {
	if p.queue.Empty() {
		return nil
	}
	waiting := p.pressing(failureDomain, now)
	if waiting == nil {
		return nil
	}
	var victim *Ticket[T]
	for _, t := range p.running {
		if t.mayYieldTo(waiting) && (victim == nil || yieldsBefore(t, victim)) {
			victim = t
		}
	}
	if victim == nil {
		return nil
	}
	cost := victim.redoTokens(now)
	if cost > p.preemptCredit {
		return nil
	}
	p.preemptCredit -= cost
	victim.preempted = true
	return victim
}

// pressing returns the request that others are to be preempted for, or nil: one
// of the most urgent class with waiting requests that has waited a part of its
// target, found no place, and is not about to get one that was preempted for it.
func (p *pool[T]) pressing(failureDomain string, now time.Time) *Ticket[T] {
	entry := p.queue.MostUrgent(now)
	if entry == nil {
		return nil
	}
	t := entry.Value
	target := t.Request.Class.FirstTokenTarget
	waited := now.Sub(entry.Arrived)
	if waited < target/preemptAfter || now.After(entry.StartDeadline) {
		return nil
	}
	if p.mayStart(t, p.free(failureDomain, now), false, now) {
		return nil
	}
	yielding := 0
	for _, r := range p.running {
		if r.preempted {
			yielding++
		}
	}
	if yielding >= p.queue.Waiting(t.Request.Class.Tier) {
		return nil
	}
	return t
}

// mayYieldTo reports whether a running request can make room for a waiting one.
func (t *Ticket[T]) mayYieldTo(waiting *Ticket[T]) bool {
	if t.preempted || !t.Request.Resumable || t.Request.Class.Tier <= waiting.Request.Class.Tier {
		return false
	}
	if t.Replica.Spec.Draining {
		return false
	}
	return waiting.Request.Class.CheapServers || t.Replica.Spec.Kind != config.KindCheap
}

// yieldsBefore reports whether a is a better choice to preempt than b: less
// urgent, or begun later, so that less work is done twice.
func yieldsBefore[T any](a, b *Ticket[T]) bool {
	if a.Request.Class.Tier != b.Request.Class.Tier {
		return a.Request.Class.Tier > b.Request.Class.Tier
	}
	return a.Started.After(b.Started)
}

// redoTokens returns how many tokens are processed again if the request is
// preempted now, as far as is known.
func (t *Ticket[T]) redoTokens(now time.Time) float64 {
	generated := 0.0
	if pace := t.Replica.InterTokenLatency; pace > 0 {
		generated = float64(now.Sub(t.Started)) / float64(pace)
	}
	return float64(t.Request.PromptTokens) + generated
}

// earnPreemption lets charged tokens earn their part.
func (p *pool[T]) earnPreemption(tokens int) {
	p.preemptCredit = min(preemptBurst, p.preemptCredit+preemptShare*float64(max(0, tokens)))
}

// removeRunning takes a request out of the running ones.
func (p *pool[T]) removeRunning(t *Ticket[T]) {
	i := slices.Index(p.running, t)
	p.running = slices.Delete(p.running, i, i+1)
}
