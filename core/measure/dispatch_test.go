package measure_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/dispatch"
	"acaciapath.example/core/replica"
)

// model is the only model of the scenarios.
const model = "assistant"

// dispatchRouter routes with package dispatch. If perDaemon is set, each entry
// daemon has a dispatcher of its own; otherwise all entry daemons of a failure
// domain share one.
type dispatchRouter struct {
	perDaemon   bool
	dispatchers []*dispatch.Dispatcher[*request]
	tickets     map[*request]*dispatch.Ticket[*request]
	engines     map[string]*fakeEngine
}

var _ router = (*dispatchRouter)(nil)

func newDispatchRouter(sc scenario, perDaemon bool) *dispatchRouter {
	rt := &dispatchRouter{
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

func (rt *dispatchRouter) dispatcherOf(r *request) *dispatch.Dispatcher[*request] {
	if rt.perDaemon {
		return rt.dispatchers[r.domain*daemonsPerDomain+r.daemon]
	}
	return rt.dispatchers[r.domain]
}

func (rt *dispatchRouter) route(s *sim, r *request) {
	if rt.engines == nil {
		rt.enginesChanged(s)
	}
	d := rt.dispatcherOf(r)
	ticket, refused := d.Enqueue(dispatch.Request{
		Service:      model,
		Account:      r.account,
		Class:        r.class,
		Prefixes:     []uint64{r.prefix},
		PromptTokens: r.promptTokens,
		Resumable:    true,
	}, r, s.time())
	if refused != nil {
		r.refused = true
		return
	}
	rt.tickets[r] = ticket
	rt.startWaiting(s)
}

func (rt *dispatchRouter) startWaiting(s *sim) {
	for _, d := range rt.dispatchers {
		for t := d.StartNext(s.time()); t != nil; t = d.StartNext(s.time()) {
			rt.engines[t.Replica.Spec.Name].submit(s, t.Value, true)
		}
		for t := d.Preempt(s.time()); t != nil; t = d.Preempt(s.time()) {
			rt.engines[t.Replica.Spec.Name].preempt(t.Value)
			d.RequeuePreempted(t, s.time())
			s.preemptions++
			if n := d.StartNext(s.time()); n != nil {
				rt.engines[n.Replica.Spec.Name].submit(s, n.Value, true)
			}
		}
	}
}

func (rt *dispatchRouter) requestEnded(s *sim, _ *fakeEngine, r *request, failed bool) {
	d, t := rt.dispatcherOf(r), rt.tickets[r]
	if failed && rt.retry(s, d, t) {
		s.retries++
		rt.startWaiting(s)
		return
	}
	if failed {
		r.lost = true
		r.wastedTokens += r.generated
	}
	result := dispatch.Result{PromptTokens: r.promptTokens, CompletionTokens: r.generated, ReplicaFailed: failed}
	if r.answerTokens > 1 && !failed {
		result.InterTokenLatency = (r.lastToken - r.firstToken) / time.Duration(r.answerTokens-1)
	}
	d.Finish(t, result, s.time())
	rt.startWaiting(s)
}

// retry retries a request. If its answer has begun, it is resumed.
func (*dispatchRouter) retry(s *sim, d *dispatch.Dispatcher[*request], t *dispatch.Ticket[*request]) bool {
	if t.Value.generated > 0 {
		return d.Resume(t, s.time())
	}
	return d.Retry(t, s.time())
}

func (rt *dispatchRouter) loadsPublished(s *sim) {
	for _, d := range rt.dispatchers {
		for _, e := range s.engines {
			d.UpdateLoad(e.name, e.published)
		}
	}
	rt.startWaiting(s)
}

func (rt *dispatchRouter) enginesChanged(s *sim) {
	rt.engines = make(map[string]*fakeEngine)
	var specs []replica.Spec
	for _, e := range s.engines {
		rt.engines[e.name] = e
		if e.removed {
			continue
		}
		specs = append(specs, replica.Spec{
			Name:          e.name,
			Address:       e.name,
			FailureDomain: domainName(e.domain),
			Serves:        []string{model},
			Kind:          config.ServerKind(e.kind),
			Slots:         engineSlots,
			Draining:      e.draining,
		})
	}
	for _, d := range rt.dispatchers {
		d.SetReplicas(specs)
	}
	rt.startWaiting(s)
}
