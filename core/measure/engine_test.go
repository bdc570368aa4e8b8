package measure_test

import (
	"cmp"
	"slices"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/engine"
)

// Model of an engine. A step gives every running request one token.
const (
	// stepBase is the time of a step of an empty batch.
	stepBase = 16 * time.Millisecond
	// stepPerRequest is what each running request adds to a step.
	stepPerRequest = 1 * time.Millisecond
	// prefillPerToken is the time to process a prompt token that is not cached.
	prefillPerToken = 50 * time.Microsecond
	// prefillChunk is the most prompt tokens that one step processes.
	prefillChunk = 256
	// enginePlaces is the size of the batch.
	enginePlaces = 16
	// cacheSize is the number of prefixes that are kept.
	cacheSize = 64
)

// request is one request of a scenario.
type request struct {
	id      int
	class   *config.ServiceClass
	account *config.ClientAccount
	domain  int
	daemon  int
	arrived time.Duration
	prompt  int
	length  int
	prefix  uint64

	generated int
	first     time.Duration
	last      time.Duration
	wasted    int
	// processed counts the prompt tokens of all attempts.
	processed int
	cheap     int
	done      bool
	refused   bool
	lost      bool
}

// met reports whether an answer was whole and met its class's targets.
func (r *request) met() bool {
	if !r.done || r.first-r.arrived > r.class.FirstTokenTarget {
		return false
	}
	gaps := time.Duration(max(1, r.length-1))
	return (r.last-r.first)/gaps <= r.class.InterTokenTarget
}

// fakeEngine models one engine on virtual time.
type fakeEngine struct {
	name    string
	domain  int
	kind    config.ServerKind
	slow    float64
	gone    bool
	leaving bool

	running  []*request
	prefill  map[*request]int
	waiting  []*request
	stepping bool
	cache    []uint64
	// published is what routers see, refreshed with a lag.
	published engine.Load
}

func (e *fakeEngine) submit(s *sim, r *request, priority bool) {
	if e.gone {
		s.failed(e, r)
		return
	}
	e.waiting = append(e.waiting, r)
	if priority {
		slices.SortStableFunc(e.waiting, func(a, b *request) int { return cmp.Compare(a.class.Tier, b.class.Tier) })
	}
	e.step(s)
}

// step starts the next step unless one is under way.
func (e *fakeEngine) step(s *sim) {
	if e.stepping || e.gone {
		return
	}
	for len(e.running) < enginePlaces && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
		e.prefill[r] = e.uncached(r)
	}
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	took := stepBase + time.Duration(len(e.running))*stepPerRequest
	budget := prefillChunk
	for _, r := range e.running {
		n := min(budget, e.prefill[r])
		e.prefill[r] -= n
		budget -= n
		took += time.Duration(n) * prefillPerToken
	}
	s.after(time.Duration(float64(took)*e.slow), func() { e.stepped(s) })
}

func (e *fakeEngine) stepped(s *sim) {
	e.stepping = false
	if e.gone {
		return
	}
	kept := e.running[:0]
	var ended []*request
	for _, r := range e.running {
		if e.prefill[r] > 0 {
			kept = append(kept, r)
			continue
		}
		e.token(s, r)
		if r.generated >= r.length {
			delete(e.prefill, r)
			ended = append(ended, r)
			continue
		}
		kept = append(kept, r)
	}
	e.running = kept
	for _, r := range ended {
		r.done = true
		s.router.ended(s, e, r, false)
	}
	e.step(s)
}

func (e *fakeEngine) token(s *sim, r *request) {
	if r.generated == 0 {
		r.first = s.now
	}
	r.generated++
	r.last = s.now
	if e.kind == config.KindCheap {
		r.cheap++
	}
}

// uncached returns the number of prompt tokens that are to be processed, and
// keeps the prefix.
func (e *fakeEngine) uncached(r *request) int {
	work := r.prompt + r.generated
	r.processed += work
	i := slices.Index(e.cache, r.prefix)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
		work /= 4
	}
	e.cache = append(e.cache, r.prefix)
	if len(e.cache) > cacheSize {
		e.cache = e.cache[1:]
	}
	return work
}

// crash ends the engine and fails all its requests.
func (e *fakeEngine) crash(s *sim) {
	e.gone = true
	lost := append(slices.Clone(e.running), e.waiting...)
	e.running, e.waiting = nil, nil
	for _, r := range lost {
		s.failed(e, r)
	}
}

// preempt stops a running request, which is to be resumed elsewhere.
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
	return engine.Load{At: now, Running: len(e.running), Waiting: len(e.waiting), Places: enginePlaces}
}
