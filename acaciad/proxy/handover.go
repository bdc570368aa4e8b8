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

// Bounds of handovers.
const (
	// freeTimeout bounds the call that frees a copy which is not used.
	freeTimeout = 500 * time.Millisecond
	// stateTimeout bounds the question when an engine leaves: some round trips
	// between regions.
	stateTimeout = 200 * time.Millisecond
	// moveSlack is how long after its engine was to leave a handover is given
	// up: engines serve a little longer than they say.
	moveSlack = 500 * time.Millisecond
	// closeWait is how long after a run was stopped its stream may stay open:
	// the events under way arrive within a round trip between regions.
	closeWait = 200 * time.Millisecond
	// moveTargets is the number of engines that are asked to take a run.
	moveTargets = 6
)

// Results of handovers in logs and metrics.
const (
	handoverStays  = "stays"
	handoverNoRoom = "no-room"
	handoverEnded  = "ended-before"
	handoverFailed = "failed"
	handoverMoved  = "moved"
)

// move follows one run on a model engine, and moves its memory to another engine
// if the engine leaves before the run ends.
type move struct {
	handler *Handler
	id      string
	service string
	work    workload.Work
	wish    placement.Requirements
	engine  *catalog.Engine
	from    *directory.Reservation
	// began is when the first event arrived, and events how many have.
	began  time.Time
	events atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc
	// unwatch ends the watch for the engine's leaving. It returns false if the
	// handover has begun; done is closed then once it is over.
	unwatch func() bool
	done    chan struct{}
	// switching says that the run is being stopped on its engine.
	switching atomic.Bool
	// hangUp closes the stream of the engine that was left.
	hangUp func()

	// to is where the run goes on, and copy its memory there. They are read
	// once done is closed; to is nil if the run was not moved.
	to   *directory.Reservation
	copy platform.CacheCopy
	// asked are the engines that were asked to take the run, for the log.
	asked []string
}

// watchMove begins to follow a run whose first event has arrived, or returns nil
// if its engine cannot move it. HangUp closes the engine's stream.
func (x *exchange) watchMove(ctx context.Context, from *directory.Reservation, hangUp func()) *move {
	service := x.view.Index.Service(x.service)
	if x.handler.Engines == nil || service == nil || service.Engine == nil || !service.Engine.CanCopyRuns {
		return nil
	}
	m := &move{
		handler: x.handler, id: x.ask.AttemptID, service: x.service, work: x.ask.Work, wish: x.wish,
		engine: service.Engine, from: from, began: time.Now(), done: make(chan struct{}), hangUp: hangUp,
	}
	m.wish.FailedServers = append([]string{from.Spec.Name}, x.wish.FailedServers...)
	m.wish.SharedPrefixKey, m.wish.SharedPrefixTokens, m.wish.FirstEventTarget = 0, 0, 0
	m.wish.FailureDomain = from.Spec.FailureDomain
	m.wish.CopiedKVTokens = x.ask.Work.PromptTokens
	m.wish.PromptTokens = 0 // the copy has what was read
	m.ctx, m.cancel = context.WithCancel(ctx)
	m.unwatch = context.AfterFunc(from.Leaving(), m.follow)
	return m
}

// end ends the watch, and returns where the run goes on, or nil. Broken says that
// the stream ended before the answer did.
func (m *move) end(broken bool) *directory.Reservation {
	if m == nil {
		return nil
	}
	defer m.cancel()
	if m.unwatch() {
		return nil
	}
	if !broken || !m.switching.Load() {
		m.cancel()
	}
	<-m.done
	return m.to
}

// follow decides what becomes of the run, and carries it out.
func (m *move) follow() {
	defer close(m.done)
	now := time.Now()
	run := m.run(now)
	link, leavesAt := m.link(now)
	plan := handover.Decide(run, link, leavesAt, now)
	if plan.Move && !m.handler.Metrics.spent(budgetMove, m.handler.MoveBudgets.Spend(m.service, now)) {
		plan.Move = false
	}
	result, to, err := handoverStays, "", error(nil)
	if plan.Move {
		ctx, cancel := context.WithDeadline(m.ctx, leavesAt.Add(moveSlack))
		defer cancel()
		result, to, err = m.carryOut(ctx, plan)
	}
	m.handler.Metrics.handover(result)
	entry := m.handler.Logger.WithFields(logrus.Fields{
		"request-id": m.id, "backend-server": m.from.Spec.Name, "to": to, "asked": m.asked, "result": result,
		"left-ms": leavesAt.Sub(now).Milliseconds(), "events": run.ReceivedEvents, "expected-events": run.ExpectedEvents,
		"pace-ms": run.EventInterval.Milliseconds(), "took-ms": time.Since(now).Milliseconds(),
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("the engine of a running request leaves")
}

// link returns what else is on the engine, and when it leaves: as it says itself,
// or else as its entry lets expect.
func (m *move) link(now time.Time) (handover.Link, time.Time) {
	link := handover.Link{KVBytesPerToken: m.engine.TokenBytes, BytesPerSecond: m.engine.CopyBandwidth}
	ctx, cancel := context.WithTimeout(m.ctx, stateTimeout)
	defer cancel()
	state, err := m.handler.Engines.State(ctx, m.from.Spec.Address)
	if err != nil && m.ctx.Err() == nil {
		m.handler.Logger.WithError(err).WithField("backend-server", m.from.Spec.Name).
			Info("a leaving engine does not say when it leaves")
	}
	link.Runs = state.Runs
	if state.LeavesIn > 0 {
		return link, now.Add(state.LeavesIn)
	}
	return link, m.from.LeavesAt()
}

// run returns what is known of the run.
func (m *move) run(now time.Time) handover.Run {
	events := int(m.events.Load())
	r := handover.Run{ID: m.id, ReceivedEvents: events, KVTokens: m.work.PromptTokens + events*m.engine.EventTokens}
	if events > 1 {
		r.EventInterval = now.Sub(m.began) / time.Duration(events-1)
	}
	if m.work.ExpectedOutputTokens > 0 {
		r.ExpectedEvents = max(m.work.ExpectedOutputTokens/m.engine.EventTokens, events+1)
	}
	return r
}

// carryOut copies the run's memory while it runs on, and then stops it and copies
// the rest. It tries again while no engine has room.
func (m *move) carryOut(ctx context.Context, plan handover.Plan) (result, target string, err error) {
	for at, more := plan.Start, true; more; at, more = plan.NextAttempt(time.Now()) {
		sleep.For(ctx, time.Until(at))
		if ctx.Err() != nil {
			break
		}
		var to *directory.Reservation
		var first platform.CacheCopy
		if to, first, err = m.prepare(ctx); to != nil {
			return m.switchOver(ctx, to, first)
		}
		if !errors.Is(err, platform.ErrTargetUnavailable) {
			break
		}
	}
	return m.failure(err), "", err
}

// switchOver stops the run and copies what is new since the first copy.
func (m *move) switchOver(ctx context.Context, to *directory.Reservation, first platform.CacheCopy) (result, target string, err error) {
	to.MarkPromptRead(time.Now())
	m.switching.Store(true)
	last, err := m.handler.Engines.CopyCache(ctx, m.from.Spec.Address, to.Spec.Address, m.id, true)
	if err != nil {
		m.release(to, first)
		return m.failure(err), to.Spec.Name, err
	}
	m.to, m.copy = to, last
	time.AfterFunc(closeWait, m.hangUp)
	return handoverMoved, to.Spec.Name, nil
}

// failure returns the result of a handover that failed.
func (m *move) failure(err error) string {
	switch {
	case m.ctx.Err() != nil, errors.Is(err, platform.ErrRunNotFound):
		return handoverEnded
	case err == nil, errors.Is(err, platform.ErrTargetUnavailable):
		return handoverNoRoom
	}
	return handoverFailed
}

// prepare copies the run's memory to another engine while it runs on. It returns
// nil if no engine takes it.
func (m *move) prepare(ctx context.Context) (*directory.Reservation, platform.CacheCopy, error) {
	var err error
	for range moveTargets {
		to := m.handler.Directory.Reserve(m.service, m.wish, time.Now())
		if to == nil {
			return nil, "", err
		}
		m.asked = append(m.asked, to.Spec.Name+"/"+to.Spec.FailureDomain+"/"+string(to.Spec.Kind)+" running="+strconv.Itoa(to.Running))
		var first platform.CacheCopy
		first, err = m.handler.Engines.CopyCache(ctx, m.from.Spec.Address, to.Spec.Address, m.id, false)
		if err == nil {
			return to, first, nil
		}
		to.Finish(directory.Neutral, time.Now())
		if !errors.Is(err, platform.ErrTargetUnavailable) {
			return nil, "", err
		}
		m.wish.FailedServers = append(m.wish.FailedServers, to.Spec.Name)
	}
	return nil, "", err
}

// release gives up a copy that is not used.
func (m *move) release(to *directory.Reservation, c platform.CacheCopy) {
	to.Finish(directory.Neutral, time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if err := m.handler.Engines.FreeCopy(ctx, m.from.Spec.Address, c); err != nil {
		m.handler.Logger.WithError(err).WithField("request-id", m.id).Info("a copy was not freed and lapses by itself")
	}
}
