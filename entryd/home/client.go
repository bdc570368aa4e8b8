package home

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"acaciapath.example/core/dispatch"
	"acaciapath.example/core/peer"
	"acaciapath.example/entryd/scheduler"

	"github.com/ansel1/merry/v2"
)

// Times of asking a home daemon.
const (
	// probeInterval is how often a home daemon that is waited for is asked
	// whether it lives.
	probeInterval = 500 * time.Millisecond
	// probeTimeout is how long it may take to answer.
	probeTimeout = time.Second
	// restTime is how long a home daemon that did not answer is not asked.
	restTime = 5 * time.Second
	// finishTimeout bounds the message that gives a place back.
	finishTimeout = 5 * time.Second
)

// maxHomes is the number of home daemons from which on unused connections are
// closed.
const maxHomes = 64

// Reasons for giving out a place without the home daemon.
var (
	// errHome means that the home daemon does not answer.
	errHome = merry.Sentinel("home: the home daemon does not answer")
	// errUnknown means that it does not know the client account or the service
	// class, because it has another revision of the configuration in force.
	errUnknown = merry.Sentinel("home: the home daemon does not know the request")
)

// Locator tells which daemon is the home of a model.
type Locator interface {
	// Home returns the address of the peers' port of a model's home daemon, or
	// an empty string if this daemon is it.
	Home(model string) string
}

// Client asks the home daemons for places, and the daemon's own scheduler for
// models whose home it is or whose home daemon does not answer. It is safe for
// concurrent use.
type Client struct {
	local   *scheduler.Scheduler
	chooser Locator
	config  *tls.Config
	clock   func() time.Time
	next    atomic.Uint64

	mu    sync.Mutex
	homes map[string]*remote // by address
	alone map[string]time.Time
}

var _ scheduler.Acquirer = (*Client)(nil)

// NewClient returns a source. A nil config means no TLS.
func NewClient(local *scheduler.Scheduler, chooser Locator, config *tls.Config, clock func() time.Time) *Client {
	return &Client{
		local:   local,
		chooser: chooser,
		config:  config,
		clock:   clock,
		homes:   make(map[string]*remote),
		alone:   make(map[string]time.Time),
	}
}

// Acquire waits for a place, see scheduler.Source. A request whose home daemon
// goes while it waits is put into the queue of its successor, at the place of
// its arrival.
func (s *Client) Acquire(ctx context.Context, request dispatch.Request) (*scheduler.Slot, error) {
	arrived := s.clock()
	last := ""
	for {
		address := s.chooser.Home(request.Service)
		request.Age = s.clock().Sub(arrived)
		if request.PlainService || address == "" {
			return s.local.Acquire(ctx, request)
		}
		home := s.remote(address)
		if address == last || home.rests(s.clock()) {
			return s.enterAlone(ctx, request)
		}
		place, err := s.enterAt(ctx, home, request)
		if errors.Is(err, errUnknown) {
			return s.enterAlone(ctx, request)
		}
		if !errors.Is(err, errHome) {
			return place, err
		}
		home.rest(s.clock())
		last = address
	}
}

// enterAt holds a request to its client account's limits and asks a home daemon
// for a place.
func (s *Client) enterAt(ctx context.Context, home *remote, request dispatch.Request) (*scheduler.Slot, error) {
	leave, err := s.local.Admit(request.Account)
	if err != nil {
		return nil, err
	}
	place, err := home.enter(ctx, s.next.Add(1), request, leave)
	if err != nil {
		leave(0)
	}
	return place, err
}

// enterAlone gives out a place without the home daemon.
func (s *Client) enterAlone(ctx context.Context, request dispatch.Request) (*scheduler.Slot, error) {
	s.mu.Lock()
	s.alone[request.Service] = s.clock()
	s.mu.Unlock()
	return s.local.Acquire(ctx, request)
}

// Dispatches reports whether this daemon gives out places for a model at
// present, and so needs to know the load of its replicas.
func (s *Client) Dispatches(model string) bool {
	if s.chooser.Home(model) == "" {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.alone[model]
	return ok && s.clock().Sub(last) < 2*restTime
}

// Close ends the connections to home daemons.
func (s *Client) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.homes {
		_ = h.client.Close()
	}
}

func (s *Client) remote(address string) *remote {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.homes[address]
	if !ok {
		s.prune()
		h = newRemote(peer.NewClient(address, s.config))
		s.homes[address] = h
	}
	return h
}

// prune closes the connections to home daemons that hold no place of this
// daemon, if there are many: VMs are replaced, and their addresses do not come
// back. The caller holds the lock.
func (s *Client) prune() {
	if len(s.homes) < maxHomes {
		return
	}
	for address, h := range s.homes {
		if h.idle() {
			_ = h.client.Close()
			delete(s.homes, address)
		}
	}
}

// remote is one home daemon.
type remote struct {
	client *peer.Client
	// restsUntil is when it is asked again, in nanoseconds since 1970.
	restsUntil atomic.Int64

	mu sync.Mutex
	// places are those that it granted or is asked for, by ticket.
	places map[uint64]*held
}

func newRemote(client *peer.Client) *remote {
	h := &remote{client: client, places: make(map[uint64]*held)}
	client.OnNotify(h.notified)
	return h
}

// notified takes in that a place is to be yielded.
func (h *remote) notified(method string, params json.RawMessage) {
	var t ticket
	if method != methodPreempt || json.Unmarshal(params, &t) != nil {
		return
	}
	h.mu.Lock()
	p := h.places[t.Ticket]
	h.mu.Unlock()
	if p == nil {
		return
	}
	select {
	case p.preempted <- struct{}{}:
	default:
	}
}

func (h *remote) add(p *held) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.places[p.id] = p
}

func (h *remote) remove(id uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.places, id)
}

// idle reports whether no place is held or asked for.
func (h *remote) idle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.places) == 0
}

func (h *remote) rests(now time.Time) bool { return now.UnixNano() < h.restsUntil.Load() }

func (h *remote) rest(now time.Time) { h.restsUntil.Store(now.Add(restTime).UnixNano()) }

// enter asks for a place. It returns errHome, errUnknown, a *refusal.Refusal, or
// the cause of ctx's end.
func (h *remote) enter(ctx context.Context, id uint64, request dispatch.Request, leave func(int)) (*scheduler.Slot, error) {
	holder := &held{home: h, id: id, model: request.Service, leave: leave, preempted: make(chan struct{}, 1)}
	h.add(holder)
	got, err := h.askEnter(ctx, id, request)
	if err != nil {
		h.remove(id)
		return nil, err
	}
	return scheduler.NewSlot(holder, got.place(request.Service)), nil
}

// askEnter asks for a place and returns where it is.
func (h *remote) askEnter(ctx context.Context, id uint64, request dispatch.Request) (*grant, error) {
	got, err := h.ask(ctx, methodEnter, id, enter{
		Ticket:        id,
		Model:         request.Service,
		ClientAccount: request.Account.Name,
		ServiceClass:  request.Class.Name,
		Prefixes:      request.Prefixes,
		PromptTokens:  request.PromptTokens,
		Resumable:     request.Resumable,
		Age:           request.Age,
	})
	if err != nil {
		return nil, err
	}
	if got.Refusal != nil {
		return nil, got.Refusal.refusal()
	}
	if got.Grant == nil {
		return nil, errUnknown
	}
	return got.Grant, nil
}

// outcome is what a call brought.
type outcome struct {
	answer answer
	err    error
}

// ask calls a method that waits for a place, for as long as the home daemon
// answers probes. A place that is granted after ask has returned is given back.
func (h *remote) ask(ctx context.Context, method string, id uint64, params any) (answer, error) {
	done := make(chan outcome, 1)
	go func() {
		var got answer
		err := h.client.Call(context.WithoutCancel(ctx), method, params, &got)
		done <- outcome{got, err}
	}()
	probe := time.NewTicker(probeInterval)
	defer probe.Stop()
	for {
		select {
		case o := <-done:
			return o.result()
		case <-ctx.Done():
			h.abandon(id, done)
			return answer{}, context.Cause(ctx)
		case <-probe.C:
			if !h.lives(ctx) {
				h.abandon(id, done)
				return answer{}, errHome
			}
		}
	}
}

// result returns the answer, or errHome or errUnknown.
func (o outcome) result() (answer, error) {
	if o.err != nil {
		return answer{}, errHome
	}
	if o.answer.Unknown {
		return answer{}, errUnknown
	}
	return o.answer, nil
}

// lives reports whether the home daemon answers in time.
func (h *remote) lives(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	_, err := h.client.ExchangeHead(ctx, peer.ConfigHead{})
	return err == nil
}

// abandon tells the home daemon that a request is no longer waited for, and
// gives the place back if one is granted all the same.
func (h *remote) abandon(id uint64, done <-chan outcome) {
	h.send(methodCancel, ticket{Ticket: id})
	go func() {
		if got, err := (<-done).result(); err == nil && got.Grant != nil {
			h.send(methodFinish, finish{Ticket: id})
		}
	}()
}

// send sends a message whose answer nobody waits for. If it is lost, the
// connection has ended and the home daemon gives the place back by itself.
func (h *remote) send(method string, params any) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		_ = h.client.Call(ctx, method, params, nil)
	}()
}

// held is a place that a home daemon granted.
type held struct {
	home  *remote
	id    uint64
	model string
	leave func(tokens int)
	once  sync.Once
	// preempted takes a value when the place is to be yielded.
	preempted chan struct{}
}

var _ scheduler.Holder = (*held)(nil)

// Retry asks for another place, see scheduler.Holder. Without an answer there
// is no retry.
func (p *held) Retry(ctx context.Context) (*scheduler.Assignment, error) {
	return p.again(ctx, retry{Ticket: p.id})
}

// Resume asks for another place, see scheduler.Holder. Without an answer there
// is none.
func (p *held) Resume(ctx context.Context) (*scheduler.Assignment, error) {
	return p.again(ctx, retry{Ticket: p.id, Resume: true})
}

// Preempted takes a value when the place is to be yielded.
func (p *held) Preempted() <-chan struct{} { return p.preempted }

// Yield gives the place up and asks for another, see scheduler.Holder.
func (p *held) Yield(ctx context.Context) (*scheduler.Assignment, error) {
	return p.again(ctx, retry{Ticket: p.id, Yield: true})
}

func (p *held) again(ctx context.Context, message retry) (*scheduler.Assignment, error) {
	got, err := p.home.ask(ctx, methodRetry, p.id, message)
	if errors.Is(err, errHome) || errors.Is(err, errUnknown) {
		return nil, nil
	}
	if err != nil {
		p.end(0)
		return nil, err
	}
	if got.Refusal != nil {
		p.end(0)
		return nil, got.Refusal.refusal()
	}
	if got.Grant == nil {
		return nil, nil
	}
	return got.Grant.place(p.model), nil
}

// Finish gives the place back. A second call does nothing.
func (p *held) Finish(result dispatch.Result) {
	p.once.Do(func() {
		p.home.remove(p.id)
		p.home.send(methodFinish, newFinish(p.id, result))
		p.leave(result.PromptTokens + result.CompletionTokens)
	})
}

// end settles the client account's limit without telling the home daemon.
func (p *held) end(tokens int) {
	p.once.Do(func() {
		p.home.remove(p.id)
		p.leave(tokens)
	})
}
