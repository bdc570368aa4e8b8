package engine

import "context"

// PromptPart is one of the consecutive parts that make up a prompt.
type PromptPart struct {
	// PrefixHash identifies the content of this part and all parts before it.
	PrefixHash uint64
	// Tokens is the length of this part. Tokens ≥ 0.
	Tokens int
}

// SizedRequest is a request that has only token counts and no text.
type SizedRequest struct {
	// RequestID identifies the request in the log.
	RequestID string
	// Priority is the priority. Requests with lower values run first.
	Priority int
	// Parts are the parts of the prompt, in order.
	Parts []PromptPart
	// AnswerTokens is the length of the whole answer, including GeneratedTokens.
	AnswerTokens int
	// GeneratedTokens is the number of answer tokens that another engine has
	// already generated.
	GeneratedTokens int
	// KVCacheCopied reports that the KV cache of the prompt and the generated
	// tokens has been copied to this engine, so that they need no prefill.
	KVCacheCopied bool
}

// StartWithoutHTTP starts the engine without an HTTP server, for programs that
// serve it over another protocol. Close stops the engine.
func (e *Engine) StartWithoutHTTP() { e.wg.Go(e.loop) }

// Generation is a request that was accepted by Submit.
type Generation struct {
	engine *Engine
	run    *run
}

// Submit adds a request to the queue. It returns an error if the queue is full
// or the request is larger than the engine's memory.
func (e *Engine) Submit(req SizedRequest) (*Generation, error) {
	p := &prompt{answerTokens: req.AnswerTokens, answerStart: req.GeneratedTokens, tokens: req.GeneratedTokens}
	prefixTokens := 0
	for _, part := range req.Parts {
		prefixTokens += part.Tokens
		p.tokens += part.Tokens
		p.prefixes = append(p.prefixes, prefix{hash: part.PrefixHash, tokens: prefixTokens})
	}
	if e.options.MemoryTokens > 0 && p.tokens+req.AnswerTokens > e.options.MemoryTokens {
		return nil, errQueueFull
	}
	r := newRun(p, RunEntry{RequestID: req.RequestID, Priority: req.Priority, ArrivedAt: e.now()}, 0)
	r.kvCacheCopied = req.KVCacheCopied
	if err := e.enqueue(r); err != nil {
		return nil, err
	}
	return &Generation{engine: e, run: r}, nil
}

// WaitForTokens waits until the answer has at least the given number of tokens,
// including those generated before Submit. It reports false if the request or
// ctx ends first.
func (g *Generation) WaitForTokens(ctx context.Context, tokens int) bool {
	for {
		if g.run.prompt.answerStart+int(g.run.generated.Load()) >= tokens {
			return true
		}
		select {
		case <-g.run.progress:
		case <-g.run.done:
			return g.run.prompt.answerStart+int(g.run.generated.Load()) >= tokens
		case <-ctx.Done():
			return false
		}
	}
}

// Stop ends the request, because its caller has disconnected or it continues on
// another engine. The outcome is Disconnected.
func (g *Generation) Stop() { g.engine.stop(g.run, Disconnected) }

// RunningRequest describes a request in the batch.
type RunningRequest struct {
	// RequestID is the ID of the request.
	RequestID string
	// KVTokens is the number of its tokens in the KV cache.
	KVTokens int
	// GeneratedTokens is the number of answer tokens generated so far, including
	// those generated before Submit.
	GeneratedTokens int
	// Priority is the priority. Requests with lower values run first.
	Priority int
}

// RunningRequests returns the requests in the batch.
func (e *Engine) RunningRequests() []RunningRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	requests := make([]RunningRequest, len(e.running))
	for i, r := range e.running {
		requests[i] = RunningRequest{RequestID: r.entry.RequestID, KVTokens: r.kvTokens(), GeneratedTokens: r.prompt.answerStart + r.entry.CompletionTokens, Priority: r.entry.Priority}
	}
	return requests
}

// WaitingCount returns the number of requests in the queue.
func (e *Engine) WaitingCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.waiting)
}
