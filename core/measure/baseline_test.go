package measure_test

import (
	"cmp"
	"slices"

	"acaciapath.example/core/config"
)

// roundRobin sends every request at once to the next engine of the failure
// domain, which serves in the order of arrival.
type roundRobin struct {
	next int
}

var _ router = (*roundRobin)(nil)

func (rt *roundRobin) arrive(s *sim, r *request) {
	alive := reachable(s, r.domain)
	if len(alive) == 0 {
		r.refused = true
		return
	}
	rt.next++
	alive[rt.next%len(alive)].submit(s, r, false)
}

func (rt *roundRobin) ended(s *sim, _ *fakeEngine, r *request, failed bool) {
	if failed {
		retryPlain(s, rt, r)
	}
}

func (*roundRobin) report(*sim)  {}
func (*roundRobin) changed(*sim) {}

// leastLoad sends every request at once to the engine of the failure domain
// with the least known load, which serves in the order of tiers.
type leastLoad struct {
	sent map[*fakeEngine]int
}

var _ router = (*leastLoad)(nil)

func (rt *leastLoad) arrive(s *sim, r *request) {
	alive := reachable(s, r.domain)
	if len(alive) == 0 {
		r.refused = true
		return
	}
	best := slices.MinFunc(alive, func(a, b *fakeEngine) int {
		return cmp.Compare(rt.known(a), rt.known(b))
	})
	rt.sent[best]++
	best.submit(s, r, true)
}

func (rt *leastLoad) known(e *fakeEngine) int {
	return e.published.Running + e.published.Waiting + rt.sent[e]
}

func (rt *leastLoad) ended(s *sim, _ *fakeEngine, r *request, failed bool) {
	if failed {
		retryPlain(s, rt, r)
	}
}

func (rt *leastLoad) report(*sim) { clear(rt.sent) }
func (*leastLoad) changed(*sim)   {}

// reachable returns the engines of a failure domain, or all if it has none.
func reachable(s *sim, domain int) []*fakeEngine {
	var near, all []*fakeEngine
	for _, e := range s.engines {
		if e.gone || e.leaving {
			continue
		}
		all = append(all, e)
		if e.domain == domain {
			near = append(near, e)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}

// retryPlain sends a request again that got no token, and loses others.
func retryPlain(s *sim, rt router, r *request) {
	if r.generated > 0 {
		r.lost = true
		r.wasted += r.generated
		return
	}
	s.retries++
	rt.arrive(s, r)
}

// clairvoyant knows the lengths of all answers and the true state of all
// engines. It starts the shortest request of the most urgent tier, and preempts
// less urgent work without any loss. Like the others under comparison by package
// dispatch it keeps classes that may not be evicted off cheap engines.
type clairvoyant struct {
	waiting []*request
}

var _ router = (*clairvoyant)(nil)

func (rt *clairvoyant) arrive(s *sim, r *request) {
	at, _ := slices.BinarySearchFunc(rt.waiting, r, moreUrgent)
	rt.waiting = slices.Insert(rt.waiting, at, r)
	rt.pump(s)
}

func moreUrgent(a, b *request) int {
	return cmp.Or(
		cmp.Compare(a.class.Tier, b.class.Tier),
		cmp.Compare(a.length-a.generated, b.length-b.generated),
		cmp.Compare(a.id, b.id),
	)
}

// pump starts what can start. A class that finds no place leaves none to a
// class that may use the same engines; the patient class may use more.
func (rt *clairvoyant) pump(s *sim) {
	for i := 0; i < len(rt.waiting); {
		r := rt.waiting[i]
		if e := rt.place(s, r); e != nil {
			rt.waiting = slices.Delete(rt.waiting, i, i+1)
			e.submit(s, r, true)
			continue
		}
		if r.class.CheapServers {
			return
		}
		i, _ = slices.BinarySearchFunc(rt.waiting, r.class.Tier+1, func(r *request, tier int) int { return r.class.Tier - tier })
	}
}

// place returns an engine with a free place, if need be by preemption.
func (rt *clairvoyant) place(s *sim, r *request) *fakeEngine {
	var best *fakeEngine
	var victim *request
	var from *fakeEngine
	for _, e := range s.engines {
		if e.gone || e.leaving || (e.kind == config.KindCheap && !r.class.CheapServers) {
			continue
		}
		if n := len(e.running) + len(e.waiting); n < enginePlaces && (best == nil || n < len(best.running)+len(best.waiting)) {
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

func (rt *clairvoyant) ended(s *sim, _ *fakeEngine, r *request, failed bool) {
	if failed {
		rt.arrive(s, r)
		return
	}
	rt.pump(s)
}

func (*clairvoyant) report(*sim)       {}
func (rt *clairvoyant) changed(s *sim) { rt.pump(s) }
