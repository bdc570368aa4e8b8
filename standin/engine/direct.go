package engine

import "context"

// PromptPart is one of the consecutive parts of a prompt.
type PromptPart struct {
	// PrefixHash names the content of the part, with all parts before it.
	PrefixHash uint64
	// Tokens is its length. Tokens ≥ 0.
	Tokens int
}

// SizedRequest is a request that is told by its size, without a text.
type SizedRequest struct {
	// RequestID is the id of the request.
	RequestID string
	// Priority is the priority, lower runs first.
	Priority int
	// Parts are the parts of the prompt, in order.
	Parts []PromptPart
	// AnswerTokens is the length of the whole answer.
	AnswerTokens int
	// GeneratedTokens is the number of tokens of the answer that are there already.
	GeneratedTokens int
	// KVCacheCopied says that the memory of prompt and answer so far is there.
	KVCacheCopied bool
}

// StartWithoutHTTP runs the engine's steps without serving callers, for programs that
// speak another protocol in front of it. It ends with Close.
func (e *Engine) StartWithoutHTTP() { e.wait.Go(e.loop) }

// Generation is the answer to a Work.
type Generation struct {
	engine *Engine
	run    *run
}

// Submit takes a request in to wait for the batch. It returns an error if too many
// wait, or if the request is larger than the engine's memory.
func (e *Engine) Submit(work SizedRequest) (*Generation, error) {
	p := &prompt{length: work.AnswerTokens, start: work.GeneratedTokens, tokens: work.GeneratedTokens}
	shared := 0
	for _, part := range work.Parts {
		shared += part.Tokens
		p.tokens += part.Tokens
		p.prefixes = append(p.prefixes, prefix{hash: part.PrefixHash, tokens: shared})
	}
	if e.options.MemoryTokens > 0 && p.tokens+work.AnswerTokens > e.options.MemoryTokens {
		return nil, errQueueFull
	}
	r := newRun(p, RunEntry{RequestID: work.RequestID, Priority: work.Priority, Arrived: e.now()}, 0)
	r.copied = work.KVCacheCopied
	if err := e.submit(r); err != nil {
		return nil, err
	}
	return &Generation{engine: e, run: r}, nil
}

// WaitForTokens waits until the answer has at least so many tokens, with those that were
// there already, and reports false if it ends before.
func (a *Generation) WaitForTokens(ctx context.Context, tokens int) bool {
	for {
		if a.run.prompt.start+int(a.run.generated.Load()) >= tokens {
			return true
		}
		select {
		case <-a.run.progress:
		case <-a.run.over:
			return a.run.prompt.start+int(a.run.generated.Load()) >= tokens
		case <-ctx.Done():
			return false
		}
	}
}

// Stop ends the request because its caller has left or it goes on elsewhere.
func (a *Generation) Stop() { a.engine.stop(a.run, Disconnected) }

// RunningRequest is what a request has in the memory of the engine.
type RunningRequest struct {
	// RequestID is the id of the request.
	RequestID string
	// KVTokens is its memory.
	KVTokens int
	// GeneratedTokens is the number of tokens of the answer.
	GeneratedTokens int
	// Priority is the priority, lower runs first.
	Priority int
}

// RunningRequests returns what runs.
func (e *Engine) RunningRequests() []RunningRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := make([]RunningRequest, len(e.running))
	for i, r := range e.running {
		held[i] = RunningRequest{RequestID: r.log.RequestID, KVTokens: r.memory(), GeneratedTokens: r.prompt.start + r.log.CompletionTokens, Priority: r.log.Priority}
	}
	return held
}

// WaitingCount returns the number of requests that wait for the batch.
func (e *Engine) WaitingCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.waiting)
}
