package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	coreengine "acaciapath.example/core/engine"
	"acaciapath.example/standin/engine"
	"acaciapath.example/standin/fault"

	qt "github.com/frankban/quicktest"
)

func TestStreamedAnswerEqualsUnstreamed(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	e := start(c, engine.Options{})
	whole, err := chat(ctx, e, "r1", request("one two [tokens=37]"))
	c.Assert(err, qt.IsNil)
	c.Assert(whole.Finish, qt.Equals, "stop")
	c.Assert(*whole.Usage, qt.Equals, coreengine.Usage{PromptTokens: 3, CompletionTokens: 37, TotalTokens: 40})
	c.Assert(strings.Fields(whole.Text), qt.HasLen, 37)

	req := request("one two [tokens=37]")
	req.Stream = true
	req.StreamOptions = &coreengine.StreamOptions{IncludeUsage: true}
	streamed, err := chat(ctx, e, "r2", req)
	c.Assert(err, qt.IsNil)
	c.Assert(streamed.Text, qt.Equals, whole.Text)
	c.Assert(streamed.Tokens, qt.Equals, 37)
	c.Assert(streamed.Done, qt.IsTrue)
	c.Assert(*streamed.Usage, qt.Equals, *whole.Usage)

	other, err := chat(ctx, e, "r3", request("one three [tokens=37]"))
	c.Assert(err, qt.IsNil)
	c.Assert(other.Text, qt.Not(qt.Equals), whole.Text)
}

func TestResumedAnswerEqualsUninterrupted(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	a, b := start(c, engine.Options{Seed: 3}), start(c, engine.Options{Seed: 3})
	req := request("a letter [tokens=20]")
	whole, err := chat(ctx, a, "r1", req)
	c.Assert(err, qt.IsNil)
	req.MaxTokens = 8
	part, err := chat(ctx, a, "r2", req)
	c.Assert(err, qt.IsNil)
	c.Assert(part.Finish, qt.Equals, "length")

	content, err := json.Marshal(part.Text)
	c.Assert(err, qt.IsNil)
	req.Messages = append(req.Messages, coreengine.Message{Role: "assistant", Content: content})
	req.MaxTokens, req.ContinueFinalMessage = 0, true
	rest, err := chat(ctx, b, "r3", req)
	c.Assert(err, qt.IsNil)
	c.Assert(part.Text+rest.Text, qt.Equals, whole.Text)
	c.Assert(rest.Finish, qt.Equals, "stop")
	c.Assert(rest.Usage.CompletionTokens, qt.Equals, 12)
	c.Assert(b.Runs().Entries()[0].FirstTokenIndex, qt.Equals, 8)
}

func TestRefusals(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name   string
		change func(*coreengine.ChatRequest)
		faults engine.Faults
		status int
		code   string
	}{
		{name: "unknown model", change: func(r *coreengine.ChatRequest) { r.Model = "x" }, status: 404, code: "model_not_found"},
		{name: "no messages", change: func(r *coreengine.ChatRequest) { r.Messages = nil }, status: 400, code: "invalid_messages"},
		{name: "invalid content", change: func(r *coreengine.ChatRequest) { r.Messages[0].Content = []byte("3") }, status: 400, code: "invalid_messages"},
		{name: "no message to continue", change: func(r *coreengine.ChatRequest) { r.ContinueFinalMessage = true }, status: 400, code: "invalid_messages"},
		{name: "context too long", change: func(r *coreengine.ChatRequest) { r.MaxTokens = 1000 }, status: 400, code: "context_length_exceeded"},
		{name: "down", faults: engine.Faults{Faults: fault.Faults{Down: true}}, status: 503, code: "not_started"},
		{name: "draining", faults: engine.Faults{Draining: true}, status: 503, code: "draining"},
	} {
		c.Run(test.name, func(c *qt.C) {
			e := start(c, engine.Options{ContextTokens: 100, Faults: test.faults})
			req := request("hello")
			if test.change != nil {
				test.change(req)
			}
			a, err := chat(context.Background(), e, "r", req)
			c.Assert(err, qt.IsNil)
			c.Assert(a.Status, qt.Equals, test.status)
			c.Assert(a.Code, qt.Equals, test.code)
		})
	}
}

func TestManyStreams(t *testing.T) {
	c := qt.New(t)
	e := start(c, engine.Options{Slots: 64, Preempts: true})
	var wait sync.WaitGroup
	texts := make([]string, 250)
	for i := range texts {
		wait.Go(func() {
			req := request(fmt.Sprintf("%d [tokens=20]", i%5))
			req.Stream = true
			req.Priority = i % 3
			a, err := chat(context.Background(), e, "", req)
			if err == nil && a.Done {
				texts[i] = a.Text
			}
		})
	}
	wait.Wait()
	for i, text := range texts {
		c.Assert(strings.Fields(text), qt.HasLen, 20)
		c.Assert(text, qt.Equals, texts[i%5])
	}
	c.Assert(e.Runs().Entries(), qt.HasLen, len(texts))
}

func TestPrioritiesAndCancel(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	e := start(c, engine.Options{Slots: 1})
	first := startLongAnswer(ctx, e, "first", 5)
	awaitLoad(c, e, 1, 0)
	late := startLongAnswer(ctx, e, "late", 3)
	awaitLoad(c, e, 1, 1)
	urgent := startLongAnswer(ctx, e, "urgent", 1)
	awaitLoad(c, e, 1, 2)
	c.Assert(cancel(c, e, "late").CompletionTokens, qt.Equals, 0)
	<-late
	ran := cancel(c, e, "first")
	c.Assert(ran.Known, qt.IsTrue)
	a := <-first
	c.Assert(a.Tokens, qt.Equals, ran.CompletionTokens)
	c.Assert(a.Finish, qt.Equals, "abort")
	c.Assert(cancel(c, e, "first"), qt.Equals, ran)
	c.Assert(cancel(c, e, "nobody").Known, qt.IsFalse)
	awaitLoad(c, e, 1, 0)
	cancel(c, e, "urgent")
	<-urgent
}

func TestPreemption(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	e := start(c, engine.Options{Slots: 1, Preempts: true})
	slow := startLongAnswer(ctx, e, "slow", 5)
	awaitLoad(c, e, 1, 0)
	same := startLongAnswer(ctx, e, "same", 5)
	awaitLoad(c, e, 1, 1)
	urgent, err := chat(ctx, e, "urgent", request("[tokens=3]"))
	c.Assert(err, qt.IsNil)
	c.Assert(urgent.Finish, qt.Equals, "stop")
	cancel(c, e, "same")
	<-same
	cancel(c, e, "slow")
	<-slow
	entries := e.Runs().Entries()
	c.Assert(entries[0].RequestID, qt.Equals, "urgent")
	c.Assert(entries[1].Preemptions, qt.Equals, 0)
	c.Assert(entries[2].Preemptions, qt.Equals, 1)
}

func TestCallerDisconnects(t *testing.T) {
	c := qt.New(t)
	ctx, disconnect := context.WithCancel(context.Background())
	e := start(c, engine.Options{})
	gone := startLongAnswer(ctx, e, "gone", 0)
	awaitLoad(c, e, 1, 0)
	disconnect()
	<-gone
	awaitLoad(c, e, 0, 0)
	c.Assert(e.Runs().Entries()[0].Outcome, qt.Equals, engine.Disconnected)
}

func TestPrefixCache(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	e := start(c, engine.Options{CacheTokens: 10, DropEveryNthCacheEvent: 3})
	first, second := "a b c d e [tokens=1]", "f g h i j [tokens=1]"
	for _, text := range []string{first, first, second, first} {
		_, err := chat(ctx, e, text[:1], request(text))
		c.Assert(err, qt.IsNil)
	}
	runs := e.Runs().Entries()
	c.Assert(runs[0].CachedTokens, qt.Equals, 0)
	c.Assert(runs[1].CachedTokens, qt.Equals, 6)
	c.Assert(runs[1].PromptTokens, qt.Equals, 6)
	c.Assert(runs[1].PrefilledTokens, qt.Equals, 0)
	c.Assert(runs[3].CachedTokens, qt.Equals, 0) // evicted by the second prompt

	// Every third event is lost; here that is the first eviction.
	hash := coreengine.PrefixHash(model, request(first).Messages)
	var events coreengine.CacheEvents
	get(c, e, coreengine.PathCacheEvents, &events)
	var seqs []uint64
	for _, event := range events.Events {
		seqs = append(seqs, event.Seq)
	}
	c.Assert(seqs, qt.DeepEquals, []uint64{1, 2, 4, 5})
	c.Assert(events.Events[0].Stored, qt.IsTrue)
	c.Assert(events.Events[0].PrefixHash, qt.Equals, hash)
	c.Assert(events.Events[3].Stored, qt.IsFalse)
	get(c, e, coreengine.PathCacheEvents+"?after=4", &events)
	c.Assert(events.Events, qt.HasLen, 1)
}

func TestOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("ChecksFencing=%t", checks), func(t *testing.T) {
			c := qt.New(t)
			e := start(c, engine.Options{ChecksFencing: checks})
			send := func(id string, fence uint64, kind coreengine.OrderKind, name string) int {
				o := coreengine.Order{ID: id, Fence: fence, Kind: kind, Name: name}
				res, err := post(context.Background(), e, coreengine.PathOrders, "", o)
				c.Assert(err, qt.IsNil)
				c.Assert(res.Body.Close(), qt.IsNil)
				return res.StatusCode
			}
			c.Assert(send("1", 2, coreengine.OrderLoadModel, "n"), qt.Equals, http.StatusOK)
			c.Assert(send("1", 2, coreengine.OrderLoadModel, "n"), qt.Equals, http.StatusOK)
			c.Assert(send("2", 2, "dance", ""), qt.Equals, http.StatusBadRequest)
			c.Assert(send("3", 1, coreengine.OrderSetRole, "old") == http.StatusOK, qt.Equals, !checks)
			orders := e.Orders().Entries()
			c.Assert(orders, qt.HasLen, 3)
			c.Assert(orders[1].Repeated, qt.IsTrue)
			c.Assert(orders[2].Applied, qt.Equals, !checks)
			var load coreengine.Load
			get(c, e, coreengine.PathLoad, &load)
			c.Assert(load.Models, qt.DeepEquals, []string{model, "n"})
			c.Assert(load.Role == "old", qt.Equals, !checks)
		})
	}
}

func TestCrashLosesState(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	e := start(c, engine.Options{Faults: engine.Faults{CrashAfterTokens: 7}})
	broken := <-startLongAnswer(ctx, e, "broken", 0)
	c.Assert(broken.Done, qt.IsFalse)
	c.Assert(broken.Tokens <= 7, qt.IsTrue)
	c.Assert(e.Runs().Entries()[0].CompletionTokens, qt.Equals, 7)
	_, err := chat(ctx, e, "refused", request("hello"))
	c.Assert(err, qt.IsNotNil)

	e.SetFaults(engine.Faults{})
	c.Assert(cancel(c, e, "broken").Known, qt.IsFalse) // the crash lost it
	a, err := chat(ctx, e, "again", request("[tokens=2]"))
	c.Assert(err, qt.IsNil)
	c.Assert(a.Finish, qt.Equals, "stop")
}

func TestFrozenThenSlow(t *testing.T) {
	c := qt.New(t)
	e := start(c, engine.Options{})
	ended := startLongAnswer(context.Background(), e, "held", 0)
	awaitLoad(c, e, 1, 0)
	e.SetFaults(engine.Faults{Faults: fault.Faults{Frozen: true}})
	ctx, disconnect := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer disconnect()
	_, err := chat(ctx, e, "hangs", request("[tokens=1]"))
	c.Assert(err, qt.IsNotNil)
	c.Assert(e.Runs().Entries(), qt.HasLen, 0)
	e.SetFaults(engine.Faults{SlowFactor: 2})
	a, err := chat(context.Background(), e, "later", request("[tokens=1]"))
	c.Assert(err, qt.IsNil)
	c.Assert(a.Finish, qt.Equals, "stop")
	cancel(c, e, "held")
	<-ended
}

func TestFaultsAndLogByHTTP(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	e := start(c, engine.Options{})
	_, err := chat(ctx, e, "r1", request("[tokens=1]"))
	c.Assert(err, qt.IsNil)
	res, err := http.Post("http://"+e.Address()+engine.PathFaults, "application/json", strings.NewReader(`{"frozen":true,"slow-factor":3}`))
	c.Assert(err, qt.IsNil)
	c.Assert(res.Body.Close(), qt.IsNil)
	c.Assert(e.Faults().Frozen, qt.IsTrue)
	c.Assert(e.Faults().SlowFactor, qt.Equals, 3.0)
	var logs engine.Logs
	get(c, e, engine.PathLog, &logs)
	c.Assert(logs.Runs.Entries[0].RequestID, qt.Equals, "r1")
	c.Assert(logs.Runs.Entries[0].Header.Get(coreengine.HeaderRequestID), qt.Equals, "r1")
}
