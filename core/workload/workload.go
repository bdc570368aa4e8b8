package workload

import "time"

// PromptPart is one of the consecutive parts of a prompt. Different requests
// may have parts in common.
type PromptPart struct {
	// ID identifies the content of the part.
	ID uint64
	// Tokens is the length of the part. Tokens ≥ 0.
	Tokens int
}

// Work describes the work of a request for a model engine. The zero value means
// that the caller stated nothing.
type Work struct {
	// Model is the name of the model, or empty.
	Model string
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// MaxOutputTokens is the largest number of tokens to generate.
	MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate of the number of generated
	// tokens, or 0. It is accurate at the median but often far off.
	ExpectedOutputTokens int
	// Parts are the parts of the prompt, in order. The last one is specific to
	// the request or its session.
	Parts []PromptPart
}

// SharedParts returns the parts of the prompt that other requests may share: all
// but the last.
func (w Work) SharedParts() []PromptPart {
	return w.Parts[:max(len(w.Parts)-1, 0)]
}

// SharedPrefixKey returns the key of the longest prefix of the prompt that
// other requests share, or 0 if there is none.
func (w Work) SharedPrefixKey() uint64 {
	if len(w.Parts) < 2 {
		return 0
	}
	return w.Parts[len(w.Parts)-2].ID
}

// SharedPrefixTokens returns the length of the longest prefix of the prompt
// that other requests share.
func (w Work) SharedPrefixTokens() int {
	n := 0
	for i := 0; i+1 < len(w.Parts); i++ {
		n += w.Parts[i].Tokens
	}
	return n
}

// Metadata is what a caller sends with a request in addition to method, path
// and body.
type Metadata struct {
	// AttemptID identifies the attempt of the caller. It is empty if the caller
	// sent none.
	AttemptID string
	// Timeout is how long the caller waits for the answer, or 0 if it did not
	// say.
	Timeout time.Duration
	// APIKey is the API key of the caller, or empty.
	APIKey string
	// LastEventID is the ID of the last event of a stream that the caller
	// received, or empty.
	LastEventID string
	// Resumes is the AttemptID of the caller's attempt that brought the first event of
	// the stream that it takes up again, or empty.
	Resumes string
	// Work is the work of the request for a model engine.
	Work Work
}
