// Package serve serves the HTTP interfaces of the stand-ins on TCP ports.
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

// headerTimeout bounds the time in which a caller sends its headers.
const headerTimeout = 10 * time.Second

// ErrAlreadyStarted is returned by Start on a server that was started before.
var ErrAlreadyStarted = merry.Sentinel("serve: the server was started before")

// Server serves a handler on one or more ports. It is safe for concurrent use.
type Server struct {
	handler http.Handler
	wait    sync.WaitGroup
	mu      sync.Mutex
	address string
	servers []*http.Server
}

// New returns a server of handler that is not started.
func New(handler http.Handler) *Server { return &Server{handler: handler} }

// Start serves on address, an IP number and a port; port 0 takes any free one.
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

// StartFor serves on a further port, whose requests count as those of the
// named caller, and returns the port's address.
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
	s.wait.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

// Address returns the address that Start bound, or an empty string.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Close stops listening and ends all connections at once.
func (s *Server) Close() error {
	s.mu.Lock()
	servers := s.servers
	s.servers = nil
	s.mu.Unlock()
	var err error
	for _, server := range servers {
		err = errors.Join(err, server.Close())
	}
	s.wait.Wait()
	return err
}
