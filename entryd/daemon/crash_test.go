package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciapath.example/core/engine"
	"acaciapath.example/core/refusal"
	"acaciapath.example/core/usage"
	"acaciapath.example/entryd/daemon"
	standin "acaciapath.example/standin/engine"
	"acaciapath.example/standin/fault"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
)

// TestCrashMidStream checks that a stream ends with a refusal if its engine
// crashes, and that the tokens sent so far are charged.
func TestCrashMidStream(t *testing.T) {
	s := start(t, systemOptions{engines: []standin.Options{{
		StepTime: 3 * time.Millisecond, Faults: standin.Faults{CrashAfterTokens: 10},
	}}})
	got := s.do(s.request("POST", "/v1/chat/completions", shopKey, chatBody(100, true)))
	s.c.Assert(got.err, qt.IsNil)
	s.c.Assert(got.status, qt.Equals, 200)
	s.c.Assert(got.body, qt.Not(qt.Contains), "[DONE]")
	events := strings.Split(strings.TrimSpace(got.body), "\n\n")
	last := decode[refusal.Body](s.c, []byte(strings.TrimPrefix(events[len(events)-1], "data: ")))
	s.c.Assert(last.Error.Code, qt.Equals, refusal.AnswerIncomplete)
	s.c.Assert(last.Error.RunState, qt.Equals, refusal.MayHaveRun)
	s.stop()
	<-s.ended
	tokens := uint64(strings.Count(got.body, `"content":`) - 1) // except for the empty first chunk
	s.c.Assert(s.chargedUsage()[0].CompletionTokens, qt.Equals, tokens)
}

// TestResumeAfterCrash crashes two of four engines during streams. It checks
// that another engine continues each stream, that no token is lost or repeated,
// and that each token is charged once.
func TestResumeAfterCrash(t *testing.T) {
	crashing := standin.Options{Seed: 5, Faults: standin.Faults{CrashAfterTokens: 30}}
	s := start(t, systemOptions{engines: []standin.Options{crashing, crashing, {Seed: 5}, {Seed: 5}}, extraConfig: "\n[limits]\nretry-budget = 100%\n"})
	client := s.client(shopKey)
	direct := s.client(shopKey, option.WithBaseURL("http://"+s.engines[3].Address()+"/v1/"))
	bothCrashed := func() bool { return s.engines[0].Faults().Crashed && s.engines[1].Faults().Crashed }
	// Idle engines are chosen at random. Each further request misses an engine that
	// has not crashed with a probability of at most 2/3.
	const minRequests, maxRequests = 12, 100
	var prompt, completion int64
	requests := 0
	for ; requests < minRequests || !bothCrashed() && requests < maxRequests; requests++ {
		request := params(fmt.Sprintf("socks %d \\ \"é\" [tokens=40]", requests))
		request.StreamOptions.IncludeUsage = openai.Bool(true)
		stream := client.Chat.Completions.NewStreaming(t.Context(), request)
		var streamed openai.ChatCompletionAccumulator
		roleEvents := 0
		for stream.Next() {
			chunk := stream.Current()
			s.c.Assert(streamed.AddChunk(chunk), qt.IsTrue)
			if len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Role != "" {
				roleEvents++
			}
		}
		s.c.Assert(roleEvents, qt.Equals, 1)
		s.c.Assert(stream.Err(), qt.IsNil)
		s.c.Assert(streamed.Usage.CompletionTokens, qt.Equals, int64(40))
		prompt, completion = prompt+streamed.Usage.PromptTokens, completion+streamed.Usage.CompletionTokens
		request.StreamOptions = openai.ChatCompletionStreamOptionsParam{}
		whole, err := direct.Chat.Completions.New(t.Context(), request)
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(streamed.Choices[0].Message.Content, qt.Equals, whole.Choices[0].Message.Content)
		s.c.Assert(streamed.Usage.PromptTokens, qt.Equals, whole.Usage.PromptTokens)
	}
	s.c.Assert(bothCrashed(), qt.IsTrue)
	resumed := 0
	for _, e := range s.engines[2:] {
		for _, run := range e.Runs().Entries() {
			resumed += min(run.FirstTokenIndex, 1)
		}
	}
	s.c.Assert(resumed > 0, qt.IsTrue)
	s.stop()
	<-s.ended
	s.c.Assert(s.chargedUsage(), qt.HasLen, 1)
	s.c.Assert(s.chargedUsage()[0].Work, qt.Equals, usage.Work{Requests: uint64(requests), PromptTokens: uint64(prompt), CompletionTokens: uint64(completion)})
}

// TestAbortedAnswer checks that an answer that was cancelled at the engine is
// reported as incomplete, although its stream ends like a complete one.
func TestAbortedAnswer(t *testing.T) {
	for _, stream := range []bool{true, false} {
		s := start(t, systemOptions{
			engines: []standin.Options{{StepTime: 5 * time.Millisecond}},
			options: daemon.Options{Random: zeroReader{}},
		})
		answers := make(chan answer, 1)
		go func() { answers <- s.do(s.request("POST", "/v1/chat/completions", shopKey, chatBody(2000, stream))) }()
		s.eventually(func() bool { return cancelAtEngine(s).Known })
		got := <-answers
		s.c.Assert(got.body, qt.Contains, `"code":"answer-incomplete"`)
		s.c.Assert(got.body, qt.Not(qt.Contains), "[DONE]")
	}
}

// zeroReader reads zeros, so that the request id is known.
type zeroReader struct{}

// Read fills p with zeros.
func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// cancelAtEngine cancels the request with the id of zeros at the engine.
func cancelAtEngine(s *system) engine.CancelResult {
	body := `{"request-id":"` + strings.Repeat("0", 32) + `"}`
	response, err := http.Post("http://"+s.engines[0].Address()+engine.PathCancel, "application/json", strings.NewReader(body))
	s.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	s.c.Assert(err, qt.IsNil)
	return decode[engine.CancelResult](s.c, text)
}

// TestRetryIfNotExecuted checks that requests are retried on another engine,
// within the retry budget, after a failure to connect and after an engine that
// rejects all requests.
func TestRetryIfNotExecuted(t *testing.T) {
	s := start(t, systemOptions{
		engines:       []standin.Options{{}, {Faults: standin.Faults{Faults: fault.Faults{Down: true}}}, {}},
		extraConfig:   "\n[limits]\nretry-budget = 100%\n",
		closesServers: true,
	})
	s.c.Assert(s.engines[2].Close(), qt.IsNil)
	sent := 0
	s.eventually(func() bool {
		sent++
		body := strings.Replace(chatBody(2, true), "socks", fmt.Sprint("socks ", sent), 1) // in no prefix cache
		s.c.Assert(s.do(s.request("POST", "/v1/chat/completions", shopKey, body)).status, qt.Equals, 200)
		metrics := s.do(mustGet("http://" + s.daemon.OpsAddress() + "/metrics"))
		return !strings.Contains(metrics.body, "acaciapath_entry_retries_total 0")
	})
	s.c.Assert(s.engines[0].Runs().Entries(), qt.HasLen, sent)
}

// TestStalledEngine freezes one of two engines and checks that the other engine
// completes the stream that the frozen engine had begun and answers later
// requests, including those that were first sent to the frozen engine, long
// before the request timeout.
func TestStalledEngine(t *testing.T) {
	s := start(t, systemOptions{
		engines:     []standin.Options{{Seed: 5}, {Seed: 5}},
		extraConfig: "\n[limits]\nretry-budget = 100%\n",
	})
	stream := s.openStream(t.Context(), s.request("POST", "/v1/chat/completions", shopKey, chatBody(1500, true)))
	frozen := s.engines[0]
	if s.running("engine-2") == 1 {
		frozen = s.engines[1]
	}
	frozen.SetFaults(standin.Faults{Faults: fault.Faults{Frozen: true}})
	for i := range 4 {
		body := strings.Replace(chatBody(2, true), "socks", fmt.Sprint("socks ", i), 1)
		got := s.do(s.request("POST", "/v1/chat/completions", shopKey, body))
		s.c.Assert(got.status, qt.Equals, 200)
		s.c.Assert(strings.HasSuffix(got.body, "data: [DONE]\n\n"), qt.IsTrue)
	}
	text, err := stream.readRest()
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(strings.HasSuffix(text, "data: [DONE]\n\n"), qt.IsTrue)
}

// running returns the number of requests of the daemon that run on a backend
// server.
func (s *system) running(name string) int {
	for _, server := range s.daemon.Status().BackendServers {
		if server.Name == name {
			return server.Running
		}
	}
	return 0
}

// TestFrozenEngine checks that a request times out and releases its slot if its
// engine does not respond.
func TestFrozenEngine(t *testing.T) {
	s := start(t, systemOptions{extraConfig: "\n[limits]\nrequest-timeout = 1s\n"})
	s.engines[0].SetFaults(standin.Faults{Faults: fault.Faults{Frozen: true}})
	got := s.do(s.request("POST", "/v1/chat/completions", shopKey, chatBody(2, true)))
	assertRefusal(t, "backend-timeout", got)
	s.eventually(func() bool { return s.daemon.Status().BackendServers[0].Running == 0 })
}
