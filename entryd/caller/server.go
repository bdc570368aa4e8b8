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
	"acaciapath.example/core/connections"
)

// Limits of connections before and between requests.
const (
	// defaultHeaderTimeout and defaultMaxConnections apply until the first
	// configuration is in force.
	defaultHeaderTimeout  = 10 * time.Second
	defaultMaxConnections = 1024
	idleTimeout           = 2 * time.Minute
	maxHeaderBytes        = 64 << 10
	// acceptPause prevents a busy loop while the listener fails.
	acceptPause = 10 * time.Millisecond
)

// Server serves callers on one port. The limits of connections can be changed
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
// header timeout applied. A new one is needed for each timeout because
// net/http cannot change it.
type generation struct {
	server        *http.Server
	tracker       *connections.Tracker
	connections   *channelListener
	headerTimeout time.Duration
}

// Listen returns a server that listens on address, an IP address and a port.
// base is the parent of all request contexts. onRefused is called for each
// refused connection.
func Listen(base context.Context, address string, handler http.Handler, onRefused func()) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: NewListener(listener, defaultMaxConnections, onRefused), handler: handler, base: base}
	s.start(defaultHeaderTimeout)
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Connections returns the number of open connections of callers.
func (s *Server) Connections() int { return s.listener.OpenConnections() }

// SetLimits applies limits to new connections.
func (s *Server) SetLimits(limits config.Limits) {
	s.listener.SetLimit(limits.Connections)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed && s.current().headerTimeout != limits.HeaderTimeout {
		s.start(limits.HeaderTimeout)
	}
}

// start starts a generation. The caller holds the lock, or no other goroutine
// uses the server yet.
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
		connections:   newChannelListener(s.listener.Addr()),
		headerTimeout: headerTimeout,
	}
	connections.ResetAborted(g.server)
	g.tracker = connections.Track(g.server)
	s.generations = append(s.generations, g)
	go func() { _ = g.tracker.Serve(g.connections) }()
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
			g.connections.deliver(conn)
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

// Shutdown stops accepting connections and returns once all requests have
// ended, or with the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, g := range s.close() {
		if err := g.tracker.Shutdown(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Close closes all connections.
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

// channelListener is a listener that returns the connections delivered to it.
type channelListener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

var _ net.Listener = (*channelListener)(nil)

func newChannelListener(address net.Addr) *channelListener {
	return &channelListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// deliver passes a connection to Accept, or closes the connection if the
// listener is closed.
func (h *channelListener) deliver(conn net.Conn) {
	select {
	case h.conns <- conn:
	case <-h.closed:
		_ = conn.Close()
	}
}

// Accept returns the next delivered connection.
func (h *channelListener) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener.
func (h *channelListener) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr returns the address of the listener that accepts the connections.
func (h *channelListener) Addr() net.Addr { return h.address }
