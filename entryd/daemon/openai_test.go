package daemon_test

import (
	"context"
	"errors"
	"testing"

	"acaciapath.example/core/usage"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
)

// client returns an unmodified client library for the chat API.
func (s *system) client(key string, more ...option.RequestOption) openai.Client {
	options := append([]option.RequestOption{
		option.WithBaseURL("http://" + s.daemon.CallersAddress() + "/v1/"),
		option.WithAPIKey(key),
		option.WithMaxRetries(0),
	}, more...)
	return openai.NewClient(options...)
}

// params returns a chat request with one message.
func params(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "assistant",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

func TestClientLibrary(t *testing.T) {
	s := start(t, systemOptions{})
	client := s.client(shopKey)
	ctx := context.Background()

	whole, err := client.Chat.Completions.New(ctx, params("socks [tokens=12]"))
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(whole.Usage.CompletionTokens, qt.Equals, int64(12))

	request := params("socks [tokens=12]")
	request.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client.Chat.Completions.NewStreaming(ctx, request)
	var collected openai.ChatCompletionAccumulator
	for stream.Next() {
		collected.AddChunk(stream.Current())
	}
	s.c.Assert(stream.Err(), qt.IsNil)
	s.c.Assert(collected.Choices[0].Message.Content, qt.Equals, whole.Choices[0].Message.Content)
	s.c.Assert(collected.Usage.CompletionTokens, qt.Equals, int64(12))

	models, err := client.Models.List(ctx)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(models.Data, qt.HasLen, 1)
	s.c.Assert(models.Data[0].ID, qt.Equals, "assistant")

	wrongKey := s.client("acacia_wrong")
	_, err = wrongKey.Chat.Completions.New(ctx, params("socks"))
	var failure *openai.Error
	s.c.Assert(errors.As(err, &failure), qt.IsTrue)
	s.c.Assert(failure.StatusCode, qt.Equals, 401)
	s.c.Assert(failure.Code, qt.Equals, "key-invalid")

	letters := s.client(shopKey, option.WithHeader("X-Service-Class", "letters"))
	_, err = letters.Chat.Completions.New(ctx, params("socks [tokens=12]"))
	s.c.Assert(err, qt.IsNil)
	s.stop()
	<-s.ended
	s.c.Assert(s.err, qt.IsNil)

	prompt := uint64(whole.Usage.PromptTokens)
	s.c.Assert(s.chargedUsage(), qt.DeepEquals, []usage.Line{
		{
			Key:    usage.Key{ClientAccount: "shop", ServiceClass: "chat", Model: "assistant"},
			Work:   usage.Work{Requests: 2, PromptTokens: 2 * prompt, CompletionTokens: 24},
			Amount: int64(2*prompt + 2*24),
		},
		{
			Key:    usage.Key{ClientAccount: "shop", ServiceClass: "letters", Model: "assistant"},
			Work:   usage.Work{Requests: 1, PromptTokens: prompt, CompletionTokens: 12},
			Amount: int64(prompt + 12),
		},
	})
}

func TestUsageIsOmittedUnlessRequested(t *testing.T) {
	s := start(t, systemOptions{})
	got := s.do(s.request("POST", "/v1/chat/completions", shopKey, chatBody(3, true)))
	s.c.Assert(got.status, qt.Equals, 200)
	s.c.Assert(got.header.Get("Content-Type"), qt.Equals, "text/event-stream")
	s.c.Assert(got.body, qt.Matches, `(?s).*data: \[DONE\]\n\n`)
	s.c.Assert(got.body, qt.Not(qt.Contains), "prompt_tokens")
}
