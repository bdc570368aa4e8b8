package proxy

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"acaciapath.example/acaciad/directory"
	"acaciapath.example/core/catalog"
	"acaciapath.example/core/handover"
	"acaciapath.example/core/placement"
	"acaciapath.example/core/sleep"
	"acaciapath.example/core/workload"
	"acaciapath.example/platform"

	"github.com/sirupsen/logrus"
)

// Limits of handovers, which move a run to another engine.
const (
	// freeCopyTimeout bounds the call that frees an unused copy.
	freeCopyTimeout = 500 * time.Millisecond
	// engineStateTimeout bounds the call that asks an engine when it stops. It
	// allows for several round trips between regions.
	engineStateTimeout = 200 * time.Millisecond
	// moveOverrun is how long a handover may go on after the time at which its
	// engine is expected to stop. Engines serve slightly longer than they report.
	moveOverrun = 500 * time.Millisecond
	// streamCloseDelay is how long the stream of a stopped run stays open. Events
	// in transit arrive within one round trip between regions.
	streamCloseDelay = 200 * time.Millisecond
	// maxMoveTargets is the maximum number of engines that are asked to take a run in
	// one try.
	maxMoveTargets = 6
)

// Results of handovers in logs and metrics.
const (
	handoverStayed = "stays"
	handoverNoRoom = "no-room"
	handoverEnded  = "ended-before"
	handoverFailed = "failed"
	handoverMoved  = "moved"
)

// runMove watches one run on a model engine, and moves it with its KV cache to
// another engine if the first engine stops before the run ends.
type runMove struct {
	handler      *Handler
	id           string
	service      string
	work         workload.Work
	requirements placement.Requirements
	// homes returns the failure domains in which the run may continue at present.
	homes  func() placement.Homes
	engine *catalog.Engine
	source *directory.Reservation
	// firstEventAt is when the first event arrived, and eventCount is the number
	// of events so far.
	firstEventAt time.Time
	eventCount   atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc
	// stopWatching stops waiting for the engine to drain. It returns false if
	// handleDraining has been started, which closes done when it returns.
	stopWatching func() bool
	done         chan struct{}
	// stopping states that the run is being stopped on the source engine, or was.
	stopping atomic.Bool
	// closeStream closes the stream from the source engine.
	closeStream func()

	// target is where the run continues, and cacheCopy identifies the copy of its
	// KV cache there. They may be read once done is closed. target is nil if the
	// run was not moved.
	target    *directory.Reservation
	cacheCopy platform.CacheCopy
	// endedItself states that the run had ended when it was to be stopped. It may be read once
	// done is closed.
	endedItself bool
	// triedTargets lists the engines that were asked to take the run, for the log.
	triedTargets []string
}

// watchForMove starts to watch a run whose first event has arrived. It returns nil
// if the engine cannot copy runs. closeStream closes the stream from the engine.
func (x *exchange) watchForMove(ctx context.Context, source *directory.Reservation, closeStream func()) *runMove {
	service := x.view.Index.Service(x.service)
	if x.handler.EngineClient == nil || service == nil || service.Engine == nil || !service.Engine.CanCopyRuns {
		return nil
	}
	m := &runMove{
		handler: x.handler, id: x.metadata.AttemptID, service: x.service, work: x.metadata.Work, requirements: x.requirements, homes: x.homes,
		engine: service.Engine, source: source, firstEventAt: time.Now(), done: make(chan struct{}), closeStream: closeStream,
	}
	m.requirements.FailedServers = append([]string{source.Spec.Name}, x.requirements.FailedServers...)
	m.requirements.SharedPrefixKey, m.requirements.SharedPrefixTokens, m.requirements.FirstEventTarget = 0, 0, 0
	m.requirements.FailureDomain = source.Spec.FailureDomain
	m.requirements.CopiedKVTokens = x.metadata.Work.PromptTokens
	m.requirements.PromptTokens = 0 // the copy contains the processed prompt
	m.ctx, m.cancel = context.WithCancel(ctx)
	m.stopWatching = context.AfterFunc(source.Draining(), m.handleDraining)
	return m
}

// streamEnd is how the stream of a run ended.
type streamEnd int

const (
	// streamComplete means that the engine marked the end of the stream.
	streamComplete streamEnd = iota
	// streamClosed means that the connection of a stream without such a mark ended after a
	// complete event.
	streamClosed
	// streamBroken means that the stream ended before the answer was complete.
	streamBroken
)

// finish ends the watch after the stream has ended. It returns the reservation on
// which the run continues, or nil if the run was not moved. stopped states that the
// run may have been stopped, so that a stream that was closed is not complete.
func (m *runMove) finish(end streamEnd) (to *directory.Reservation, stopped bool) {
	if m == nil {
		return nil, false
	}
	defer m.cancel()
	if m.stopWatching() {
		return nil, false
	}
	stopping := m.stopping.Load()
	if end == streamComplete || !stopping {
		m.cancel()
	}
	<-m.done
	return m.target, stopping && !m.endedItself
}

// handleDraining is called when the engine starts to drain. It decides whether to move
// the run, moves it if so, and logs the result.
func (m *runMove) handleDraining() {
	defer close(m.done)
	now := time.Now()
	if m.handler.Directory.IsPaused(m.source.Spec.Instance(), now) {
		m.handler.Metrics.recordHandover(handoverStayed)
		m.handler.Logger.WithFields(logrus.Fields{"request-id": m.id, "backend-server": m.source.Spec.Name}).
			Info("engine draining during a request, not moved: the engine asked for a pause")
		return
	}
	run := m.runState(now)
	link, stopsAt := m.sourceLink(now)
	plan := handover.Decide(run, link, stopsAt, now)
	if plan.Move && !m.handler.Metrics.recordSpend(budgetMove, m.handler.MoveBudgets.Spend(m.service, now)) {
		plan.Move = false
	}
	result, to, err := handoverStayed, "", error(nil)
	if plan.Move {
		ctx, cancel := context.WithDeadline(m.ctx, stopsAt.Add(moveOverrun))
		defer cancel()
		result, to, err = m.execute(ctx, plan)
	}
	m.handler.Metrics.recordHandover(result)
	entry := m.handler.Logger.WithFields(logrus.Fields{
		"request-id": m.id, "backend-server": m.source.Spec.Name, "to": to, "asked": m.triedTargets, "result": result,
		"left-ms": stopsAt.Sub(now).Milliseconds(), "events": run.ReceivedEvents, "expected-events": run.ExpectedEvents,
		"pace-ms": run.EventInterval.Milliseconds(), "took-ms": time.Since(now).Milliseconds(), "stop-requested": m.stopping.Load(),
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("engine draining during a request, handover finished")
}

// sourceLink returns the bandwidth and the runs of the source engine, and the time at
// which the engine stops. This is the time that the engine reports or, if it reports
// none, an estimate from its entry in the store.
func (m *runMove) sourceLink(now time.Time) (handover.Link, time.Time) {
	link := handover.Link{KVBytesPerToken: m.engine.KVBytesPerToken, BytesPerSecond: m.engine.CopyBandwidth}
	ctx, cancel := context.WithTimeout(m.ctx, engineStateTimeout)
	defer cancel()
	state, err := m.handler.EngineClient.State(ctx, m.source.Spec.Address)
	if err != nil && m.ctx.Err() == nil {
		m.handler.Logger.WithError(err).WithField("backend-server", m.source.Spec.Name).
			Info("cannot read the state of a draining engine, estimating when it stops")
	}
	link.Runs = state.Runs
	if state.TimeLeft > 0 {
		return link, now.Add(state.TimeLeft)
	}
	return link, m.source.StopsAt()
}

// runState returns the progress of the run.
func (m *runMove) runState(now time.Time) handover.Run {
	events := int(m.eventCount.Load())
	r := handover.Run{ID: m.id, ReceivedEvents: events, KVTokens: m.work.PromptTokens + events*m.engine.EventTokens}
	if events > 1 {
		r.EventInterval = now.Sub(m.firstEventAt) / time.Duration(events-1)
	}
	if m.work.ExpectedOutputTokens > 0 {
		r.ExpectedEvents = max(m.work.ExpectedOutputTokens/m.engine.EventTokens, events+1)
	}
	return r
}

// execute copies the KV cache while the run continues, then stops the run and copies
// the remainder. While no engine has room for the copy, it tries again at the times
// that plan allows.
func (m *runMove) execute(ctx context.Context, plan handover.Plan) (result, target string, err error) {
	for at, ok := plan.Start, true; ok; at, ok = plan.NextAttempt(time.Now()) {
		sleep.For(ctx, time.Until(at))
		if ctx.Err() != nil || m.handler.Directory.IsPaused(m.source.Spec.Instance(), time.Now()) {
			break
		}
		var to *directory.Reservation
		var first platform.CacheCopy
		if to, first, err = m.copyToTarget(ctx); to != nil {
			return m.switchOver(ctx, to, first)
		}
		if !errors.Is(err, platform.ErrTargetUnavailable) {
			break
		}
	}
	return m.failureResult(err), "", err
}

// switchOver stops the run and copies the part of its KV cache that is new since
// the first copy.
func (m *runMove) switchOver(ctx context.Context, to *directory.Reservation, first platform.CacheCopy) (result, target string, err error) {
	to.MarkPromptRead(time.Now())
	m.stopping.Store(true)
	last, err := m.handler.EngineClient.CopyCache(ctx, m.source.Spec.Address, to.Spec.Address, m.id, true)
	if err != nil {
		m.endedItself = errors.Is(err, platform.ErrRunNotFound)
		m.discardCopy(to, first)
		return m.failureResult(err), to.Spec.Name, err
	}
	m.target, m.cacheCopy = to, last
	time.AfterFunc(streamCloseDelay, m.closeStream)
	return handoverMoved, to.Spec.Name, nil
}

// failureResult returns the result label of a handover that failed with err.
func (m *runMove) failureResult(err error) string {
	switch {
	case m.ctx.Err() != nil, errors.Is(err, platform.ErrRunNotFound):
		return handoverEnded
	case err == nil, errors.Is(err, platform.ErrTargetUnavailable):
		return handoverNoRoom
	}
	return handoverFailed
}

// copyToTarget copies the KV cache to another engine while the run continues. It
// returns a nil reservation if no engine accepts the copy.
func (m *runMove) copyToTarget(ctx context.Context) (*directory.Reservation, platform.CacheCopy, error) {
	var err error
	for range maxMoveTargets {
		m.requirements.Homes = m.homes()
		to := m.handler.Directory.Reserve(m.service, m.requirements, time.Now())
		if to == nil {
			return nil, "", err
		}
		m.triedTargets = append(m.triedTargets, to.Spec.Name+"/"+to.Spec.FailureDomain+"/"+string(to.Spec.Kind)+" running="+strconv.Itoa(to.Running))
		var first platform.CacheCopy
		first, err = m.handler.EngineClient.CopyCache(ctx, m.source.Spec.Address, to.Spec.Address, m.id, false)
		if err == nil {
			return to, first, nil
		}
		to.Finish(directory.Neutral, time.Now())
		if !errors.Is(err, platform.ErrTargetUnavailable) {
			return nil, "", err
		}
		m.requirements.FailedServers = append(m.requirements.FailedServers, to.Spec.Name)
	}
	return nil, "", err
}

// discardCopy releases the reservation on the target and frees an unused copy.
func (m *runMove) discardCopy(to *directory.Reservation, c platform.CacheCopy) {
	to.Finish(directory.Neutral, time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), freeCopyTimeout)
	defer cancel()
	if err := m.handler.EngineClient.FreeCopy(ctx, m.source.Spec.Address, c); err != nil {
		m.handler.Logger.WithError(err).WithField("request-id", m.id).Info("cannot free an unused KV cache copy, it will expire")
	}
}
