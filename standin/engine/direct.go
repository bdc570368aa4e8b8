package engine

import "context"

// Part is one of the consecutive parts of a prompt.
type Part struct {
	// ID names the content of the part, with all parts before it.
	ID uint64
	// Tokens is its length. Tokens ≥ 0.
	Tokens int
}

// Work is a request that is told by its size, without a text.
type Work struct {
	// RequestID is the id of the request.
	RequestID string
	// Priority is the priority, lower runs first.
	Priority int
	// Parts are the parts of the prompt, in order.
	Parts []Part
	// Tokens is the length of the whole answer.
	Tokens int
	// Made is the number of tokens of the answer that are there already.
	Made int
	// Copied says that the memory of prompt and answer so far is there.
	Copied bool
}

// Batch runs the engine's steps without serving callers, for programs that
// speak another protocol in front of it. It ends with Close.
func (e *Engine) Batch() { e.wait.Go(e.loop) }

// Answer is the answer to a Work.
type Answer struct {
	engine *Engine
	run    *run
}

// Ask takes a request in to wait for the batch. It returns an error if too many
// wait, or if the request is larger than the engine's memory.
func (e *Engine) Ask(work Work) (*Answer, error) {
	p := &prompt{length: work.Tokens, start: work.Made, tokens: work.Made}
	shared := 0
	for _, part := range work.Parts {
		shared += part.Tokens
		p.tokens += part.Tokens
		p.prefixes = append(p.prefixes, prefix{hash: part.ID, tokens: shared})
	}
	if e.options.MemoryTokens > 0 && p.tokens+work.Tokens > e.options.MemoryTokens {
		return nil, errQueueFull
	}
	r := newRun(p, Run{RequestID: work.RequestID, Priority: work.Priority, Arrived: e.now()}, 0)
	r.copied = work.Copied
	if err := e.submit(r); err != nil {
		return nil, err
	}
	return &Answer{engine: e, run: r}, nil
}

// Wait waits until the answer has at least so many tokens, with those that were
// there already, and reports false if it ends before.
func (a *Answer) Wait(ctx context.Context, tokens int) bool {
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
func (a *Answer) Stop() { a.engine.stop(a.run, Disconnected) }

// Held is what a request has in the memory of the engine.
type Held struct {
	// RequestID is the id of the request.
	RequestID string
	// Tokens is its memory.
	Tokens int
	// Made is the number of tokens of the answer.
	Made int
	// Priority is the priority, lower runs first.
	Priority int
}

// Held returns what runs.
func (e *Engine) Held() []Held {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := make([]Held, len(e.running))
	for i, r := range e.running {
		held[i] = Held{RequestID: r.log.RequestID, Tokens: r.memory(), Made: r.prompt.start + r.log.CompletionTokens, Priority: r.log.Priority}
	}
	return held
}

// Waiting returns the number of requests that wait for the batch.
func (e *Engine) Waiting() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.waiting)
}
