package measure_test

import (
	"cmp"
	"slices"

	"acaciapath.example/core/config"
)

// roundRobin sends each request immediately to the next engine of the failure
// domain. The engine serves requests in order of arrival.
type roundRobin struct {
	next int
}

var _ router = (*roundRobin)(nil)

func (rt *roundRobin) route(s *sim, r *request) {
	available := availableEngines(s, r.domain)
	if len(available) == 0 {
		r.refused = true
		return
	}
	rt.next++
	available[rt.next%len(available)].submit(s, r, false)
}

func (rt *roundRobin) requestEnded(s *sim, _ *fakeEngine, r *request, failed bool) {
	if failed {
		retryOrLose(s, rt, r)
	}
}

func (*roundRobin) loadsPublished(*sim) {}
func (*roundRobin) enginesChanged(*sim) {}

// leastLoad sends each request immediately to the engine of the failure domain
// with the lowest known load. The engine serves requests in order of tier.
type leastLoad struct {
	sent map[*fakeEngine]int
}

var _ router = (*leastLoad)(nil)

func (rt *leastLoad) route(s *sim, r *request) {
	available := availableEngines(s, r.domain)
	if len(available) == 0 {
		r.refused = true
		return
	}
	best := slices.MinFunc(available, func(a, b *fakeEngine) int {
		return cmp.Compare(rt.knownLoad(a), rt.knownLoad(b))
	})
	rt.sent[best]++
	best.submit(s, r, true)
}

func (rt *leastLoad) knownLoad(e *fakeEngine) int {
	return e.published.Running + e.published.Waiting + rt.sent[e]
}

func (rt *leastLoad) requestEnded(s *sim, _ *fakeEngine, r *request, failed bool) {
	if failed {
		retryOrLose(s, rt, r)
	}
}

func (rt *leastLoad) loadsPublished(*sim) { clear(rt.sent) }
func (*leastLoad) enginesChanged(*sim)    {}

// availableEngines returns the available engines of a failure domain, or all
// available engines if it has none.
func availableEngines(s *sim, domain int) []*fakeEngine {
	var local, all []*fakeEngine
	for _, e := range s.engines {
		if e.removed || e.draining {
			continue
		}
		all = append(all, e)
		if e.domain == domain {
			local = append(local, e)
		}
	}
	if len(local) > 0 {
		return local
	}
	return all
}

// retryOrLose sends a request again if it has no token yet, and counts it as
// lost otherwise.
func retryOrLose(s *sim, rt router, r *request) {
	if r.generated > 0 {
		r.lost = true
		r.wastedTokens += r.generated
		return
	}
	s.retries++
	rt.route(s, r)
}

// clairvoyant knows the lengths of all answers and the true state of all
// engines. It starts the shortest request of the most urgent tier, and preempts
// less urgent requests without losing their tokens. Like package dispatch it
// does not run classes without AllowCheapServers on cheap engines, which may be
// evicted.
type clairvoyant struct {
	waiting []*request
}

var _ router = (*clairvoyant)(nil)

func (rt *clairvoyant) route(s *sim, r *request) {
	at, _ := slices.BinarySearchFunc(rt.waiting, r, moreUrgent)
	rt.waiting = slices.Insert(rt.waiting, at, r)
	rt.startWaiting(s)
}

// moreUrgent compares requests by tier, then by the remaining length of their
// answers, then by id.
func moreUrgent(a, b *request) int {
	return cmp.Or(
		cmp.Compare(a.class.Tier, b.class.Tier),
		cmp.Compare(a.answerTokens-a.generated, b.answerTokens-b.generated),
		cmp.Compare(a.id, b.id),
	)
}

// startWaiting starts the requests that can start. If a request finds no
// engine, other requests of its class do not either, so the rest of the class
// is skipped. The patient class may still find one, because it may use cheap
// engines too.
func (rt *clairvoyant) startWaiting(s *sim) {
	for i := 0; i < len(rt.waiting); {
		r := rt.waiting[i]
		if e := rt.chooseEngine(s, r); e != nil {
			rt.waiting = slices.Delete(rt.waiting, i, i+1)
			e.submit(s, r, true)
			continue
		}
		if r.class.AllowCheapServers {
			return
		}
		i, _ = slices.BinarySearchFunc(rt.waiting, r.class.Tier+1, func(r *request, tier int) int { return r.class.Tier - tier })
	}
}

// chooseEngine returns an engine with a free slot. If there is none, it
// preempts a less urgent request. It returns nil if that is not possible
// either.
func (rt *clairvoyant) chooseEngine(s *sim, r *request) *fakeEngine {
	var best *fakeEngine
	var victim *request
	var from *fakeEngine
	for _, e := range s.engines {
		if e.removed || e.draining || (e.kind == config.KindCheap && !r.class.AllowCheapServers) {
			continue
		}
		if n := len(e.running) + len(e.waiting); n < engineSlots && (best == nil || n < len(best.running)+len(best.waiting)) {
			best = e
		}
		for _, v := range e.running {
			if v.class.Tier > r.class.Tier && (victim == nil || moreUrgent(v, victim) > 0) {
				victim, from = v, e
			}
		}
	}
	if best != nil || victim == nil {
		return best
	}
	from.preempt(victim)
	at, _ := slices.BinarySearchFunc(rt.waiting, victim, moreUrgent)
	rt.waiting = slices.Insert(rt.waiting, at, victim)
	return from
}

func (rt *clairvoyant) requestEnded(s *sim, _ *fakeEngine, r *request, failed bool) {
	if failed {
		rt.route(s, r)
		return
	}
	rt.startWaiting(s)
}

func (*clairvoyant) loadsPublished(*sim)      {}
func (rt *clairvoyant) enginesChanged(s *sim) { rt.startWaiting(s) }
