package measure_test

import (
	"cmp"
	"slices"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/engine"
)

// Parameters of the engine model. Each step generates one token for every
// running request.
const (
	// stepBaseTime is the duration of a step of an empty batch.
	stepBaseTime = 16 * time.Millisecond
	// stepTimePerRequest is the time that each running request adds to a step.
	stepTimePerRequest = 1 * time.Millisecond
	// prefillTimePerToken is the time to process a prompt token that is not
	// cached.
	prefillTimePerToken = 50 * time.Microsecond
	// prefillChunk is the largest number of prompt tokens that one step
	// processes.
	prefillChunk = 256
	// engineSlots is the size of the batch.
	engineSlots = 16
	// maxCachedPrefixes is the number of prefixes that an engine caches.
	maxCachedPrefixes = 64
)

// request is one request of a scenario.
type request struct {
	id           int
	class        *config.ServiceClass
	account      *config.ClientAccount
	domain       int
	daemon       int
	arrived      time.Duration
	promptTokens int
	answerTokens int
	prefix       uint64

	generated    int
	firstToken   time.Duration
	lastToken    time.Duration
	wastedTokens int
	// processedPromptTokens counts the prompt tokens of all attempts, including
	// cached ones and the part of the answer that a resumed attempt starts
	// from.
	processedPromptTokens int
	cheapTokens           int
	done                  bool
	refused               bool
	lost                  bool
}

// met reports whether the answer is complete and met the targets of its class.
func (r *request) met() bool {
	if !r.done || r.firstToken-r.arrived > r.class.FirstTokenTarget {
		return false
	}
	gaps := time.Duration(max(1, r.answerTokens-1))
	return (r.lastToken-r.firstToken)/gaps <= r.class.InterTokenTarget
}

// fakeEngine simulates one engine on virtual time.
type fakeEngine struct {
	name       string
	domain     int
	kind       config.ServerKind
	slowFactor float64
	removed    bool
	draining   bool

	running []*request
	// prefill is the number of tokens of each running request that must still be
	// processed before it generates.
	prefill  map[*request]int
	waiting  []*request
	stepping bool
	// cache holds the cached prefixes, the least recently used first.
	cache []uint64
	// published is the load that routers see. It lags behind.
	published engine.Load
}

// submit queues a request, in order of tier if priority is set and in order of
// arrival otherwise.
func (e *fakeEngine) submit(s *sim, r *request, priority bool) {
	if e.removed {
		s.requestFailed(e, r)
		return
	}
	e.waiting = append(e.waiting, r)
	if priority {
		slices.SortStableFunc(e.waiting, func(a, b *request) int { return cmp.Compare(a.class.Tier, b.class.Tier) })
	}
	e.step(s)
}

// step admits waiting requests and starts the next step, unless one is in
// progress.
func (e *fakeEngine) step(s *sim) {
	if e.stepping || e.removed {
		return
	}
	for len(e.running) < engineSlots && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
		e.prefill[r] = e.startPrefill(r)
	}
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	took := stepBaseTime + time.Duration(len(e.running))*stepTimePerRequest
	budget := prefillChunk
	for _, r := range e.running {
		n := min(budget, e.prefill[r])
		e.prefill[r] -= n
		budget -= n
		took += time.Duration(n) * prefillTimePerToken
	}
	s.after(time.Duration(float64(took)*e.slowFactor), func() { e.finishStep(s) })
}

// finishStep generates a token for each request whose prompt is processed, ends
// the requests whose answer is complete, and starts the next step.
func (e *fakeEngine) finishStep(s *sim) {
	e.stepping = false
	if e.removed {
		return
	}
	kept := e.running[:0]
	var ended []*request
	for _, r := range e.running {
		if e.prefill[r] > 0 {
			kept = append(kept, r)
			continue
		}
		e.generateToken(s, r)
		if r.generated >= r.answerTokens {
			delete(e.prefill, r)
			ended = append(ended, r)
			continue
		}
		kept = append(kept, r)
	}
	e.running = kept
	for _, r := range ended {
		r.done = true
		s.router.requestEnded(s, e, r, false)
	}
	e.step(s)
}

func (e *fakeEngine) generateToken(s *sim, r *request) {
	if r.generated == 0 {
		r.firstToken = s.now
	}
	r.generated++
	r.lastToken = s.now
	if e.kind == config.KindCheap {
		r.cheapTokens++
	}
}

// startPrefill caches the prefix of a request and returns the number of tokens
// that must be processed before it generates. If the prefix was cached, these
// are a quarter of all.
func (e *fakeEngine) startPrefill(r *request) int {
	work := r.promptTokens + r.generated
	r.processedPromptTokens += work
	i := slices.Index(e.cache, r.prefix)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
		work /= 4
	}
	e.cache = append(e.cache, r.prefix)
	if len(e.cache) > maxCachedPrefixes {
		e.cache = e.cache[1:]
	}
	return work
}

// crash removes the engine and fails all its requests.
func (e *fakeEngine) crash(s *sim) {
	e.removed = true
	lost := append(slices.Clone(e.running), e.waiting...)
	e.running, e.waiting = nil, nil
	for _, r := range lost {
		s.requestFailed(e, r)
	}
}

// preempt stops a request, which is to be resumed elsewhere.
func (e *fakeEngine) preempt(r *request) {
	if i := slices.Index(e.running, r); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
	}
	if i := slices.Index(e.waiting, r); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
	delete(e.prefill, r)
}

// load returns the present load.
func (e *fakeEngine) load(now time.Time) engine.Load {
	return engine.Load{At: now, Running: len(e.running), Waiting: len(e.waiting), Slots: engineSlots}
}
