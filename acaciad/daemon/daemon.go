// Package daemon assembles the daemon of an entry VM on the users' platform: it
// serves callers and takes part in the duties towards the platform.
package daemon

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"acaciapath.example/acaciad/control"
	"acaciapath.example/acaciad/directory"
	"acaciapath.example/acaciad/neighbours"
	"acaciapath.example/acaciad/relay"
	"acaciapath.example/core/config"
	"acaciapath.example/core/lease"
	"acaciapath.example/core/replica"
	"acaciapath.example/core/retry"
	"acaciapath.example/core/sleep"
	"acaciapath.example/core/telemetry"
	"acaciapath.example/core/usage"
	adapter "acaciapath.example/platform"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Times of calls to the platform.
const (
	// storeTimeout bounds a call of the store, which usually answers within some
	// 10 ms.
	storeTimeout = 1500 * time.Millisecond
	// dutyTimeout bounds a call of the API that takes the duties.
	dutyTimeout = 1500 * time.Millisecond
	// partGrace is how long before it is due a usage window is settled although
	// parts are missing. It leaves room for a few tries of each call.
	partGrace = 2 * time.Second
	// leasePoll is how often a daemon looks whether the lease is free, until it
	// knows how many others do.
	leasePoll = 2 * time.Second
)

// Times of the shutdown, from its beginning.
const (
	// leaveDelay is how long connections are accepted after the daemon has said
	// that it is not ready: two questions of the platform and their answers.
	leaveDelay = 2500 * time.Millisecond
	// graceMargin is how long before the platform kills the process it ends.
	graceMargin = 700 * time.Millisecond
	// finishTime is what is left of the time to shut down for writing usage, or
	// handing it over, once no request runs any more.
	finishTime = 600 * time.Millisecond
)

// memoryShare is the share of the VM's memory that the garbage collector aims
// to stay below.
const memoryShare = 0.6

// retryBurst is the number of retries of one daemon that need not be earned.
// Together the daemons of a deployment stay within what the platform allows.
const retryBurst = 2

// retryPart is the share of the retries allowed for each request that a daemon
// uses, because requests and retries are not counted in the same window.
const retryPart = 0.6

// movePart is the share of the retries allowed for each request that a daemon
// uses to move runs.
const movePart = 0.2

// maxMoveBurst bounds the moves of one daemon that need not be earned: about the
// long answers that it has on the cheap engines of one failure domain.
const maxMoveBurst = 6

// MetricsPort is where metrics are served.
const MetricsPort = 9464

// Daemon is the daemon of an entry VM.
type Daemon struct {
	settings  adapter.Settings
	logger    *logrus.Logger
	directory *directory.Directory
	beliefs   *beliefs
	sentry    *sentry
	store     *adapter.Store
	// direct is the client of the store that takes no detours.
	direct     *adapter.Store
	detour     *neighbours.Transport
	neighbours *neighbours.Registry
	handed     *neighbours.Handed
	usage      *control.Usage
	orders     *control.Orders
	keeper     *lease.Keeper
	handler    *relay.Handler
	registry   *prometheus.Registry

	drain    context.Context
	setDrain context.CancelFunc
	mu       sync.Mutex // guards beliefs
}

// New assembles a daemon. Nothing runs until Run is called.
func New(s adapter.Settings, logger *logrus.Logger, now time.Time) *Daemon {
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	instance := fmt.Sprintf("%s-%d", s.Name, now.UnixNano())
	random := rand.New(rand.NewPCG(uint64(now.UnixNano()), uint64(len(s.Name))))
	d := &Daemon{settings: s, logger: logger, directory: directory.New(s.FailureDomain, s.ServerDrain, random)}
	d.beliefs = newBeliefs(d.directory, logger)
	d.drain, d.setDrain = context.WithCancel(context.Background())
	d.registry = prometheus.NewRegistry()
	d.detour = neighbours.NewTransport(adapter.NewStoreTransport(), s.FailureDomain, neighbours.NewMetrics(d.registry), logger,
		rand.New(rand.NewPCG(uint64(now.UnixNano()), 2)))
	d.store = adapter.NewStore(s.StoreAddress, storeTimeout, d.detour)
	d.direct = adapter.NewStore(s.StoreAddress, storeTimeout, d.detour.Direct())
	anyway := &adapter.Table{Store: d.store}
	table := &adapter.Table{Store: d.direct}
	d.neighbours = &neighbours.Registry{
		VM: s.Name, FailureDomain: s.FailureDomain, Address: s.NeighboursAddress,
		Table: anyway, Found: d.detour.SetNeighbours, Logger: logger,
		Random: rand.New(rand.NewPCG(uint64(now.UnixNano()), 3)),
	}
	duties := adapter.NewDuties(s.DutiesAddress, s.Name, s.UsageWindow, dutyTimeout)
	terms := lease.Terms{Name: lease.UsageName, Holder: instance, Duration: s.Lease}
	d.keeper = lease.NewKeeper(table, terms, leasePoll, newClock(now))
	d.usage = &control.Usage{
		Meter:    usage.NewMeter(),
		Writer:   usage.NewWriter(anyway, s.Name, instance),
		Reporter: usage.NewReporter(table, duties, d.keeper),
		Keeper:   d.keeper,
		Lease:    s.Lease,
		Due:      s.UsageDue,
		Billing:  config.Billing{Window: s.UsageWindow, Grace: s.UsageDue - partGrace},
		Logger:   logger,
	}
	d.usage.HandOver = d.detour.HandOver
	d.usage.Reporter.Early = true
	d.handed = &neighbours.Handed{Send: d.direct.Post, Keep: s.UsageDue, Leaving: func() bool { return d.drain.Err() != nil }, Logger: logger}
	d.orders = &control.Orders{
		Directory:      d.directory,
		Scaler:         duties,
		Keeper:         d.keeper,
		Table:          table,
		FailureDomains: slices.Sorted(maps.Keys(s.Regions)),
		Logger:         logger,
	}
	d.registry.MustRegister(d.directory)
	client := relay.NewClient()
	engines := &adapter.Engines{Transport: client.Transport()}
	d.sentry = &sentry{
		engines: engines, groups: d.cheapGroups, leave: d.enginesLeave, logger: logger,
		random: rand.New(rand.NewPCG(uint64(now.UnixNano()), 1)),
	}
	d.handler = &relay.Handler{
		Directory: d.directory,
		Client:    client,
		Engines:   engines,
		Meter:     d.usage.Meter,
		Metrics:   relay.NewMetrics(d.registry),
		Logger:    logger,
		Budgets:   relay.NewBudgets(retryBudget(s, now)),
		Moves:     relay.NewBudgets(moveBudget(s, now)),
		Draining:  d.drain,
	}
	return d
}

// retryBudget returns this daemon's part of the retries that the platform allows
// to all of them.
func retryBudget(s adapter.Settings, now time.Time) retry.Budget {
	share := int(s.RetryShare * retryPart * 100)
	burst := float64(min(retryBurst, s.RetryExtra))
	return retry.Budget{Percent: share, Burst: burst, Saved: burst, Updated: now}
}

// moveBudget returns this daemon's part of the retries allowed for moving runs,
// while it does not know how many daemons there are.
func moveBudget(s adapter.Settings, now time.Time) retry.Budget {
	return retry.Budget{Percent: int(s.RetryShare * movePart * 100), Burst: 1, Updated: now}
}

// moveBurst returns the number of moves that need not be earned by one of so many
// daemons: its part of what the retries leave.
func moveBurst(extra, daemons int) float64 {
	if daemons <= 0 {
		return 1
	}
	return min(max(float64(extra)/float64(daemons)-retryBurst, 1), maxMoveBurst)
}

// newClock returns a clock that begins at start.
func newClock(start time.Time) lease.Clock {
	return func() lease.Instant {
		now := time.Now()
		return lease.Instant{Monotonic: now.Sub(start), Wall: now.Round(0)}
	}
}

// Run serves until ctx ends, and then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp4", d.settings.CallersAddress)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp4", d.settings.ReadyAddress)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: d.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, ErrorLog: nil}
	go d.serve(server, callers)
	go d.serve(&http.Server{Handler: http.HandlerFunc(d.serveReady), ReadHeaderTimeout: headerTimeout}, ready)
	d.serveMetrics()
	d.serveNeighbours()
	work := newWork()
	duties := newWork()
	d.start(work, duties)
	d.logger.WithFields(logrus.Fields{
		"vm": d.settings.Name, "failure-domain": d.settings.FailureDomain,
		"callers": d.settings.CallersAddress, "store": d.settings.StoreAddress,
	}).Info("started")
	if len(d.settings.Assumed) > 0 {
		d.logger.WithField("settings", d.settings.Assumed).Warn("the settings file leaves figures out, and usual ones are assumed")
	}
	<-ctx.Done()
	d.shutDown(server, work, duties)
	return nil
}

// Limits of callers' connections.
const (
	// headerTimeout bounds how long a caller takes to send a request's headers.
	headerTimeout = 10 * time.Second
	// callerIdleTimeout is how long a connection may be idle. Callers give up
	// theirs before.
	callerIdleTimeout = 60 * time.Second
)

func (d *Daemon) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil && err != http.ErrServerClosed {
		d.logger.WithError(err).Error("a listener failed")
	}
}

// serveReady answers whether the daemon takes new callers.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.drain.Err() != nil || !d.directory.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *Daemon) serveMetrics() {
	listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", d.settings.IP, MetricsPort))
	if err != nil {
		d.logger.WithError(err).Warn("metrics are not served")
		return
	}
	ready := func() error { return d.drain.Err() }
	go d.serve(&http.Server{Handler: telemetry.OpsHandler(d.registry, ready), ReadHeaderTimeout: headerTimeout}, listener)
}

// serveNeighbours passes calls of the store on for other daemons.
func (d *Daemon) serveNeighbours() {
	if d.settings.NeighboursAddress == "" {
		d.logger.Info("the settings have no port for calls between daemons")
		return
	}
	listener, err := net.Listen("tcp4", d.settings.NeighboursAddress)
	if err != nil {
		d.logger.WithError(err).Warn("neighbours are not served")
		return
	}
	relay := &neighbours.Relay{
		Store: d.settings.StoreAddress, Allowed: adapter.IsStoreCall, Failing: d.detour.Failing,
		Base: d.detour.Direct(), Handed: d.handed, Logger: d.logger,
	}
	go d.serve(&http.Server{Handler: relay, ReadHeaderTimeout: headerTimeout}, listener)
}

// start starts the daemon's regular work, and its part in the duties.
func (d *Daemon) start(work, duties *work) {
	wait, gap := feedWait(d.settings), feedGap(d.settings)
	catalogFeed := &feed{
		wait: wait, gap: gap, store: d.store, name: tableOperator, logger: d.logger,
		apply:    d.beliefs.applyCatalog,
		returned: func(time.Time) {},
		failed:   func(time.Time) {},
	}
	serversFeed := &feed{
		wait: wait, gap: gap, store: d.store, name: tableServers, logger: d.logger,
		apply: d.applyServers, returned: d.storeReturned, failed: d.sentry.doubt,
	}
	registerAge(d.registry, catalogFeed)
	registerAge(d.registry, serversFeed)
	work.run(d.sentry.run)
	work.run(d.watchPauses)
	work.run(func(ctx context.Context) { d.detour.Run(ctx, d.direct.Ping) })
	if d.settings.NeighboursAddress != "" {
		work.run(d.neighbours.Run)
		work.run(d.handed.Run)
	}
	work.run(catalogFeed.run)
	work.run(serversFeed.run)
	if d.settings.ReportsUsage || d.settings.OrdersServers {
		duties.run(func(ctx context.Context) { d.keeper.Run(ctx, d.leaseFailed) })
	}
	if d.settings.ReportsUsage {
		work.run(d.usage.RunParts)
		duties.run(d.usage.RunSettle)
	}
	if d.settings.OrdersServers {
		duties.run(d.orders.Run)
	}
}

// Times of the watch for pauses.
const (
	// pauseWatch is how often the daemon looks whether it runs.
	pauseWatch = time.Second
	// pauseNoted is the pause beyond which it says that it did not run.
	pauseNoted = 500 * time.Millisecond
)

// watchPauses says when the process did not run for a while, because its VM stood
// still or had no processor time: requests are late then for no other reason.
func (d *Daemon) watchPauses(ctx context.Context) {
	last := time.Now().Round(0)
	for ctx.Err() == nil {
		sleep.For(ctx, pauseWatch)
		if ctx.Err() != nil {
			return
		}
		now := time.Now().Round(0) // the wall clock, since the monotonic one may stand still
		if stood := now.Sub(last) - pauseWatch; stood > pauseNoted || stood < -pauseNoted {
			d.logger.WithField("ms", stood.Milliseconds()).Warn("the process did not run for a while, or the clock was set")
		}
		last = now
		d.handler.Moves.SetBurst(moveBurst(d.settings.RetryExtra, d.keeper.Row().Candidates))
	}
}

func (d *Daemon) leaseFailed(err error) {
	d.logger.WithError(err).Warn("a call for the lease of the duties failed")
}

func (d *Daemon) applyServers(rows []adapter.Row, whole bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.beliefs.applyServers(rows, whole)
}

func (d *Daemon) cheapGroups() [][]replica.Spec {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.beliefs.cheapGroups(time.Now())
}

func (d *Daemon) enginesLeave(specs []replica.Spec, at, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.beliefs.leave(specs, at, now)
}

// storeReturned notes that the store answers again, and forgets the entries that
// lapsed meanwhile once backend servers had time to come back.
func (d *Daemon) storeReturned(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.beliefs.returned = now
	time.AfterFunc(lapseHold, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.beliefs.expire(time.Now())
	})
}

// shutDown says that the daemon is not ready, finishes what it has, and ends
// before the platform kills the process.
func (d *Daemon) shutDown(server *http.Server, work, duties *work) {
	began := time.Now()
	d.logger.Info("shutting down")
	d.setDrain()
	d.usage.End()
	end := began.Add(d.settings.Grace - graceMargin)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	serving, stopServing := context.WithDeadline(ctx, end.Add(-finishTime))
	defer stopServing()
	released := make(chan struct{})
	go func() {
		defer close(released)
		duties.stop()
		if err := d.keeper.Release(ctx); err != nil {
			d.logger.WithError(err).Warn("the lease of the duties was not given back and expires by itself")
		}
	}()
	sleep.For(serving, leaveDelay)
	if err := server.Shutdown(serving); err != nil {
		d.logger.WithError(err).Warn("requests are cut off, the time to shut down is over")
	}
	work.stop()
	d.usage.Finish(ctx)
	if d.settings.NeighboursAddress != "" {
		d.handed.Flush(ctx, d.detour.Pass)
		d.neighbours.Remove(ctx)
	}
	<-released
	d.logger.WithField("took-ms", time.Since(began).Milliseconds()).Info("stopped")
}
