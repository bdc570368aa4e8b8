package engine

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// ChatRequest holds the fields of a chat request that routers and stand-ins
// need. The rest of the body passes through untouched.
type ChatRequest struct {
	// Model is the name of the model.
	Model string `json:"model"`
	// Messages are the conversation.
	Messages []Message `json:"messages"`
	// Stream says whether the answer is streamed.
	Stream bool `json:"stream,omitempty"`
	// StreamOptions go with Stream.
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
	// MaxTokens bounds the answer; the older name of MaxCompletionTokens.
	MaxTokens int `json:"max_tokens,omitempty"`
	// MaxCompletionTokens bounds the answer.
	MaxCompletionTokens int `json:"max_completion_tokens,omitempty"`
	// Priority is the engine's priority of the request, lower runs first.
	Priority int `json:"priority,omitempty"`
	// ContinueFinalMessage asks to go on with the last message, which is the
	// part of an answer that was generated before.
	ContinueFinalMessage bool `json:"continue_final_message,omitempty"`
}

// StreamOptions are options of a streamed answer.
type StreamOptions struct {
	// IncludeUsage asks for a last chunk with the usage.
	IncludeUsage bool `json:"include_usage,omitempty"`
}

// Message is one message of a conversation.
type Message struct {
	// Role is who wrote the message.
	Role string `json:"role"`
	// Content is text or a list of parts.
	Content json.RawMessage `json:"content"`
}

// Usage is what a request used.
type Usage struct {
	// PromptTokens is the number of prompt tokens.
	PromptTokens int `json:"prompt_tokens"`
	// CompletionTokens is the number of generated tokens.
	CompletionTokens int `json:"completion_tokens"`
	// TotalTokens is the sum of both.
	TotalTokens int `json:"total_tokens"`
}

// PrefixHash returns the hash of a model and the first n messages of a
// conversation, by which prefix caches are compared.
func PrefixHash(model string, messages []Message) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	for _, m := range messages {
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(m.Role)
		_, _ = d.Write([]byte{0})
		_, _ = d.Write(m.Content)
	}
	return d.Sum64()
}
