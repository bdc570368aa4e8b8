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
	"acaciapath.example/acaciad/crashreports"
	"acaciapath.example/acaciad/directory"
	"acaciapath.example/acaciad/forwarding"
	"acaciapath.example/acaciad/limitreports"
	"acaciapath.example/acaciad/neighbours"
	"acaciapath.example/acaciad/origins"
	"acaciapath.example/acaciad/proxy"
	"acaciapath.example/core/config"
	"acaciapath.example/core/connections"
	"acaciapath.example/core/follow"
	"acaciapath.example/core/lease"
	"acaciapath.example/core/memory"
	"acaciapath.example/core/placement"
	"acaciapath.example/core/replica"
	"acaciapath.example/core/sleep"
	"acaciapath.example/core/usage"
	"acaciapath.example/platform"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Timeouts and intervals of calls to the platform.
const (
	// storeTimeout bounds a call of the store, which usually answers within about
	// 10 ms.
	storeTimeout = 1500 * time.Millisecond
	// cloudTimeout bounds a call of the cloud API, which the control tasks use.
	cloudTimeout = 1500 * time.Millisecond
	// settleMargin is how long before its deadline a usage window is settled even
	// if parts are missing. It leaves time for a few attempts at each call.
	settleMargin = 2 * time.Second
	// reportsHoldTime is how long the store holds a call of the feed of reports. They
	// change rarely, and keep-alive probes detect a connection that fell silent.
	reportsHoldTime = 12 * time.Second
	// reportsReaderHold is the same for a daemon that reads for others, and reportsSilence
	// how long the others wait for news from it.
	reportsReaderHold = 1200 * time.Millisecond
	reportsSilence    = 2 * time.Second
	// initialLeasePoll is how often a daemon checks whether the lease is free, until
	// it knows how many other daemons do so. It allows for hundreds.
	initialLeasePoll = 10 * time.Second
	// leaseStartSpread bounds the random delay before the first check, since all daemons
	// may start together.
	leaseStartSpread = 3 * time.Second
)

// memoryLimitRatio is the soft memory limit of the Go runtime, as a share of the VM's
// memory.
const memoryLimitRatio = 0.6

// Memory for requests, and for large answers that are being received. Answers get up to two thirds
// of it.
const (
	// bufferRatio is its share of the VM's memory.
	bufferRatio = 0.15
	// minBufferBytes applies if the settings do not state the VM's memory.
	minBufferBytes = 12 << 20
)

// bufferBytes returns the memory for requests and large answers on a VM.
func bufferBytes(memoryBytes int64) int64 {
	return max(int64(bufferRatio*float64(memoryBytes)), minBufferBytes)
}

// Daemon serves callers on an entry VM and takes part in the control tasks.
type Daemon struct {
	settings    platform.Settings
	logger      *logrus.Logger
	directory   *directory.Directory
	updater     *directoryUpdater
	drainPoller *drainPoller
	// store is the client of the store that may use neighbours.
	store *platform.Store
	// directStore is the client of the store that never uses neighbours.
	directStore    *platform.Store
	storeTransport *neighbours.Transport
	neighbours     *neighbours.Registry
	catalogFeed    *feed
	serversFeed    *feed
	reportsFeed    *feed
	guard          *crashreports.Guard
	limits         *limitreports.Sharer
	origins        *origins.Registry
	writeQueue     *neighbours.WriteQueue
	collector      *neighbours.Collector
	usage          *control.Usage
	autoscaler     *control.Autoscaler
	keeper         *lease.Keeper
	handler        *proxy.Handler
	registry       *prometheus.Registry
	// monitor watches the own path to backend servers, asker sends requests through neighbours,
	// and lender forwards those of neighbours.
	monitor *forwarding.Monitor
	asker   *forwarding.Asker
	known   knownNeighbours // only the registry's task uses it
	lender  *forwarding.Lender
	// memory is what the process may hold of what others send it.
	memory *memory.Budget
	ports  ports

	// draining is done when the shutdown begins.
	draining      context.Context
	startDraining context.CancelFunc
	// streamsEnd is done when it is too late for another stream before the shutdown ends,
	// and requestsEnd when it is for any request.
	streamsEnd, requestsEnd context.Context
	endStreams, endRequests context.CancelFunc
	// ending is done when running requests get their final answer.
	ending context.Context
	end    context.CancelFunc
	mu     sync.Mutex // guards updater and peers
	// peers are the daemons among which the limits of backend servers are divided.
	peers placement.Peers
}

// New returns a daemon that starts when Run is called. The options must be valid.
func New(s platform.Settings, options Options, logger *logrus.Logger, now time.Time) *Daemon {
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryLimitRatio))
	instance := fmt.Sprintf("%s-%d", s.Name, now.UnixNano())
	random := rand.New(rand.NewPCG(uint64(now.UnixNano()), uint64(len(s.Name))))
	d := &Daemon{settings: s, logger: logger, directory: directory.New(s.FailureDomain, s.ServerDrain, random)}
	d.directory.Regions = s.Regions
	d.memory = memory.NewBudget(bufferBytes(s.MemoryBytes))
	d.updater = newDirectoryUpdater(d.directory, logger)
	d.peers = placement.Peers{VM: s.Name, FailureDomain: s.FailureDomain, Domains: len(s.Regions), LimitMemory: options.LimitMemory}
	if !s.ColdStart {
		d.peers.SettledAt = now.Add(neighbours.MaxReadInterval)
	}
	d.directory.ColdOvershoot, d.directory.ColdSlack = s.ColdOvershoot, s.ColdSlack
	d.directory.SetPeers(d.peers, now)
	d.draining, d.startDraining = context.WithCancel(context.Background())
	d.streamsEnd, d.endStreams = context.WithCancel(context.Background())
	d.requestsEnd, d.endRequests = context.WithCancel(context.Background())
	d.ending, d.end = context.WithCancel(context.Background())
	d.registry = prometheus.NewRegistry()
	d.ports = newPorts(s, d.memory, d.registry, logger)
	d.storeTransport = neighbours.NewTransport(platform.NewStoreTransport(), s.FailureDomain, neighbours.NewMetrics(d.registry), logger,
		rand.New(rand.NewPCG(uint64(now.UnixNano()), 2)))
	d.store = platform.NewStore(s.StoreAddress, storeTimeout, d.storeTransport)
	d.directStore = platform.NewStore(s.StoreAddress, storeTimeout, d.storeTransport.Direct())
	d.directStore.Epochs = d.store.Epochs
	d.store.Epochs.OnRestore(d.handleRestore)
	relayableTable := &platform.Table{Store: d.store}
	directTable := &platform.Table{Store: d.directStore}
	d.neighbours = &neighbours.Registry{
		VM: s.Name, FailureDomain: s.FailureDomain, Address: s.NeighboursAddress, Cores: s.Cores, ColdStart: s.ColdStart,
		Table: relayableTable, OnUpdate: d.setNeighbours, OnMembers: d.setMembers, Logger: logger,
		OnDistant: d.setDistantNeighbours,
		Random:    rand.New(rand.NewPCG(uint64(now.UnixNano()), 3)),
	}
	terms := lease.Terms{Name: lease.UsageReportsName, Holder: instance, Duration: s.LeaseDuration}
	cloud := platform.NewCloudClient(s.CloudAddress, s.Name, s.UsageWindow, cloudTimeout, terms.Transit())
	d.keeper = lease.NewKeeper(directTable, terms, initialLeasePoll, newClock(now))
	d.keeper.FollowEpochs(d.store.Epochs)
	d.usage = &control.Usage{
		Meter:         usage.NewMeter(),
		Writer:        usage.NewWriter(relayableTable, s.Name, instance),
		Reporter:      usage.NewReporter(directTable, cloud, d.keeper),
		Keeper:        d.keeper,
		LeaseDuration: s.LeaseDuration,
		ReportWithin:  s.UsageDeadline,
		Billing:       config.Billing{Window: s.UsageWindow, Grace: s.UsageDeadline - settleMargin},
		Logger:        logger,
	}
	if s.StoreRowBytes > 0 {
		d.usage.Writer.RowBytes, d.usage.Reporter.RowBytes = s.StoreRowBytes, s.StoreRowBytes
	}
	d.usage.StartHandOver = d.storeTransport.StartHandOver
	d.usage.Reporter.SettleWhenComplete = true
	d.usage.Reporter.Epoch = d.store.Epochs.Current
	d.writeQueue = &neighbours.WriteQueue{
		Send: d.directStore.Post, Adopt: d.adoptWrite, TTL: s.UsageDeadline,
		ShuttingDown: func() bool { return d.draining.Err() != nil }, Logger: logger,
	}
	d.collector = neighbours.NewCollector()
	d.collector.Table, d.collector.Logger = directTable, logger
	d.collector.Parse, d.collector.Conflict = platform.ParseTransaction, platform.EncodeConflict
	d.autoscaler = &control.Autoscaler{
		Directory:      d.directory,
		Scaler:         cloud,
		Keeper:         d.keeper,
		Table:          directTable,
		FailureDomains: slices.Sorted(maps.Keys(s.Regions)),
		Logger:         logger,
	}
	d.registry.MustRegister(d.directory)
	d.catalogFeed = d.newFeed(platform.TableCatalog)
	d.catalogFeed.apply = d.applyCatalog
	d.serversFeed = d.newFeed(platform.TableServers)
	d.serversFeed.apply, d.serversFeed.storeRestored = d.applyServers, d.handleStoreRestored
	d.guard = crashreports.NewGuard(options.Quarantine, d.registry)
	d.guard.VM, d.guard.Metrics, d.guard.Logger = s.Name, crashreports.NewMetrics(d.registry), logger
	d.guard.Daemons = func() int { return d.keeper.Row().Candidates }
	reports := &platform.Table{
		Store: platform.NewStore(s.StoreAddress, storeTimeout, d.storeTransport.Relayed()), Name: platform.TableReports,
	}
	reports.Store.Epochs = d.store.Epochs
	d.guard.Table = reports
	d.usage.Reported = &control.Reported{Table: reports, Epoch: d.store.Epochs.Current, Fence: d.keeper.ExclusiveFence, AnsweredSince: d.store.Epochs.AnsweredSince, Window: s.UsageWindow, Daemons: d.guard.Daemons, Logger: logger}
	d.usage.Reporter.Reported = d.usage.Reported
	d.limits = limitreports.NewSharer()
	d.limits.Table, d.limits.Memory, d.limits.Daemons, d.limits.Logger = reports, options.LimitMemory, d.guard.Daemons, logger
	d.limits.Learn, d.limits.Forget = d.learnLimit, d.forgetLimit
	collectedTable := &platform.Table{Store: platform.NewStore(s.StoreAddress, storeTimeout, d.storeTransport.Collected())}
	collectedTable.Store.Epochs = d.store.Epochs
	d.origins = origins.NewRegistry()
	d.origins.VM, d.origins.Table, d.origins.Logger = s.Name, collectedTable, logger
	d.origins.Epoch = d.store.Epochs.Current
	d.origins.Daemons, d.origins.ListAge, d.origins.Metrics = d.guard.Daemons, d.serversFeed.newsAge, origins.NewMetrics(d.registry)
	d.updater.origins = d.origins
	d.reportsFeed = d.newFeed(platform.TableReports)
	d.reportsFeed.apply, d.reportsFeed.holdTime = d.applyReports, reportsHoldTime
	d.reportsFeed.times.Hold, d.reportsFeed.times.Silence = reportsReaderHold, reportsSilence
	d.newForwarding(options.DialServer, now)
	client := proxy.NewClient(d.monitor.Dial)
	engines := &platform.EngineClient{Transport: client.Transport(), StopTransport: client.SingleUseTransport()}
	d.drainPoller = &drainPoller{
		engines: engines, groups: d.stayingCheapEngines, markDraining: d.markEnginesDraining, logger: logger,
		random: rand.New(rand.NewPCG(uint64(now.UnixNano()), 1)),
	}
	d.serversFeed.storeFailed = d.drainPoller.suspectStore
	d.handler = &proxy.Handler{
		Directory:    d.directory,
		Client:       client,
		Guard:        d.guard,
		Limits:       d.limits,
		Origins:      d.origins,
		EngineClient: engines,
		Meter:        d.usage.Meter,
		Metrics:      proxy.NewMetrics(d.registry),
		Logger:       logger,
		Buffers:      d.memory,
		RetryBudgets: proxy.NewBudgets(retryBudget(s, now)),
		MoveBudgets:  proxy.NewBudgets(moveBudget(s, now)),
		Draining:     d.draining,
		StreamsEnd:   d.streamsEnd,
		RequestsEnd:  d.requestsEnd,
		Ending:       d.ending,
		Path:         d.monitor,
		Neighbours:   d.asker,
		Detours:      forwarding.NewDetours(options.DialServer, d.registry, logger, now),
	}
	d.lendPath(options.DialServer)
	engines.OnStatement = d.handler.HearAt
	return d
}

// newFeed returns a feed of a table, which still lacks its function apply.
func (d *Daemon) newFeed(table string) *feed {
	settings := d.settings
	if table == platform.TableCatalog && settings.EvacuationTime > 0 {
		settings.ServerDrain = min(settings.ServerDrain, settings.EvacuationTime) // evacuations are followed in time as well
	}
	f := newFeed(settings.Name, table, settings, d.store, d.logger)
	f.coldStart = d.settings.ColdStart
	f.awaitMembers = d.settings.NeighboursAddress != ""
	f.membersOutdated = d.neighbours.Refresh
	registerFeedMetrics(d.registry, f)
	return f
}

// setMembers passes the daemons of the failure domain to the feeds and the directory.
func (d *Daemon) setMembers(members []follow.Member) {
	vms := make([]string, len(members))
	for i, m := range members {
		vms[i] = m.VM
	}
	d.setPeers(func(p *placement.Peers) { p.Members = vms })
	d.catalogFeed.setMembers(members)
	d.serversFeed.setMembers(members)
	d.reportsFeed.setMembers(members)
	d.storeTransport.SetMembers(d.settings.Name, members)
}

// adoptWrite takes over the usage in a write that another daemon handed over and that
// the store rejected.
func (d *Daemon) adoptWrite(_ string, body []byte) error {
	commit, err := platform.ParseTransaction(body)
	if err != nil {
		return err
	}
	return d.usage.Writer.Adopt(commit)
}

// newClock returns a clock whose monotonic time is 0 at start.
func newClock(start time.Time) lease.Clock {
	return func() lease.Instant {
		now := time.Now()
		return lease.Instant{Monotonic: now.Sub(start), Wall: now.Round(0)}
	}
}

// Run serves until ctx is done, and then shuts down gracefully. It returns an error if
// it cannot listen on its addresses.
func (d *Daemon) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp4", d.settings.CallersAddress)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp4", d.settings.ReadyAddress)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: d.handler}
	d.ports.callers.Protect(server)
	callerConnections := connections.Track(server)
	go d.logServeError(func() error { return callerConnections.Serve(d.ports.callers.Listen(callers)) })
	go d.serve(d.ports.ready, http.HandlerFunc(d.serveReady), ready)
	d.serveMetrics()
	d.serveNeighbours()
	background := newTaskGroup()
	controlTasks := newTaskGroup()
	d.start(background, controlTasks)
	d.logger.WithFields(logrus.Fields{
		"vm": d.settings.Name, "failure-domain": d.settings.FailureDomain,
		"callers": d.settings.CallersAddress, "store": d.settings.StoreAddress,
	}).Info("started")
	if len(d.settings.DefaultedKeys) > 0 {
		d.logger.WithField("settings", d.settings.DefaultedKeys).Warn("keys missing in the settings file, using defaults")
	}
	<-ctx.Done()
	d.shutDown(callerConnections, background, controlTasks)
	return nil
}

// start starts the background tasks, which run until all requests have ended, and the
// control tasks, which depend on their lease and end at once on shutdown.
func (d *Daemon) start(background, controlTasks *taskGroup) {
	background.run(d.drainPoller.run)
	background.run(d.monitor.Run)
	background.run(d.logProcessPauses)
	background.run(d.followDaemonCount)
	background.run(func(ctx context.Context) { d.storeTransport.Run(ctx, d.directStore.Ping) })
	if d.settings.NeighboursAddress != "" {
		background.run(d.neighbours.Run)
		background.run(d.writeQueue.Run)
		background.run(d.collector.Run)
	}
	background.run(d.catalogFeed.run)
	background.run(d.serversFeed.run)
	background.run(d.reportsFeed.run)
	background.run(d.guard.Run)
	background.run(d.limits.Run)
	background.run(d.origins.Run)
	if d.settings.ReportsUsage || d.settings.OrdersServers {
		controlTasks.run(func(ctx context.Context) {
			sleep.For(ctx, rand.N(leaseStartSpread))
			d.keeper.Run(ctx, d.logLeaseFailure)
		})
	}
	if d.settings.ReportsUsage {
		background.run(d.usage.RunParts)
		controlTasks.run(d.usage.RunSettlement)
	}
	if d.settings.OrdersServers {
		controlTasks.run(d.autoscaler.Run)
	}
}

// handleRestore has what the store has lost written again, since it was restored from a
// copy.
func (d *Daemon) handleRestore(previous, current uint64) {
	d.logger.WithFields(logrus.Fields{"epoch": current, "last-epoch": previous}).
		Warn("store was restored from a copy, what was written last is written again")
	d.usage.HandleRestore()
	d.writeQueue.HandleRestore(time.Now())
	d.neighbours.HandleRestore()
	d.origins.HandleRestore()
	d.autoscaler.HandleRestore()
	d.compareEntries(time.Now())
	d.handleStoreRestored(time.Now()) // servers that started since the copy write their entries again
}

// compareEntries has entries of backend servers compared with those from before the store was
// restored from a copy, for a while.
func (d *Daemon) compareEntries(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	time.AfterFunc(d.updater.history.HandleRestore(now), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.updater.useRefused(time.Now())
	})
}

// logLeaseFailure logs a failed call for the lease.
func (d *Daemon) logLeaseFailure(err error) {
	d.logger.WithError(err).Warn("store call for the lease of the control tasks failed, will retry")
}

// applyServers calls directoryUpdater.applyServers with the lock.
func (d *Daemon) applyServers(rows []platform.Row, snapshot bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.updater.applyServers(rows, snapshot)
}

// applyReports applies what daemons report about backend servers.
func (d *Daemon) applyReports(rows []platform.Row, snapshot bool) bool {
	version := d.reportsFeed.version
	d.limits.Apply(rows, snapshot, version)
	d.usage.Reported.Apply(rows, snapshot, time.Now())
	return d.guard.Apply(rows, snapshot, version)
}

// learnLimit applies the limit of a backend server that another daemon reports.
func (d *Daemon) learnLimit(instance string, perSecond float64, named time.Time) {
	if d.directory.LearnLimit(instance, perSecond, named, time.Now()) {
		d.logger.WithFields(logrus.Fields{"backend-server": instance, "per-second": perSecond}).
			Info("limit of a backend server learned from another daemon, sending it this daemon's part")
	}
}

// forgetLimit applies that a backend server names no limit any more.
func (d *Daemon) forgetLimit(instance string) {
	if d.directory.ForgetLimit(instance) {
		d.logger.WithField("backend-server", instance).Info("limit of a backend server ended, as another daemon reports")
	}
}

// stayingCheapEngines calls directoryUpdater.stayingCheapEngines with the lock, and leaves out
// engines that asked for a pause.
func (d *Daemon) stayingCheapEngines() [][]replica.Spec {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	groups := d.updater.stayingCheapEngines(now)
	for i, group := range groups {
		groups[i] = slices.DeleteFunc(group, func(spec replica.Spec) bool { return d.directory.IsPaused(spec.Instance(), now) })
	}
	return slices.DeleteFunc(groups, func(group []replica.Spec) bool { return len(group) == 0 })
}

// markEnginesDraining calls directoryUpdater.markDraining with the lock.
func (d *Daemon) markEnginesDraining(specs []replica.Spec, stopsAt, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updater.markDraining(specs, stopsAt, now)
}

// handleStoreRestored records that the store is available again. It schedules the
// removal of entries that are still missing once backend servers have had time to
// write them again.
func (d *Daemon) handleStoreRestored(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updater.storeRestoredAt = now
	time.AfterFunc(missingEntryHold, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.updater.removeHeld(time.Now())
	})
}
