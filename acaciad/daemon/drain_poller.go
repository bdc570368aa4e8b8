package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"acaciapath.example/core/handover"
	"acaciapath.example/core/replica"
	"acaciapath.example/core/sleep"
	"acaciapath.example/platform"

	"github.com/sirupsen/logrus"
)

// Intervals and timeouts of the drain poller.
const (
	// drainPollInterval is how often engines are polled while the store is
	// unreliable, about four times within the notice of an eviction.
	drainPollInterval = 500 * time.Millisecond
	// drainPollTimeout bounds one poll. It allows for several round trips between
	// regions.
	drainPollTimeout = 300 * time.Millisecond
	// storeDoubtPeriod is how long the store may return outdated entries after it failed
	// or dropped its history.
	storeDoubtPeriod = 10 * time.Second
	// defaultEvictionNotice is the time that a draining engine is assumed to have
	// left if it does not report it.
	defaultEvictionNotice = 2 * time.Second
)

// drainPoller asks cheap engines directly whether they drain while the entries in the
// store may be outdated. Otherwise requests would be sent to engines that are about to be
// evicted, and running requests there would be cut off. Since the platform evicts all
// cheap engines of a failure domain together, one engine of each group is polled.
type drainPoller struct {
	engines *platform.EngineClient
	// groups returns the cheap engines that are not known to drain, grouped by service
	// and failure domain.
	groups func() [][]replica.Spec
	// markDraining is called with the engines that drain and the time at which they
	// stop.
	markDraining func(specs []replica.Spec, stopsAt, now time.Time)
	logger       *logrus.Logger
	random       *rand.Rand

	// storeFailedAt is when the store last failed, in Unix nanoseconds.
	storeFailedAt atomic.Int64
}

// suspectStore records that the store failed, which starts the polling.
func (p *drainPoller) suspectStore(now time.Time) { p.storeFailedAt.Store(now.UnixNano()) }

// run polls engines during storeDoubtPeriod after a failure of the store, until ctx is
// done.
func (p *drainPoller) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, drainPollInterval)
		if now := time.Now(); now.Sub(time.Unix(0, p.storeFailedAt.Load())) > storeDoubtPeriod {
			continue
		}
		var polls sync.WaitGroup
		for _, group := range p.groups() {
			p.random.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
			polls.Go(func() { p.pollGroup(ctx, group) })
		}
		polls.Wait()
	}
}

// pollGroup polls one engine of a group. If it drains, some others are polled to find
// out whether the whole group is being evicted.
func (p *drainPoller) pollGroup(ctx context.Context, group []replica.Spec) {
	first, answered := p.engineState(ctx, group[0])
	if !answered || !first.Draining {
		return
	}
	now := time.Now()
	draining, answerCount := 1, 1
	for _, spec := range group[1:min(len(group), handover.EvictionSampleSize)] {
		state, answered := p.engineState(ctx, spec)
		if answered {
			answerCount++
		}
		if state.Draining {
			draining++
		}
	}
	timeLeft := first.TimeLeft
	if timeLeft == 0 {
		timeLeft = defaultEvictionNotice
	}
	drainingSpecs := group[:1]
	if handover.Evicted(draining, answerCount) {
		drainingSpecs = group
	}
	p.logger.WithFields(logrus.Fields{
		"failure-domain": group[0].FailureDomain, "leaving": draining, "answered": answerCount,
		"engines": len(drainingSpecs), "left-ms": timeLeft.Milliseconds(),
	}).Warn("engines report draining that the store does not show, no longer sending them requests")
	p.markDraining(drainingSpecs, now.Add(timeLeft), now)
}

// engineState polls an engine and reports whether it answered.
func (p *drainPoller) engineState(ctx context.Context, spec replica.Spec) (platform.EngineState, bool) {
	ctx, cancel := context.WithTimeout(ctx, drainPollTimeout)
	defer cancel()
	state, err := p.engines.State(ctx, spec.Address)
	if err != nil {
		p.logger.WithError(err).WithField("backend-server", spec.Name).Debug("cannot poll an engine for draining")
		return state, false
	}
	return state, true
}
