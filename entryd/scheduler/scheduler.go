package scheduler

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/dispatch"
	"acaciapath.example/core/engine"
	"acaciapath.example/core/peer"
	"acaciapath.example/core/refusal"
	"acaciapath.example/core/replica"
	"acaciapath.example/core/retry"
)

// recoverInterval is how often it is tried whether a backend server that had
// failed can be given work again.
const recoverInterval = 50 * time.Millisecond

// waiter is what the scheduler keeps with a request.
type waiter struct {
	// started takes one value when the request is started.
	started chan struct{}
	// preempted takes one value when the request is to yield its place.
	preempted chan struct{}
}

func newWaiter() waiter {
	return waiter{started: make(chan struct{}, 1), preempted: make(chan struct{}, 1)}
}

// Scheduler shares the places of backend servers among requests. It is safe
// for concurrent use.
type Scheduler struct {
	clock func() time.Time

	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher[waiter]
}

// New returns a scheduler without backend servers for a daemon in a failure
// domain.
func New(failureDomain string, clock func() time.Time, random *rand.Rand) *Scheduler {
	return &Scheduler{
		clock:      clock,
		dispatcher: dispatch.New[waiter](failureDomain, 0, random, clock()),
	}
}

// SetLimits puts the limits of a configuration in force. A budget of retries
// that was 0 begins with its burst.
func (s *Scheduler) SetLimits(limits config.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dispatcher.RetryBudget.Percent == 0 {
		s.dispatcher.RetryBudget = retry.NewBudget(limits.RetryBudgetPercent, s.clock())
		return
	}
	s.dispatcher.RetryBudget.Percent = limits.RetryBudgetPercent
}

// SetLimitShare sets the part of client accounts' limits that this daemon may give
// out. 0 < share ≤ 1.
func (s *Scheduler) SetLimitShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Limiter.Share = share
}

// SetReplicas replaces all backend servers.
func (s *Scheduler) SetReplicas(specs []replica.Spec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.SetReplicas(specs)
	s.startNext()
}

// UpdateLoad takes in a load that a backend server published.
func (s *Scheduler) UpdateLoad(name string, load engine.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.UpdateLoad(name, load)
	s.startNext()
}

// ApplyCacheEvents takes in the changes of a backend server's prefix cache.
func (s *Scheduler) ApplyCacheEvents(name string, events []engine.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.ApplyCacheEvents(name, events)
}

// Run starts requests when backend servers have recovered, until ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	ticker := time.NewTicker(recoverInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.mu.Lock()
			s.startNext()
			s.mu.Unlock()
		}
	}
}

// Status returns the state of the queues and the backend servers.
func (s *Scheduler) Status() ([]peer.Queue, []peer.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	return s.dispatcher.Queues(now), s.dispatcher.Replicas(now)
}

// Acquire waits until a request is started on a backend server. It returns a
// *refusal.Refusal if the request is refused, or the cause of ctx's end. The
// place must be given back by Finish.
func (s *Scheduler) Acquire(ctx context.Context, request dispatch.Request) (*Slot, error) {
	now := s.clock()
	s.mu.Lock()
	ticket, refused := s.dispatcher.Enqueue(request, newWaiter(), now)
	if refused != nil {
		s.mu.Unlock()
		return nil, refused
	}
	s.startNext()
	s.mu.Unlock()
	p := &local{scheduler: s, ticket: ticket, arrived: now.Add(-request.Age)}
	grant, err := p.wait(ctx)
	if err != nil {
		return nil, err
	}
	return NewSlot(p, grant), nil
}

// startNext starts all requests that can start and wakes them, and tells those
// that are to yield their places. The caller holds the lock.
func (s *Scheduler) startNext() {
	now := s.clock()
	for t := s.dispatcher.StartNext(now); t != nil; t = s.dispatcher.StartNext(now) {
		t.Value.started <- struct{}{}
	}
	for t := s.dispatcher.Preempt(now); t != nil; t = s.dispatcher.Preempt(now) {
		select {
		case t.Value.preempted <- struct{}{}:
		default: // it was told before and has not yielded
		}
	}
}

// Admit holds a request to the limits of its client account, for places that
// another daemon gives out. It returns a *refusal.Refusal if a limit refuses
// the request, and else what is to be called with the tokens that ran when the
// request has ended.
func (s *Scheduler) Admit(account *config.ClientAccount) (leave func(tokens int), err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused := s.dispatcher.Admit(account, s.clock()); refused != nil {
		return nil, refused
	}
	return func(tokens int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.dispatcher.Release(account, tokens, s.clock())
	}, nil
}

// local is a place that this scheduler gave out.
type local struct {
	scheduler *Scheduler
	ticket    *dispatch.Ticket[waiter]
	// arrived is when the request began to wait, after Resume again.
	arrived time.Time
}

var _ Holder = (*local)(nil)

// Retry gives the place back after the backend server failed the request, and
// waits for another.
func (p *local) Retry(ctx context.Context) (*Assignment, error) {
	s := p.scheduler
	s.mu.Lock()
	retried := s.dispatcher.Retry(p.ticket, s.clock())
	s.startNext()
	s.mu.Unlock()
	if !retried {
		return nil, nil
	}
	return p.wait(ctx)
}

// Resume is Retry for a request of whose answer a part has reached the caller.
func (p *local) Resume(ctx context.Context) (*Assignment, error) {
	s := p.scheduler
	s.mu.Lock()
	now := s.clock()
	retried := s.dispatcher.Resume(p.ticket, now)
	s.startNext()
	s.mu.Unlock()
	if !retried {
		return nil, nil
	}
	p.arrived = now
	return p.wait(ctx)
}

// Preempted takes a value when the request is to yield its place.
func (p *local) Preempted() <-chan struct{} { return p.ticket.Value.preempted }

// Yield gives the place to a more urgent request and waits for another.
func (p *local) Yield(ctx context.Context) (*Assignment, error) {
	s := p.scheduler
	s.mu.Lock()
	p.arrived = s.clock()
	s.dispatcher.RequeuePreempted(p.ticket, p.arrived)
	s.startNext()
	s.mu.Unlock()
	return p.wait(ctx)
}

// Finish gives the place back. A second call does nothing.
func (p *local) Finish(result dispatch.Result) {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Finish(p.ticket, result, s.clock())
	s.startNext()
}

// wait returns once the request has been started. If it returns an error the
// request has been finished.
func (p *local) wait(ctx context.Context) (*Assignment, error) {
	select {
	case <-p.ticket.Value.started:
		return p.grant(), nil
	default:
	}
	timer := time.NewTimer(p.arrived.Add(p.ticket.Request.Class.MaxWait).Sub(p.scheduler.clock()))
	defer timer.Stop()
	select {
	case <-p.ticket.Value.started:
		return p.grant(), nil
	case <-ctx.Done():
		p.Finish(dispatch.Result{})
		return nil, context.Cause(ctx)
	case <-timer.C:
	}
	if p.expire() {
		return nil, tooLong(p.ticket.Request.Class)
	}
	<-p.ticket.Value.started
	return p.grant(), nil
}

// grant returns where the request was started.
func (p *local) grant() *Assignment {
	p.scheduler.mu.Lock()
	defer p.scheduler.mu.Unlock()
	return &Assignment{
		Server:   p.ticket.Replica.Spec,
		Waited:   p.ticket.Started.Sub(p.arrived),
		Attempts: p.ticket.Attempts,
	}
}

// expire ends a request that still waits. It reports false if the request has
// been started in the meantime.
func (p *local) expire() bool {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.ticket.Waiting() {
		return false
	}
	s.dispatcher.Finish(p.ticket, dispatch.Result{}, s.clock())
	return true
}

// tooLong returns the refusal of a request that waited for its class's bound.
func tooLong(class *config.ServiceClass) *refusal.Refusal {
	return refusal.New(refusal.WaitTooLong,
		"no place was free within "+class.MaxWait.String()).WithRetryAfter(class.FirstTokenTarget)
}
