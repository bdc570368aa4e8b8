package measure_test

import (
	"container/heap"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/engine"
)

// epoch is the time at which virtual time starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

var _ heap.Interface = (*events)(nil)

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// router is what is compared.
type router interface {
	// arrive takes a request in, or marks it refused.
	arrive(s *sim, r *request)
	// ended tells that a request left an engine; failed says that the engine
	// broke off.
	ended(s *sim, e *fakeEngine, r *request, failed bool)
	// report tells what engines published.
	report(s *sim)
	// changed tells that engines leave or are gone.
	changed(s *sim)
}

// sim is one run of a scenario with a router.
type sim struct {
	now       time.Duration
	events    events
	seq       int
	engines   []*fakeEngine
	requests  []*request
	router    router
	retries   int
	preempted int
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, do: do})
}

func (s *sim) at(t time.Duration, do func()) { s.after(t-s.now, do) }

func (s *sim) time() time.Time { return epoch.Add(s.now) }

// run plays the scenario to its end.
func (s *sim) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

// publish takes the engines' loads and shows them to the router after a lag.
func (s *sim) publish(lag time.Duration) {
	loads := make([]engine.Load, len(s.engines))
	for i, e := range s.engines {
		loads[i] = e.load(s.time())
	}
	s.after(lag, func() {
		for i, e := range s.engines {
			e.published = loads[i]
		}
		s.router.report(s)
	})
}

// failed tells the router that an engine broke a request off.
func (s *sim) failed(e *fakeEngine, r *request) {
	s.router.ended(s, e, r, true)
}

func newSim(sc scenario, rt router) *sim {
	s := &sim{router: rt}
	for d := range sc.domains {
		for i := range sc.perDomain {
			kind := config.KindStandard
			if i < sc.cheapPerDomain {
				kind = config.KindCheap
			}
			s.engines = append(s.engines, &fakeEngine{
				name:    engineName(d, i),
				domain:  d,
				kind:    kind,
				slow:    1,
				prefill: make(map[*request]int),
			})
		}
	}
	return s
}
