// Package workload describes what a request asks of a model engine, as far as
// its caller tells it beside the body.
package workload

import "time"

// PromptPart is one of the consecutive parts of a prompt. Requests share parts.
type PromptPart struct {
	// ID names the content of the part.
	ID uint64
	// Tokens is its length. Tokens ≥ 0.
	Tokens int
}

// Work is what a request asks of a model engine. The zero value asks nothing.
type Work struct {
	// Model is the name of the model, or empty.
	Model string
	// PromptTokens is the length of the prompt, with all its parts.
	PromptTokens int
	// MaxOutputTokens is the most tokens that are generated.
	MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate of the tokens that are generated,
	// or 0. It is good at the median and often far off.
	ExpectedOutputTokens int
	// Parts are the parts of the prompt in their order. The last one belongs to
	// the request itself or to its session.
	Parts []PromptPart
}

// SharedPrefixKey returns the name of the longest beginning of the prompt that other
// requests share, or 0 if there is none.
func (w Work) SharedPrefixKey() uint64 {
	if len(w.Parts) < 2 {
		return 0
	}
	return w.Parts[len(w.Parts)-2].ID
}

// SharedPrefixTokens returns the length of the beginning of the prompt that other
// requests share.
func (w Work) SharedPrefixTokens() int {
	n := 0
	for i := 0; i+1 < len(w.Parts); i++ {
		n += w.Parts[i].Tokens
	}
	return n
}

// Metadata is what a caller tells of a request beside method, path and body.
type Metadata struct {
	// AttemptID names the attempt of the caller. Empty if the caller sent none.
	AttemptID string
	// Timeout is how long the caller waits for the answer, or 0 if it did not say.
	Timeout time.Duration
	// APIKey is the caller's API key, or empty.
	APIKey string
	// LastEventID is the last event of a stream that the caller has, or empty.
	LastEventID string
	// Work is what the request asks of a model engine.
	Work Work
}
