package lease_test

import (
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
