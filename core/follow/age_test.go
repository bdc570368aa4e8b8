package follow_test

import (
	"testing"
	"time"

	"acaciapath.example/core/follow"

	qt "github.com/frankban/quicktest"
)

func TestAnswerAge(t *testing.T) {
	c := qt.New(t)
	start := time.Now() // has a monotonic reading
	at := func(d time.Duration) time.Time { return start.Add(d) }
	var a follow.AnswerAge
	const day, latency = 24 * time.Hour, 20 * time.Millisecond
	observe := func(epoch uint64, answered, handled time.Duration) time.Duration {
		return a.Observe(epoch, day+answered, at(handled))
	}
	c.Assert(observe(1, 0, latency), qt.Equals, time.Duration(0))
	c.Assert(observe(1, time.Second, time.Second+latency/2), qt.Equals, time.Duration(0), qt.Commentf("a faster answer"))
	c.Assert(observe(1, 2*time.Second, 2*time.Second+latency), qt.Equals, latency/2)
	c.Assert(observe(1, 3*time.Second, 8*time.Second), qt.Equals, 5*time.Second-latency/2, qt.Commentf("it was held up"))
	c.Assert(observe(1, 9*time.Second, 9*time.Second+latency/2), qt.Equals, time.Duration(0))
	c.Assert(observe(2, -day, 10*time.Second), qt.Equals, time.Duration(0), qt.Commentf("the clock starts anew"))
	// A route that is slower from now on counts as such until the faster answers are forgotten.
	for s := time.Duration(11); s < 200; s++ {
		age := observe(2, s*time.Second-day-10*time.Second, (s+1)*time.Second)
		c.Assert(age == time.Second || s > 70 && age == 0, qt.IsTrue, qt.Commentf("%d s: %s", s, age))
	}
	c.Assert(observe(2, 200*time.Second-day-10*time.Second, 201*time.Second), qt.Equals, time.Duration(0))
}
