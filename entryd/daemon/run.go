package daemon

import (
	"context"
	"encoding/hex"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/peer"
	"acaciapath.example/core/program"
	"acaciapath.example/core/telemetry"
	"acaciapath.example/entryd/caller"
	"acaciapath.example/entryd/metrics"

	"github.com/ansel1/merry/v2"
)

// Intervals and time limits of the daemon's background work.
const (
	// flushInterval is how often usage is written to the platform.
	flushInterval = 2 * time.Second
	// flushTimeout limits the final writing of usage during shutdown.
	flushTimeout = 30 * time.Second
	// isolationCheckInterval is how often the daemon checks whether it is
	// isolated.
	isolationCheckInterval = 500 * time.Millisecond
	// cancelledRequestsTimeout is how long requests have to end after the drain
	// timeout has cancelled them.
	cancelledRequestsTimeout = 3 * time.Second
	// flushRetryPause is the time between attempts at the final writing of
	// usage.
	flushRetryPause = 200 * time.Millisecond
	// defaultUsageWindow is the length of usage windows before the first
	// configuration is in force.
	defaultUsageWindow = time.Minute
	// instanceBytes is the number of random bytes in the name of a process
	// instance.
	instanceBytes = 8
)

// ErrUsageNotWritten is returned by Run when usage could not be written before
// flushTimeout expired.
var ErrUsageNotWritten = merry.Sentinel("daemon: usage was not written")

// ErrRequestsCancelled is returned by Run when requests were cancelled because they
// outlasted the drain timeout.
var ErrRequestsCancelled = merry.Sentinel("daemon: requests outlasted the drain timeout")

// newInstanceName returns a name that no other process has.
func newInstanceName(random io.Reader) (string, error) {
	var raw [instanceBytes]byte
	if _, err := io.ReadFull(random, raw[:]); err != nil {
		return "", merry.Prepend(err, "daemon: read random source")
	}
	return hex.EncodeToString(raw[:]), nil
}

// Run serves until ctx is done, and then shuts down gracefully: the daemon
// reports that it is not ready, accepts connections for the leave delay, waits
// for running requests up to the drain timeout, and writes the remaining usage.
// Run returns ErrRequestsCancelled if it had to cancel requests, ErrUsageNotWritten if
// usage could not be written, or both joined. It must be called only once.
func (d *Daemon) Run(ctx context.Context) error {
	loopCtx, stopLoops := context.WithCancel(context.Background())
	defer stopLoops()
	var loops sync.WaitGroup
	changes, unsubscribe := d.watcher.Subscribe()
	defer unsubscribe()
	loops.Go(func() { d.followConfig(loopCtx, changes) })
	loops.Go(func() { d.scheduler.Run(loopCtx) })
	loops.Go(func() { d.directory.Run(loopCtx) })
	loops.Go(func() { d.pollConfig(loopCtx) })
	loops.Go(func() { d.membership.Run(loopCtx) })
	loops.Go(func() { d.flushUsage(loopCtx) })
	loops.Go(func() { _ = d.opsServer.Serve(d.opsListener) })
	loops.Go(d.callerServer.Serve)
	d.logger.WithField("address", d.CallersAddress()).Info("started")

	<-ctx.Done()
	err := d.drain()
	d.chat.Wait()
	err = errors.Join(err, d.flushFinalUsage())
	stopLoops()
	_ = d.opsServer.Close()
	d.close()
	loops.Wait()
	d.logger.Info("stopped")
	return err
}

// drain reports that the daemon is not ready, stops accepting connections after
// the leave delay and waits for the requests of callers. It returns
// ErrRequestsCancelled if it had to cancel requests after the drain timeout.
func (d *Daemon) drain() error {
	d.logger.Info("shutting down")
	d.shuttingDown.Store(true)
	d.handler.ShuttingDown.Store(true)
	d.membership.Leave()
	time.Sleep(d.options.LeaveDelay)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainTimeout)
	defer cancel()
	if d.callerServer.Shutdown(ctx) == nil {
		return nil
	}
	d.cancelRequests(caller.ErrDrainTimeout)
	ctx, cancel = context.WithTimeout(context.Background(), cancelledRequestsTimeout)
	defer cancel()
	_ = d.callerServer.Shutdown(ctx)
	return ErrRequestsCancelled
}

// followConfig puts each new configuration in force, and rejects all keys while
// the daemon is isolated.
func (d *Daemon) followConfig(ctx context.Context, changes <-chan *config.Index) {
	ticker := time.NewTicker(isolationCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case index := <-changes:
			d.applyConfig(index)
		case <-ticker.C:
			d.checkIsolation(d.options.Clock())
		}
	}
}

// checkIsolation suspends the keys when the daemon becomes isolated, and
// restores them when it has reached the platform or a neighbour again.
// Neighbours count like the platform, so that a failure domain that is cut off
// as a whole continues to serve.
func (d *Daemon) checkIsolation(now time.Time) {
	snapshot := d.access.Load()
	if snapshot == nil {
		return
	}
	log := d.logger.WithField(telemetry.FieldRevision, snapshot.Index.Revision)
	d.hasNeighbours = d.hasNeighbours || slices.ContainsFunc(d.membership.View().Members, func(m peer.Member) bool {
		return m.VM != d.settings.VMName
	})
	reached := reachability{
		Limit: d.settings.IsolatedKeyDuration, PlatformReachedAt: d.watcher.ConfirmedAt(),
		NeighbourReachedAt: d.membership.LastContact(), HasNeighbours: d.hasNeighbours,
	}
	switch isolated := reached.isolated(now); {
	case isolated && !snapshot.KeysUnconfirmed:
		d.access.Suspend()
		log.WithField("reached", reached.lastReachedAt()).Warn("platform and neighbours unreachable, rejecting all keys")
	case !isolated && snapshot.KeysUnconfirmed:
		d.access.Replace(snapshot.Index)
		log.Info("platform or neighbour reachable again, accepting keys")
	}
}

// applyConfig puts a configuration in force. The keys are replaced last, so that
// every accepted request finds the other parts of the configuration in force.
func (d *Daemon) applyConfig(index *config.Index) {
	d.callerServer.SetLimits(index.Config.Limits)
	d.scheduler.SetLimits(index.Config.Limits)
	d.directory.SetConfig(index.Config)
	d.access.Replace(index)
	d.logger.WithField(telemetry.FieldRevision, index.Revision).Info("configuration in force")
}

// pollConfig periodically fetches newer revisions from the platform.
func (d *Daemon) pollConfig(ctx context.Context) {
	program.Every(ctx, d.settings.ConfigPollInterval, func(ctx context.Context) {
		d.metrics.CountControlMessage(metrics.ControlConfig)
		if _, err := d.watcher.Poll(ctx, d.options.Clock()); err != nil && ctx.Err() == nil {
			d.logger.WithError(err).Debug("polling the configuration failed, retrying at the next interval")
		}
	})
}

// flushUsage periodically writes usage to the platform.
func (d *Daemon) flushUsage(ctx context.Context) {
	program.Every(ctx, flushInterval, func(ctx context.Context) {
		if err := d.flush(ctx); err != nil && ctx.Err() == nil {
			d.logger.WithError(err).Warn("writing usage failed, retrying at the next interval")
		}
	})
}

// flush writes the recorded usage once.
func (d *Daemon) flush(ctx context.Context) error {
	now, window := d.options.Clock(), d.usageWindow()
	d.usageWriter.Add(d.meter.TakePart(now, window))
	d.metrics.CountControlMessage(metrics.ControlUsage)
	return d.usageWriter.Flush(ctx, now, window)
}

// flushFinalUsage writes the remaining usage and retries until flushTimeout
// expires. It returns ErrUsageNotWritten if usage remains.
func (d *Daemon) flushFinalUsage() error {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for {
		err := d.flush(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			d.logger.WithError(err).WithField("lines", len(d.usageWriter.Pending())).Error("usage not written before the shutdown timeout, usage is lost")
			return merry.Wrap(ErrUsageNotWritten, merry.WithCause(err))
		case <-time.After(flushRetryPause):
		}
	}
}

// usageWindow returns the length of usage windows.
func (d *Daemon) usageWindow() time.Duration {
	if snapshot := d.access.Load(); snapshot != nil {
		return snapshot.Index.Config.Billing.Window
	}
	return defaultUsageWindow
}
