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
	"acaciapath.example/acaciad/proxy"
	"acaciapath.example/core/config"
	"acaciapath.example/core/lease"
	"acaciapath.example/core/replica"
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

// memoryShare is the share of the VM's memory that the garbage collector aims
// to stay below.
const memoryShare = 0.6

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
	handed     *neighbours.WriteQueue
	usage      *control.Usage
	orders     *control.Autoscaler
	keeper     *lease.Keeper
	handler    *proxy.Handler
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
		Table: anyway, OnUpdate: d.detour.SetNeighbours, Logger: logger,
		Random: rand.New(rand.NewPCG(uint64(now.UnixNano()), 3)),
	}
	duties := adapter.NewCloudClient(s.CloudAddress, s.Name, s.UsageWindow, dutyTimeout)
	terms := lease.Terms{Name: lease.UsageName, Holder: instance, Duration: s.Lease}
	d.keeper = lease.NewKeeper(table, terms, leasePoll, newClock(now))
	d.usage = &control.Usage{
		Meter:         usage.NewMeter(),
		Writer:        usage.NewWriter(anyway, s.Name, instance),
		Reporter:      usage.NewReporter(table, duties, d.keeper),
		Keeper:        d.keeper,
		LeaseDuration: s.Lease,
		ReportWithin:  s.UsageDue,
		Billing:       config.Billing{Window: s.UsageWindow, Grace: s.UsageDue - partGrace},
		Logger:        logger,
	}
	d.usage.StartHandOver = d.detour.StartHandOver
	d.usage.Reporter.SettleWhenComplete = true
	d.handed = &neighbours.WriteQueue{Send: d.direct.Post, TTL: s.UsageDue, ShuttingDown: func() bool { return d.drain.Err() != nil }, Logger: logger}
	d.orders = &control.Autoscaler{
		Directory:      d.directory,
		Scaler:         duties,
		Keeper:         d.keeper,
		Table:          table,
		FailureDomains: slices.Sorted(maps.Keys(s.Regions)),
		Logger:         logger,
	}
	d.registry.MustRegister(d.directory)
	client := proxy.NewClient()
	engines := &adapter.EngineClient{Transport: client.Transport()}
	d.sentry = &sentry{
		engines: engines, groups: d.cheapGroups, leave: d.enginesLeave, logger: logger,
		random: rand.New(rand.NewPCG(uint64(now.UnixNano()), 1)),
	}
	d.handler = &proxy.Handler{
		Directory:    d.directory,
		Client:       client,
		Engines:      engines,
		Meter:        d.usage.Meter,
		Metrics:      proxy.NewMetrics(d.registry),
		Logger:       logger,
		RetryBudgets: proxy.NewBudgets(retryBudget(s, now)),
		MoveBudgets:  proxy.NewBudgets(moveBudget(s, now)),
		Draining:     d.drain,
	}
	return d
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
	if len(d.settings.DefaultedKeys) > 0 {
		d.logger.WithField("settings", d.settings.DefaultedKeys).Warn("the settings file leaves figures out, and usual ones are assumed")
	}
	<-ctx.Done()
	d.shutDown(server, work, duties)
	return nil
}

// start starts the daemon's regular work, and its part in the duties.
func (d *Daemon) start(work, duties *work) {
	wait, gap := feedWait(d.settings), feedGap(d.settings)
	catalogFeed := &feed{
		wait: wait, gap: gap, store: d.store, name: adapter.TableCatalog, logger: d.logger,
		apply:    d.beliefs.applyCatalog,
		returned: func(time.Time) {},
		failed:   func(time.Time) {},
	}
	serversFeed := &feed{
		wait: wait, gap: gap, store: d.store, name: adapter.TableServers, logger: d.logger,
		apply: d.applyServers, returned: d.storeReturned, failed: d.sentry.doubt,
	}
	registerAge(d.registry, catalogFeed)
	registerAge(d.registry, serversFeed)
	work.run(d.sentry.run)
	work.run(d.watchPauses)
	work.run(d.followCandidates)
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
