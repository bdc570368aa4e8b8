package directory_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"acaciapath.example/acaciad/directory"
	"acaciapath.example/core/placement"
	"acaciapath.example/core/replica"

	qt "github.com/frankban/quicktest"
)

// newBrittle returns a directory with one brittle server of a slot, which is taken.
func newBrittle(c *qt.C) (*directory.Directory, *directory.Reservation) {
	d := directory.New("z", time.Second, rand.New(rand.NewPCG(1, 2)))
	now := time.Now()
	d.SetServers([]replica.Spec{{Name: "i-1", FailureDomain: "z", Serves: []string{"shop"}, Slots: 1}}, now)
	taken := d.Reserve("shop", placement.Requirements{FailureDomain: "z"}, now)
	begun, _ := taken.HearBrittle(true, 0, false, now)
	c.Assert(begun, qt.IsTrue)
	c.Assert(d.HasBrittle("shop", now), qt.IsTrue)
	c.Assert(d.Reserve("shop", placement.Requirements{FailureDomain: "z"}, now), qt.IsNil)
	return d, taken
}

// TestUrgentRequestGetsRoomFirst has two requests wait for room at a brittle server. The more urgent
// one must get it, though it came later, and no new request may come before them.
func TestUrgentRequestGetsRoomFirst(t *testing.T) {
	c := qt.New(t)
	d, taken := newBrittle(c)
	got := make(chan int, 2)
	wait := func(priority int) {
		r := d.ReserveWithin(c.Context(), "shop", placement.Requirements{FailureDomain: "z", Priority: priority}, 10*time.Second)
		got <- priority
		c.Check(r, qt.IsNotNil)
		r.Finish(directory.Neutral, time.Now())
	}
	go wait(5)
	time.Sleep(20 * time.Millisecond)
	go wait(1)
	time.Sleep(20 * time.Millisecond)
	taken.Finish(directory.Succeeded, time.Now())
	c.Assert(d.Reserve("shop", placement.Requirements{FailureDomain: "z", Priority: 5}, time.Now()), qt.IsNil)
	c.Assert(<-got, qt.Equals, 1)
	c.Assert(<-got, qt.Equals, 5)
}

// TestRequestsWaitOnlyForRoomInSight has more requests wait than a brittle server can run in time.
// The others must be refused at once, and the ones that wait when their patience or their caller
// ends.
func TestRequestsWaitOnlyForRoomInSight(t *testing.T) {
	c := qt.New(t)
	d, taken := newBrittle(c)
	defer taken.Finish(directory.Neutral, time.Now())
	const patience = time.Second // one request in a second until a run has ended
	ended := make(chan *directory.Reservation)
	ctx, cancel := context.WithCancel(c.Context())
	go func() { ended <- d.ReserveWithin(ctx, "shop", placement.Requirements{FailureDomain: "z"}, patience) }()
	time.Sleep(20 * time.Millisecond)
	began := time.Now()
	c.Assert(d.ReserveWithin(c.Context(), "shop", placement.Requirements{FailureDomain: "z"}, patience), qt.IsNil)
	c.Assert(time.Since(began) < patience/2, qt.IsTrue)
	cancel()
	c.Assert(<-ended, qt.IsNil)
	c.Assert(d.ReserveWithin(c.Context(), "shop", placement.Requirements{FailureDomain: "z"}, patience), qt.IsNil)
	c.Assert(time.Since(began) >= patience, qt.IsTrue)
	wait, explained := d.ReturnTime("shop", placement.Requirements{FailureDomain: "z"}, time.Now())
	c.Assert(explained, qt.IsTrue)
	c.Assert(wait > 0, qt.IsTrue)
}
