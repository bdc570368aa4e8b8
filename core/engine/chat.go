package engine

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// ChatRequest holds the fields of a chat request that routers and stand-ins
// need. The other fields of the body are forwarded unchanged.
type ChatRequest struct {
	// Model is the name of the model.
	Model string `json:"model"`
	// Messages are the messages of the conversation.
	Messages []Message `json:"messages"`
	// Stream reports whether the answer is to be streamed.
	Stream bool `json:"stream,omitempty"`
	// StreamOptions are the options of a streamed answer.
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
	// MaxTokens is the maximum number of tokens to generate. It is the older name
	// of MaxCompletionTokens.
	MaxTokens int `json:"max_tokens,omitempty"`
	// MaxCompletionTokens is the maximum number of tokens to generate.
	MaxCompletionTokens int `json:"max_completion_tokens,omitempty"`
	// Priority is the priority of the request in the engine; lower values run
	// first.
	Priority int `json:"priority,omitempty"`
	// ContinueFinalMessage asks the engine to continue the last message, which
	// holds the part of an answer that was already generated.
	ContinueFinalMessage bool `json:"continue_final_message,omitempty"`
}

// StreamOptions are options of a streamed answer.
type StreamOptions struct {
	// IncludeUsage asks for a final chunk that holds the Usage.
	IncludeUsage bool `json:"include_usage,omitempty"`
}

// Message is one message of a conversation.
type Message struct {
	// Role is the role of the message's author.
	Role string `json:"role"`
	// Content is a JSON string or an array of content parts.
	Content json.RawMessage `json:"content"`
}

// Usage is the number of tokens that a request used.
type Usage struct {
	// PromptTokens is the number of prompt tokens.
	PromptTokens int `json:"prompt_tokens"`
	// CompletionTokens is the number of generated tokens.
	CompletionTokens int `json:"completion_tokens"`
	// TotalTokens is the sum of both.
	TotalTokens int `json:"total_tokens"`
}

// PrefixHash returns a hash of the model's name and the given leading messages
// of a conversation. Engines and routers identify cached prefixes by these hashes.
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
