package daemon_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciapath.example/standin/engine"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
)

// TestPreemption sends an urgent request while a less urgent answer occupies
// the only slot. It checks that the urgent request is answered first, and that
// the less urgent answer is complete and charged once.
func TestPreemption(t *testing.T) {
	s := start(t, systemOptions{
		engines:     []engine.Options{{Slots: 1, Seed: 5, StepTime: 5 * time.Millisecond}, {Seed: 5}},
		extraConfig: "\n[backend-server engine-1]\nplaces = 1\n\n[backend-server engine-2]\nmodels = other\n\n[model other]\ncontext-tokens = 8000\nmax-completion-tokens = 2000\n",
	})
	s.fillPreemptionCredit()
	lessUrgent := s.client(shopKey, option.WithHeader("X-Service-Class", "letters"))
	request := params("a letter [tokens=400]")
	stream := lessUrgent.Chat.Completions.NewStreaming(t.Context(), request)
	s.c.Assert(stream.Next(), qt.IsTrue)
	var streamed openai.ChatCompletionAccumulator
	streamed.AddChunk(stream.Current())
	streamDone := make(chan error, 1)
	go func() {
		for stream.Next() {
			streamed.AddChunk(stream.Current())
		}
		streamDone <- stream.Err()
	}()

	urgent := s.do(s.request("POST", "/v1/chat/completions", shopKey, chatBody(3, true)))
	s.c.Assert(urgent.status, qt.Equals, http.StatusOK)
	s.c.Assert(len(streamDone), qt.Equals, 0, qt.Commentf("the less urgent answer has not ended"))
	s.c.Assert(<-streamDone, qt.IsNil)

	direct := s.client(shopKey, option.WithBaseURL("http://"+s.engines[1].Address()+"/v1/"))
	want, err := direct.Chat.Completions.New(t.Context(), request)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(streamed.Choices[0].Message.Content, qt.Equals, want.Choices[0].Message.Content)
	metrics := s.do(mustGet("http://" + s.daemon.OpsAddress() + "/metrics"))
	s.c.Assert(metrics.body, qt.Contains, `acaciapath_entry_preemptions_total{service_class="letters"} 1`)
	s.stop()
	<-s.ended
	for _, line := range s.chargedUsage() {
		if line.ServiceClass == "letters" {
			s.c.Assert(line.Requests, qt.Equals, uint64(1))
			s.c.Assert(line.CompletionTokens, qt.Equals, uint64(400))
		}
	}
}

// fillPreemptionCredit sends requests with long prompts, whose tokens add to the
// preemption credit, until the credit permits a preemption.
func (s *system) fillPreemptionCredit() {
	words := strings.Repeat("sock ", 6000)
	body := strings.Replace(chatBody(1, true), "socks", words, 1)
	for range 4 {
		s.c.Assert(s.do(s.request("POST", "/v1/chat/completions", shopKey, body)).status, qt.Equals, http.StatusOK)
	}
}
