package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"acaciapath.example/core/lease"
	"acaciapath.example/core/order"
	"acaciapath.example/core/program"
	"acaciapath.example/core/telemetry"
	"acaciapath.example/core/usage"
)

// peerCallTimeout is the maximum time of one round of calls to peers.
const peerCallTimeout = 2 * time.Second

// Run runs the daemon until ctx ends, and then shuts it down gracefully: it finishes
// the reconciliation and the usage report in progress, canceling them after the drain
// timeout, and releases the leases. It returns ErrLeaseNotReleased if a lease could
// not be released. Run must be called only once.
func (d *Daemon) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var loops, controlTasks sync.WaitGroup
	loops.Go(func() { _ = d.opsServer.Serve(d.opsListener) })
	loops.Go(func() { d.heartbeats.Run(work) })
	loops.Go(func() { d.ordersLease.Run(work, d.failureReporter("lease")) })
	loops.Go(func() { d.usageLease.Run(work, d.failureReporter("lease")) })
	loops.Go(func() {
		program.Every(ctx, d.settings.ConfigPollInterval, func(context.Context) { d.pollConfig(work) })
	})
	loops.Go(func() { program.Every(ctx, d.options.VMListInterval, func(context.Context) { d.refreshVMs(work) }) })
	controlTasks.Go(func() { program.Every(ctx, d.options.ReconcileInterval, func(context.Context) { d.reconcile(work) }) })
	controlTasks.Go(func() {
		program.Every(ctx, d.options.UsageCheckInterval, func(context.Context) { d.reportUsage(ctx, work) })
	})
	d.logger.WithField("address", d.PeerAddress()).Info("started")

	<-ctx.Done()
	d.logger.Info("shutting down")
	d.shuttingDown.Store(true)
	d.heartbeats.Leave()
	drainTimer := time.AfterFunc(d.settings.DrainTimeout, stop)
	controlTasks.Wait()
	drainTimer.Stop()
	stop()
	_ = d.opsServer.Close()
	loops.Wait()
	err := d.releaseLeases()
	d.close()
	d.logger.Info("stopped")
	return err
}

// releaseLeases releases both leases, so that another daemon does not have to wait
// until they expire. It returns ErrLeaseNotReleased if a call failed.
func (d *Daemon) releaseLeases() error {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.LeaseDuration)
	defer cancel()
	var wait sync.WaitGroup
	errs := make([]error, 2)
	for i, keeper := range []*lease.Keeper{d.ordersLease, d.usageLease} {
		wait.Go(func() { errs[i] = keeper.Release(ctx) })
	}
	wait.Wait()
	if err := errors.Join(errs...); err != nil {
		return ErrLeaseNotReleased
	}
	return nil
}

// pollConfig loads the newest configuration from the platform. If that brings no new
// revision into force, it asks a few entry daemons.
func (d *Daemon) pollConfig(ctx context.Context) {
	now := d.options.Clock().Wall
	changed, err := d.watcher.Poll(ctx, now)
	if err != nil {
		d.failureReporter("config")(err)
	}
	if !changed {
		ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		defer cancel()
		changed, _ = d.watcher.PollPeers(ctx, d.settings.VMName, d.vmDirectory.randomPeers(), now)
	}
	if changed {
		d.logger.WithField(telemetry.FieldRevision, d.watcher.Revision()).Info("configuration in force")
	}
}

// refreshVMs reads the list of VMs and adapts the poll interval of the lease rows to
// the number of candidates.
func (d *Daemon) refreshVMs(ctx context.Context) {
	if err := d.vmDirectory.refresh(ctx); err != nil {
		d.failureReporter("members")(err)
		return
	}
	ordersCandidates, usageCandidates := d.vmDirectory.candidateCounts()
	d.ordersLease.SetPollInterval(lease.PollInterval(d.settings.LeaseDuration, ordersCandidates, d.jitter))
	d.usageLease.SetPollInterval(lease.PollInterval(d.settings.LeaseDuration, usageCandidates, d.jitter))
}

// reconcile orders and releases backend servers if the daemon holds the orders lease.
func (d *Daemon) reconcile(ctx context.Context) {
	index := d.watcher.Index()
	if index == nil || d.ordersLease.Held() == nil {
		d.metrics.recordPools(nil, d.monotonicTime())
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	statuses, complete, err := d.vmDirectory.statuses(callCtx)
	cancel()
	if err != nil {
		d.failureReporter("status")(err)
	}
	observed := order.Observe(statuses, index, complete)
	states, err := d.reconciler.Reconcile(ctx, d.monotonicTime(), index, observed)
	if states != nil {
		d.metrics.recordPools(states, d.monotonicTime())
	}
	if err != nil {
		d.failureReporter("orders")(err)
	}
}

// reportUsage reports the usage windows that are due, one after the other, if the
// daemon holds the usage lease. It starts no further window once ctx ends; the window
// in progress continues under work, which ends later.
func (d *Daemon) reportUsage(ctx, work context.Context) {
	instant := d.options.Clock()
	// windowClock is advanced also while the daemon does not hold the lease, so that
	// it has noticed any jump of the wall clock before the lease is acquired.
	now := d.windowClock.Now(instant.Wall, instant.Monotonic)
	index := d.watcher.Index()
	for ctx.Err() == nil && index != nil && d.usageLease.Held() != nil {
		window, err := d.reporter.Settle(work, now, index.Config.Billing)
		if window != nil {
			billing := index.Config.Billing
			d.metrics.observeReport(d.options.Clock().Wall.Sub(window.Start.Add(billing.Window + billing.Grace)))
			d.logger.WithField("window", usage.FormatWindowStart(window.Start)).Info("usage window reported")
		}
		if err != nil {
			d.failureReporter("usage")(err)
		}
		if window == nil || err != nil {
			return
		}
	}
}

// failureReporter returns a function that logs and counts an error of the given part
// of the daemon. It ignores errors that say that the daemon does not hold the lease or
// that a shutdown canceled the call.
func (d *Daemon) failureReporter(part string) func(error) {
	return func(err error) {
		if errors.Is(err, lease.ErrNotHeld) || errors.Is(err, context.Canceled) {
			return
		}
		d.metrics.failures.WithLabelValues(part).Inc()
		d.logger.WithError(err).WithField("part", part).Warn("task failed, will be retried")
	}
}
