package dispatch

import (
	"slices"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/queue"
	"acaciapath.example/core/replica"
)

// Weights of the averages of a pool.
const (
	// averageWeight is the weight of a new sample.
	averageWeight = 0.1
	// minSamples is the number of ended requests from which the average time
	// is relied on.
	minSamples = 8
	// initialCompletion is the expected length of an answer before any ended.
	initialCompletion = 128
)

// pool is the state of one model or plain service.
type pool[T any] struct {
	name     string
	queue    *queue.Queue[*Ticket[T]]
	replicas []*replica.Replica
	// running are the requests on replicas.
	running []*Ticket[T]
	// preemptCredit is the number of tokens that may be processed again.
	preemptCredit float64
	// classes are those that requests came in, by tier.
	classes []*classCount
	// completion is the average length of an answer in tokens.
	completion float64
	// service is the average time that a request takes a place.
	service time.Duration
	samples int
	// median is the median pace of the replicas.
	median  time.Duration
	scratch []time.Duration
}

// classCount counts the requests of a service class.
type classCount struct {
	class   *config.ServiceClass
	running int
	// parked is the number of requests that wait for the retry budget.
	parked int
	// demand is the average number of requests that wait or run.
	demand demand
}

func newPool[T any](name string) *pool[T] {
	return &pool[T]{
		name:       name,
		queue:      queue.New[*Ticket[T]](),
		completion: initialCompletion,
	}
}

// next returns the request that is served next, or nil if none can be.
func (p *pool[T]) next(failureDomain string, now time.Time) *Ticket[T] {
	if p.queue.Empty() {
		return nil
	}
	free := p.free(failureDomain, now)
	entry := p.queue.Next(now, p.completion, func(e *queue.Entry[*Ticket[T]], owed bool) bool {
		return p.mayStart(e.Value, free, owed, now)
	})
	if entry == nil {
		return nil
	}
	return entry.Value
}

// mayStart reports whether a request can start in the free places. Places on
// standard backend servers are kept for the expected demand of more urgent
// classes, unless the class is owed its guaranteed share.
func (p *pool[T]) mayStart(t *Ticket[T], free freePlaces, owed bool, now time.Time) bool {
	class := t.Request.Class
	t.cheapOnly = false
	if free.standard > 0 && (owed || free.standard > p.reserved(class.Tier, now)) {
		return true
	}
	t.cheapOnly = true
	return class.CheapServers && free.cheap > 0
}

// reserved returns the number of places that are kept for classes more urgent
// than a tier.
func (p *pool[T]) reserved(tier int, now time.Time) int {
	n := 0
	for _, c := range p.classes {
		if c.class.Tier < tier {
			n += max(0, c.demand.places(now)-c.running)
		}
	}
	return n
}

// freePlaces counts the free places of a pool.
type freePlaces struct {
	standard, cheap int
}

// free counts the free places of ready replicas.
func (p *pool[T]) free(failureDomain string, now time.Time) freePlaces {
	var near, all freePlaces
	haveNear := false
	for _, r := range p.replicas {
		if r.State(now) != replica.Ready {
			continue
		}
		all.add(r)
		if r.Spec.FailureDomain == failureDomain {
			near.add(r)
			haveNear = true
		}
	}
	if haveNear {
		return near
	}
	return all
}

func (f *freePlaces) add(r *replica.Replica) {
	if r.Spec.Kind == config.KindCheap {
		f.cheap += r.FreeSlots()
		return
	}
	f.standard += r.FreeSlots()
}

// places returns the number of places on ready replicas, those in the failure
// domain if there are any.
func (p *pool[T]) places(failureDomain string, cheap bool, now time.Time) int {
	near, all := 0, 0
	for _, r := range p.replicas {
		if r.State(now) != replica.Ready || (r.Spec.Kind == config.KindCheap && !cheap) {
			continue
		}
		all += r.Spec.Slots
		if r.Spec.FailureDomain == failureDomain {
			near += r.Spec.Slots
		}
	}
	if near > 0 {
		return near
	}
	return all
}

// expectedWait returns how long a new request of a tier is expected to wait,
// or 0 if too little is known.
func (p *pool[T]) expectedWait(tier, places int) time.Duration {
	if p.samples < minSamples || places == 0 {
		return 0
	}
	ahead := p.queue.WaitingUpTo(tier)
	return time.Duration(ahead) * p.service / time.Duration(places)
}

// expectedCost returns the expected work of a request, in tokens.
func (p *pool[T]) expectedCost(request Request) int {
	if request.PlainService {
		return 1
	}
	return request.PromptTokens + int(p.completion)
}

// observe takes an ended request into the averages.
func (p *pool[T]) observe(request Request, result Result, took time.Duration) {
	p.samples++
	if p.samples == 1 {
		p.service = took
	}
	p.service += time.Duration(averageWeight * float64(took-p.service))
	if !request.PlainService {
		p.completion += averageWeight * (float64(result.CompletionTokens) - p.completion)
	}
	if result.InterTokenLatency > 0 {
		p.median, p.scratch = replica.MedianInterTokenLatency(p.replicas, p.scratch)
	}
}

// observeDemand takes the present number of requests of a class into its
// average.
func (p *pool[T]) observeDemand(class *config.ServiceClass, now time.Time) {
	c := p.count(class)
	c.demand.observe(c.running+p.waiting(c), now)
}

// waiting returns the number of waiting requests of a service class.
func (p *pool[T]) waiting(c *classCount) int {
	return p.queue.Waiting(c.class.Tier) + c.parked
}

// count returns the count of a service class, which it keeps as it is now.
func (p *pool[T]) count(class *config.ServiceClass) *classCount {
	i, ok := slices.BinarySearchFunc(p.classes, class.Tier, func(c *classCount, tier int) int {
		return c.class.Tier - tier
	})
	if !ok {
		p.classes = slices.Insert(p.classes, i, &classCount{class: class})
	}
	p.classes[i].class = class
	return p.classes[i]
}
