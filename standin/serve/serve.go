package serve

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"acaciapath.example/standin/fault"

	"github.com/ansel1/merry/v2"
)

// headerTimeout is the time in which a caller must have sent its headers.
const headerTimeout = 10 * time.Second

// ErrAlreadyStarted is returned by Start if the server was started before.
var ErrAlreadyStarted = merry.Sentinel("serve: the server was started before")

// Server serves a handler on one or more ports. It is safe for concurrent use.
type Server struct {
	handler http.Handler
	wg      sync.WaitGroup
	mu      sync.Mutex // guards the fields below
	address string
	servers []*http.Server
}

// New returns a server for handler that has not been started.
func New(handler http.Handler) *Server { return &Server{handler: handler} }

// Start serves on address, an IP address and port. Port 0 selects a free port. It
// returns ErrAlreadyStarted if it was called successfully before.
func (s *Server) Start(address string) error {
	if s.Address() != "" {
		return ErrAlreadyStarted
	}
	bound, err := s.StartFor("", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = bound
	return nil
}

// StartFor serves on an additional port and returns its address. Requests on that
// port carry the name of the caller; see fault.RequestCaller. If caller is empty,
// they carry none.
func (s *Server) StartFor(caller, address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", merry.Prepend(err, "serve: listen")
	}
	server := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
		BaseContext: func(net.Listener) context.Context {
			return fault.WithCaller(context.Background(), caller)
		},
	}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	s.wg.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

// Address returns the address that Start listens on, or an empty string before
// that.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Close stops listening and closes all connections immediately.
func (s *Server) Close() error {
	s.mu.Lock()
	servers := s.servers
	s.servers = nil
	s.mu.Unlock()
	var err error
	for _, server := range servers {
		err = errors.Join(err, server.Close())
	}
	s.wg.Wait()
	return err
}
