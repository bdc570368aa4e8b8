package engine

import (
	"slices"
	"time"
)

// maxPrefillPerStep is the maximum number of prompt tokens processed in a step.
const maxPrefillPerStep = 512

// loop executes steps until the engine is closed.
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

// sleep waits for the duration. It reports false if the engine is closed first.
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

// beginStep fills the batch and returns the duration of the step. It reports
// false if the batch is empty.
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
	if factor := e.engineFaults.SlowFactor; factor > 0 {
		duration = time.Duration(float64(duration) * factor)
	}
	return duration, true
}

// fillBatch moves waiting requests into the batch. The caller must hold e.mu.
func (e *Engine) fillBatch() {
	for len(e.waiting) > 0 {
		if len(e.running) >= e.options.Slots && !e.preempt(e.waiting[0]) {
			return
		}
		r := e.waiting[0]
		if !e.fitsMemory(r) {
			return
		}
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.running = append(e.running, r)
		cached := e.cache.match(r.prompt.prefixes)
		r.entry.CachedTokens = max(r.entry.CachedTokens, cached)
		r.pendingPrefill = r.prompt.tokens + r.entry.CompletionTokens - cached
		if r.kvCacheCopied {
			r.pendingPrefill, r.kvCacheCopied = 0, false
		}
	}
}

// fitMemory preempts requests while the batch exceeds the memory, and gives the
// rest of the memory to the cache. The last running request is never preempted.
// The caller must hold e.mu.
func (e *Engine) fitMemory() {
	if e.options.MemoryTokens <= 0 {
		return
	}
	for {
		usedMemory := e.usedMemory()
		if usedMemory <= e.options.MemoryTokens || len(e.running) <= 1 {
			e.cache.resize(max(e.options.MemoryTokens-usedMemory, 0))
			return
		}
		victim := slices.MaxFunc(e.running, compareRuns)
		e.running = removeRun(e.running, victim)
		e.waiting = insertRun(e.waiting, victim)
		victim.entry.Preemptions++
	}
}

// usedMemory returns the number of tokens that running requests have in the KV
// cache. The caller must hold e.mu.
func (e *Engine) usedMemory() int {
	usedMemory := 0
	for _, r := range e.running {
		usedMemory += r.kvTokens()
	}
	return usedMemory
}

// fitsMemory reports whether there is memory for a request. If nothing is
// running, any request fits. The caller must hold e.mu.
func (e *Engine) fitsMemory(r *run) bool {
	return e.options.MemoryTokens <= 0 || len(e.running) == 0 ||
		e.usedMemory()+r.prompt.tokens+r.entry.CompletionTokens <= e.options.MemoryTokens
}

// preempt makes room for r by moving the running request of the lowest priority
// back to the queue. It reports false, and changes nothing, if preemption is
// disabled or that request is not of lower priority than r. The caller must hold
// e.mu.
func (e *Engine) preempt(r *run) bool {
	if !e.options.Preempts {
		return false
	}
	victim := slices.MaxFunc(e.running, compareRuns)
	if victim.entry.Priority <= r.entry.Priority {
		return false
	}
	e.running = removeRun(e.running, victim)
	e.waiting = insertRun(e.waiting, victim)
	victim.entry.Preemptions++
	return true
}

// planPrefill distributes the prefill tokens of the next step over the running
// requests and returns their number. The caller must hold e.mu.
func (e *Engine) planPrefill() int {
	left := maxPrefillPerStep
	for _, r := range e.running {
		r.stepPrefill = min(r.pendingPrefill, left)
		left -= r.stepPrefill
	}
	return maxPrefillPerStep - left
}

// endStep applies the work of a step to each request in the batch and ends the
// requests that are complete.
func (e *Engine) endStep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range slices.Clone(e.running) {
		prefilled := r.stepPrefill > 0 && r.stepPrefill == r.pendingPrefill
		generated := r.advance()
		if prefilled {
			e.cache.store(r.prompt.prefixes)
		}
		if r.pendingPrefill == 0 && r.complete() {
			e.end(r, Finished, now)
		}
		r.publish()
		if generated && e.countToCrash() {
			e.crash(now)
			return
		}
	}
	e.publishLoad(now)
}

// countToCrash counts a generated token and reports whether the engine must
// crash after it. The caller must hold e.mu.
func (e *Engine) countToCrash() bool {
	if e.engineFaults.CrashAfterTokens == 0 {
		return false
	}
	e.engineFaults.CrashAfterTokens--
	return e.engineFaults.CrashAfterTokens == 0
}
