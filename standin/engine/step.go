package engine

import (
	"slices"
	"time"
)

// prefillPerStep is the number of prompt tokens that a step processes at most.
const prefillPerStep = 512

// loop runs steps until the engine is closed.
func (e *Engine) loop() {
	for e.faults.WaitUnfrozen() == nil {
		duration, busy := e.beginStep(e.now())
		if !busy {
			select {
			case <-e.wake:
				continue
			case <-e.closed:
				return
			}
		}
		if !e.sleep(duration) || e.faults.WaitUnfrozen() != nil {
			return
		}
		e.endStep(e.now())
	}
}

// sleep waits for the duration and reports false if the engine was closed.
func (e *Engine) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.closed:
		return false
	}
}

// beginStep fills the batch and returns how long the step takes. It reports
// false if there is nothing to do.
func (e *Engine) beginStep(now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fillBatch()
	e.fitMemory()
	e.publishLoad(now)
	if len(e.running) == 0 {
		return 0, false
	}
	prefill := e.planPrefill()
	duration := e.options.StepTime +
		time.Duration(len(e.running)-1)*e.options.StepTimePerRequest +
		time.Duration(prefill)*e.options.PrefillTimePerToken
	if factor := e.special.SlowFactor; factor > 0 {
		duration = time.Duration(float64(duration) * factor)
	}
	return duration, true
}

// fillBatch moves waiting requests into the batch. e.mu is held.
func (e *Engine) fillBatch() {
	for len(e.waiting) > 0 {
		if len(e.running) >= e.options.Slots && !e.preempt(e.waiting[0]) {
			return
		}
		r := e.waiting[0]
		if !e.fits(r) {
			return
		}
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.running = append(e.running, r)
		cached := e.cache.match(r.prompt.prefixes)
		r.log.CachedTokens = max(r.log.CachedTokens, cached)
		r.pending = r.prompt.tokens + r.log.CompletionTokens - cached
		if r.copied {
			r.pending, r.copied = 0, false
		}
	}
}

// fitMemory gives the cache what running requests leave of the memory, and
// preempts requests while they have more than it. e.mu is held.
func (e *Engine) fitMemory() {
	if e.options.MemoryTokens <= 0 {
		return
	}
	for {
		used := e.used()
		if used <= e.options.MemoryTokens || len(e.running) <= 1 {
			e.cache.resize(max(e.options.MemoryTokens-used, 0))
			return
		}
		newest := slices.MaxFunc(e.running, compareRuns)
		e.running = removeRun(e.running, newest)
		e.waiting = insertRun(e.waiting, newest)
		newest.log.Preemptions++
	}
}

// used returns the tokens that running requests have in memory. e.mu is held.
func (e *Engine) used() int {
	used := 0
	for _, r := range e.running {
		used += r.memory()
	}
	return used
}

// fits reports whether there is memory for a request. e.mu is held.
func (e *Engine) fits(r *run) bool {
	return e.options.MemoryTokens <= 0 || len(e.running) == 0 ||
		e.used()+r.prompt.tokens+r.log.CompletionTokens <= e.options.MemoryTokens
}

// preempt makes room for r by moving the least urgent running request back to
// those that wait, if that is less urgent than r. e.mu is held.
func (e *Engine) preempt(r *run) bool {
	if !e.options.Preempts {
		return false
	}
	worst := slices.MaxFunc(e.running, compareRuns)
	if worst.log.Priority <= r.log.Priority {
		return false
	}
	e.running = removeRun(e.running, worst)
	e.waiting = insertRun(e.waiting, worst)
	worst.log.Preemptions++
	return true
}

// planPrefill shares the prompt tokens of the next step out and returns their
// number. e.mu is held.
func (e *Engine) planPrefill() int {
	left := prefillPerStep
	for _, r := range e.running {
		r.take = min(r.pending, left)
		left -= r.take
	}
	return prefillPerStep - left
}

// endStep gives each request in the batch its token and ends those that are
// complete.
func (e *Engine) endStep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range slices.Clone(e.running) {
		prefilled := r.take > 0 && r.take == r.pending
		generated := r.advance()
		if prefilled {
			e.cache.store(r.prompt.prefixes)
		}
		if r.pending == 0 && r.complete() {
			e.end(r, Finished, now)
		}
		if generated && e.countToCrash() {
			e.crash(now)
			return
		}
	}
	e.publishLoad(now)
}

// countToCrash counts a token and reports whether the engine is to crash after
// it. e.mu is held.
func (e *Engine) countToCrash() bool {
	if e.special.CrashAfterTokens == 0 {
		return false
	}
	e.special.CrashAfterTokens--
	return e.special.CrashAfterTokens == 0
}
