package forwarding

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"acaciapath.example/core/forwarding"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Times of a Monitor.
const (
	// silenceAfter is how long several requests wait without a byte from any backend
	// server until the own path is suspected, and loneSilenceAfter is the same for one
	// request. Prefills mostly take less, or other requests get bytes meanwhile.
	silenceAfter     = 250 * time.Millisecond
	loneSilenceAfter = 600 * time.Millisecond
	// awaitLimit bounds Await. It covers the probes of a suspicion.
	awaitLimit = 400 * time.Millisecond
	// maxLateness is how late the monitor may run until the process counts as paused.
	maxLateness = 250 * time.Millisecond
	// targetsMaxAge is how long a list of backend servers is used while the own path is
	// in doubt.
	targetsMaxAge = time.Second
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Monitor watches whether this daemon reaches backend servers. It is safe for
// concurrent use.
type Monitor struct {
	// ProbeRequest returns the bytes of a request that a backend server answers at once:
	// a link that hangs may accept connections. It may be nil or return none; probes then
	// only wait whether the connection is reset.
	ProbeRequest func(address string) []byte

	dial    DialFunc
	servers func() []forwarding.Target
	logger  *logrus.Logger
	metrics *monitorMetrics
	// began is the beginning of the time that lastHeard is counted from.
	began time.Time
	// lastHeard is the time of the last byte from a backend server, in nanoseconds.
	lastHeard atomic.Int64
	// state is the forwarding.State of the own path, and hangs states that it is cut off
	// such that open connections hang.
	state atomic.Int32
	hangs atomic.Bool
	// wake has Run look at the state.
	wake chan struct{}

	mu     sync.Mutex // guards the fields below
	reach  forwarding.Reach
	random *rand.Rand
	// targetsAt is when the targets of reach were listed.
	targetsAt time.Time
	// waiting holds the beginnings of the attempts that wait for a byte.
	waiting map[uint64]time.Time
	lastID  uint64
	// due is when Run looks at the state without being woken, or zero.
	due time.Time
	// changed is closed at the next change of the state.
	changed chan struct{}
	// cutSince is when the cut was declared.
	cutSince   time.Time
	hanging    context.Context
	endHanging context.CancelFunc
}

// NewMonitor returns a monitor that opens connections with dial and probes some of the
// backend servers that servers lists.
func NewMonitor(dial DialFunc, servers func() []forwarding.Target, logger *logrus.Logger, registry prometheus.Registerer, random *rand.Rand) *Monitor {
	m := &Monitor{
		dial: dial, servers: servers, logger: logger, metrics: newMonitorMetrics(registry), random: random,
		began: time.Now(), wake: make(chan struct{}, 1), changed: make(chan struct{}), waiting: make(map[uint64]time.Time),
	}
	m.hanging, m.endHanging = context.WithCancel(context.Background())
	return m
}

// State returns the state of the own path.
func (m *Monitor) State() forwarding.State { return forwarding.State(m.state.Load()) }

// Await returns the state of the own path. While it is suspected, Await waits for the
// outcome of the probes, but not for long.
func (m *Monitor) Await(ctx context.Context) forwarding.State {
	if state := m.State(); state != forwarding.Suspect {
		return state
	}
	ctx, cancel := context.WithTimeout(ctx, awaitLimit)
	defer cancel()
	for {
		m.mu.Lock()
		changed := m.changed
		m.mu.Unlock()
		if state := m.State(); state != forwarding.Suspect || ctx.Err() != nil {
			return state
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// Hanging returns a context that is done once the own path is cut off such that open
// connections hang. Each cut has a new one.
func (m *Monitor) Hanging() context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hanging
}

// Begin records that an attempt on the own path waits for the first byte of its answer,
// from before its connection is opened until end is called.
func (m *Monitor) Begin() (end func(answered bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastID++
	id := m.lastID
	m.waiting[id] = time.Now()
	if m.due.IsZero() {
		m.wakeRun()
	}
	return func(answered bool) {
		if answered {
			m.lastHeard.Store(int64(time.Since(m.began)))
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.waiting, id)
	}
}

// Lost records that a connection to a backend server ended without an answer. reused states
// that it had carried another request before. The connections of Dial record themselves
// that they ended before the first byte.
func (m *Monitor) Lost(_ string, reused bool) {
	if reused {
		m.update(true, func(r *forwarding.Reach, now time.Time) { r.Lose(now) })
	}
}

// wakeRun has Run look at the state.
func (m *Monitor) wakeRun() {
	select {
	case m.wake <- struct{}{}:
	default: // it is about to
	}
}

// observe records the outcome of a new connection to the backend server at address.
func (m *Monitor) observe(address string, c forwarding.Contact) {
	if c == forwarding.Opened {
		m.lastHeard.Store(int64(time.Since(m.began)))
	}
	m.update(c != forwarding.Opened, func(r *forwarding.Reach, now time.Time) { r.Observe(address, c, now) })
}

// heard records that bytes arrived from the backend server at address. first states that
// they are the first ones on their connection.
func (m *Monitor) heard(address string, first bool) {
	if first || m.hangs.Load() {
		m.observe(address, forwarding.Opened)
		return
	}
	m.lastHeard.Store(int64(time.Since(m.began)))
}

// update calls f with the lock, publishes the state and logs a change. list states that
// f needs the list of backend servers.
func (m *Monitor) update(list bool, f func(r *forwarding.Reach, now time.Time)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateLocked(list, time.Now(), f)
}

// updateLocked is update for callers that hold the lock.
func (m *Monitor) updateLocked(list bool, now time.Time, f func(r *forwarding.Reach, now time.Time)) {
	if list && (m.targetsAt.IsZero() || now.Sub(m.targetsAt) > targetsMaxAge) {
		m.reach.SetTargets(m.servers())
		m.targetsAt = now
	}
	m.reach.Heard(m.began.Add(time.Duration(m.lastHeard.Load())))
	evidence, cut := m.reach.Evidence(now), m.reach.Cut()
	f(&m.reach, now)
	if next := m.reach.Next(now); !next.IsZero() && (m.due.IsZero() || next.Before(m.due)) {
		m.wakeRun()
	}
	state := m.reach.State(now)
	before := forwarding.State(m.state.Swap(int32(state)))
	if state == before {
		return
	}
	close(m.changed)
	m.changed = make(chan struct{})
	m.hangs.Store(m.reach.Cut() == forwarding.Hanging)
	m.metrics.record(state)
	switch {
	case state == forwarding.CutOff:
		m.cutSince = now
		if m.reach.Cut() == forwarding.Hanging {
			m.endHanging()
		}
		m.logCut(m.reach.Evidence(now), now)
	case before == forwarding.CutOff:
		if cut == forwarding.Hanging {
			m.hanging, m.endHanging = context.WithCancel(context.Background())
		}
		m.logger.WithFields(logrus.Fields{"cut": cut.String(), "cut-off-ms": now.Sub(m.cutSince).Milliseconds()}).
			Info("backend servers are reached from this VM again")
	default:
		m.logger.WithFields(logrus.Fields{"state": state.String(), "sign": evidence.Sign.String()}).
			Debug("state of the path to the backend servers changed")
	}
}

// logCut logs that the daemon is cut off.
func (m *Monitor) logCut(e forwarding.Evidence, now time.Time) {
	m.logger.WithFields(logrus.Fields{
		"cut": m.reach.Cut().String(), "sign": e.Sign.String(), "since-ms": now.Sub(e.Since).Milliseconds(),
		"servers": e.Servers, "failure-domains": e.FailureDomains, "services": e.Services,
		"refused": e.Refused, "reset": e.Reset, "timed-out": e.TimedOut, "open-connections-live": e.Heard,
	}).Warn("no backend server is reached from this VM, requests go through neighbours")
}
