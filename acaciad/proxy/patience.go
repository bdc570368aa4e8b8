package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"acaciapath.example/core/patience"

	"github.com/sirupsen/logrus"
)

// firstEventTimer cancels an attempt without a first event so that the request goes to another
// engine.
type firstEventTimer struct {
	cancel context.CancelFunc
	timer  *time.Timer
	// expired states that the attempt was canceled, for which a retry has been spent.
	expired atomic.Bool
}

// startFirstEventTimer returns the context of an attempt, and the timer that cancels it, which
// may be nil.
func (x *exchange) startFirstEventTimer(ctx context.Context) (context.Context, *firstEventTimer) {
	deadline, _ := ctx.Deadline()
	wait, ok := patience.Wait(patience.Request{
		Repeatable: x.route.Generates && x.route.Resumable && x.status == 0, RunsLeft: x.route.MaxReplicas - x.failedRuns - 1,
		FirstEventTarget: x.route.LatencyTarget, TimeLeft: time.Until(deadline),
	})
	if !ok {
		return ctx, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	t := &firstEventTimer{cancel: cancel}
	server, service := x.attempts[len(x.attempts)-1].server, x.service
	t.timer = time.AfterFunc(wait, func() {
		if !x.handler.Metrics.recordSpend(budgetRetry, x.handler.RetryBudgets.Spend(service, time.Now())) {
			return
		}
		t.expired.Store(true)
		x.handler.Logger.WithFields(logrus.Fields{
			"request-id": x.metadata.AttemptID, "backend-server": server, "wait-ms": wait.Milliseconds(),
		}).Info("no first event from an engine, sending the request to another one")
		cancel()
	})
	return ctx, t
}

// stop ends the timer.
func (t *firstEventTimer) stop() {
	if t != nil {
		t.timer.Stop()
	}
}

// end stops the timer and releases the context of the attempt. It reports whether the timer
// has canceled it.
func (t *firstEventTimer) end() bool {
	if t == nil {
		return false
	}
	t.timer.Stop()
	t.cancel()
	return t.expired.Load()
}
