package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// dialTimeout bounds connecting to a peer, the TLS handshake included.
	dialTimeout = 2 * time.Second
	// maxConnections bounds the connections that a server has open.
	maxConnections = 1024
)

var (
	// ErrTLSRequired is returned by Listen without TLS for an address that is
	// not a loopback address.
	ErrTLSRequired = merry.Sentinel("peer: a peers' port without TLS must be on a loopback address")
	// ErrClosed is returned by a call on a closed client or pool, and by
	// Session.Notify until the connection is set up.
	ErrClosed = merry.Sentinel("peer: client is closed")
)

// Handler answers the calls of peers. It must be safe for concurrent use.
type Handler interface {
	// Status returns the state of the daemon.
	Status(ctx context.Context) (Status, error)
	// ExchangeHead receives the head of a peer and returns the daemon's own.
	ExchangeHead(ctx context.Context, head ConfigHead) (ConfigHead, error)
	// GetConfig returns the content of a revision.
	GetConfig(ctx context.Context, request ConfigRequest) (ConfigContent, error)
}

// Method is a method of a peers' port in addition to those of Handler.
type Method struct {
	name string
	call func(ctx context.Context, session *Session, req *jsonrpc2.Request) (any, error)
}

// NewMethod returns a method that calls f, which must be safe for concurrent use.
func NewMethod[P, R any](name string, f func(ctx context.Context, session *Session, params P) (R, error)) Method {
	return Method{name: name, call: func(ctx context.Context, session *Session, req *jsonrpc2.Request) (any, error) {
		return handleParams(ctx, req, func(ctx context.Context, params P) (R, error) {
			return f(ctx, session, params)
		})
	}}
}

// Session is one connection from a peer. Methods can use it to keep state for as
// long as the connection lasts, and to notify the peer.
type Session struct {
	mu      sync.Mutex
	closed  bool
	onClose []func()
	rpc     *jsonrpc2.Conn
}

// OnClose registers f to be called when the connection has ended. If it has ended
// already, OnClose calls f itself.
func (s *Session) OnClose(f func()) {
	s.mu.Lock()
	if !s.closed {
		s.onClose = append(s.onClose, f)
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	f()
}

// Notify sends a message that the peer does not answer. It returns ErrClosed if
// the connection is not set up yet, or the error of sending.
func (s *Session) Notify(ctx context.Context, method string, params any) error {
	s.mu.Lock()
	rpc := s.rpc
	s.mu.Unlock()
	if rpc == nil {
		return ErrClosed
	}
	return rpc.Notify(ctx, method, params)
}

func (s *Session) setConn(rpc *jsonrpc2.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rpc = rpc
}

func (s *Session) close() {
	s.mu.Lock()
	s.closed = true
	callbacks := s.onClose
	s.onClose = nil
	s.mu.Unlock()
	for _, f := range callbacks {
		f()
	}
}

// Server serves the peers' port of a daemon.
type Server struct {
	handler  Handler
	methods  map[string]Method
	listener net.Listener
	traffic  Traffic
	wait     sync.WaitGroup
	mu       sync.Mutex
	conns    map[*jsonrpc2.Conn]struct{}
	closed   bool
}

// Listen starts a server on address, an IP address and a port. If config is nil,
// the server uses no TLS, and Listen returns ErrTLSRequired unless the IP address
// is a loopback address.
func Listen(address string, config *tls.Config, handler Handler, methods ...Method) (*Server, error) {
	if config == nil && !isLoopback(address) {
		return nil, merry.Wrap(ErrTLSRequired, merry.WithValue("address", address))
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, merry.Prepend(err, "peer: listen")
	}
	s := &Server{
		handler: handler,
		methods: make(map[string]Method, len(methods)),
		conns:   make(map[*jsonrpc2.Conn]struct{}),
	}
	s.listener = countingListener{Listener: listener, traffic: &s.traffic}
	if config != nil {
		s.listener = tls.NewListener(s.listener, config)
	}
	for _, m := range methods {
		s.methods[m.name] = m
	}
	s.wait.Go(s.accept)
	return s, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Traffic returns the counters of the server's connections.
func (s *Server) Traffic() *Traffic { return &s.traffic }

// Close stops the server and ends its connections.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.mu.Lock()
	s.closed = true
	conns := make([]*jsonrpc2.Conn, 0, len(s.conns))
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	s.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
	s.wait.Wait()
	return err
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		s.wait.Go(func() { s.serve(conn) })
	}
}

// acceptPause is the pause after a failed Accept, so that a listener that keeps
// failing does not use a whole CPU core.
const acceptPause = 10 * time.Millisecond

func (s *Server) serve(conn net.Conn) {
	session := &Session{}
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(
		func(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
			return s.handle(ctx, session, req)
		}))
	rpc := jsonrpc2.NewConn(context.Background(), newStream(conn, &s.traffic), handler, discardLog)
	session.setConn(rpc)
	if !s.add(rpc) {
		_ = rpc.Close()
		return
	}
	<-rpc.DisconnectNotify()
	session.close()
	s.mu.Lock()
	delete(s.conns, rpc)
	s.mu.Unlock()
}

// add registers a connection. It reports false if the server is closed or already
// has maxConnections.
func (s *Server) add(rpc *jsonrpc2.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxConnections {
		return false
	}
	s.conns[rpc] = struct{}{}
	return true
}

func (s *Server) handle(ctx context.Context, session *Session, req *jsonrpc2.Request) (any, error) {
	switch req.Method {
	case MethodStatus:
		return s.handler.Status(ctx)
	case MethodConfigHead:
		return handleParams(ctx, req, s.handler.ExchangeHead)
	case MethodGetConfig:
		return handleParams(ctx, req, s.handler.GetConfig)
	}
	if m, ok := s.methods[req.Method]; ok {
		return m.call(ctx, session, req)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method: " + req.Method}
}

// handleParams decodes the parameters of a call and calls method with them.
func handleParams[P, R any](ctx context.Context, req *jsonrpc2.Request, method func(context.Context, P) (R, error)) (any, error) {
	var params P
	if req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "parameters are missing"}
	}
	if err := json.Unmarshal(*req.Params, &params); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return method(ctx, params)
}

func isLoopback(address string) bool {
	ap, err := netip.ParseAddrPort(address)
	return err == nil && ap.Addr().IsLoopback()
}
