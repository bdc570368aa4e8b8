package engine

import (
	"fmt"
	"testing"
	"time"

	"acaciapath.example/core/engine"

	qt "github.com/frankban/quicktest"
)

// enqueue adds a request to the queue of an engine that is not started.
func enqueue(c *qt.C, e *Engine, id, text string, priority int) *run {
	req := &engine.ChatRequest{Messages: []engine.Message{{Role: "user", Content: []byte(`"` + text + `"`)}}}
	p, err := newPrompt(req, &e.options)
	c.Assert(err, qt.IsNil)
	r := newRun(p, RunEntry{RequestID: id, Priority: priority}, 0)
	c.Assert(e.enqueue(r), qt.IsNil)
	return r
}

func TestStepTimes(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name   string
		texts  []string
		factor float64
		want   time.Duration
	}{
		{name: "one request", texts: []string{"[tokens=1]"}, want: 1000 + 1},
		{name: "three requests", texts: []string{"[tokens=1]", "a b", "c d"}, want: 1000 + 2*100 + 5},
		{name: "slow factor", texts: []string{"[tokens=1]"}, factor: 3, want: 3 * 1001},
	} {
		c.Run(test.name, func(c *qt.C) {
			e := New(Options{
				StepTime: 1000, StepTimePerRequest: 100, PrefillTimePerToken: 1,
				Faults: Faults{SlowFactor: test.factor},
			})
			for _, text := range test.texts {
				enqueue(c, e, "r", text, 0)
			}
			duration, busy := e.beginStep(testStart)
			c.Assert(busy, qt.IsTrue)
			c.Assert(duration, qt.Equals, test.want)
		})
	}
}

func TestPrefillSpansSteps(t *testing.T) {
	c := qt.New(t)
	e := New(Options{StepTime: 1, PrefillTimePerToken: 1})
	long := ""
	for range maxPrefillPerStep + 10 {
		long += "w "
	}
	r := enqueue(c, e, "r", long, 0)
	for _, want := range []time.Duration{1 + maxPrefillPerStep, 1 + 10, 1} {
		duration, _ := e.beginStep(testStart)
		c.Assert(duration, qt.Equals, want)
		e.endStep(testStart)
	}
	c.Assert(r.entry.CompletionTokens, qt.Equals, 2)
	c.Assert(r.entry.PromptTokens, qt.Equals, maxPrefillPerStep+10)
}

func TestQueueOrderAndPreemption(t *testing.T) {
	c := qt.New(t)
	for _, preempts := range []bool{false, true} {
		e := New(Options{Slots: 1, Preempts: preempts, QueueLimit: 3})
		first := enqueue(c, e, "first", "[tokens=9]", 5)
		e.beginStep(testStart)
		enqueue(c, e, "same", "[tokens=9]", 5)
		e.beginStep(testStart)
		c.Assert(e.running[0], qt.Equals, first)

		urgent := enqueue(c, e, "urgent", "[tokens=9]", 1)
		next := enqueue(c, e, "next", "[tokens=9]", 1)
		c.Assert(e.enqueue(newRun(urgent.prompt, RunEntry{}, 0)), qt.ErrorIs, errQueueFull)
		e.beginStep(testStart)
		if preempts {
			c.Assert(e.running[0], qt.Equals, urgent)
			c.Assert(e.waiting[1], qt.Equals, first)
		} else {
			c.Assert(e.running[0], qt.Equals, first)
			c.Assert(e.waiting[0], qt.Equals, urgent)
		}
		e.cancel(e.running[0].entry.RequestID)
		e.beginStep(testStart)
		c.Assert(e.running[0] == next, qt.Equals, preempts)
	}
}

func TestFrozenEngineDoesNotStep(t *testing.T) {
	c := qt.New(t)
	e := New(Options{StepTime: 1})
	c.Assert(e.Start("127.0.0.1:0"), qt.IsNil)
	c.Cleanup(func() { _ = e.Close() })
	r := enqueue(c, e, "r", "[tokens=999999]", 0)
	<-r.progress
	f := Faults{}
	f.Frozen = true
	e.SetFaults(f)
	time.Sleep(20 * time.Millisecond) // lets a step that has begun end
	before := r.generated.Load()
	time.Sleep(20 * time.Millisecond)
	c.Assert(r.generated.Load(), qt.Equals, before)
}

// TestEndIsLoggedBeforeLastToken checks that a run is in the log as soon as another
// goroutine sees its last token.
func TestEndIsLoggedBeforeLastToken(t *testing.T) {
	c := qt.New(t)
	e := New(Options{})
	const runs = 3000
	for i := range runs {
		r := enqueue(c, e, fmt.Sprintf("r%d", i), "[tokens=1]", 0)
		logged := make(chan bool)
		go func() {
			for r.generated.Load() == 0 {
				continue // polls without a pause, to see the token as soon as possible
			}
			logged <- len(e.Runs().Entries()) == i+1
		}()
		for running := true; running; {
			_, running = e.beginStep(testStart)
			e.endStep(testStart)
		}
		c.Assert(<-logged, qt.IsTrue, qt.Commentf("run %d", i))
	}
}
