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

// Times of the daemon's own work.
const (
	// flushInterval is how often usage is written to the platform.
	flushInterval = 2 * time.Second
	// flushTimeout bounds the last writing of usage.
	flushTimeout = 30 * time.Second
	// isolationCheck is how often the daemon checks whether it reaches anybody.
	isolationCheck = 500 * time.Millisecond
	// endTimeout is how long requests that were cut have to end.
	endTimeout = 3 * time.Second
	// retryPause is the time between attempts at the last writing of usage.
	retryPause = 200 * time.Millisecond
	// defaultWindow is the usage window before the first configuration.
	defaultWindow = time.Minute
	// instanceBytes is the number of random bytes in the name of an instance.
	instanceBytes = 8
)

// ErrUsageNotWritten is returned by Run when usage could not be written before the end.
var ErrUsageNotWritten = merry.Sentinel("daemon: usage was not written")

// ErrRequestsCut is returned by Run when requests were cut because they outlasted the
// drain timeout.
var ErrRequestsCut = merry.Sentinel("daemon: requests outlasted the drain timeout")

// newInstance returns a name for a process that differs from that of any other.
func newInstance(random io.Reader) (string, error) {
	var raw [instanceBytes]byte
	if _, err := io.ReadFull(random, raw[:]); err != nil {
		return "", merry.Prepend(err, "daemon: random source")
	}
	return hex.EncodeToString(raw[:]), nil
}

// Run serves until ctx ends, and then shuts down gracefully: the daemon says
// that it is not ready, accepts connections a little longer, finishes requests
// up to the drain timeout and writes usage. It returns ErrCut or ErrUsage if
// that failed. It is called once.
func (d *Daemon) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var loops sync.WaitGroup
	changes, unsubscribe := d.watcher.Subscribe()
	defer unsubscribe()
	loops.Go(func() { d.follow(work, changes) })
	loops.Go(func() { d.scheduler.Run(work) })
	loops.Go(func() { d.directory.Run(work) })
	loops.Go(func() { d.poll(work) })
	loops.Go(func() { d.members.Run(work) })
	loops.Go(func() { d.flushUsage(work) })
	loops.Go(func() { _ = d.opsHTTP.Serve(d.ops) })
	loops.Go(d.callers.Serve)
	d.logger.WithField("address", d.CallersAddress()).Info("started")

	<-ctx.Done()
	err := d.drain()
	d.chat.Wait()
	err = errors.Join(err, d.lastFlush())
	stop()
	_ = d.opsHTTP.Close()
	d.close()
	loops.Wait()
	d.logger.Info("stopped")
	return err
}

// drain ends the work for callers.
func (d *Daemon) drain() error {
	d.logger.Info("shutting down")
	d.leaving.Store(true)
	d.gate.ShuttingDown.Store(true)
	d.members.Leave()
	time.Sleep(d.options.LeaveDelay)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainTimeout)
	defer cancel()
	if d.callers.Shutdown(ctx) == nil {
		return nil
	}
	d.endBase(caller.ErrDrainTimeout)
	ctx, cancel = context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	_ = d.callers.Shutdown(ctx)
	return ErrRequestsCut
}

// follow puts each new configuration in force, and accepts no keys while the
// daemon is isolated.
func (d *Daemon) follow(ctx context.Context, changes <-chan *config.Index) {
	ticker := time.NewTicker(isolationCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case index := <-changes:
			d.bring(index)
		case <-ticker.C:
			d.checkIsolation(d.options.Clock())
		}
	}
}

// checkIsolation suspends the keys once the daemon has reached nobody for too
// long, and accepts them again when it has. Neighbours count as well as the
// platform, so that a failure domain that is cut off as a whole serves on.
func (d *Daemon) checkIsolation(now time.Time) {
	snapshot := d.access.Load()
	if snapshot == nil {
		return
	}
	log := d.logger.WithField(telemetry.FieldRevision, snapshot.Index.Revision)
	d.hasNeighbours = d.hasNeighbours || slices.ContainsFunc(d.members.View().Members, func(m peer.Member) bool {
		return m.VM != d.settings.VMName
	})
	reached := isolation{
		Limit: d.settings.IsolatedKeyDuration, Platform: d.watcher.ConfirmedAt(),
		Neighbour: d.members.LastContact(), HasNeighbours: d.hasNeighbours,
	}
	switch isolated := reached.isolated(now); {
	case isolated && !snapshot.KeysUnconfirmed:
		d.access.Suspend()
		log.WithField("reached", reached.last()).Warn("neither the platform nor a neighbour was reached: keys are not accepted")
	case !isolated && snapshot.KeysUnconfirmed:
		d.access.Replace(snapshot.Index)
		log.Info("the platform or a neighbour is reached: keys are accepted again")
	}
}

// bring puts a configuration in force. Keys come last, so that a request that
// is let in finds all else in place.
func (d *Daemon) bring(index *config.Index) {
	d.callers.SetLimits(index.Config.Limits)
	d.scheduler.SetLimits(index.Config.Limits)
	d.directory.SetConfig(index.Config)
	d.access.Replace(index)
	d.logger.WithField(telemetry.FieldRevision, index.Revision).Info("configuration in force")
}

// poll asks the platform for newer revisions.
func (d *Daemon) poll(ctx context.Context) {
	program.Every(ctx, d.settings.ConfigPollInterval, func(ctx context.Context) {
		d.metrics.CountControlMessage(metrics.ControlConfig)
		if _, err := d.watcher.Poll(ctx, d.options.Clock()); err != nil && ctx.Err() == nil {
			d.logger.WithError(err).Debug("configuration was not polled")
		}
	})
}

// flushUsage writes usage to the platform.
func (d *Daemon) flushUsage(ctx context.Context) {
	program.Every(ctx, flushInterval, func(ctx context.Context) {
		if err := d.flush(ctx); err != nil && ctx.Err() == nil {
			d.logger.WithError(err).Warn("usage was not written")
		}
	})
}

// flush writes what was metered.
func (d *Daemon) flush(ctx context.Context) error {
	now, window := d.options.Clock(), d.window()
	d.writer.Add(d.meter.TakePart(now, window))
	d.metrics.CountControlMessage(metrics.ControlUsage)
	return d.writer.Flush(ctx, now, window)
}

// lastFlush writes what was metered, and tries for a while. It returns ErrUsage
// if something is left.
func (d *Daemon) lastFlush() error {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for {
		err := d.flush(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			d.logger.WithError(err).WithField("lines", len(d.writer.Pending())).Error("usage was not written")
			return merry.Wrap(ErrUsageNotWritten, merry.WithCause(err))
		case <-time.After(retryPause):
		}
	}
}

// window returns the length of usage windows.
func (d *Daemon) window() time.Duration {
	if snapshot := d.access.Load(); snapshot != nil {
		return snapshot.Index.Config.Billing.Window
	}
	return defaultWindow
}
