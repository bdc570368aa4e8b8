package heartbeats

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/membership"
	"acaciapath.example/core/peer"
	"acaciapath.example/core/revision"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
)

const (
	// directTimeout bounds a heartbeat without a target.
	directTimeout = membership.Period / 2
	// indirectTimeout bounds a heartbeat with a target, during which the
	// receiver sends a heartbeat to the target.
	indirectTimeout = membership.Period
	// fetchTimeout bounds the fetching of a revision.
	fetchTimeout = 2 * time.Second
	// maxFetchPeers is the number of peers that are asked for a newer revision.
	maxFetchPeers = 2
	// maxClients bounds the connections to peers.
	maxClients = 128
)

// Options configure a Runner.
type Options struct {
	// Self is the identity and the address of this daemon. The address may be
	// empty until SetAddress. State, Leaving and Incarnation are ignored.
	Self membership.Record
	// TLS is the TLS configuration for calls, or nil for calls without TLS.
	TLS *tls.Config
	// VMs returns the platform's list of VMs.
	VMs vms.Service
	// Watcher holds the revision in force.
	Watcher *revision.Watcher
	// Clock returns the current time.
	Clock func() time.Time
	// Random is a random source that nothing else uses.
	Random *rand.Rand
	// OnPeriod is called with the current view at the start of each period; it
	// may be nil.
	OnPeriod func(*membership.View)
	// Logger logs failures to tell others that this daemon leaves; it may be nil.
	Logger *logrus.Entry
}

// Runner exchanges the heartbeats of one daemon. It is safe for concurrent use.
type Runner struct {
	options Options
	pool    *peer.Pool
	view    atomic.Pointer[membership.View]
	// lastContactNanos is when a daemon on another VM last answered, in Unix
	// nanoseconds; it is 0 if none ever did.
	lastContactNanos atomic.Int64
	// sends counts the probes that are being sent.
	sends sync.WaitGroup
	// checkPeers receives a value when a peer may have a newer revision in force.
	checkPeers chan struct{}

	mu    sync.Mutex
	table *membership.Table
}

// ErrNotStarted is returned to a peer whose heartbeat arrives before the address
// is set.
var ErrNotStarted = merry.Sentinel("heartbeats: the daemon is starting")

// New returns a runner that knows no other daemon. If Options.Self has no
// address, SetAddress must be called before Run.
func New(options Options) *Runner {
	now := options.Clock()
	r := &Runner{
		options:    options,
		pool:       peer.NewPool(options.TLS, maxClients),
		checkPeers: make(chan struct{}, 1),
		table:      membership.New(options.Self, options.Random, now),
	}
	r.view.Store(r.table.View(now))
	return r
}

// SetAddress sets the IP address and port of the daemon's peers' port, which is
// known only when the port is bound.
func (r *Runner) SetAddress(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.SetAddress(address)
}

// LastContact returns when a daemon on another VM last answered. It is zero if
// none ever did.
func (r *Runner) LastContact() time.Time {
	if at := r.lastContactNanos.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// View returns the view of the last period. It does not lock.
func (r *Runner) View() *membership.View { return r.view.Load() }

// Traffic returns the counters of the connections that the runner opens.
func (r *Runner) Traffic() *peer.Traffic { return r.pool.Traffic() }

// Run exchanges heartbeats until ctx is done. Then it informs a few other daemons
// that this one has stopped, and closes its connections.
func (r *Runner) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { r.pollVMs(ctx) })
	loops.Go(func() { r.followPeers(ctx) })
	ticker := time.NewTicker(membership.Period)
	defer ticker.Stop()
	for {
		r.startPeriod(ctx)
		select {
		case <-ctx.Done():
			loops.Wait()
			r.sends.Wait()
			r.stop()
			return
		case <-ticker.C:
		}
	}
}

// Leave announces to the other daemons that this one is about to stop.
func (r *Runner) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	r.table.Leave(now)
	r.view.Store(r.table.View(now))
}

// Method returns the method that answers heartbeats on the peers' port.
func (r *Runner) Method() peer.Method {
	return peer.NewMethod(peer.MethodHeartbeat,
		func(ctx context.Context, _ *peer.Session, heartbeat peer.Heartbeat) (peer.HeartbeatAnswer, error) {
			return r.answer(ctx, heartbeat)
		})
}

// Home returns the address of the peers' port of the daemon that is the home of a
// key; see membership.View.Home. It returns an empty string if that is this
// daemon or if there is none.
func (r *Runner) Home(key string) string {
	home := r.View().Home(key)
	if home.VM == r.options.Self.VM {
		return ""
	}
	return home.Address
}

// answer answers a heartbeat. If the heartbeat has a target, answer sends the
// target a heartbeat first. It returns ErrNotStarted before the address is set.
func (r *Runner) answer(ctx context.Context, heartbeat peer.Heartbeat) (peer.HeartbeatAnswer, error) {
	r.mu.Lock()
	if !r.table.HasAddress() {
		r.mu.Unlock()
		return peer.HeartbeatAnswer{}, ErrNotStarted
	}
	now := r.options.Clock()
	r.table.SetRevision(r.options.Watcher.Revision())
	answer := r.table.HandleHeartbeat(heartbeat, now)
	var relayProbe membership.Probe
	if heartbeat.Target != nil {
		relayProbe = r.table.RelayProbe(heartbeat, now)
	}
	r.mu.Unlock()
	r.wakeFollowPeers()
	if heartbeat.Target != nil {
		answer.TargetReached = r.send(ctx, relayProbe, directTimeout)
	}
	return answer, nil
}

// startPeriod starts a period: it updates the view and starts sending the probes.
func (r *Runner) startPeriod(ctx context.Context) {
	r.mu.Lock()
	now := r.options.Clock()
	r.table.SetRevision(r.options.Watcher.Revision())
	probes := r.table.Tick(now)
	view := r.table.View(now)
	r.view.Store(view)
	r.mu.Unlock()
	if r.options.OnPeriod != nil {
		r.options.OnPeriod(view)
	}
	r.sendAll(ctx, probes, directTimeout)
}

// sendAll starts sending probes and does not wait for their answers.
func (r *Runner) sendAll(ctx context.Context, probes []membership.Probe, timeout time.Duration) {
	for _, probe := range probes {
		r.sends.Go(func() { r.send(ctx, probe, timeout) })
	}
}

// send sends a probe and applies the answer. If the probed daemon does not answer,
// send starts sending the indirect probes. It reports whether the daemon answered.
func (r *Runner) send(ctx context.Context, probe membership.Probe, timeout time.Duration) bool {
	var answer peer.HeartbeatAnswer
	sendCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := r.pool.Call(probe.To.Address, func(c *peer.Client) error {
		var err error
		answer, err = c.Heartbeat(sendCtx, probe.Request)
		return err
	})
	if ctx.Err() != nil {
		return false
	}
	r.mu.Lock()
	now := r.options.Clock()
	answered := err == nil && r.table.HandleAnswer(probe, answer, now)
	if answered && probe.To.VM != r.options.Self.VM {
		r.lastContactNanos.Store(now.UnixNano())
	}
	var indirect []membership.Probe
	if !answered {
		indirect = r.table.HandleFailure(probe, now)
	}
	r.mu.Unlock()
	r.wakeFollowPeers()
	r.sendAll(ctx, indirect, indirectTimeout)
	return answered
}

// stop informs a few other daemons that this one has stopped, and closes the
// connections.
func (r *Runner) stop() {
	r.mu.Lock()
	probes := r.table.Stop(r.options.Clock())
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), directTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, probe := range probes {
		wait.Go(func() {
			err := r.pool.Call(probe.To.Address, func(c *peer.Client) error {
				_, err := c.Heartbeat(ctx, probe.Request)
				return err
			})
			if err != nil && r.options.Logger != nil {
				r.options.Logger.WithError(err).WithField("daemon", probe.To.Address).
					Info("cannot tell a daemon that this one leaves, it will find out by its own heartbeats")
			}
		})
	}
	wait.Wait()
	_ = r.pool.Close()
}

// pollVMs reads the platform's list of VMs at intervals until ctx is done. If a
// read fails, the previous list stays in use.
func (r *Runner) pollVMs(ctx context.Context) {
	for {
		list, err := r.options.VMs.List(ctx)
		if err == nil {
			r.mu.Lock()
			r.table.SetVMs(list, r.options.Clock())
			r.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(membership.VMListInterval(len(list))):
		}
	}
}
