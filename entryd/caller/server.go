package caller

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"acaciapath.example/core/config"
)

// Bounds of connections before and between requests.
const (
	// defaultHeaderTimeout is in force before the first configuration.
	defaultHeaderTimeout = 10 * time.Second
	defaultConnections   = 1024
	idleTimeout          = 2 * time.Minute
	maxHeaderBytes       = 64 << 10
	// acceptPause keeps a failing listener from taking a whole core.
	acceptPause = 10 * time.Millisecond
)

// Server serves callers on one port. The limits of connections can change
// while it runs.
type Server struct {
	listener *Listener
	handler  http.Handler
	base     context.Context

	mu          sync.Mutex
	generations []*generation
	closed      bool
}

// generation is an HTTP server for the connections that were accepted while one
// header timeout was in force, which net/http cannot change.
type generation struct {
	server        *http.Server
	connections   *handover
	headerTimeout time.Duration
}

// Listen returns a server on address, an IP number and a port. The contexts of
// requests end with base. Refused is called for each refused connection.
func Listen(base context.Context, address string, handler http.Handler, refused func()) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: NewListener(listener, defaultConnections, refused), handler: handler, base: base}
	s.start(defaultHeaderTimeout)
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Connections returns the number of callers' connections.
func (s *Server) Connections() int { return s.listener.OpenConnections() }

// SetLimits puts limits in force for new connections.
func (s *Server) SetLimits(limits config.Limits) {
	s.listener.SetLimit(limits.Connections)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed && s.current().headerTimeout != limits.HeaderTimeout {
		s.start(limits.HeaderTimeout)
	}
}

// start begins a generation. The caller holds the lock, or is the only one.
func (s *Server) start(headerTimeout time.Duration) {
	g := &generation{
		server: &http.Server{
			Handler:           s.handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          log.New(io.Discard, "", 0),
			BaseContext:       func(net.Listener) context.Context { return s.base },
		},
		connections:   newHandover(s.listener.Addr()),
		headerTimeout: headerTimeout,
	}
	s.generations = append(s.generations, g)
	go func() { _ = g.server.Serve(g.connections) }()
}

func (s *Server) current() *generation { return s.generations[len(s.generations)-1] }

// Serve accepts connections until Shutdown or Close.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err == nil {
			s.mu.Lock()
			g := s.current()
			s.mu.Unlock()
			g.connections.give(conn)
			continue
		}
		s.mu.Lock()
		closed := s.closed
		s.mu.Unlock()
		if closed {
			return
		}
		time.Sleep(acceptPause)
	}
}

// Shutdown accepts no more connections and returns once all requests have
// ended, or with the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, g := range s.close() {
		if err := g.server.Shutdown(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all connections.
func (s *Server) Close() {
	for _, g := range s.close() {
		_ = g.server.Close()
	}
}

// close closes the listener and returns the generations.
func (s *Server) close() []*generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
	return s.generations
}

// handover is a listener whose connections come from another.
type handover struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

var _ net.Listener = (*handover)(nil)

func newHandover(address net.Addr) *handover {
	return &handover{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// give hands a connection over, or closes it if the listener is closed.
func (h *handover) give(conn net.Conn) {
	select {
	case h.conns <- conn:
	case <-h.closed:
		_ = conn.Close()
	}
}

// Accept returns the next connection that is handed over.
func (h *handover) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the handing over.
func (h *handover) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr returns the address of the listener that accepts the connections.
func (h *handover) Addr() net.Addr { return h.address }
