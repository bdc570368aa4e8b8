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

// errAbandoned ends the wait of a request that its daemon no longer waits for.
var errAbandoned = merry.Sentinel("home: the daemon that asked no longer waits")

// Server gives places to the other entry daemons of the failure domain. What a
// daemon holds is given back when its connection ends. It is safe for
// concurrent use.
type Server struct {
	source scheduler.Acquirer
	access *access.Manager

	mu       sync.Mutex
	sessions map[*peer.Session]*session
}

// NewServer returns a server that gives out places of source by the
// configuration of list.
func NewServer(source scheduler.Acquirer, list *access.Manager) *Server {
	return &Server{source: source, access: list, sessions: make(map[*peer.Session]*session)}
}

// Methods returns what the server answers on the peers' port.
func (s *Server) Methods() []peer.Method {
	return []peer.Method{
		peer.NewMethod(methodEnter, s.enter),
		peer.NewMethod(methodRetry, s.retry),
		peer.NewMethod(methodFinish, s.finish),
		peer.NewMethod(methodCancel, s.cancel),
	}
}

// session is what one connection waits for and holds.
type session struct {
	mu     sync.Mutex
	closed bool
	held   map[uint64]*holding
	// cancelled are tickets whose cancellation came before their request.
	cancelled map[uint64]struct{}
}

// cancelledLimit is the number of early cancellations that are remembered.
const cancelledLimit = 1024

// holding is one request of a session.
type holding struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// place is set once the request has been started.
	place *scheduler.Slot
}

func (s *Server) session(p *peer.Session) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.sessions[p]
	if ok {
		return state
	}
	state = &session{held: make(map[uint64]*holding), cancelled: make(map[uint64]struct{})}
	s.sessions[p] = state
	go p.OnClose(func() { s.end(p) })
	return state
}

// end gives back all that a connection holds.
func (s *Server) end(p *peer.Session) {
	s.mu.Lock()
	state := s.sessions[p]
	delete(s.sessions, p)
	s.mu.Unlock()
	state.mu.Lock()
	state.closed = true
	held := state.held
	state.held = nil
	state.mu.Unlock()
	for _, h := range held {
		h.cancel(errAbandoned)
		if h.place != nil {
			h.place.Finish(dispatch.Result{})
		}
	}
}

// add begins a request. It returns nil if the connection has ended, the request
// has been cancelled or the ticket is in use.
func (s *session) add(id uint64) *holding {
	ctx, cancel := context.WithCancelCause(context.Background())
	h := &holding{ctx: ctx, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, cancelled := s.cancelled[id]
	delete(s.cancelled, id)
	if s.closed || cancelled || s.held[id] != nil {
		cancel(errAbandoned)
		return nil
	}
	s.held[id] = h
	return h
}

// keep notes the place of a request. It reports false if the request is no
// longer held, and then the place is to be given back.
func (s *session) keep(id uint64, h *holding, place *scheduler.Slot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held[id] != h {
		return false
	}
	h.place = place
	return true
}

// take removes a request and returns it, or nil.
func (s *session) take(id uint64) *holding {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[id]
	delete(s.held, id)
	return h
}

// drop removes a request that is no longer waited for and returns it, or
// remembers its ticket if the request has not come yet.
func (s *session) drop(id uint64) *holding {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.held[id]
	delete(s.held, id)
	if ok || s.closed {
		return h
	}
	if len(s.cancelled) >= cancelledLimit {
		clear(s.cancelled)
	}
	s.cancelled[id] = struct{}{}
	return nil
}

// find returns a request, or nil.
func (s *session) find(id uint64) *holding {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[id]
}

func (s *Server) enter(_ context.Context, p *peer.Session, e enter) (answer, error) {
	request, ok := s.request(e)
	if !ok {
		return answer{Unknown: true}, nil
	}
	state := s.session(p)
	h := state.add(e.Ticket)
	if h == nil {
		return answer{Unknown: true}, nil
	}
	place, err := s.source.Acquire(h.ctx, request)
	if err != nil {
		state.take(e.Ticket)
		return refuse(err), nil
	}
	if !state.keep(e.Ticket, h, place) {
		place.Finish(dispatch.Result{})
		return answer{Unknown: true}, nil
	}
	if request.Resumable {
		go passOn(h.ctx, p, e.Ticket, place)
	}
	return answer{Grant: newGrant(&place.Assignment)}, nil
}

// passOn tells the daemon that holds a place each time that it is to yield it,
// until the request has ended.
func passOn(ctx context.Context, p *peer.Session, id uint64, place *scheduler.Slot) {
	for {
		select {
		case <-place.Preempted():
			_ = p.Notify(ctx, methodPreempt, ticket{Ticket: id}) // a lost connection gives the place back
		case <-ctx.Done():
			return
		}
	}
}

// request returns what the dispatcher has to know. It reports false for a client
// account or service class that this daemon's configuration does not have.
func (s *Server) request(e enter) (dispatch.Request, bool) {
	snapshot := s.access.Load()
	if snapshot == nil {
		return dispatch.Request{}, false
	}
	account, class := snapshot.Index.Account(e.ClientAccount), snapshot.Index.Class(e.ServiceClass)
	if account == nil || class == nil {
		return dispatch.Request{}, false
	}
	return dispatch.Request{
		Service:      e.Model,
		Account:      account,
		Class:        class,
		Prefixes:     e.Prefixes,
		PromptTokens: e.PromptTokens,
		Resumable:    e.Resumable,
		Age:          e.Age,
		Admitted:     true,
	}, true
}

func (s *Server) retry(_ context.Context, p *peer.Session, r retry) (answer, error) {
	state := s.session(p)
	h := state.find(r.Ticket)
	if h == nil || h.place == nil {
		return answer{Unknown: true}, nil
	}
	again := h.place.Retry
	switch {
	case r.Yield:
		again = h.place.Yield
	case r.Resume:
		again = h.place.Resume
	}
	retried, err := again(h.ctx)
	if err != nil {
		state.take(r.Ticket)
		return refuse(err), nil
	}
	if !retried {
		return answer{}, nil
	}
	return answer{Grant: newGrant(&h.place.Assignment)}, nil
}

func (s *Server) finish(_ context.Context, p *peer.Session, f finish) (none, error) {
	if h := s.session(p).take(f.Ticket); h != nil && h.place != nil {
		h.place.Finish(f.result())
		h.cancel(errAbandoned)
	}
	return none{}, nil
}

func (s *Server) cancel(_ context.Context, p *peer.Session, t ticket) (none, error) {
	if h := s.session(p).drop(t.Ticket); h != nil {
		h.cancel(errAbandoned)
		if h.place != nil {
			h.place.Finish(dispatch.Result{})
		}
	}
	return none{}, nil
}

// refuse returns the answer to a request that got no place.
func refuse(err error) answer {
	var r *refusal.Refusal
	if !errors.As(err, &r) {
		return answer{Unknown: true}
	}
	return answer{Refusal: &refused{Code: r.Code, Message: r.Message, RetryAfter: r.RetryAfter}}
}
