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

// callTimeout bounds one round of calls of peers.
const callTimeout = 2 * time.Second

// Run works until ctx ends, and then shuts down gracefully: what is under way
// is finished, up to the drain timeout, and the leases are given back. It
// returns ErrRelease if that failed. It is called once.
func (d *Daemon) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var loops, duties sync.WaitGroup
	loops.Go(func() { _ = d.opsHTTP.Serve(d.ops) })
	loops.Go(func() { d.heartbeats.Run(work) })
	loops.Go(func() { d.orders.Run(work, d.report("lease")) })
	loops.Go(func() { d.usage.Run(work, d.report("lease")) })
	loops.Go(func() { program.Every(ctx, d.settings.ConfigPollInterval, func(context.Context) { d.follow(work) }) })
	loops.Go(func() { program.Every(ctx, d.options.VMListInterval, func(context.Context) { d.refresh(work) }) })
	duties.Go(func() { program.Every(ctx, d.options.ReconcileInterval, func(context.Context) { d.reconcile(work) }) })
	duties.Go(func() {
		program.Every(ctx, d.options.UsageCheckInterval, func(context.Context) { d.settle(ctx, work) })
	})
	d.logger.WithField("address", d.PeerAddress()).Info("started")

	<-ctx.Done()
	d.logger.Info("shutting down")
	d.leaving.Store(true)
	d.heartbeats.Leave()
	expired := time.AfterFunc(d.settings.DrainTimeout, stop)
	duties.Wait()
	expired.Stop()
	stop()
	_ = d.opsHTTP.Close()
	loops.Wait()
	err := d.release()
	d.close()
	d.logger.Info("stopped")
	return err
}

// release gives the leases back.
func (d *Daemon) release() error {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.LeaseDuration)
	defer cancel()
	var wait sync.WaitGroup
	errs := make([]error, 2)
	for i, keeper := range []*lease.Keeper{d.orders, d.usage} {
		wait.Go(func() { errs[i] = keeper.Release(ctx) })
	}
	wait.Wait()
	if err := errors.Join(errs...); err != nil {
		return ErrLeaseNotReleased
	}
	return nil
}

// follow brings the newest configuration into force, from the platform or else
// from other daemons.
func (d *Daemon) follow(ctx context.Context) {
	now := d.options.Clock().Wall
	changed, err := d.watcher.Poll(ctx, now)
	if err != nil {
		d.report("config")(err)
	}
	if !changed {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		changed, _ = d.watcher.PollPeers(ctx, d.settings.VMName, d.members.some(), now)
	}
	if changed {
		d.logger.WithField(telemetry.FieldRevision, d.watcher.Revision()).Info("configuration is in force")
	}
}

// refresh reads the list of VMs and adapts how often the lease rows are read.
func (d *Daemon) refresh(ctx context.Context) {
	if err := d.members.refresh(ctx); err != nil {
		d.report("members")(err)
		return
	}
	orders, usage := d.members.candidates()
	d.orders.SetPoll(lease.PollInterval(d.settings.LeaseDuration, orders, d.jitter))
	d.usage.SetPoll(lease.PollInterval(d.settings.LeaseDuration, usage, d.jitter))
}

// reconcile orders and releases backend servers if the daemon is in charge.
func (d *Daemon) reconcile(ctx context.Context) {
	index := d.watcher.Index()
	if index == nil || d.orders.Held() == nil {
		d.metrics.pools(nil, d.monotonic())
		return
	}
	ask, cancel := context.WithTimeout(ctx, callTimeout)
	statuses, known, err := d.members.statuses(ask)
	cancel()
	if err != nil {
		d.report("status")(err)
	}
	observed := order.Observe(statuses, index, known)
	states, err := d.reconciler.Reconcile(ctx, d.monotonic(), index, observed)
	if states != nil {
		d.metrics.pools(states, d.monotonic())
	}
	if err != nil {
		d.report("orders")(err)
	}
}

// settle reports the usage windows that are due if the daemon is in charge,
// until there are no more or ctx ends. Work outlasts ctx.
func (d *Daemon) settle(ctx, work context.Context) {
	instant := d.options.Clock()
	// The clock is read in every round, so that a jump is known when the lease
	// comes.
	now := d.windows.Now(instant.Wall, instant.Monotonic)
	index := d.watcher.Index()
	for ctx.Err() == nil && index != nil && d.usage.Held() != nil {
		window, err := d.reporter.Settle(work, now, index.Config.Billing)
		if window != nil {
			billing := index.Config.Billing
			d.metrics.reported(d.options.Clock().Wall.Sub(window.Start.Add(billing.Window + billing.Grace)))
			d.logger.WithField("window", usage.FormatStart(window.Start)).Info("usage window is reported")
		}
		if err != nil {
			d.report("usage")(err)
		}
		if window == nil || err != nil {
			return
		}
	}
}

// report returns a function that logs and counts failures of a part. That the
// daemon is not in charge, or that it shuts down, is none.
func (d *Daemon) report(part string) func(error) {
	return func(err error) {
		if errors.Is(err, lease.ErrNotHeld) || errors.Is(err, context.Canceled) {
			return
		}
		d.metrics.failures.WithLabelValues(part).Inc()
		d.logger.WithError(err).WithField("part", part).Warn("call failed")
	}
}
