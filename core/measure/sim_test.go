package measure_test

import (
	"container/heap"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/engine"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is an action at a point in virtual time.
type event struct {
	at     time.Duration
	seq    int
	action func()
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

// router decides where requests run. The routers are the subject of the
// comparison.
type router interface {
	// route routes a new request, or marks it as refused.
	route(s *sim, r *request)
	// requestEnded is called when a request left an engine; failed states that
	// the engine aborted it.
	requestEnded(s *sim, e *fakeEngine, r *request, failed bool)
	// loadsPublished is called when the published loads of the engines have
	// changed.
	loadsPublished(s *sim)
	// enginesChanged is called when engines start to drain or are removed.
	enginesChanged(s *sim)
}

// sim is one run of a scenario with a router.
type sim struct {
	now         time.Duration
	events      events
	seq         int
	engines     []*fakeEngine
	requests    []*request
	router      router
	retries     int
	preemptions int
}

func (s *sim) after(d time.Duration, action func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, action: action})
}

func (s *sim) at(t time.Duration, action func()) { s.after(t-s.now, action) }

func (s *sim) time() time.Time { return epoch.Add(s.now) }

// run runs the scenario to its end.
func (s *sim) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.action()
	}
}

// publishLoads takes the loads of the engines now, and shows them to the router
// after a lag.
func (s *sim) publishLoads(lag time.Duration) {
	loads := make([]engine.Load, len(s.engines))
	for i, e := range s.engines {
		loads[i] = e.load(s.time())
	}
	s.after(lag, func() {
		for i, e := range s.engines {
			e.published = loads[i]
		}
		s.router.loadsPublished(s)
	})
}

// requestFailed tells the router that an engine aborted a request.
func (s *sim) requestFailed(e *fakeEngine, r *request) {
	s.router.requestEnded(s, e, r, true)
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
				name:       engineName(d, i),
				domain:     d,
				kind:       kind,
				slowFactor: 1,
				prefill:    make(map[*request]int),
			})
		}
	}
	return s
}
