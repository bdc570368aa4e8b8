package engine_test

import (
	"testing"
	"time"

	"acaciapath.example/standin/engine"

	qt "github.com/frankban/quicktest"
)

// newEngine returns a started engine with memory in tokens and steps of one
// millisecond.
func newEngine(c *qt.C, memory int) *engine.Engine {
	e := engine.New(engine.Options{
		Slots: 4, MemoryTokens: memory, CacheTokens: memory,
		StepTime: time.Millisecond, PrefillTimePerToken: time.Microsecond,
	})
	e.StartWithoutHTTP()
	c.Cleanup(func() { c.Check(e.Close(), qt.IsNil) })
	return e
}

func submit(c *qt.C, e *engine.Engine, req engine.SizedRequest) *engine.Generation {
	g, err := e.Submit(req)
	c.Assert(err, qt.IsNil)
	return g
}

// endedRun returns the log entry of a request that has ended.
func endedRun(c *qt.C, e *engine.Engine, id string) engine.RunEntry {
	for _, r := range e.Runs().Entries() {
		if r.RequestID == id {
			return r
		}
	}
	c.Fatalf("%s has not ended", id)
	return engine.RunEntry{}
}

// TestSharedPrefixIsCached checks that a prefix that was processed once is not
// processed again until running requests need its memory.
func TestSharedPrefixIsCached(t *testing.T) {
	c := qt.New(t)
	e := newEngine(c, 10_000)
	shared := engine.PromptPart{PrefixHash: 1, Tokens: 4000}
	for _, id := range []string{"a", "b"} {
		parts := []engine.PromptPart{shared, {PrefixHash: uint64(id[0]), Tokens: 100}}
		c.Assert(submit(c, e, engine.SizedRequest{RequestID: id, Parts: parts, AnswerTokens: 5}).WaitForTokens(c.Context(), 5), qt.IsTrue)
	}
	c.Assert(endedRun(c, e, "a").CachedTokens, qt.Equals, 0)
	c.Assert(endedRun(c, e, "b").CachedTokens, qt.Equals, 4000)
	large := engine.SizedRequest{RequestID: "large", Parts: []engine.PromptPart{{PrefixHash: 9, Tokens: 9000}}, AnswerTokens: 5}
	c.Assert(submit(c, e, large).WaitForTokens(c.Context(), 5), qt.IsTrue)
	again := engine.SizedRequest{RequestID: "again", Parts: []engine.PromptPart{shared}, AnswerTokens: 1}
	c.Assert(submit(c, e, again).WaitForTokens(c.Context(), 1), qt.IsTrue)
	c.Assert(endedRun(c, e, "again").CachedTokens, qt.Equals, 0)
}

// TestMemoryLimitsTheBatch checks that a request waits while there is no memory
// for it, although slots are free, and that a request larger than the whole
// memory is refused.
func TestMemoryLimitsTheBatch(t *testing.T) {
	c := qt.New(t)
	e := newEngine(c, 10_000)
	first := submit(c, e, engine.SizedRequest{RequestID: "first", Parts: []engine.PromptPart{{PrefixHash: 1, Tokens: 8000}}, AnswerTokens: 500})
	c.Assert(first.WaitForTokens(c.Context(), 1), qt.IsTrue)
	second := submit(c, e, engine.SizedRequest{RequestID: "second", Parts: []engine.PromptPart{{PrefixHash: 2, Tokens: 8000}}, AnswerTokens: 5})
	c.Assert(first.WaitForTokens(c.Context(), 50), qt.IsTrue)
	c.Assert(e.WaitingCount(), qt.Equals, 1)
	first.Stop()
	c.Assert(second.WaitForTokens(c.Context(), 5), qt.IsTrue)
	_, err := e.Submit(engine.SizedRequest{RequestID: "third", Parts: []engine.PromptPart{{PrefixHash: 3, Tokens: 10_001}}})
	c.Assert(err, qt.IsNotNil)
}

// TestGrowingAnswersCausePreemption checks that when growing answers exceed the
// memory, the newest request of the lowest priority is preempted and completes
// later.
func TestGrowingAnswersCausePreemption(t *testing.T) {
	c := qt.New(t)
	e := newEngine(c, 1000)
	urgent := submit(c, e, engine.SizedRequest{RequestID: "urgent", Parts: []engine.PromptPart{{PrefixHash: 1, Tokens: 400}}, AnswerTokens: 300})
	patient := submit(c, e, engine.SizedRequest{RequestID: "patient", Priority: 5, Parts: []engine.PromptPart{{PrefixHash: 2, Tokens: 400}}, AnswerTokens: 300})
	c.Assert(urgent.WaitForTokens(c.Context(), 300), qt.IsTrue)
	c.Assert(patient.WaitForTokens(c.Context(), 300), qt.IsTrue)
	c.Assert(endedRun(c, e, "urgent").Preemptions, qt.Equals, 0)
	c.Assert(endedRun(c, e, "patient").Preemptions > 0, qt.IsTrue)
}

// TestCopiedKVCacheNeedsNoPrefill checks that a request whose KV cache was copied
// from another engine continues without processing its prompt again.
func TestCopiedKVCacheNeedsNoPrefill(t *testing.T) {
	c := qt.New(t)
	e := newEngine(c, 100_000)
	req := engine.SizedRequest{RequestID: "a", Parts: []engine.PromptPart{{PrefixHash: 1, Tokens: 50_000}}, AnswerTokens: 20, GeneratedTokens: 10, KVCacheCopied: true}
	c.Assert(submit(c, e, req).WaitForTokens(c.Context(), 20), qt.IsTrue)
	c.Assert(endedRun(c, e, "a").PrefilledTokens, qt.Equals, 0)
	c.Assert(endedRun(c, e, "a").CompletionTokens, qt.Equals, 10)
}
