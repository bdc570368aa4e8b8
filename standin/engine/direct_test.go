package engine_test

import (
	"testing"
	"time"

	"acaciapath.example/standin/engine"

	qt "github.com/frankban/quicktest"
)

// newBatch returns an engine of the given memory whose steps take a millisecond.
func newBatch(c *qt.C, memory int) *engine.Engine {
	e := engine.New(engine.Options{
		Places: 4, MemoryTokens: memory, CacheTokens: memory,
		StepTime: time.Millisecond, PrefillTime: time.Microsecond,
	})
	e.Batch()
	c.Cleanup(func() { c.Check(e.Close(), qt.IsNil) })
	return e
}

func ask(c *qt.C, e *engine.Engine, w engine.Work) *engine.Answer {
	a, err := e.Ask(w)
	c.Assert(err, qt.IsNil)
	return a
}

// ended returns the logged run of a request.
func ended(c *qt.C, e *engine.Engine, id string) engine.Run {
	for _, r := range e.Runs().Entries() {
		if r.RequestID == id {
			return r
		}
	}
	c.Fatalf("%s has not ended", id)
	return engine.Run{}
}

// TestSharedPartsAreKept: a part that was read is not read again, until running
// requests need its memory.
func TestSharedPartsAreKept(t *testing.T) {
	c := qt.New(t)
	e := newBatch(c, 10_000)
	shared := engine.Part{ID: 1, Tokens: 4000}
	for _, id := range []string{"a", "b"} {
		parts := []engine.Part{shared, {ID: uint64(id[0]), Tokens: 100}}
		c.Assert(ask(c, e, engine.Work{RequestID: id, Parts: parts, Tokens: 5}).Wait(c.Context(), 5), qt.IsTrue)
	}
	c.Assert(ended(c, e, "a").CachedTokens, qt.Equals, 0)
	c.Assert(ended(c, e, "b").CachedTokens, qt.Equals, 4000)
	large := engine.Work{RequestID: "large", Parts: []engine.Part{{ID: 9, Tokens: 9000}}, Tokens: 5}
	c.Assert(ask(c, e, large).Wait(c.Context(), 5), qt.IsTrue)
	again := engine.Work{RequestID: "again", Parts: []engine.Part{shared}, Tokens: 1}
	c.Assert(ask(c, e, again).Wait(c.Context(), 1), qt.IsTrue)
	c.Assert(ended(c, e, "again").CachedTokens, qt.Equals, 0)
}

// TestMemoryBoundsTheBatch: a request waits while there is no memory for it,
// though there are places, and one that is larger than all of it is refused.
func TestMemoryBoundsTheBatch(t *testing.T) {
	c := qt.New(t)
	e := newBatch(c, 10_000)
	first := ask(c, e, engine.Work{RequestID: "first", Parts: []engine.Part{{ID: 1, Tokens: 8000}}, Tokens: 500})
	c.Assert(first.Wait(c.Context(), 1), qt.IsTrue)
	second := ask(c, e, engine.Work{RequestID: "second", Parts: []engine.Part{{ID: 2, Tokens: 8000}}, Tokens: 5})
	c.Assert(first.Wait(c.Context(), 50), qt.IsTrue)
	c.Assert(e.Waiting(), qt.Equals, 1)
	first.Stop()
	c.Assert(second.Wait(c.Context(), 5), qt.IsTrue)
	_, err := e.Ask(engine.Work{RequestID: "third", Parts: []engine.Part{{ID: 3, Tokens: 10_001}}})
	c.Assert(err, qt.IsNotNil)
}

// TestAnswersThatGrowPreempt: when answers outgrow the memory, the newest of the
// least urgent goes back, and ends whole later.
func TestAnswersThatGrowPreempt(t *testing.T) {
	c := qt.New(t)
	e := newBatch(c, 1000)
	urgent := ask(c, e, engine.Work{RequestID: "urgent", Parts: []engine.Part{{ID: 1, Tokens: 400}}, Tokens: 300})
	patient := ask(c, e, engine.Work{RequestID: "patient", Priority: 5, Parts: []engine.Part{{ID: 2, Tokens: 400}}, Tokens: 300})
	c.Assert(urgent.Wait(c.Context(), 300), qt.IsTrue)
	c.Assert(patient.Wait(c.Context(), 300), qt.IsTrue)
	c.Assert(ended(c, e, "urgent").Preemptions, qt.Equals, 0)
	c.Assert(ended(c, e, "patient").Preemptions > 0, qt.IsTrue)
}

// TestCopiedMemoryIsNotReadAgain: a request whose memory was brought from another
// engine goes on where it was.
func TestCopiedMemoryIsNotReadAgain(t *testing.T) {
	c := qt.New(t)
	e := newBatch(c, 100_000)
	work := engine.Work{RequestID: "a", Parts: []engine.Part{{ID: 1, Tokens: 50_000}}, Tokens: 20, Made: 10, Copied: true}
	c.Assert(ask(c, e, work).Wait(c.Context(), 20), qt.IsTrue)
	c.Assert(ended(c, e, "a").PrefilledTokens, qt.Equals, 0)
	c.Assert(ended(c, e, "a").CompletionTokens, qt.Equals, 10)
}
