package forwarding_test

import (
	"strconv"
	"testing"
	"time"

	"acaciapath.example/core/forwarding"

	qt "github.com/frankban/quicktest"
)

// TestDetours has a detour begin once a neighbour reaches a server, be checked from time to time,
// and end once the own path reaches the server.
func TestDetours(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	d := forwarding.NewDetours(now)
	choose := func() [2]bool {
		detoured, check := d.Choose("s", now)
		return [2]bool{detoured, check}
	}
	c.Check(choose(), qt.Equals, [2]bool{false, false})
	c.Check(d.Knowledge("s", now), qt.Equals, forwarding.Unknown)
	c.Check(d.MayAsk("s", now), qt.IsTrue)
	c.Check(d.MayAsk("s", now), qt.IsFalse) // a neighbour is being asked
	c.Check(d.Knowledge("s", now), qt.Equals, forwarding.Asking)
	c.Check(d.ReachedByNeighbour("s", now), qt.IsTrue)
	c.Check(d.Knowledge("s", now), qt.Equals, forwarding.Detoured)
	c.Check(d.MayAsk("s", now), qt.IsFalse)
	c.Check(d.ReachedByNeighbour("s", now), qt.IsFalse)
	c.Check(choose(), qt.Equals, [2]bool{true, false})
	now = now.Add(time.Second)
	c.Check(choose(), qt.Equals, [2]bool{true, true})
	c.Check(choose(), qt.Equals, [2]bool{true, false}) // the check is under way
	d.NotReached("s", now)
	c.Check(choose(), qt.Equals, [2]bool{true, false})
	now = now.Add(time.Second)
	c.Check(choose(), qt.Equals, [2]bool{true, true})
	c.Check(d.Len(), qt.Equals, 1)
	c.Check(d.Reached("s"), qt.IsTrue)
	c.Check(d.Reached("s"), qt.IsFalse)
	c.Check(choose(), qt.Equals, [2]bool{false, false})
	c.Check(d.Len(), qt.Equals, 0)
}

// TestDeadServersCauseNoStorm has neighbours be asked for dead servers within a budget only, and for
// each again only after a while.
func TestDeadServersCauseNoStorm(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	d := forwarding.NewDetours(now)
	asked := 0
	for second := range 10 {
		for i := range 1000 {
			at := now.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Millisecond)
			if address := strconv.Itoa(i % 100); d.MayAsk(address, at) {
				asked++
				d.NotReachedByNeighbours(address, at)
			}
		}
	}
	c.Check(asked <= 20+4*10, qt.IsTrue, qt.Commentf("%d", asked))
	c.Check(asked >= 50, qt.IsTrue, qt.Commentf("%d", asked))

	d = forwarding.NewDetours(now)
	c.Check(d.MayAsk("s", now), qt.IsTrue)
	d.NotReachedByNeighbours("s", now)
	c.Check(d.Knowledge("s", now.Add(4*time.Second)), qt.Equals, forwarding.Dead)
	c.Check(d.Knowledge("s", now.Add(5*time.Second)), qt.Equals, forwarding.Unknown)
	c.Check(d.MayAsk("s", now.Add(4*time.Second)), qt.IsFalse)
	c.Check(d.MayAsk("s", now.Add(5*time.Second)), qt.IsTrue)
}

// TestReachedServersCostNothing has neighbours be asked for any number of servers that they reach.
func TestReachedServersCostNothing(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	d := forwarding.NewDetours(now)
	for i := range 700 {
		c.Assert(d.MayAsk(strconv.Itoa(i), now), qt.IsTrue)
		d.ReachedByNeighbour(strconv.Itoa(i), now)
	}
	c.Check(d.Len(), qt.Equals, 700)
}
