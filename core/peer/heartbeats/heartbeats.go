// Package heartbeats exchanges heartbeats with other daemons, reads the
// platform's list of VMs, and follows the revisions of the configuration that
// other daemons have in force. The decisions are those of package membership.
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
)

// Bounds of a runner's calls.
const (
	// directTimeout bounds a heartbeat.
	directTimeout = membership.Period / 2
	// indirectTimeout bounds a heartbeat that is passed on.
	indirectTimeout = membership.Period
	// followTimeout bounds the fetching of a revision.
	followTimeout = 2 * time.Second
	// followCount is the number of peers that are asked for a revision.
	followCount = 2
	// maxClients bounds the connections to peers.
	maxClients = 128
)

// Options are what a runner works with.
type Options struct {
	// Self is the daemon's identity and address; its state is not used.
	Self membership.Record
	// TLS is nil for plain connections on loopback.
	TLS *tls.Config
	// VMs is the platform's list.
	VMs vms.Service
	// Watcher holds the revision in force.
	Watcher *revision.Watcher
	// Clock returns the present time.
	Clock func() time.Time
	// Random is used by the runner alone.
	Random *rand.Rand
	// OnPeriod is called with what is known after each period; it may be nil.
	OnPeriod func(*membership.View)
}

// Runner takes part in the membership for one daemon. View does not lock.
type Runner struct {
	options Options
	pool    *peer.Pool
	view    atomic.Pointer[membership.View]
	// contacted is when a daemon of another VM answered last, in Unix
	// nanoseconds; 0 if none ever did.
	contacted atomic.Int64
	wait      sync.WaitGroup
	// behind takes a value when a peer may have a newer revision in force.
	behind chan struct{}

	mu    sync.Mutex
	table *membership.Table
}

// ErrNotStarted is returned to a peer whose heartbeat comes before SetAddress.
var ErrNotStarted = merry.Sentinel("heartbeats: the daemon is starting")

// New returns a runner that knows no other daemon. Without an address in
// Options.Self, SetAddress is called before Run.
func New(options Options) *Runner {
	now := options.Clock()
	r := &Runner{
		options: options,
		pool:    peer.NewPool(options.TLS, maxClients),
		behind:  make(chan struct{}, 1),
		table:   membership.New(options.Self, options.Random, now),
	}
	r.view.Store(r.table.View(now))
	return r
}

// SetAddress sets the IP number and port of the daemon's peers' port, which is
// only known once the port is bound.
func (r *Runner) SetAddress(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.SetAddress(address)
}

// LastContact returns when a daemon of another VM last answered. It is zero if
// none ever did.
func (r *Runner) LastContact() time.Time {
	if at := r.contacted.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// View returns what was known at the last period.
func (r *Runner) View() *membership.View { return r.view.Load() }

// Traffic returns what the runner's own connections carry.
func (r *Runner) Traffic() *peer.Traffic { return r.pool.Traffic() }

// Run takes part until ctx ends, and then declares the daemon dead to some
// others and closes the connections.
func (r *Runner) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { r.readLists(ctx) })
	loops.Go(func() { r.followPeers(ctx) })
	ticker := time.NewTicker(membership.Period)
	defer ticker.Stop()
	for {
		r.period(ctx)
		select {
		case <-ctx.Done():
			loops.Wait()
			r.wait.Wait()
			r.stop()
			return
		case <-ticker.C:
		}
	}
}

// Leave announces that the daemon is about to stop.
func (r *Runner) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	r.table.Leave(now)
	r.view.Store(r.table.View(now))
}

// Method returns the method of the peers' port that answers heartbeats.
func (r *Runner) Method() peer.Method {
	return peer.NewMethod(peer.MethodHeartbeat,
		func(ctx context.Context, _ *peer.Session, heartbeat peer.Heartbeat) (peer.HeartbeatAnswer, error) {
			return r.answer(ctx, heartbeat)
		})
}

// Home returns the address of the peers' port of the home daemon of a key, or
// an empty string if this daemon is it or there is none. See
// membership.View.Home.
func (r *Runner) Home(key string) string {
	home := r.View().Home(key)
	if home.VM == r.options.Self.VM {
		return ""
	}
	return home.Address
}

// answer answers a heartbeat.
func (r *Runner) answer(ctx context.Context, heartbeat peer.Heartbeat) (peer.HeartbeatAnswer, error) {
	r.mu.Lock()
	if !r.table.HasAddress() {
		r.mu.Unlock()
		return peer.HeartbeatAnswer{}, ErrNotStarted
	}
	now := r.options.Clock()
	r.table.SetRevision(r.options.Watcher.Revision())
	answer := r.table.HandleHeartbeat(heartbeat, now)
	var relayed membership.Probe
	if heartbeat.Target != nil {
		relayed = r.table.RelayProbe(heartbeat, now)
	}
	r.mu.Unlock()
	r.notice()
	if heartbeat.Target != nil {
		answer.TargetReached = r.send(ctx, relayed, directTimeout)
	}
	return answer, nil
}

// period begins a period.
func (r *Runner) period(ctx context.Context) {
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

// sendAll sends probes and does not wait for their answers.
func (r *Runner) sendAll(ctx context.Context, probes []membership.Probe, timeout time.Duration) {
	for _, probe := range probes {
		r.wait.Go(func() { r.send(ctx, probe, timeout) })
	}
}

// send sends a probe and takes in its answer, and sends indirect probes if it
// fails. It reports whether the daemon answered.
func (r *Runner) send(ctx context.Context, probe membership.Probe, timeout time.Duration) bool {
	var answer peer.HeartbeatAnswer
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := r.pool.Call(probe.To.Address, func(c *peer.Client) error {
		var err error
		answer, err = c.Heartbeat(bounded, probe.Request)
		return err
	})
	if ctx.Err() != nil {
		return false
	}
	r.mu.Lock()
	now := r.options.Clock()
	answered := err == nil && r.table.HandleAnswer(probe, answer, now)
	if answered && probe.To.VM != r.options.Self.VM {
		r.contacted.Store(now.UnixNano())
	}
	var indirect []membership.Probe
	if !answered {
		indirect = r.table.HandleFailure(probe, now)
	}
	r.mu.Unlock()
	r.notice()
	r.sendAll(ctx, indirect, indirectTimeout)
	return answered
}

// stop declares the daemon dead and closes the connections.
func (r *Runner) stop() {
	r.mu.Lock()
	probes := r.table.Stop(r.options.Clock())
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), directTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, probe := range probes {
		wait.Go(func() {
			// A neighbour that misses this finds out by its own heartbeats.
			_ = r.pool.Call(probe.To.Address, func(c *peer.Client) error {
				_, err := c.Heartbeat(ctx, probe.Request)
				return err
			})
		})
	}
	wait.Wait()
	_ = r.pool.Close()
}

// readLists reads the platform's list of VMs until ctx ends.
func (r *Runner) readLists(ctx context.Context) {
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
