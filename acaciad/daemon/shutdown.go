package daemon

import (
	"context"
	"net/http"
	"time"

	"acaciapath.example/core/sleep"
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

// shutDown says that the daemon is not ready, finishes what it has, and ends
// before the platform kills the process.
func (d *Daemon) shutDown(server *http.Server, work, duties *work) {
	began := time.Now()
	d.logger.Info("shutting down")
	d.setDrain()
	d.usage.BeginShutdown()
	end := began.Add(d.settings.ShutdownGrace - graceMargin)
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
		d.handed.Flush(ctx, d.detour.HandOverWrite)
		d.neighbours.Remove(ctx)
	}
	<-released
	d.logger.WithField("took-ms", time.Since(began).Milliseconds()).Info("stopped")
}
