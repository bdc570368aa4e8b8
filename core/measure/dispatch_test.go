package measure_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/dispatch"
	"acaciapath.example/core/replica"
)

// model is the one model of the scenarios.
const model = "assistant"

// dispatched routes by package dispatch. With one dispatcher for each entry
// daemon each routes alone; with one for each failure domain all entry daemons
// of a failure domain share it.
type dispatched struct {
	perDaemon   bool
	dispatchers []*dispatch.Dispatcher[*request]
	tickets     map[*request]*dispatch.Ticket[*request]
	engines     map[string]*fakeEngine
}

var _ router = (*dispatched)(nil)

func newDispatched(sc scenario, perDaemon bool) *dispatched {
	rt := &dispatched{
		perDaemon: perDaemon,
		tickets:   make(map[*request]*dispatch.Ticket[*request]),
	}
	for domain := range sc.domains {
		count := 1
		if perDaemon {
			count = daemonsPerDomain
		}
		for i := range count {
			random := rand.New(rand.NewPCG(seed, uint64(domain*100+i)))
			rt.dispatchers = append(rt.dispatchers, dispatch.New[*request](domainName(domain), 10, random, epoch))
		}
	}
	return rt
}

func domainName(domain int) string { return fmt.Sprintf("domain-%d", domain) }

func (rt *dispatched) of(r *request) *dispatch.Dispatcher[*request] {
	if rt.perDaemon {
		return rt.dispatchers[r.domain*daemonsPerDomain+r.daemon]
	}
	return rt.dispatchers[r.domain]
}

func (rt *dispatched) arrive(s *sim, r *request) {
	if rt.engines == nil {
		rt.changed(s)
	}
	d := rt.of(r)
	ticket, refused := d.Enqueue(dispatch.Request{
		Service:      model,
		Account:      r.account,
		Class:        r.class,
		Prefixes:     []uint64{r.prefix},
		PromptTokens: r.prompt,
		Resumable:    true,
	}, r, s.time())
	if refused != nil {
		r.refused = true
		return
	}
	rt.tickets[r] = ticket
	rt.pump(s)
}

func (rt *dispatched) pump(s *sim) {
	for _, d := range rt.dispatchers {
		for t := d.StartNext(s.time()); t != nil; t = d.StartNext(s.time()) {
			rt.engines[t.Replica.Spec.Name].submit(s, t.Value, true)
		}
		for t := d.Preempt(s.time()); t != nil; t = d.Preempt(s.time()) {
			rt.engines[t.Replica.Spec.Name].preempt(t.Value)
			d.RequeuePreempted(t, s.time())
			s.preempted++
			if n := d.StartNext(s.time()); n != nil {
				rt.engines[n.Replica.Spec.Name].submit(s, n.Value, true)
			}
		}
	}
}

func (rt *dispatched) ended(s *sim, _ *fakeEngine, r *request, failed bool) {
	d, t := rt.of(r), rt.tickets[r]
	if failed && rt.again(s, d, t) {
		s.retries++
		rt.pump(s)
		return
	}
	if failed {
		r.lost = true
		r.wasted += r.generated
	}
	result := dispatch.Result{PromptTokens: r.prompt, CompletionTokens: r.generated, ReplicaFailed: failed}
	if r.length > 1 && !failed {
		result.InterTokenLatency = (r.last - r.first) / time.Duration(r.length-1)
	}
	d.Finish(t, result, s.time())
	rt.pump(s)
}

// again sends a request again, going on with the answer if it has begun.
func (*dispatched) again(s *sim, d *dispatch.Dispatcher[*request], t *dispatch.Ticket[*request]) bool {
	if t.Value.generated > 0 {
		return d.Resume(t, s.time())
	}
	return d.Retry(t, s.time())
}

func (rt *dispatched) report(s *sim) {
	for _, d := range rt.dispatchers {
		for _, e := range s.engines {
			d.UpdateLoad(e.name, e.published)
		}
	}
	rt.pump(s)
}

func (rt *dispatched) changed(s *sim) {
	rt.engines = make(map[string]*fakeEngine)
	var specs []replica.Spec
	for _, e := range s.engines {
		rt.engines[e.name] = e
		if e.gone {
			continue
		}
		specs = append(specs, replica.Spec{
			Name:          e.name,
			Address:       e.name,
			FailureDomain: domainName(e.domain),
			Serves:        []string{model},
			Kind:          config.ServerKind(e.kind),
			Slots:         enginePlaces,
			Draining:      e.leaving,
		})
	}
	for _, d := range rt.dispatchers {
		d.SetReplicas(specs)
	}
	rt.pump(s)
}
