package daemon

import (
	"context"
	"time"

	"acaciapath.example/core/connections"
	"acaciapath.example/core/sleep"
)

// Durations of the phases of a shutdown.
const (
	// stopAcceptingDelay is how long connections are still accepted once the daemon
	// is no longer ready. The platform checks readiness twice in this time.
	stopAcceptingDelay = 2500 * time.Millisecond
	// lateStreamDelay is how long after that requests for streams are still accepted, on
	// connections that were opened before. A later stream would often be cut.
	lateStreamDelay = 300 * time.Millisecond
	// lateRequestDelay is the same for all requests. Until then, connections that were opened
	// last have had time to send their first one.
	lateRequestDelay = 1100 * time.Millisecond
	// finalAnswerTime is reserved for the final answers of requests that are still running
	// when finalWriteTime begins.
	finalAnswerTime = 200 * time.Millisecond
	// killMargin is the time between the exit of the process and the time at which the
	// platform would kill it.
	killMargin = 700 * time.Millisecond
	// finalWriteTime is reserved at the end of the shutdown, when no requests run any
	// more, for writing usage or handing it over.
	finalWriteTime = 600 * time.Millisecond
)

// shutDown makes the daemon not ready, waits for running requests, writes the remaining
// usage, and returns before the platform would kill the process.
func (d *Daemon) shutDown(callers *connections.Tracker, background, controlTasks *taskGroup) {
	began := time.Now()
	d.logger.Info("shutting down")
	d.startDraining()
	d.usage.BeginShutdown()
	deadline := began.Add(d.settings.ShutdownGrace - killMargin)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	servingCtx, stopServing := context.WithDeadline(ctx, deadline.Add(-finalWriteTime+finalAnswerTime))
	defer stopServing()
	leaseReleased := make(chan struct{})
	go func() {
		defer close(leaseReleased)
		controlTasks.stop()
		if err := d.keeper.Release(ctx); err != nil {
			d.logger.WithError(err).Warn("cannot release the lease of the control tasks, it will expire")
		}
	}()
	sleep.For(servingCtx, stopAcceptingDelay)
	time.AfterFunc(lateStreamDelay, d.endStreams)
	time.AfterFunc(lateRequestDelay, d.endRequests)
	time.AfterFunc(time.Until(deadline.Add(-finalWriteTime)), d.end)
	if err := callers.Shutdown(servingCtx); err != nil {
		d.logger.WithError(err).Warn("shutdown deadline reached, aborting running requests")
	}
	if err := d.lender.Wait(servingCtx); err != nil {
		d.logger.WithField("requests", d.lender.InProgress()).Warn("shutdown deadline reached, aborting requests of neighbours")
	}
	background.stop()
	originsFinished := make(chan struct{})
	go func() {
		defer close(originsFinished)
		d.origins.Finish(ctx, time.Now())
	}()
	d.usage.Finish(ctx)
	<-originsFinished
	if d.settings.NeighboursAddress != "" {
		d.writeQueue.Flush(ctx, d.storeTransport.HandOverWrite)
		d.neighbours.Remove(ctx)
	}
	<-leaseReleased
	d.logger.WithField("took-ms", time.Since(began).Milliseconds()).Info("stopped")
}
