package lease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"acaciapath.example/core/lease"

	qt "github.com/frankban/quicktest"
)

// at returns the instant d after the start.
func at(d time.Duration) lease.Instant {
	return lease.Instant{Monotonic: d, Wall: time.Unix(0, 0).Add(d)}
}

// TestSlowPollerReadsBeforeAcquiring checks a candidate whose poll interval is
// longer than the lease. What it last read always looks expired, but it must not
// try to acquire the lease while the holder renews it.
func TestSlowPollerReadsBeforeAcquiring(t *testing.T) {
	c := qt.New(t)
	const duration, poll = 3 * time.Second, 7 * time.Second
	service := newFakeTable()
	holder := lease.New(lease.Terms{Name: name, Holder: "a", Duration: duration}, time.Second)
	candidate := lease.New(lease.Terms{Name: name, Holder: "b", Duration: duration}, poll)
	var reads, writes int
	runRequest := func(l *lease.Lease, now lease.Instant, count bool) {
		request := l.Next(now)
		switch request.Kind {
		case lease.Read:
			rows, err := service.Get(t.Context(), request.Get)
			c.Assert(err, qt.IsNil)
			c.Assert(l.HandleRead(rows, now), qt.IsNil)
			if count {
				reads++
			}
		case lease.Write:
			rows, err := service.Commit(t.Context(), request.Commit)
			if err != nil {
				l.HandleFailure(request, err)
			} else {
				l.HandleCommit(request, rows, now)
			}
			if count {
				writes++
			}
		}
	}
	const step = 50 * time.Millisecond
	now := time.Duration(0)
	for ; holder.Grant() == nil; now += step {
		runRequest(holder, at(now), false)
	}
	for ; now < 40*time.Second; now += step {
		runRequest(holder, at(now), false)
		runRequest(candidate, at(now), true)
	}
	c.Assert(writes, qt.Equals, 0)
	c.Assert(reads <= 8, qt.IsTrue, qt.Commentf("%d reads", reads))
	holderStopped := now
	for ; candidate.Grant() == nil; now += step {
		c.Assert(now-holderStopped < 2*poll+duration, qt.IsTrue)
		runRequest(candidate, at(now), true)
	}
	c.Assert(writes, qt.Equals, 1)
	c.Assert(now-holderStopped >= duration/4, qt.IsTrue)
}

// TestSlowPollersTakeOver lets a holder stop while many candidates poll its row slowly, as
// with hundreds of daemons. One of them must take over within a few durations of the lease,
// although each of them polls much less often, and they must not read more often in total.
func TestSlowPollersTakeOver(t *testing.T) {
	c := qt.New(t)
	const duration, candidates, step = 3 * time.Second, 200, 10 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	service := newFakeTable()
	holder := lease.New(lease.Terms{Name: name, Holder: "a", Duration: duration}, time.Second)
	reads := 0
	run := func(l *lease.Lease, now lease.Instant) {
		request := l.Next(now)
		switch request.Kind {
		case lease.Read:
			rows, err := service.Get(t.Context(), request.Get)
			c.Assert(err, qt.IsNil)
			c.Assert(l.HandleRead(rows, now), qt.IsNil)
			reads++
		case lease.Write:
			if rows, err := service.Commit(t.Context(), request.Commit); err != nil {
				l.HandleFailure(request, err)
			} else {
				l.HandleCommit(request, rows, now)
			}
		}
	}
	now := time.Duration(0)
	for ; holder.Grant() == nil; now += step {
		run(holder, at(now))
	}
	waiting := make([]*lease.Lease, candidates)
	starts := make([]time.Duration, candidates)
	for i := range waiting {
		poll := lease.PollInterval(duration, candidates, random)
		waiting[i] = lease.New(lease.Terms{Name: name, Holder: fmt.Sprint(i), Duration: duration}, poll)
		starts[i] = time.Duration(random.Int64N(int64(2 * poll)))
	}
	const stopped = 200 * time.Second
	for takenOver := false; !takenOver; now += step {
		c.Assert(now < stopped+3*duration, qt.IsTrue)
		if now < stopped {
			run(holder, at(now))
		}
		if now == stopped-100*time.Second {
			reads = 0
		}
		if now == stopped {
			c.Assert(reads <= 100*10, qt.IsTrue, qt.Commentf("%d reads in 100 s", reads))
		}
		for i, l := range waiting {
			if now >= starts[i] {
				run(l, at(now))
				takenOver = takenOver || l.Grant() != nil
			}
		}
	}
}
