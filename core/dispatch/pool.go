package dispatch

import (
	"slices"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/queue"
	"acaciapath.example/core/replica"
)

const (
	// averageWeight is the weight of a new sample in the exponential moving
	// averages of a pool.
	averageWeight = 0.1
	// minSamples is the number of finished requests below which the average
	// service time is not used.
	minSamples = 8
	// initialCompletionTokens is the expected length of an answer, in tokens,
	// before any request has finished.
	initialCompletionTokens = 128
)

// pool is the state of one model or plain service.
type pool[T any] struct {
	name     string
	queue    *queue.Queue[*Ticket[T]]
	replicas []*replica.Replica
	// running are the requests that run on replicas.
	running []*Ticket[T]
	// preemptCredit is the number of tokens that may be processed again because
	// of preemption.
	preemptCredit float64
	// classes are the service classes that have had a request, sorted by tier.
	classes []*classCount
	// meanCompletionTokens is the average length of an answer, in tokens.
	meanCompletionTokens float64
	// meanServiceTime is the average time that a request occupies a slot.
	meanServiceTime time.Duration
	// samples is the number of requests that the averages include.
	samples int
	// medianLatency is the median inter-token latency of the replicas.
	medianLatency time.Duration
	// scratch is the buffer for replica.MedianInterTokenLatency.
	scratch []time.Duration
}

// classCount counts the requests of a service class.
type classCount struct {
	class   *config.ServiceClass
	running int
	// awaitingBudget is the number of requests that wait for the retry budget.
	awaitingBudget int
	// demand is the average number of requests that wait or run.
	demand demand
}

func newPool[T any](name string) *pool[T] {
	return &pool[T]{
		name:                 name,
		queue:                queue.New[*Ticket[T]](),
		meanCompletionTokens: initialCompletionTokens,
	}
}

// next returns the request to serve next, or nil if none can start.
func (p *pool[T]) next(failureDomain string, now time.Time) *Ticket[T] {
	if p.queue.Empty() {
		return nil
	}
	free := p.freeSlots(failureDomain, now)
	entry := p.queue.Next(now, p.meanCompletionTokens, func(e *queue.Entry[*Ticket[T]], owed bool) bool {
		return p.mayStart(e.Value, free, owed, now)
	})
	if entry == nil {
		return nil
	}
	return entry.Value
}

// mayStart reports whether a request can start in the free slots. Slots on
// standard backend servers are reserved for the expected demand of more urgent
// classes, unless the class is owed its guaranteed share. As a side effect it
// records in the ticket whether the request may start on cheap backend servers
// only.
func (p *pool[T]) mayStart(t *Ticket[T], free slotCounts, owed bool, now time.Time) bool {
	class := t.Request.Class
	t.cheapOnly = false
	if free.standard > 0 && (owed || free.standard > p.reserved(class.Tier, now)) {
		return true
	}
	t.cheapOnly = true
	return class.AllowCheapServers && free.cheap > 0
}

// reserved returns the number of slots that are reserved for classes more
// urgent than a tier.
func (p *pool[T]) reserved(tier int, now time.Time) int {
	n := 0
	for _, c := range p.classes {
		if c.class.Tier < tier {
			n += max(0, c.demand.slots(now)-c.running)
		}
	}
	return n
}

// slotCounts counts slots by the kind of backend server.
type slotCounts struct {
	standard, cheap int
}

// freeSlots counts the free slots of ready replicas: those in the failure
// domain if any replica there is ready, otherwise all.
func (p *pool[T]) freeSlots(failureDomain string, now time.Time) slotCounts {
	var local, all slotCounts
	haveLocal := false
	for _, r := range p.replicas {
		if r.State(now) != replica.Ready {
			continue
		}
		all.add(r)
		if r.Spec.FailureDomain == failureDomain {
			local.add(r)
			haveLocal = true
		}
	}
	if haveLocal {
		return local
	}
	return all
}

func (f *slotCounts) add(r *replica.Replica) {
	if r.Spec.Kind == config.KindCheap {
		f.cheap += r.FreeSlots()
		return
	}
	f.standard += r.FreeSlots()
}

// slots returns the total number of slots of ready replicas: those in the
// failure domain if there are any, otherwise all. Cheap backend servers count
// only if allowCheap is set.
func (p *pool[T]) slots(failureDomain string, allowCheap bool, now time.Time) int {
	local, all := 0, 0
	for _, r := range p.replicas {
		if r.State(now) != replica.Ready || (r.Spec.Kind == config.KindCheap && !allowCheap) {
			continue
		}
		all += r.Spec.Slots
		if r.Spec.FailureDomain == failureDomain {
			local += r.Spec.Slots
		}
	}
	if local > 0 {
		return local
	}
	return all
}

// expectedWait returns how long a new request of a tier is expected to wait, or
// 0 if there are fewer than minSamples samples or no slots.
func (p *pool[T]) expectedWait(tier, slots int) time.Duration {
	if p.samples < minSamples || slots == 0 {
		return 0
	}
	ahead := p.queue.WaitingUpTo(tier)
	return time.Duration(ahead) * p.meanServiceTime / time.Duration(slots)
}

// expectedCost returns the expected number of tokens that a request takes to
// process. It is 1 for a request to a plain service.
func (p *pool[T]) expectedCost(request Request) int {
	if request.PlainService {
		return 1
	}
	return request.PromptTokens + int(p.meanCompletionTokens)
}

// observe adds a finished request to the averages.
func (p *pool[T]) observe(request Request, result Result, took time.Duration) {
	p.samples++
	if p.samples == 1 {
		p.meanServiceTime = took
	}
	p.meanServiceTime += time.Duration(averageWeight * float64(took-p.meanServiceTime))
	if !request.PlainService {
		p.meanCompletionTokens += averageWeight * (float64(result.CompletionTokens) - p.meanCompletionTokens)
	}
	if result.InterTokenLatency > 0 {
		p.medianLatency, p.scratch = replica.MedianInterTokenLatency(p.replicas, p.scratch)
	}
}

// observeDemand adds the present number of waiting and running requests of a
// class to its average demand.
func (p *pool[T]) observeDemand(class *config.ServiceClass, now time.Time) {
	c := p.count(class)
	c.demand.observe(c.running+p.waiting(c), now)
}

// waiting returns the number of waiting requests of a service class, including
// those that wait for the retry budget.
func (p *pool[T]) waiting(c *classCount) int {
	return p.queue.Waiting(c.class.Tier) + c.awaitingBudget
}

// count returns the counts of a service class. It creates them if there are
// none, and stores the given version of the class.
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
