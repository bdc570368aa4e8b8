package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/engine"
	"acaciapath.example/core/limit"
	"acaciapath.example/core/queue"
	"acaciapath.example/core/refusal"
	"acaciapath.example/core/replica"
	"acaciapath.example/core/retry"
)

// maxAttempts is the number of replicas that one request is sent to, so that a
// request that breaks replicas does not break all of them.
const maxAttempts = 5

// minRetryAfter is the shortest time that a refused caller is told to wait.
const minRetryAfter = time.Second

// freshNum and freshDen are the part of the target of the first token that a
// request may wait; the rest is for the prompt to be processed.
const (
	freshNum = 3
	freshDen = 4
)

// Dispatcher holds the requests of one entry daemon. T is what the daemon
// keeps with each.
type Dispatcher[T any] struct {
	// FailureDomain is that of the daemon.
	FailureDomain string
	// Limiter holds client accounts to their limits.
	Limiter *limit.Limiter
	// RetryBudget bounds retries.
	RetryBudget retry.Budget

	// parked are the tickets that wait for the budget, in the order in which
	// they are sent again.
	parked []*Ticket[T]
	// pools are in the order of their names.
	pools    []*pool[T]
	replicas map[string]*replica.Replica
	random   *rand.Rand
}

// New returns a dispatcher without replicas.
func New[T any](failureDomain string, retryPercent int, random *rand.Rand, now time.Time) *Dispatcher[T] {
	return &Dispatcher[T]{
		FailureDomain: failureDomain,
		Limiter:       limit.New(1),
		RetryBudget:   retry.NewBudget(retryPercent, now),
		replicas:      make(map[string]*replica.Replica),
		random:        random,
	}
}

// SetReplicas replaces all replicas, keeping the state of those that stay.
// Requests on those that go keep running. A name stands for one backend server
// for ever; if its address differs it is a new replica.
func (d *Dispatcher[T]) SetReplicas(specs []replica.Spec) {
	replicas := make(map[string]*replica.Replica, len(specs))
	for _, p := range d.pools {
		p.replicas = nil
	}
	for _, spec := range specs {
		r, ok := d.replicas[spec.Name]
		if !ok || r.Spec.Address != spec.Address {
			r = replica.New(spec)
		}
		r.Spec = spec
		replicas[spec.Name] = r
		for _, serves := range spec.Serves {
			p := d.pool(serves)
			p.replicas = append(p.replicas, r)
		}
	}
	d.replicas = replicas
}

// UpdateLoad takes in a load that a backend server published.
func (d *Dispatcher[T]) UpdateLoad(name string, load engine.Load) {
	if r := d.replicas[name]; r != nil {
		r.UpdateLoad(load)
	}
}

// ApplyCacheEvents takes in the changes of a backend server's prefix cache.
func (d *Dispatcher[T]) ApplyCacheEvents(name string, events []engine.CacheEvent) {
	r := d.replicas[name]
	if r == nil {
		return
	}
	for _, e := range events {
		r.ApplyCacheEvent(e)
	}
}

// Enqueue takes a request in to wait for a replica, or returns why it is refused.
// A request is never refused for one of a less urgent tier: only its own
// class's limit, its client account's limits and requests at least as urgent
// count against it. The ticket must be ended by Finish.
func (d *Dispatcher[T]) Enqueue(request Request, value T, now time.Time) (*Ticket[T], *refusal.Refusal) {
	p := d.pool(request.Service)
	if r := d.refuse(p, request, now); r != nil {
		return nil, r
	}
	if !request.Admitted {
		if r := d.Admit(request.Account, now); r != nil {
			return nil, r
		}
	}
	t := &Ticket[T]{Request: request, Value: value, pool: p}
	t.entry = queue.Entry[*Ticket[T]]{
		Value:   t,
		Account: request.Account.Name,
		Tier:    request.Class.Tier,
		Arrived: now.Add(-request.Age),
		// A place that is got later than this gives the first token too late.
		StartDeadline: now.Add(request.Class.FirstTokenTarget*freshNum/freshDen - request.Age),
	}
	p.queue.Push(&t.entry)
	p.observeDemand(request.Class, now)
	d.RetryBudget.Earn()
	return t, nil
}

// Admit holds a request that another daemon gives a place to the limits of its
// client account, and returns why it is refused, or nil. A request that was
// admitted must Leave.
func (d *Dispatcher[T]) Admit(account *config.ClientAccount, now time.Time) *refusal.Refusal {
	if verdict := d.Limiter.Acquire(account, now); verdict.Reason != limit.None {
		return limited(verdict)
	}
	return nil
}

// Release ends a request that was admitted, and charges its client account's
// limit what ran.
func (d *Dispatcher[T]) Release(account *config.ClientAccount, tokens int, now time.Time) {
	d.Limiter.Charge(account.Name, tokens, now)
	d.Limiter.Release(account.Name, now)
}

// StartNext starts the waiting request that is served next on a replica of its
// choice, and returns its ticket, or nil if none can start at present. The
// daemon calls it until it returns nil, after every change and whenever a
// replica may have recovered.
func (d *Dispatcher[T]) StartNext(now time.Time) *Ticket[T] {
	d.unpark(now)
	t := d.mostUrgent(now)
	if t == nil {
		return nil
	}
	p := t.pool
	r := replica.Choose(p.replicas, d.wish(t), p.median, now, d.random)
	if r == nil {
		return nil
	}
	p.queue.Take(&t.entry, p.completion)
	d.start(t, r, now)
	return t
}

// Retry puts a request that certainly did not run back into the queue, at the
// place of its arrival, and leaves the replica that failed it alone for a time.
// Without a retry in the budget it is parked until there is one. Retry reports
// false, and changes nothing, if retries are switched off, the request was sent
// too often or no other replica is left; the daemon then finishes the request.
func (d *Dispatcher[T]) Retry(t *Ticket[T], now time.Time) bool {
	failed := t.Replica
	tried := append(slices.Clone(t.tried), failed.Spec.Name)
	if d.RetryBudget.Percent == 0 || t.Attempts >= maxAttempts || !hasOther(t, tried) {
		return false
	}
	failed.RecordFailure(now)
	t.preempted = false
	d.stop(t, now)
	d.charge(t, -t.charged, now)
	t.tried = tried
	d.setParked(t, true)
	d.parked = append(d.parked, t)
	return true
}

// Resume is Retry for a request that ran in part, whose answer another replica
// can go on with. It goes before the requests that got no token yet.
func (d *Dispatcher[T]) Resume(t *Ticket[T], now time.Time) bool {
	if !d.Retry(t, now) {
		return false
	}
	t.entry.StartDeadline = now.Add(t.Request.Class.MaxWait)
	return true
}

// unpark puts parked tickets back into their queues as far as the budget goes.
func (d *Dispatcher[T]) unpark(now time.Time) {
	n := 0
	for n < len(d.parked) && d.RetryBudget.Spend(now) {
		t := d.parked[n]
		d.setParked(t, false)
		t.pool.queue.Push(&t.entry)
		n++
	}
	d.parked = slices.Delete(d.parked, 0, n)
}

// setParked marks a ticket, and counts it.
func (*Dispatcher[T]) setParked(t *Ticket[T], parked bool) {
	t.parked = parked
	c := t.pool.count(t.Request.Class)
	if parked {
		c.parked++
		return
	}
	c.parked--
}

// dropParked takes a ticket out of the parked ones.
func (d *Dispatcher[T]) dropParked(t *Ticket[T]) {
	if !t.parked {
		return
	}
	d.setParked(t, false)
	i := slices.Index(d.parked, t)
	d.parked = slices.Delete(d.parked, i, i+1)
}

// Finish ends a request, whether it waited or ran. A second call does nothing.
func (d *Dispatcher[T]) Finish(t *Ticket[T], result Result, now time.Time) {
	if t.ended {
		return
	}
	t.ended = true
	t.pool.queue.Remove(&t.entry)
	d.dropParked(t)
	d.charge(t, result.PromptTokens+result.CompletionTokens-t.charged, now)
	if !t.Request.Admitted {
		d.Limiter.Release(t.Request.Account.Name, now)
	}
	r := t.Replica
	if r != nil {
		d.stop(t, now)
	}
	t.pool.observeDemand(t.Request.Class, now)
	if r == nil {
		return
	}
	if result.ReplicaFailed {
		r.RecordFailure(now)
		return
	}
	if !t.Request.PlainService && result.CompletionTokens == 0 {
		return // it gave its place back before anything ran, which tells nothing
	}
	r.RecordSuccess()
	r.ObserveInterTokenLatency(result.InterTokenLatency)
	t.pool.observe(t.Request, result, now.Sub(t.Started))
}

// mostUrgent returns the request that is served next among those of all pools:
// the one of the most urgent tier, and of these the one that arrived first.
func (d *Dispatcher[T]) mostUrgent(now time.Time) *Ticket[T] {
	var best *Ticket[T]
	for _, p := range d.pools {
		t := p.next(d.FailureDomain, now)
		if t != nil && (best == nil || before(t, best)) {
			best = t
		}
	}
	return best
}

func before[T any](a, b *Ticket[T]) bool {
	if a.entry.Tier != b.entry.Tier {
		return a.entry.Tier < b.entry.Tier
	}
	return a.entry.Arrived.Before(b.entry.Arrived)
}

// hasOther reports whether a replica that is not in tried may run the request.
func hasOther[T any](t *Ticket[T], tried []string) bool {
	return slices.ContainsFunc(t.pool.replicas, func(r *replica.Replica) bool {
		if r.Spec.Draining || (r.Spec.Kind == config.KindCheap && !t.Request.Class.CheapServers) {
			return false
		}
		return !slices.Contains(tried, r.Spec.Name)
	})
}

func (d *Dispatcher[T]) refuse(p *pool[T], request Request, now time.Time) *refusal.Refusal {
	class := request.Class
	if len(p.replicas) == 0 {
		message := fmt.Sprintf("no backend server serves %q at present", request.Service)
		return refusal.New(refusal.NoBackendServer, message).After(minRetryAfter)
	}
	if p.waiting(p.count(class)) >= class.QueueLimit {
		message := fmt.Sprintf("%d requests of service class %q wait already", class.QueueLimit, class.Name)
		return refusal.New(refusal.QueueFull, message).After(d.retryAfter(p, class, now))
	}
	places := p.places(d.FailureDomain, class.CheapServers, now)
	if wait := p.expectedWait(class.Tier, places); wait > class.MaxWait {
		message := fmt.Sprintf("a request of service class %q would wait longer than %s", class.Name, class.MaxWait)
		return refusal.New(refusal.WaitTooLong, message).After(wait - class.MaxWait)
	}
	return nil
}

// retryAfter returns when the queue of a class is expected to have emptied.
func (d *Dispatcher[T]) retryAfter(p *pool[T], class *config.ServiceClass, now time.Time) time.Duration {
	places := p.places(d.FailureDomain, class.CheapServers, now)
	return max(p.expectedWait(class.Tier, places), minRetryAfter)
}

func limited(verdict limit.Decision) *refusal.Refusal {
	message := fmt.Sprintf("the client account's limit %s is reached", verdict.Reason)
	if verdict.Reason == limit.Concurrent {
		return refusal.New(refusal.TooManyRequests, message).After(minRetryAfter)
	}
	return refusal.New(refusal.RateLimited, message).After(max(verdict.RetryAfter, minRetryAfter))
}

func (d *Dispatcher[T]) wish(t *Ticket[T]) replica.Requirements {
	return replica.Requirements{
		FailureDomain:  d.FailureDomain,
		AllowCheap:     t.Request.Class.CheapServers,
		CheapOnly:      t.cheapOnly,
		Prefixes:       t.Request.Prefixes,
		FailedReplicas: t.tried,
	}
}

// start accounts for a request that begins on a replica, and charges what it is
// expected to cost.
func (d *Dispatcher[T]) start(t *Ticket[T], r *replica.Replica, now time.Time) {
	t.Replica = r
	t.Started = now
	t.Attempts++
	r.BeginRequest(t.Request.Prefixes, now)
	t.pool.count(t.Request.Class).running++
	t.pool.running = append(t.pool.running, t)
	d.charge(t, t.pool.expectedCost(t.Request), now)
}

// stop takes a request off its replica.
func (d *Dispatcher[T]) stop(t *Ticket[T], now time.Time) {
	t.Replica.EndRequest(now)
	t.Replica = nil
	t.pool.count(t.Request.Class).running--
	t.pool.removeRunning(t)
}

func (d *Dispatcher[T]) charge(t *Ticket[T], tokens int, now time.Time) {
	t.charged += tokens
	t.pool.earnPreemption(tokens)
	t.pool.queue.Charge(t.Request.Class.Tier, t.Request.Account.Name, float64(tokens))
	if !t.Request.Admitted {
		d.Limiter.Charge(t.Request.Account.Name, tokens, now)
	}
}

func (d *Dispatcher[T]) pool(serves string) *pool[T] {
	i, ok := slices.BinarySearchFunc(d.pools, serves, func(p *pool[T], name string) int {
		return strings.Compare(p.name, name)
	})
	if !ok {
		d.pools = slices.Insert(d.pools, i, newPool[T](serves))
	}
	return d.pools[i]
}
