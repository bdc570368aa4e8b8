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
		Slots: 4, MemoryTokens: memory, CacheTokens: memory,
		StepTime: time.Millisecond, PrefillTimePerToken: time.Microsecond,
	})
	e.StartWithoutHTTP()
	c.Cleanup(func() { c.Check(e.Close(), qt.IsNil) })
	return e
}

func ask(c *qt.C, e *engine.Engine, w engine.SizedRequest) *engine.Generation {
	a, err := e.Submit(w)
	c.Assert(err, qt.IsNil)
	return a
}

// ended returns the logged run of a request.
func ended(c *qt.C, e *engine.Engine, id string) engine.RunEntry {
	for _, r := range e.Runs().Entries() {
		if r.RequestID == id {
			return r
		}
	}
	c.Fatalf("%s has not ended", id)
	return engine.RunEntry{}
}

// TestSharedPartsAreKept: a part that was read is not read again, until running
// requests need its memory.
func TestSharedPartsAreKept(t *testing.T) {
	c := qt.New(t)
	e := newBatch(c, 10_000)
	shared := engine.PromptPart{PrefixHash: 1, Tokens: 4000}
	for _, id := range []string{"a", "b"} {
		parts := []engine.PromptPart{shared, {PrefixHash: uint64(id[0]), Tokens: 100}}
		c.Assert(ask(c, e, engine.SizedRequest{RequestID: id, Parts: parts, AnswerTokens: 5}).WaitForTokens(c.Context(), 5), qt.IsTrue)
	}
	c.Assert(ended(c, e, "a").CachedTokens, qt.Equals, 0)
	c.Assert(ended(c, e, "b").CachedTokens, qt.Equals, 4000)
	large := engine.SizedRequest{RequestID: "large", Parts: []engine.PromptPart{{PrefixHash: 9, Tokens: 9000}}, AnswerTokens: 5}
	c.Assert(ask(c, e, large).WaitForTokens(c.Context(), 5), qt.IsTrue)
	again := engine.SizedRequest{RequestID: "again", Parts: []engine.PromptPart{shared}, AnswerTokens: 1}
	c.Assert(ask(c, e, again).WaitForTokens(c.Context(), 1), qt.IsTrue)
	c.Assert(ended(c, e, "again").CachedTokens, qt.Equals, 0)
}

// TestMemoryBoundsTheBatch: a request waits while there is no memory for it,
// though there are places, and one that is larger than all of it is refused.
func TestMemoryBoundsTheBatch(t *testing.T) {
	c := qt.New(t)
	e := newBatch(c, 10_000)
	first := ask(c, e, engine.SizedRequest{RequestID: "first", Parts: []engine.PromptPart{{PrefixHash: 1, Tokens: 8000}}, AnswerTokens: 500})
	c.Assert(first.WaitForTokens(c.Context(), 1), qt.IsTrue)
	second := ask(c, e, engine.SizedRequest{RequestID: "second", Parts: []engine.PromptPart{{PrefixHash: 2, Tokens: 8000}}, AnswerTokens: 5})
	c.Assert(first.WaitForTokens(c.Context(), 50), qt.IsTrue)
	c.Assert(e.WaitingCount(), qt.Equals, 1)
	first.Stop()
	c.Assert(second.WaitForTokens(c.Context(), 5), qt.IsTrue)
	_, err := e.Submit(engine.SizedRequest{RequestID: "third", Parts: []engine.PromptPart{{PrefixHash: 3, Tokens: 10_001}}})
	c.Assert(err, qt.IsNotNil)
}

// TestAnswersThatGrowPreempt: when answers outgrow the memory, the newest of the
// least urgent goes back, and ends whole later.
func TestAnswersThatGrowPreempt(t *testing.T) {
	c := qt.New(t)
	e := newBatch(c, 1000)
	urgent := ask(c, e, engine.SizedRequest{RequestID: "urgent", Parts: []engine.PromptPart{{PrefixHash: 1, Tokens: 400}}, AnswerTokens: 300})
	patient := ask(c, e, engine.SizedRequest{RequestID: "patient", Priority: 5, Parts: []engine.PromptPart{{PrefixHash: 2, Tokens: 400}}, AnswerTokens: 300})
	c.Assert(urgent.WaitForTokens(c.Context(), 300), qt.IsTrue)
	c.Assert(patient.WaitForTokens(c.Context(), 300), qt.IsTrue)
	c.Assert(ended(c, e, "urgent").Preemptions, qt.Equals, 0)
	c.Assert(ended(c, e, "patient").Preemptions > 0, qt.IsTrue)
}

// TestCopiedMemoryIsNotReadAgain: a request whose memory was brought from another
// engine goes on where it was.
func TestCopiedMemoryIsNotReadAgain(t *testing.T) {
	c := qt.New(t)
	e := newBatch(c, 100_000)
	work := engine.SizedRequest{RequestID: "a", Parts: []engine.PromptPart{{PrefixHash: 1, Tokens: 50_000}}, AnswerTokens: 20, GeneratedTokens: 10, KVCacheCopied: true}
	c.Assert(ask(c, e, work).WaitForTokens(c.Context(), 20), qt.IsTrue)
	c.Assert(ended(c, e, "a").PrefilledTokens, qt.Equals, 0)
	c.Assert(ended(c, e, "a").CompletionTokens, qt.Equals, 10)
}
