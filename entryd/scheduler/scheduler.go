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
	if s.dispatcher.Budget.Percent == 0 {
		s.dispatcher.Budget = retry.NewBudget(limits.RetryBudget, s.clock())
		return
	}
	s.dispatcher.Budget.Percent = limits.RetryBudget
}

// SetShare sets the part of client accounts' limits that this daemon may give
// out. 0 < share ≤ 1.
func (s *Scheduler) SetShare(share float64) {
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

// Report takes in a load that a backend server published.
func (s *Scheduler) Report(name string, load engine.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Report(name, load)
	s.startNext()
}

// Observe takes in the changes of a backend server's prefix cache.
func (s *Scheduler) Observe(name string, events []engine.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Observe(name, events)
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

// Enter waits until a request is started on a backend server. It returns a
// *refusal.Refusal if the request is refused, or the cause of ctx's end. The
// place must be given back by Finish.
func (s *Scheduler) Enter(ctx context.Context, request dispatch.Request) (*Place, error) {
	now := s.clock()
	s.mu.Lock()
	ticket, refused := s.dispatcher.Enter(request, waiter{started: make(chan struct{}, 1)}, now)
	if refused != nil {
		s.mu.Unlock()
		return nil, refused
	}
	s.startNext()
	s.mu.Unlock()
	p := &Place{scheduler: s, ticket: ticket, arrived: now}
	if err := p.wait(ctx); err != nil {
		return nil, err
	}
	return p, nil
}

// startNext starts all requests that can start and wakes them. The caller
// holds the lock.
func (s *Scheduler) startNext() {
	now := s.clock()
	for {
		t := s.dispatcher.Next(now)
		if t == nil {
			return
		}
		t.Value.started <- struct{}{}
	}
}

// Place is a request's place on a backend server.
type Place struct {
	// Server is the backend server.
	Server replica.Spec
	// Started is when the request was started on it.
	Started time.Time

	scheduler *Scheduler
	ticket    *dispatch.Ticket[waiter]
	arrived   time.Time
}

// Waited returns how long the request waited before it was last started.
func (p *Place) Waited() time.Duration { return p.Started.Sub(p.arrived) }

// Attempts returns the number of backend servers that the request was started
// on.
func (p *Place) Attempts() int { return p.ticket.Attempts }

// Retry gives the place back after the backend server failed the request, and
// waits for another. It reports false if there is to be no retry; the place is
// still to be given back then. It returns the same errors as Enter, after
// which the place is given back.
func (p *Place) Retry(ctx context.Context) (bool, error) {
	s := p.scheduler
	s.mu.Lock()
	retried := s.dispatcher.Retry(p.ticket, s.clock())
	if retried {
		s.startNext()
	}
	s.mu.Unlock()
	if !retried {
		return false, nil
	}
	return true, p.wait(ctx)
}

// Finish gives the place back. A second call does nothing.
func (p *Place) Finish(result dispatch.Result) {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Finish(p.ticket, result, s.clock())
	s.startNext()
}

// wait returns once the request has been started. If it returns an error the
// request has been finished.
func (p *Place) wait(ctx context.Context) error {
	select {
	case <-p.ticket.Value.started:
		p.take()
		return nil
	default:
	}
	timer := time.NewTimer(p.arrived.Add(p.ticket.Request.Class.MaxWait).Sub(p.scheduler.clock()))
	defer timer.Stop()
	select {
	case <-p.ticket.Value.started:
		p.take()
		return nil
	case <-ctx.Done():
		p.Finish(dispatch.Result{})
		return context.Cause(ctx)
	case <-timer.C:
	}
	if p.expire() {
		return tooLong(p.ticket.Request.Class)
	}
	<-p.ticket.Value.started
	p.take()
	return nil
}

// take notes where the request was started.
func (p *Place) take() {
	p.scheduler.mu.Lock()
	defer p.scheduler.mu.Unlock()
	p.Server = p.ticket.Replica.Spec
	p.Started = p.ticket.Started
}

// expire ends a request that still waits. It reports false if the request has
// been started in the meantime.
func (p *Place) expire() bool {
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
		"no place was free within "+class.MaxWait.String()).After(class.FirstTokenTarget)
}
