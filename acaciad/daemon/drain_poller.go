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
	adapter "acaciapath.example/platform"

	"github.com/sirupsen/logrus"
)

// Times of the sentry.
const (
	// sentryInterval is how often engines are asked while the store cannot be
	// relied on: some four times within the notice of an eviction.
	sentryInterval = 500 * time.Millisecond
	// sentryTimeout bounds a question: some round trips between regions.
	sentryTimeout = 300 * time.Millisecond
	// doubtTime is how long after the store failed or dropped its history what it
	// says may be old.
	doubtTime = 10 * time.Second
	// evictionNotice is what is assumed to be left to engines that do not say it.
	evictionNotice = 2 * time.Second
)

// sentry asks cheap engines themselves whether they leave, while the store cannot
// be relied on to say so: requests would be sent to engines that are about to be
// taken away, and what runs there would be cut off. Since the platform takes all
// cheap engines of a failure domain away together, one of each group is asked.
type sentry struct {
	engines *adapter.EngineClient
	// groups returns the cheap engines that are believed to stay, by service and
	// failure domain.
	groups func() [][]replica.Spec
	// leave is told which engines leave, and when.
	leave  func(specs []replica.Spec, at, now time.Time)
	logger *logrus.Logger
	random *rand.Rand

	// doubted is when the store last failed, in Unix nanoseconds.
	doubted atomic.Int64
}

// doubt notes that the store failed.
func (s *sentry) doubt(now time.Time) { s.doubted.Store(now.UnixNano()) }

// run asks until ctx ends.
func (s *sentry) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, sentryInterval)
		if now := time.Now(); now.Sub(time.Unix(0, s.doubted.Load())) > doubtTime {
			continue
		}
		var asked sync.WaitGroup
		for _, group := range s.groups() {
			s.random.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
			asked.Go(func() { s.ask(ctx, group) })
		}
		asked.Wait()
	}
}

// ask asks one engine of a group, and some others if it leaves.
func (s *sentry) ask(ctx context.Context, group []replica.Spec) {
	first, answered := s.state(ctx, group[0])
	if !answered || !first.Leaving {
		return
	}
	now := time.Now()
	leaving, answers := 1, 1
	for _, spec := range group[1:min(len(group), handover.EvictionSampleSize)] {
		state, answered := s.state(ctx, spec)
		if answered {
			answers++
		}
		if state.Leaving {
			leaving++
		}
	}
	left := first.LeavesIn
	if left == 0 {
		left = evictionNotice
	}
	gone := group[:1]
	if handover.Evicted(leaving, answers) {
		gone = group
	}
	s.logger.WithFields(logrus.Fields{
		"failure-domain": group[0].FailureDomain, "leaving": leaving, "answered": answers,
		"engines": len(gone), "left-ms": left.Milliseconds(),
	}).Warn("engines say that they leave, which the store has not told")
	s.leave(gone, now.Add(left), now)
}

// state asks an engine, and reports whether it answered.
func (s *sentry) state(ctx context.Context, spec replica.Spec) (adapter.EngineState, bool) {
	ctx, cancel := context.WithTimeout(ctx, sentryTimeout)
	defer cancel()
	state, err := s.engines.State(ctx, spec.Address)
	if err != nil {
		s.logger.WithError(err).WithField("backend-server", spec.Name).Debug("an engine does not say whether it leaves")
		return state, false
	}
	return state, true
}
