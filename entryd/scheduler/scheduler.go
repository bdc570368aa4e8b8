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

// startInterval is the time between attempts to start waiting requests on
// backend servers that may have recovered from a failure.
const startInterval = 50 * time.Millisecond

// waiter holds the channels on which the scheduler signals one request.
type waiter struct {
	// started receives one value when the request is started.
	started chan struct{}
	// preempted receives one value when the request must yield its slot.
	preempted chan struct{}
}

func newWaiter() waiter {
	return waiter{started: make(chan struct{}, 1), preempted: make(chan struct{}, 1)}
}

// Scheduler assigns slots of backend servers to requests. It is safe for
// concurrent use.
type Scheduler struct {
	clock func() time.Time

	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher[waiter]
}

// New returns a scheduler without backend servers, for a daemon in the given
// failure domain.
func New(failureDomain string, clock func() time.Time, random *rand.Rand) *Scheduler {
	return &Scheduler{
		clock:      clock,
		dispatcher: dispatch.New[waiter](failureDomain, 0, random, clock()),
	}
}

// SetLimits applies the limits of a configuration. If retries were disabled
// before, the retry budget starts with its burst allowance.
func (s *Scheduler) SetLimits(limits config.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dispatcher.RetryBudget.Percent == 0 {
		s.dispatcher.RetryBudget = retry.NewBudget(limits.RetryBudgetPercent, s.clock())
		return
	}
	s.dispatcher.RetryBudget.Percent = limits.RetryBudgetPercent
}

// SetLimitShare sets the fraction of each client account's limits that this
// daemon may grant. 0 < share ≤ 1.
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

// UpdateLoad records the load that the named backend server published.
func (s *Scheduler) UpdateLoad(name string, load engine.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.UpdateLoad(name, load)
	s.startNext()
}

// ApplyCacheEvents records changes of the named backend server's prefix cache.
func (s *Scheduler) ApplyCacheEvents(name string, events []engine.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.ApplyCacheEvents(name, events)
}

// Run periodically starts waiting requests on backend servers that have
// recovered, until ctx is done.
func (s *Scheduler) Run(ctx context.Context) {
	ticker := time.NewTicker(startInterval)
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

// Acquire waits until the request is started on a backend server and returns
// its slot, which must be released with Finish. It returns a *refusal.Refusal
// if the request is refused, or the cause of ctx if ctx is done.
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
	holder := &localHolder{scheduler: s, ticket: ticket, arrived: now.Add(-request.Age)}
	assignment, err := holder.wait(ctx)
	if err != nil {
		return nil, err
	}
	return NewSlot(holder, assignment), nil
}

// startNext starts and wakes all requests that can start, and notifies the
// running requests that must yield their slots. The caller holds the lock.
func (s *Scheduler) startNext() {
	now := s.clock()
	for t := s.dispatcher.StartNext(now); t != nil; t = s.dispatcher.StartNext(now) {
		t.Value.started <- struct{}{}
	}
	for t := s.dispatcher.Preempt(now); t != nil; t = s.dispatcher.Preempt(now) {
		select {
		case t.Value.preempted <- struct{}{}:
		default: // it was notified before and has not yielded yet
		}
	}
}

// Admit checks a request against the limits of its client account, for a slot
// that another daemon assigns. It returns a *refusal.Refusal if a limit is
// exceeded. Otherwise the caller must call release once the request has ended,
// with the number of tokens it used.
func (s *Scheduler) Admit(account *config.ClientAccount) (release func(tokens int), err error) {
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

// localHolder holds a slot that this scheduler assigned.
type localHolder struct {
	scheduler *Scheduler
	ticket    *dispatch.Ticket[waiter]
	// arrived is when the request started to wait. Resume and Yield reset it.
	arrived time.Time
}

var _ Holder = (*localHolder)(nil)

// Retry releases the slot after the backend server failed the request, and
// waits for another slot.
func (p *localHolder) Retry(ctx context.Context) (*Assignment, error) {
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

// Resume is like Retry for a request whose answer has partly been sent to the
// caller.
func (p *localHolder) Resume(ctx context.Context) (*Assignment, error) {
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

// Preempted returns a channel that receives a value when the request must yield
// its slot.
func (p *localHolder) Preempted() <-chan struct{} { return p.ticket.Value.preempted }

// Yield releases the slot for a more urgent request and waits for another slot.
func (p *localHolder) Yield(ctx context.Context) (*Assignment, error) {
	s := p.scheduler
	s.mu.Lock()
	p.arrived = s.clock()
	s.dispatcher.RequeuePreempted(p.ticket, p.arrived)
	s.startNext()
	s.mu.Unlock()
	return p.wait(ctx)
}

// Finish releases the slot. Further calls have no effect.
func (p *localHolder) Finish(result dispatch.Result) {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Finish(p.ticket, result, s.clock())
	s.startNext()
}

// wait waits until the request has been started. It returns a *refusal.Refusal
// if the request is still waiting after the maximum wait of its class, or the
// cause of ctx if ctx is done; the request has been finished then.
func (p *localHolder) wait(ctx context.Context) (*Assignment, error) {
	assignment, err := p.waitUntilStarted(ctx)
	if err == nil && ctx.Err() != nil {
		// The slot is that of a request that was cancelled together with this one.
		p.Finish(dispatch.Result{})
		return nil, context.Cause(ctx)
	}
	return assignment, err
}

// waitUntilStarted is like wait, but may return an assignment though ctx is done.
func (p *localHolder) waitUntilStarted(ctx context.Context) (*Assignment, error) {
	select {
	case <-p.ticket.Value.started:
		return p.assignment(), nil
	default:
	}
	timer := time.NewTimer(p.arrived.Add(p.ticket.Request.Class.MaxWait).Sub(p.scheduler.clock()))
	defer timer.Stop()
	select {
	case <-p.ticket.Value.started:
		return p.assignment(), nil
	case <-ctx.Done():
		p.Finish(dispatch.Result{})
		return nil, context.Cause(ctx)
	case <-timer.C:
	}
	if p.expire() {
		return nil, waitRefusal(p.ticket.Request.Class)
	}
	<-p.ticket.Value.started
	return p.assignment(), nil
}

// assignment returns where the request was started.
func (p *localHolder) assignment() *Assignment {
	p.scheduler.mu.Lock()
	defer p.scheduler.mu.Unlock()
	return &Assignment{
		Server:   p.ticket.Replica.Spec,
		Waited:   p.ticket.Started.Sub(p.arrived),
		Attempts: p.ticket.Attempts,
	}
}

// expire finishes a request that is still waiting. It returns false if the
// request has been started in the meantime.
func (p *localHolder) expire() bool {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.ticket.Waiting() {
		return false
	}
	s.dispatcher.Finish(p.ticket, dispatch.Result{}, s.clock())
	return true
}

// waitRefusal returns the refusal of a request that waited for the maximum time
// of its class.
func waitRefusal(class *config.ServiceClass) *refusal.Refusal {
	return refusal.New(refusal.WaitTooLong,
		"no place was free within "+class.MaxWait.String()).WithRetryAfter(class.FirstTokenTarget)
}
