package engine_test

import (
	"context"
	"errors"
	"testing"

	"acaciapath.example/standin/engine"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
)

// TestClientLibrary checks that the official OpenAI client library works with the
// engine without changes.
func TestClientLibrary(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	e := start(c, engine.Options{})
	client := openai.NewClient(
		option.WithBaseURL("http://"+e.Address()+"/v1/"),
		option.WithAPIKey("unused"),
		option.WithMaxRetries(0),
	)
	models, err := client.Models.List(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(models.Data[0].ID, qt.Equals, model)

	params := openai.ChatCompletionNewParams{
		Model:         model,
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello [tokens=9]")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
	whole, err := client.Chat.Completions.New(ctx, params)
	c.Assert(err, qt.IsNil)
	c.Assert(whole.Usage.CompletionTokens, qt.Equals, int64(9))

	var streamed openai.ChatCompletionAccumulator
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	for stream.Next() {
		c.Assert(streamed.AddChunk(stream.Current()), qt.IsTrue)
	}
	c.Assert(stream.Err(), qt.IsNil)
	c.Assert(streamed.Choices[0].Message.Content, qt.Equals, whole.Choices[0].Message.Content)
	c.Assert(streamed.Choices[0].FinishReason, qt.Equals, "stop")
	c.Assert(streamed.Usage.TotalTokens, qt.Equals, whole.Usage.TotalTokens)

	params.Model = "unknown"
	_, err = client.Chat.Completions.New(ctx, params)
	var refused *openai.Error
	c.Assert(errors.As(err, &refused), qt.IsTrue)
	c.Assert(refused.Code, qt.Equals, "model_not_found")
}
