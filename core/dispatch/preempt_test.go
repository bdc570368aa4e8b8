package dispatch_test

import (
	"testing"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/dispatch"

	qt "github.com/frankban/quicktest"
)

func resumable(class *config.ServiceClass) dispatch.Request {
	r := request(class)
	r.Resumable = true
	return r
}

func TestPreempt(t *testing.T) {
	c := qt.New(t)
	chatWithTarget := &config.ServiceClass{
		Name: "chat", Tier: 1, FirstTokenTarget: time.Second, MaxWait: 10 * time.Second, QueueLimit: 4,
	}
	for _, test := range []struct {
		name          string
		running       dispatch.Request
		waiting       *config.ServiceClass
		chargedTokens int
		waited        time.Duration
		want          bool
	}{
		{name: "less urgent tier is preempted", running: resumable(letters), waiting: chatWithTarget, chargedTokens: 100_000, waited: 300 * time.Millisecond, want: true},
		{name: "has not waited long enough", running: resumable(letters), waiting: chatWithTarget, chargedTokens: 100_000, waited: 200 * time.Millisecond},
		{name: "start deadline has passed", running: resumable(letters), waiting: chatWithTarget, chargedTokens: 100_000, waited: 800 * time.Millisecond},
		{name: "same tier is not preempted", running: resumable(chatWithTarget), waiting: chatWithTarget, chargedTokens: 100_000, waited: 300 * time.Millisecond},
		{name: "cannot be resumed", running: request(letters), waiting: chatWithTarget, chargedTokens: 100_000, waited: 300 * time.Millisecond},
		{name: "no budget", running: resumable(letters), waiting: chatWithTarget, chargedTokens: 100, waited: 300 * time.Millisecond},
	} {
		c.Run(test.name, func(c *qt.C) {
			d := newDispatcher(spec("a", 1))
			first, _ := d.Enqueue(request(letters), 0, start)
			c.Assert(d.StartNext(start), qt.Equals, first)
			d.Finish(first, dispatch.Result{CompletionTokens: test.chargedTokens}, start)
			victim, _ := d.Enqueue(test.running, 1, start)
			c.Assert(d.StartNext(start), qt.Equals, victim)
			urgent, _ := d.Enqueue(request(test.waiting), 2, start)
			now := start.Add(test.waited)
			c.Assert(d.StartNext(now), qt.IsNil)
			got := d.Preempt(now)
			c.Assert(got == victim, qt.Equals, test.want)
			if !test.want {
				c.Assert(got, qt.IsNil)
				return
			}
			c.Assert(d.Preempt(now), qt.IsNil, qt.Commentf("one preemption is enough for one waiting request"))
			d.RequeuePreempted(victim, now)
			c.Assert(victim.Waiting(), qt.IsTrue)
			c.Assert(d.StartNext(now), qt.Equals, urgent)
			c.Assert(d.StartNext(now), qt.IsNil)
			d.Finish(urgent, dispatch.Result{}, now)
			c.Assert(d.StartNext(now), qt.Equals, victim)
		})
	}
}
