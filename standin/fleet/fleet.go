package fleet

import (
	"errors"
	"net"
	"slices"
	"sync"

	"acaciapath.example/core/gen/servers"
	"acaciapath.example/standin/engine"
	"acaciapath.example/standin/platform"

	"github.com/ansel1/merry/v2"
)

// ErrClosed is returned by Start and Launch after the fleet was closed.
var ErrClosed = merry.Sentinel("fleet: closed")

// defaultListenIP is the IP address that engines listen on by default.
const defaultListenIP = "127.0.0.1"

// Options configure a Fleet.
type Options struct {
	// ListenIP is the IP address that the engines listen on; 127.0.0.1 if empty.
	ListenIP string
	// EngineOptions configure the engines. Name and Models are replaced by those
	// of the backend server.
	EngineOptions engine.Options
}

// Fleet is a set of engines. It is safe for concurrent use.
type Fleet struct {
	options Options
	mu      sync.Mutex // guards the fields below
	closed  bool
	engines []*engine.Engine // in the order of their start, including stopped ones
}

var _ platform.Launcher = (*Fleet)(nil)

// New returns an empty fleet.
func New(options Options) *Fleet {
	if options.ListenIP == "" {
		options.ListenIP = defaultListenIP
	}
	return &Fleet{options: options}
}

// Launch starts the engine of a backend server. It returns the address of the
// engine and a function that stops it, or the error of Start.
func (f *Fleet) Launch(server servers.BackendServer) (address string, stop func(), err error) {
	e, err := f.Start(server.Name, server.Model)
	if err != nil {
		return "", nil, err
	}
	return e.Address(), func() { _ = e.Close() }, nil
}

// Start starts an engine that serves the models. It returns ErrClosed if the fleet
// is closed.
func (f *Fleet) Start(name string, models ...string) (*engine.Engine, error) {
	options := f.options.EngineOptions
	options.Name = name
	options.Models = models
	e := engine.New(options)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, ErrClosed
	}
	if err := e.Start(net.JoinHostPort(f.options.ListenIP, "0")); err != nil {
		return nil, err
	}
	f.engines = append(f.engines, e)
	return e, nil
}

// Engine returns the engine most recently started under the name, or nil if there
// is none.
func (f *Fleet) Engine(name string) *engine.Engine {
	for _, e := range slices.Backward(f.Engines()) {
		if e.Name() == name {
			return e
		}
	}
	return nil
}

// Engines returns all engines, including stopped ones, in the order in which they
// were started.
func (f *Fleet) Engines() []*engine.Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.engines)
}

// Close stops all engines.
func (f *Fleet) Close() error {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	var err error
	for _, e := range f.Engines() {
		err = errors.Join(err, e.Close())
	}
	return err
}
