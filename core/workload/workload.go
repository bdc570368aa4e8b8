// Package workload describes what a request asks of a model engine, as far as
// its caller tells it beside the body.
package workload

import "time"

// Part is one of the consecutive parts of a prompt. Requests share parts.
type Part struct {
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
	// OutputTokens is the most tokens that are generated.
	OutputTokens int
	// ExpectedTokens is the caller's estimate of the tokens that are generated,
	// or 0. It is good at the median and often far off.
	ExpectedTokens int
	// Parts are the parts of the prompt in their order. The last one belongs to
	// the request itself or to its session.
	Parts []Part
}

// SharedKey returns the name of the longest beginning of the prompt that other
// requests share, or 0 if there is none.
func (w Work) SharedKey() uint64 {
	if len(w.Parts) < 2 {
		return 0
	}
	return w.Parts[len(w.Parts)-2].ID
}

// SharedTokens returns the length of the beginning of the prompt that other
// requests share.
func (w Work) SharedTokens() int {
	n := 0
	for i := 0; i+1 < len(w.Parts); i++ {
		n += w.Parts[i].Tokens
	}
	return n
}

// Ask is what a caller tells of a request beside method, path and body.
type Ask struct {
	// ID names the attempt of the caller. Empty if the caller sent none.
	ID string
	// Wait is how long the caller waits for the answer, or 0 if it did not say.
	Wait time.Duration
	// Key is the caller's API key, or empty.
	Key string
	// LastEventID is the last event of a stream that the caller has, or empty.
	LastEventID string
	// Work is what the request asks of a model engine.
	Work Work
}
