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

// classCount counts the running requests of a service class.
type classCount struct {
	class   *config.ServiceClass
	running int
}

func newPool[T any](name string) *pool[T] {
	return &pool[T]{
		name:       name,
		queue:      queue.New[*Ticket[T]](),
		completion: initialCompletion,
	}
}

// next returns the request that is served next, or nil if none can be.
func (p *pool[T]) next(now time.Time) *Ticket[T] {
	if p.queue.Empty() {
		return nil
	}
	standard := replica.Usable(p.replicas, false, now)
	cheap := standard || replica.Usable(p.replicas, true, now)
	entry := p.queue.Next(p.completion, func(e *queue.Entry[*Ticket[T]]) bool {
		return standard || (cheap && e.Value.Request.Class.CheapServers)
	})
	if entry == nil {
		return nil
	}
	return entry.Value
}

// places returns the number of places on ready replicas, those in the failure
// domain if there are any.
func (p *pool[T]) places(failureDomain string, cheap bool, now time.Time) int {
	near, all := 0, 0
	for _, r := range p.replicas {
		if r.State(now) != replica.Ready || (r.Spec.Kind == config.KindCheap && !cheap) {
			continue
		}
		all += r.Spec.Places
		if r.Spec.FailureDomain == failureDomain {
			near += r.Spec.Places
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
	if request.Plain {
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
	if !request.Plain {
		p.completion += averageWeight * (float64(result.CompletionTokens) - p.completion)
	}
	if result.Pace > 0 {
		p.median, p.scratch = replica.MedianPace(p.replicas, p.scratch)
	}
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
