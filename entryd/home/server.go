package home

import (
	"context"
	"errors"
	"sync"

	"acaciapath.example/core/dispatch"
	"acaciapath.example/core/peer"
	"acaciapath.example/core/refusal"
	"acaciapath.example/entryd/access"
	"acaciapath.example/entryd/scheduler"

	"github.com/ansel1/merry/v2"
)

// errCancelledByPeer is the cause that ends the wait of a request whose daemon
// no longer waits for it.
var errCancelledByPeer = merry.Sentinel("home: request was cancelled by the requesting daemon")

// Server grants slots to the other entry daemons of the failure domain. The
// slots of a daemon are released when its connection ends. It is safe for
// concurrent use.
type Server struct {
	source scheduler.Acquirer
	access *access.Manager

	mu       sync.Mutex
	sessions map[*peer.Session]*connState
}

// NewServer returns a server that acquires slots from source and looks up
// client accounts and service classes in manager's configuration.
func NewServer(source scheduler.Acquirer, manager *access.Manager) *Server {
	return &Server{source: source, access: manager, sessions: make(map[*peer.Session]*connState)}
}

// Methods returns the methods that the server provides on the port for peers.
func (s *Server) Methods() []peer.Method {
	return []peer.Method{
		peer.NewMethod(methodAcquire, s.acquire),
		peer.NewMethod(methodRetry, s.retry),
		peer.NewMethod(methodFinish, s.finish),
		peer.NewMethod(methodCancel, s.cancel),
	}
}

// connState holds the requests of one connection, waiting or started.
type connState struct {
	mu       sync.Mutex
	closed   bool
	requests map[uint64]*heldRequest
	// cancelled holds the tickets whose cancellation arrived before their
	// request.
	cancelled map[uint64]struct{}
}

// maxEarlyCancellations is the number of early cancellations that are kept;
// beyond it all of them are dropped.
const maxEarlyCancellations = 1024

// heldRequest is one request of a connection.
type heldRequest struct {
	// ctx is done once the request has been cancelled or finished.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// slot is nil until the request has been started.
	slot *scheduler.Slot
}

// state returns the state of a connection and creates it if there is none.
func (s *Server) state(p *peer.Session) *connState {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.sessions[p]
	if ok {
		return state
	}
	state = &connState{requests: make(map[uint64]*heldRequest), cancelled: make(map[uint64]struct{})}
	s.sessions[p] = state
	go p.OnClose(func() { s.releaseAll(p) })
	return state
}

// releaseAll cancels the requests of a closed connection and releases its
// slots.
func (s *Server) releaseAll(p *peer.Session) {
	s.mu.Lock()
	state := s.sessions[p]
	delete(s.sessions, p)
	s.mu.Unlock()
	state.mu.Lock()
	state.closed = true
	requests := state.requests
	state.requests = nil
	state.mu.Unlock()
	for _, h := range requests {
		h.cancel(errCancelledByPeer)
		if h.slot != nil {
			h.slot.Finish(dispatch.Result{})
		}
	}
}

// add registers a request. It returns nil if the connection is closed, the
// request was cancelled before or the ticket is in use.
func (s *connState) add(id uint64) *heldRequest {
	ctx, cancel := context.WithCancelCause(context.Background())
	h := &heldRequest{ctx: ctx, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, cancelled := s.cancelled[id]
	delete(s.cancelled, id)
	if s.closed || cancelled || s.requests[id] != nil {
		cancel(errCancelledByPeer)
		return nil
	}
	s.requests[id] = h
	return h
}

// setSlot records the slot of a request. It returns false if the request is no
// longer registered; the caller must then release the slot.
func (s *connState) setSlot(id uint64, h *heldRequest, slot *scheduler.Slot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests[id] != h {
		return false
	}
	h.slot = slot
	return true
}

// remove removes a request and returns it, or nil if there is none.
func (s *connState) remove(id uint64) *heldRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.requests[id]
	delete(s.requests, id)
	return h
}

// cancelRequest removes a request whose caller no longer waits, and returns it.
// If the request has not arrived yet, its ticket is recorded as cancelled and
// the result is nil.
func (s *connState) cancelRequest(id uint64) *heldRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.requests[id]
	delete(s.requests, id)
	if ok || s.closed {
		return h
	}
	if len(s.cancelled) >= maxEarlyCancellations {
		clear(s.cancelled)
	}
	s.cancelled[id] = struct{}{}
	return nil
}

// lookup returns a request, or nil if there is none.
func (s *connState) lookup(id uint64) *heldRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[id]
}

func (s *Server) acquire(_ context.Context, p *peer.Session, r acquireRequest) (slotResponse, error) {
	request, ok := s.request(r)
	if !ok {
		return slotResponse{Unknown: true}, nil
	}
	state := s.state(p)
	h := state.add(r.Ticket)
	if h == nil {
		return slotResponse{Unknown: true}, nil
	}
	slot, err := s.source.Acquire(h.ctx, request)
	if err != nil {
		state.remove(r.Ticket)
		return errorResponse(err), nil
	}
	if !state.setSlot(r.Ticket, h, slot) {
		slot.Finish(dispatch.Result{})
		return slotResponse{Unknown: true}, nil
	}
	if request.Resumable {
		go forwardPreemptions(h.ctx, p, r.Ticket, slot)
	}
	return slotResponse{Grant: newSlotGrant(&slot.Assignment)}, nil
}

// forwardPreemptions notifies the daemon that holds a slot whenever the slot
// must be yielded, until the request has ended.
func forwardPreemptions(ctx context.Context, p *peer.Session, id uint64, slot *scheduler.Slot) {
	for {
		select {
		case <-slot.Preempted():
			_ = p.Notify(ctx, methodPreempt, ticketMessage{Ticket: id}) // if the connection is lost, the slot is released
		case <-ctx.Done():
			return
		}
	}
}

// request converts the message for the dispatcher. It returns false if this
// daemon's configuration does not contain the client account or the service
// class.
func (s *Server) request(r acquireRequest) (dispatch.Request, bool) {
	snapshot := s.access.Load()
	if snapshot == nil {
		return dispatch.Request{}, false
	}
	account, class := snapshot.Index.Account(r.ClientAccount), snapshot.Index.Class(r.ServiceClass)
	if account == nil || class == nil {
		return dispatch.Request{}, false
	}
	return dispatch.Request{
		Service:      r.Model,
		Account:      account,
		Class:        class,
		Prefixes:     r.Prefixes,
		PromptTokens: r.PromptTokens,
		Resumable:    r.Resumable,
		Age:          r.Age,
		Admitted:     true,
	}, true
}

func (s *Server) retry(_ context.Context, p *peer.Session, r retryRequest) (slotResponse, error) {
	state := s.state(p)
	h := state.lookup(r.Ticket)
	if h == nil || h.slot == nil {
		return slotResponse{Unknown: true}, nil
	}
	operation := h.slot.Retry
	switch {
	case r.Yield:
		operation = h.slot.Yield
	case r.Resume:
		operation = h.slot.Resume
	}
	retried, err := operation(h.ctx)
	if err != nil {
		state.remove(r.Ticket)
		return errorResponse(err), nil
	}
	if !retried {
		return slotResponse{}, nil
	}
	return slotResponse{Grant: newSlotGrant(&h.slot.Assignment)}, nil
}

func (s *Server) finish(_ context.Context, p *peer.Session, f finishRequest) (empty, error) {
	if h := s.state(p).remove(f.Ticket); h != nil && h.slot != nil {
		h.slot.Finish(f.result())
		h.cancel(errCancelledByPeer)
	}
	return empty{}, nil
}

func (s *Server) cancel(_ context.Context, p *peer.Session, t ticketMessage) (empty, error) {
	if h := s.state(p).cancelRequest(t.Ticket); h != nil {
		h.cancel(errCancelledByPeer)
		if h.slot != nil {
			h.slot.Finish(dispatch.Result{})
		}
	}
	return empty{}, nil
}

// errorResponse returns the response to a request that got no slot. An error
// that is not a refusal means that the request was cancelled.
func errorResponse(err error) slotResponse {
	var r *refusal.Refusal
	if !errors.As(err, &r) {
		return slotResponse{Unknown: true}
	}
	return slotResponse{Refusal: &refusalMessage{Code: r.Code, Message: r.Message, RetryAfter: r.RetryAfter}}
}
