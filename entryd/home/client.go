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

// Timing of calls to a home daemon.
const (
	// probeInterval is the time between health checks of a home daemon during a
	// call to it.
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds one health check.
	probeTimeout = time.Second
	// cooldown is the time for which a home daemon that did not answer is not
	// called.
	cooldown = 5 * time.Second
	// asyncCallTimeout bounds a call that is made in the background and whose
	// result is ignored, such as one that releases a slot.
	asyncCallTimeout = 5 * time.Second
)

// idleHomesThreshold is the number of known home daemons from which on the
// connections to idle ones are closed.
const idleHomesThreshold = 64

// Reasons to assign a slot without the home daemon.
var (
	// errHomeUnreachable means that the home daemon does not answer.
	errHomeUnreachable = merry.Sentinel("home: home daemon does not answer")
	// errRequestUnknown means that the home daemon does not know the client
	// account, the service class or the ticket. This happens if it has another
	// revision of the configuration in force.
	errRequestUnknown = merry.Sentinel("home: home daemon does not know the client account, service class or ticket")
)

// Locator finds the home daemon of a model.
type Locator interface {
	// Home returns the address of the port for peers of the model's home
	// daemon, or an empty string if this daemon is the home daemon.
	Home(model string) string
}

// Client acquires slots from home daemons. It uses the daemon's own scheduler
// for models whose home this daemon is or whose home daemon does not answer. It
// is safe for concurrent use.
type Client struct {
	local      *scheduler.Scheduler
	locator    Locator
	tlsConfig  *tls.Config
	clock      func() time.Time
	lastTicket atomic.Uint64

	mu    sync.Mutex
	homes map[string]*remoteHome // by address
	// lastLocal is when a slot was last acquired locally because the home daemon
	// could not be used, by model.
	lastLocal map[string]time.Time
}

var _ scheduler.Acquirer = (*Client)(nil)

// NewClient returns a client. A nil tlsConfig disables TLS.
func NewClient(local *scheduler.Scheduler, locator Locator, tlsConfig *tls.Config, clock func() time.Time) *Client {
	return &Client{
		local:     local,
		locator:   locator,
		tlsConfig: tlsConfig,
		clock:     clock,
		homes:     make(map[string]*remoteHome),
		lastLocal: make(map[string]time.Time),
	}
}

// Acquire waits for a slot; see scheduler.Acquirer. If the home daemon fails
// while the request waits, the request joins the queue of the new home daemon
// in the position of its original arrival.
func (s *Client) Acquire(ctx context.Context, request dispatch.Request) (*scheduler.Slot, error) {
	arrived := s.clock()
	failedAddress := "" // of the home daemon that failed in the previous iteration
	for {
		address := s.locator.Home(request.Service)
		request.Age = s.clock().Sub(arrived)
		if request.PlainService || address == "" {
			return s.local.Acquire(ctx, request)
		}
		home := s.homeDaemon(address)
		if address == failedAddress || home.coolingDown(s.clock()) {
			return s.acquireLocally(ctx, request)
		}
		slot, err := s.acquireFrom(ctx, home, request)
		if errors.Is(err, errRequestUnknown) {
			return s.acquireLocally(ctx, request)
		}
		if !errors.Is(err, errHomeUnreachable) {
			return slot, err
		}
		home.startCooldown(s.clock())
		failedAddress = address
	}
}

// acquireFrom checks a request against its client account's limits and asks a
// home daemon for a slot.
func (s *Client) acquireFrom(ctx context.Context, home *remoteHome, request dispatch.Request) (*scheduler.Slot, error) {
	releaseLimit, err := s.local.Admit(request.Account)
	if err != nil {
		return nil, err
	}
	slot, err := home.acquire(ctx, s.lastTicket.Add(1), request, releaseLimit)
	if err != nil {
		releaseLimit(0)
	}
	return slot, err
}

// acquireLocally acquires a slot from the daemon's own scheduler because the
// home daemon cannot be used.
func (s *Client) acquireLocally(ctx context.Context, request dispatch.Request) (*scheduler.Slot, error) {
	s.mu.Lock()
	s.lastLocal[request.Service] = s.clock()
	s.mu.Unlock()
	return s.local.Acquire(ctx, request)
}

// Dispatches reports whether this daemon currently assigns slots for a model,
// and therefore needs the load of the model's backend servers.
func (s *Client) Dispatches(model string) bool {
	if s.locator.Home(model) == "" {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.lastLocal[model]
	return ok && s.clock().Sub(last) < 2*cooldown
}

// Close closes the connections to home daemons.
func (s *Client) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.homes {
		_ = h.client.Close()
	}
}

// homeDaemon returns the connection to the home daemon with the given address
// and creates it if there is none.
func (s *Client) homeDaemon(address string) *remoteHome {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.homes[address]
	if !ok {
		s.closeIdleHomes()
		h = newRemoteHome(peer.NewClient(address, s.tlsConfig))
		s.homes[address] = h
	}
	return h
}

// closeIdleHomes closes the connections to home daemons without slots of this
// daemon once idleHomesThreshold home daemons are known. VMs are replaced and
// their addresses do not come back. The caller holds the lock.
func (s *Client) closeIdleHomes() {
	if len(s.homes) < idleHomesThreshold {
		return
	}
	for address, h := range s.homes {
		if h.idle() {
			_ = h.client.Close()
			delete(s.homes, address)
		}
	}
}

// remoteHome is the connection to one home daemon and the slots requested from
// it.
type remoteHome struct {
	client *peer.Client
	// cooldownUntil is the time until which it is not called, in Unix
	// nanoseconds.
	cooldownUntil atomic.Int64

	mu sync.Mutex
	// holders are the slots that are granted or requested, by ticket.
	holders map[uint64]*remoteHolder
}

func newRemoteHome(client *peer.Client) *remoteHome {
	h := &remoteHome{client: client, holders: make(map[uint64]*remoteHolder)}
	client.OnNotify(h.handleNotification)
	return h
}

// handleNotification signals the holder of a slot that must be yielded.
func (h *remoteHome) handleNotification(method string, params json.RawMessage) {
	var t ticketMessage
	if method != methodPreempt || json.Unmarshal(params, &t) != nil {
		return
	}
	h.mu.Lock()
	p := h.holders[t.Ticket]
	h.mu.Unlock()
	if p == nil {
		return
	}
	select {
	case p.preempted <- struct{}{}:
	default:
	}
}

func (h *remoteHome) add(p *remoteHolder) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holders[p.id] = p
}

func (h *remoteHome) remove(id uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.holders, id)
}

// idle reports whether no slot is held or requested.
func (h *remoteHome) idle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.holders) == 0
}

func (h *remoteHome) coolingDown(now time.Time) bool { return now.UnixNano() < h.cooldownUntil.Load() }

func (h *remoteHome) startCooldown(now time.Time) {
	h.cooldownUntil.Store(now.Add(cooldown).UnixNano())
}

// acquire requests a slot. It returns errHomeUnreachable, errRequestUnknown, a
// *refusal.Refusal, or the cause of ctx if ctx is done.
func (h *remoteHome) acquire(ctx context.Context, id uint64, request dispatch.Request, releaseLimit func(int)) (*scheduler.Slot, error) {
	holder := &remoteHolder{home: h, id: id, model: request.Service, releaseLimit: releaseLimit, preempted: make(chan struct{}, 1)}
	h.add(holder)
	grant, err := h.requestSlot(ctx, id, request)
	if err != nil {
		h.remove(id)
		return nil, err
	}
	return scheduler.NewSlot(holder, grant.assignment(request.Service)), nil
}

// requestSlot sends the request for a slot and returns the grant.
func (h *remoteHome) requestSlot(ctx context.Context, id uint64, request dispatch.Request) (*slotGrant, error) {
	response, err := h.call(ctx, methodAcquire, id, acquireRequest{
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
	if response.Refusal != nil {
		return nil, response.Refusal.refusal()
	}
	if response.Grant == nil {
		return nil, errRequestUnknown
	}
	return response.Grant, nil
}

// callResult is the response to a call, or the error if the call failed.
type callResult struct {
	response slotResponse
	err      error
}

// call calls a method that waits for a slot, and gives up when the home daemon
// fails a health check. A slot that is granted after call has returned is
// released.
func (h *remoteHome) call(ctx context.Context, method string, id uint64, params any) (slotResponse, error) {
	done := make(chan callResult, 1)
	go func() {
		var response slotResponse
		err := h.client.Call(context.WithoutCancel(ctx), method, params, &response)
		done <- callResult{response, err}
	}()
	probe := time.NewTicker(probeInterval)
	defer probe.Stop()
	for {
		select {
		case r := <-done:
			return r.result()
		case <-ctx.Done():
			h.cancelCall(id, done)
			return slotResponse{}, context.Cause(ctx)
		case <-probe.C:
			if !h.isAlive(ctx) {
				h.cancelCall(id, done)
				return slotResponse{}, errHomeUnreachable
			}
		}
	}
}

// result returns the response, errHomeUnreachable or errRequestUnknown.
func (r callResult) result() (slotResponse, error) {
	if r.err != nil {
		return slotResponse{}, errHomeUnreachable
	}
	if r.response.Unknown {
		return slotResponse{}, errRequestUnknown
	}
	return r.response, nil
}

// isAlive reports whether the home daemon answers within probeTimeout.
func (h *remoteHome) isAlive(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	_, err := h.client.ExchangeHead(ctx, peer.ConfigHead{})
	return err == nil
}

// cancelCall tells the home daemon that a request is no longer waited for, and
// releases the slot if one is granted nevertheless.
func (h *remoteHome) cancelCall(id uint64, done <-chan callResult) {
	h.callAsync(methodCancel, ticketMessage{Ticket: id})
	go func() {
		if response, err := (<-done).result(); err == nil && response.Grant != nil {
			h.callAsync(methodFinish, finishRequest{Ticket: id})
		}
	}()
}

// callAsync calls a method in the background and ignores the result. If the
// message is lost, the connection has ended and the home daemon releases the
// slots by itself.
func (h *remoteHome) callAsync(method string, params any) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), asyncCallTimeout)
		defer cancel()
		_ = h.client.Call(ctx, method, params, nil)
	}()
}

// remoteHolder holds a slot that a home daemon granted.
type remoteHolder struct {
	home         *remoteHome
	id           uint64
	model        string
	releaseLimit func(tokens int)
	once         sync.Once
	// preempted receives a value when the slot must be yielded.
	preempted chan struct{}
}

var _ scheduler.Holder = (*remoteHolder)(nil)

// Retry requests another slot; see scheduler.Holder. If the home daemon does
// not answer, the request is not retried.
func (p *remoteHolder) Retry(ctx context.Context) (*scheduler.Assignment, error) {
	return p.reacquire(ctx, retryRequest{Ticket: p.id})
}

// Resume requests another slot; see scheduler.Holder. If the home daemon does
// not answer, the request is not resumed.
func (p *remoteHolder) Resume(ctx context.Context) (*scheduler.Assignment, error) {
	return p.reacquire(ctx, retryRequest{Ticket: p.id, Resume: true})
}

// Preempted returns a channel that receives a value when the slot must be
// yielded.
func (p *remoteHolder) Preempted() <-chan struct{} { return p.preempted }

// Yield releases the slot and requests another; see scheduler.Holder.
func (p *remoteHolder) Yield(ctx context.Context) (*scheduler.Assignment, error) {
	return p.reacquire(ctx, retryRequest{Ticket: p.id, Yield: true})
}

// reacquire releases the slot and waits for another one. It returns nil and no
// error if the home daemon does not answer or grants no other slot; the slot is
// then still held.
func (p *remoteHolder) reacquire(ctx context.Context, message retryRequest) (*scheduler.Assignment, error) {
	response, err := p.home.call(ctx, methodRetry, p.id, message)
	if errors.Is(err, errHomeUnreachable) || errors.Is(err, errRequestUnknown) {
		return nil, nil
	}
	if err != nil {
		p.close(0)
		return nil, err
	}
	if response.Refusal != nil {
		p.close(0)
		return nil, response.Refusal.refusal()
	}
	if response.Grant == nil {
		return nil, nil
	}
	return response.Grant.assignment(p.model), nil
}

// Finish releases the slot. Further calls have no effect.
func (p *remoteHolder) Finish(result dispatch.Result) {
	p.once.Do(func() {
		p.home.remove(p.id)
		p.home.callAsync(methodFinish, newFinishRequest(p.id, result))
		p.releaseLimit(result.PromptTokens + result.CompletionTokens)
	})
}

// close releases the client account's limit. It does not notify the home
// daemon, which has already released the slot or has been told to cancel the
// request.
func (p *remoteHolder) close(tokens int) {
	p.once.Do(func() {
		p.home.remove(p.id)
		p.releaseLimit(tokens)
	})
}
