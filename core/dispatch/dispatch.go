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

// maxAttempts is the largest number of replicas that one request is sent to. It
// keeps a request that crashes replicas from crashing all of them.
const maxAttempts = 5

// minRetryAfter is the shortest wait that a refused caller is told.
const minRetryAfter = time.Second

// A request must start within startDeadlineNum/startDeadlineDen of its
// first-token target; the rest of the target is left for processing the prompt.
const (
	startDeadlineNum = 3
	startDeadlineDen = 4
)

// Dispatcher holds the waiting and running requests of one entry daemon. T is
// the type of the value that the daemon attaches to each request.
type Dispatcher[T any] struct {
	// FailureDomain is the failure domain of the daemon.
	FailureDomain string
	// Limiter enforces the limits of client accounts.
	Limiter *limit.Limiter
	// RetryBudget bounds the rate of retries.
	RetryBudget retry.Budget

	// awaitingBudget holds the tickets that wait for the retry budget, in the
	// order in which they will be requeued.
	awaitingBudget []*Ticket[T]
	// pools are sorted by name.
	pools    []*pool[T]
	replicas map[string]*replica.Replica
	random   *rand.Rand
}

// New returns a dispatcher without replicas. A retryPercent of 0 disables
// retries.
func New[T any](failureDomain string, retryPercent int, random *rand.Rand, now time.Time) *Dispatcher[T] {
	return &Dispatcher[T]{
		FailureDomain: failureDomain,
		Limiter:       limit.New(1),
		RetryBudget:   retry.NewBudget(retryPercent, now),
		replicas:      make(map[string]*replica.Replica),
		random:        random,
	}
}

// SetReplicas replaces the list of replicas and keeps the state of those that
// remain. Requests on removed replicas keep running. A name always stands for
// the same backend server; a replica whose address changed is treated as a new
// one.
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

// UpdateLoad records a load that a backend server published. It ignores names
// that are not in the list of replicas.
func (d *Dispatcher[T]) UpdateLoad(name string, load engine.Load) {
	if r := d.replicas[name]; r != nil {
		r.UpdateLoad(load)
	}
}

// ApplyCacheEvents applies published changes of the prefix cache of a backend
// server. It ignores names that are not in the list of replicas.
func (d *Dispatcher[T]) ApplyCacheEvents(name string, events []engine.CacheEvent) {
	r := d.replicas[name]
	if r == nil {
		return
	}
	for _, e := range events {
		r.ApplyCacheEvent(e)
	}
}

// Enqueue adds a request to the queue, or returns why it is refused. Requests
// of less urgent tiers never cause a refusal: only the queue limit of the
// class, the limits of the client account and requests that are at least as
// urgent count. The caller must call Finish for each returned ticket.
func (d *Dispatcher[T]) Enqueue(request Request, value T, now time.Time) (*Ticket[T], *refusal.Refusal) {
	p := d.pool(request.Service)
	if r := d.checkAdmission(p, request, now); r != nil {
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
		// A request that starts later misses its first-token target.
		StartDeadline: now.Add(request.Class.FirstTokenTarget*startDeadlineNum/startDeadlineDen - request.Age),
	}
	p.queue.Push(&t.entry)
	p.observeDemand(request.Class, now)
	d.RetryBudget.Earn()
	return t, nil
}

// Admit applies the limits of a client account to a request that another daemon
// dispatches. It returns why the request is refused, or nil. The caller must
// call Release for each admitted request.
func (d *Dispatcher[T]) Admit(account *config.ClientAccount, now time.Time) *refusal.Refusal {
	if decision := d.Limiter.Acquire(account, now); decision.Reason != limit.None {
		return limitRefusal(decision)
	}
	return nil
}

// Release ends a request that Admit admitted and charges the tokens that it
// used to the limit of the client account.
func (d *Dispatcher[T]) Release(account *config.ClientAccount, tokens int, now time.Time) {
	d.Limiter.Charge(account.Name, tokens, now)
	d.Limiter.Release(account.Name, now)
}

// StartNext starts the next waiting request on a replica that it chooses. It
// returns the ticket, or nil if no request can start at present. The daemon
// calls it until it returns nil, after every change and whenever a replica may
// have recovered.
func (d *Dispatcher[T]) StartNext(now time.Time) *Ticket[T] {
	d.requeueRetries(now)
	t := d.mostUrgent(now)
	if t == nil {
		return nil
	}
	p := t.pool
	r := replica.Choose(p.replicas, d.requirements(t), p.medianLatency, now, d.random)
	if r == nil {
		return nil
	}
	p.queue.Take(&t.entry, p.meanCompletionTokens)
	d.start(t, r, now)
	return t
}

// Retry puts a request that certainly did not run back into the queue, at its
// original arrival time, and puts the replica that failed it into cooldown. If
// the retry budget is exhausted the request waits until the budget allows the
// retry.
//
// Retry returns false and changes nothing if retries are disabled, the request
// has had maxAttempts attempts, or no other replica is left. The daemon then
// finishes the request.
func (d *Dispatcher[T]) Retry(t *Ticket[T], now time.Time) bool {
	failed := t.Replica
	failedReplicas := append(slices.Clone(t.failedReplicas), failed.Spec.Name)
	if d.RetryBudget.Percent == 0 || t.Attempts >= maxAttempts || !hasUntriedReplica(t, failedReplicas) {
		return false
	}
	failed.RecordFailure(now)
	t.preempted = false
	d.stop(t, now)
	d.charge(t, -t.charged, now)
	t.failedReplicas = failedReplicas
	d.setAwaitingBudget(t, true)
	d.awaitingBudget = append(d.awaitingBudget, t)
	return true
}

// Resume is like Retry, for a request that has run in part and whose answer
// another replica can continue. It extends the start deadline by the maximum
// wait of the class. The request therefore counts as on time, and its original
// arrival time puts it before later requests that have no token yet.
func (d *Dispatcher[T]) Resume(t *Ticket[T], now time.Time) bool {
	if !d.Retry(t, now) {
		return false
	}
	t.entry.StartDeadline = now.Add(t.Request.Class.MaxWait)
	return true
}

// requeueRetries puts tickets that wait for the retry budget back into their
// queues, as far as the budget allows.
func (d *Dispatcher[T]) requeueRetries(now time.Time) {
	n := 0
	for n < len(d.awaitingBudget) && d.RetryBudget.Spend(now) {
		t := d.awaitingBudget[n]
		d.setAwaitingBudget(t, false)
		t.pool.queue.Push(&t.entry)
		n++
	}
	d.awaitingBudget = slices.Delete(d.awaitingBudget, 0, n)
}

// setAwaitingBudget sets whether a ticket waits for the retry budget, and
// updates the count of its class.
func (*Dispatcher[T]) setAwaitingBudget(t *Ticket[T], awaitingBudget bool) {
	t.awaitingBudget = awaitingBudget
	c := t.pool.count(t.Request.Class)
	if awaitingBudget {
		c.awaitingBudget++
		return
	}
	c.awaitingBudget--
}

// removeAwaitingBudget removes a ticket from those that wait for the retry
// budget, if it is among them.
func (d *Dispatcher[T]) removeAwaitingBudget(t *Ticket[T]) {
	if !t.awaitingBudget {
		return
	}
	d.setAwaitingBudget(t, false)
	i := slices.Index(d.awaitingBudget, t)
	d.awaitingBudget = slices.Delete(d.awaitingBudget, i, i+1)
}

// Finish ends a request, whether it was waiting or running. A second call has
// no effect.
func (d *Dispatcher[T]) Finish(t *Ticket[T], result Result, now time.Time) {
	if t.ended {
		return
	}
	t.ended = true
	t.pool.queue.Remove(&t.entry)
	d.removeAwaitingBudget(t)
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
		return // nothing ran: the time is not a sample, and the replica did not succeed
	}
	r.RecordSuccess()
	r.ObserveInterTokenLatency(result.InterTokenLatency)
	t.pool.observe(t.Request, result, now.Sub(t.Started))
}

// mostUrgent returns the request to serve next across all pools: the one of the
// most urgent tier and, within the tier, the one that arrived first.
func (d *Dispatcher[T]) mostUrgent(now time.Time) *Ticket[T] {
	var best *Ticket[T]
	for _, p := range d.pools {
		t := p.next(d.FailureDomain, now)
		if t != nil && (best == nil || servedBefore(t, best)) {
			best = t
		}
	}
	return best
}

// servedBefore reports whether a is served before b.
func servedBefore[T any](a, b *Ticket[T]) bool {
	if a.entry.Tier != b.entry.Tier {
		return a.entry.Tier < b.entry.Tier
	}
	return a.entry.Arrived.Before(b.entry.Arrived)
}

// hasUntriedReplica reports whether a replica that is not in failedReplicas may
// run the request.
func hasUntriedReplica[T any](t *Ticket[T], failedReplicas []string) bool {
	return slices.ContainsFunc(t.pool.replicas, func(r *replica.Replica) bool {
		if r.Spec.Draining || (r.Spec.Kind == config.KindCheap && !t.Request.Class.AllowCheapServers) {
			return false
		}
		return !slices.Contains(failedReplicas, r.Spec.Name)
	})
}

// checkAdmission returns why a request cannot enter the queue of a pool, or
// nil. It does not apply the limits of the client account.
func (d *Dispatcher[T]) checkAdmission(p *pool[T], request Request, now time.Time) *refusal.Refusal {
	class := request.Class
	if len(p.replicas) == 0 {
		message := fmt.Sprintf("no backend server serves %q at present", request.Service)
		return refusal.New(refusal.NoBackendServer, message).WithRetryAfter(minRetryAfter)
	}
	if p.waiting(p.count(class)) >= class.QueueLimit {
		message := fmt.Sprintf("%d requests of service class %q wait already", class.QueueLimit, class.Name)
		return refusal.New(refusal.QueueFull, message).WithRetryAfter(d.retryAfter(p, class, now))
	}
	slots := p.slots(d.FailureDomain, class.AllowCheapServers, now)
	if wait := p.expectedWait(class.Tier, slots); wait > class.MaxWait {
		message := fmt.Sprintf("a request of service class %q would wait longer than %s", class.Name, class.MaxWait)
		return refusal.New(refusal.WaitTooLong, message).WithRetryAfter(wait - class.MaxWait)
	}
	return nil
}

// retryAfter returns the time in which the queue of a class is expected to
// empty, at least minRetryAfter.
func (d *Dispatcher[T]) retryAfter(p *pool[T], class *config.ServiceClass, now time.Time) time.Duration {
	slots := p.slots(d.FailureDomain, class.AllowCheapServers, now)
	return max(p.expectedWait(class.Tier, slots), minRetryAfter)
}

// limitRefusal returns the refusal for a limit of a client account.
func limitRefusal(decision limit.Decision) *refusal.Refusal {
	message := fmt.Sprintf("the client account's limit %s is reached", decision.Reason)
	if decision.Reason == limit.Concurrent {
		return refusal.New(refusal.TooManyRequests, message).WithRetryAfter(minRetryAfter)
	}
	return refusal.New(refusal.RateLimited, message).WithRetryAfter(max(decision.RetryAfter, minRetryAfter))
}

func (d *Dispatcher[T]) requirements(t *Ticket[T]) replica.Requirements {
	return replica.Requirements{
		FailureDomain:  d.FailureDomain,
		AllowCheap:     t.Request.Class.AllowCheapServers,
		CheapOnly:      t.cheapOnly,
		Prefixes:       t.Request.Prefixes,
		FailedReplicas: t.failedReplicas,
	}
}

// start records that a request begins on a replica and charges its expected
// cost.
func (d *Dispatcher[T]) start(t *Ticket[T], r *replica.Replica, now time.Time) {
	t.Replica = r
	t.Started = now
	t.Attempts++
	r.BeginRequest(t.Request.Prefixes, now)
	t.pool.count(t.Request.Class).running++
	t.pool.running = append(t.pool.running, t)
	d.charge(t, t.pool.expectedCost(t.Request), now)
}

// stop removes a request from its replica.
func (d *Dispatcher[T]) stop(t *Ticket[T], now time.Time) {
	t.Replica.EndRequest(now)
	t.Replica = nil
	t.pool.count(t.Request.Class).running--
	t.pool.removeRunning(t)
}

// charge charges tokens to the client account of a request, in its queue and,
// unless another daemon admitted the request, in its limits. Negative tokens
// correct an earlier charge.
func (d *Dispatcher[T]) charge(t *Ticket[T], tokens int, now time.Time) {
	t.charged += tokens
	t.pool.addPreemptionCredit(tokens)
	t.pool.queue.Charge(t.Request.Class.Tier, t.Request.Account.Name, float64(tokens))
	if !t.Request.Admitted {
		d.Limiter.Charge(t.Request.Account.Name, tokens, now)
	}
}

// pool returns the pool of a model or plain service. It creates the pool if
// there is none.
func (d *Dispatcher[T]) pool(serves string) *pool[T] {
	i, ok := slices.BinarySearchFunc(d.pools, serves, func(p *pool[T], name string) int {
		return strings.Compare(p.name, name)
	})
	if !ok {
		d.pools = slices.Insert(d.pools, i, newPool[T](serves))
	}
	return d.pools[i]
}
