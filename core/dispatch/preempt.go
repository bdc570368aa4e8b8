package dispatch

import (
	"slices"
	"time"

	"acaciapath.example/core/config"
)

const (
	// preemptionShare is the share of all charged tokens that may be processed
	// again because of preemption.
	preemptionShare = 0.01
	// maxPreemptionCredit is the largest unused credit, in tokens.
	maxPreemptionCredit = 20_000
	// A request waits for 1/preemptAfterDivisor of its first-token target
	// before other requests are preempted for it.
	preemptAfterDivisor = 4
)

// Preempt returns a running request to preempt in favor of a more urgent one,
// or nil if there is none. The daemon stops the request on its replica and
// calls RequeuePreempted, or Finish if the request has ended meanwhile.
//
// A request is preempted only for one of a more urgent tier that has not yet
// passed its start deadline, only if another replica can continue it, and only
// as far as the preemption credit allows.
func (d *Dispatcher[T]) Preempt(now time.Time) *Ticket[T] {
	for _, p := range d.pools {
		if t := p.preempt(d.FailureDomain, now); t != nil {
			return t
		}
	}
	return nil
}

// RequeuePreempted puts a preempted request back into the queue, at its
// original arrival time. A preempted run does not count as an attempt. The call
// has no effect if the request has ended or is not running.
func (d *Dispatcher[T]) RequeuePreempted(t *Ticket[T], now time.Time) {
	if t.ended || t.Replica == nil {
		return
	}
	t.preempted = false
	t.Attempts--
	d.stop(t, now)
	t.pool.queue.Push(&t.entry)
}

// preempt chooses a running request to preempt and charges the preemption
// credit. It returns nil if there is none or the credit is too small.
func (p *pool[T]) preempt(failureDomain string, now time.Time) *Ticket[T] {
	if p.queue.Empty() {
		return nil
	}
	waiting := p.preemptor(failureDomain, now)
	if waiting == nil {
		return nil
	}
	var victim *Ticket[T]
	for _, t := range p.running {
		if t.mayBePreemptedFor(waiting) && (victim == nil || isBetterVictim(t, victim)) {
			victim = t
		}
	}
	if victim == nil {
		return nil
	}
	cost := victim.recomputedTokens(now)
	if cost > p.preemptCredit {
		return nil
	}
	p.preemptCredit -= cost
	victim.preempted = true
	return victim
}

// preemptor returns the request that others are preempted for, or nil if there
// is none. It is the next request of the most urgent class with waiting
// requests. It must have waited for the required part of its first-token
// target, still be able to start in time, and find no free slot. There is none
// while as many preemptions are in progress as requests of its class wait.
func (p *pool[T]) preemptor(failureDomain string, now time.Time) *Ticket[T] {
	entry := p.queue.MostUrgent(now)
	if entry == nil {
		return nil
	}
	t := entry.Value
	target := t.Request.Class.FirstTokenTarget
	waited := now.Sub(entry.Arrived)
	if waited < target/preemptAfterDivisor || now.After(entry.StartDeadline) {
		return nil
	}
	if p.mayStart(t, p.freeSlots(failureDomain, now), false, now) {
		return nil
	}
	inProgress := 0
	for _, r := range p.running {
		if r.preempted {
			inProgress++
		}
	}
	if inProgress >= p.queue.Waiting(t.Request.Class.Tier) {
		return nil
	}
	return t
}

// mayBePreemptedFor reports whether a running request may be preempted for a waiting
// one.
func (t *Ticket[T]) mayBePreemptedFor(waiting *Ticket[T]) bool {
	if t.preempted || !t.Request.Resumable || t.Request.Class.Tier <= waiting.Request.Class.Tier {
		return false
	}
	if t.Replica.Spec.Draining {
		return false
	}
	return waiting.Request.Class.AllowCheapServers || t.Replica.Spec.Kind != config.KindCheap
}

// isBetterVictim reports whether a is a better choice to preempt than b: it is
// less urgent or, within a tier, started later, so that less work is repeated.
func isBetterVictim[T any](a, b *Ticket[T]) bool {
	if a.Request.Class.Tier != b.Request.Class.Tier {
		return a.Request.Class.Tier > b.Request.Class.Tier
	}
	return a.Started.After(b.Started)
}

// recomputedTokens estimates how many tokens are processed again if the request
// is preempted now: the prompt and, if the inter-token latency of the replica
// is known, the tokens generated so far.
func (t *Ticket[T]) recomputedTokens(now time.Time) float64 {
	generated := 0.0
	if latency := t.Replica.InterTokenLatency; latency > 0 {
		generated = float64(now.Sub(t.Started)) / float64(latency)
	}
	return float64(t.Request.PromptTokens) + generated
}

// addPreemptionCredit adds preemptionShare of charged tokens to the credit.
// Negative tokens do not reduce it.
func (p *pool[T]) addPreemptionCredit(tokens int) {
	p.preemptCredit = min(maxPreemptionCredit, p.preemptCredit+preemptionShare*float64(max(0, tokens)))
}

// removeRunning removes a request from the list of running ones. The request
// must be in it.
func (p *pool[T]) removeRunning(t *Ticket[T]) {
	i := slices.Index(p.running, t)
	p.running = slices.Delete(p.running, i, i+1)
}
