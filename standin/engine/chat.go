package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"acaciapath.example/core/engine"
	"acaciapath.example/standin/fault"
)

// serveChat answers a chat request.
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var req engine.ChatRequest
	if !decode(w, r, &req) {
		return
	}
	run, refused := e.admit(&req, r)
	if refused != nil {
		refused.send(w)
		return
	}
	if req.Stream {
		e.stream(w, r, &req, run)
		return
	}
	e.sendCompletion(w, r, &req, run)
}

// admit enqueues a chat request and logs it if it is refused.
func (e *Engine) admit(req *engine.ChatRequest, r *http.Request) (*run, *apiError) {
	entry := RunEntry{
		RequestID: r.Header.Get(engine.HeaderRequestID),
		Model:     req.Model,
		Priority:  req.Priority,
		ArrivedAt: e.now(),
		Header:    r.Header.Clone(),
	}
	accepted, refused := e.checkAndEnqueue(req, entry)
	if refused != nil {
		entry.EndedAt, entry.Outcome = e.now(), Refused
		e.runs.Add(entry)
	}
	return accepted, refused
}

// checkAndEnqueue enqueues a chat request if the engine can serve it.
func (e *Engine) checkAndEnqueue(req *engine.ChatRequest, entry RunEntry) (*run, *apiError) {
	if e.Faults().Draining {
		return nil, errDraining
	}
	if !e.hasModel(req.Model) {
		return nil, invalidRequestError(http.StatusNotFound, "model_not_found", "the model "+req.Model+" is not loaded")
	}
	p, err := newPrompt(req, &e.options)
	if err != nil {
		return nil, invalidRequestError(http.StatusBadRequest, "invalid_messages", err.Error())
	}
	maxTokens := orDefault(req.MaxCompletionTokens, req.MaxTokens)
	if limit := e.options.ContextTokens; limit > 0 {
		if p.tokens+max(maxTokens, 1) > limit {
			return nil, invalidRequestError(http.StatusBadRequest, "context_length_exceeded", "the prompt and the answer are too long")
		}
		maxTokens = min(orDefault(maxTokens, limit), limit-p.tokens)
	}
	accepted := newRun(p, entry, maxTokens)
	if err := e.enqueue(accepted); errors.Is(err, errQueueFull) {
		return nil, unavailableError("queue_full", err.Error())
	}
	return accepted, nil
}

// sendCompletion waits until the answer is complete and sends it in one
// response.
func (e *Engine) sendCompletion(w http.ResponseWriter, r *http.Request, req *engine.ChatRequest, run *run) {
	select {
	case <-run.done:
	case <-r.Context().Done():
		e.stop(run, Disconnected)
	}
	e.abortIfFailed(run)
	var text strings.Builder
	n := int(run.generated.Load())
	for i := range n {
		text.WriteString(tokenText(run.prompt.seed, run.prompt.answerStart+i))
	}
	fault.WriteJSON(w, http.StatusOK, completion{
		ID:      completionID(run),
		Object:  objectCompletion,
		Created: run.entry.ArrivedAt.Unix(),
		Model:   req.Model,
		Choices: []choice{{
			Message:      chatMessage{Role: roleAssistant, Content: text.String()},
			FinishReason: run.finishReason(),
		}},
		Usage: run.usage(),
	})
}

// abortIfFailed waits for the end of the run and closes the connection if the
// outcome is Crashed or Disconnected. Otherwise it returns once the engine is
// not frozen.
func (e *Engine) abortIfFailed(run *run) {
	<-run.done
	if run.entry.Outcome == Crashed || run.entry.Outcome == Disconnected {
		fault.AbortIfError(fault.ErrCrashed)
	}
	fault.AbortIfError(e.faults.WaitUnfrozen())
}

// finishReason returns the reason why the answer of an ended run stopped.
func (r *run) finishReason() finishReason {
	switch {
	case r.entry.Outcome != Finished:
		return finishAbort
	case r.reachesEnd():
		return finishStop
	}
	return finishLength
}

// usage returns the token usage of an ended run.
func (r *run) usage() *engine.Usage {
	n := r.entry.CompletionTokens
	return &engine.Usage{
		PromptTokens:     r.entry.PromptTokens,
		CompletionTokens: n,
		TotalTokens:      r.entry.PromptTokens + n,
	}
}

func completionID(r *run) string { return "chatcmpl-" + r.entry.RequestID }

// stream sends the tokens as they are generated.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, req *engine.ChatRequest, run *run) {
	s := newStream(w, req, run)
	s.start()
	for e.awaitProgress(r.Context(), s) {
		fault.AbortIfError(e.faults.WaitUnfrozen())
		s.sendNewTokens()
	}
	e.abortIfFailed(run)
	s.finish(req.StreamOptions != nil && req.StreamOptions.IncludeUsage)
}

// awaitProgress waits for more tokens. It reports false when the run has ended.
func (e *Engine) awaitProgress(ctx context.Context, s *stream) bool {
	select {
	case <-s.run.progress:
		return true
	case <-s.run.done:
	case <-ctx.Done():
		e.stop(s.run, Disconnected)
	}
	return false
}

// stream sends an answer as server-sent events.
type stream struct {
	w        http.ResponseWriter
	run      *run
	template chunk
	sent     int // tokens sent
}

func newStream(w http.ResponseWriter, req *engine.ChatRequest, r *run) *stream {
	return &stream{w: w, run: r, template: chunk{
		ID:      completionID(r),
		Object:  objectChunk,
		Created: r.entry.ArrivedAt.Unix(),
		Model:   req.Model,
	}}
}

// start sends the response header and a first chunk with the role.
func (s *stream) start() {
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
	empty := ""
	s.sendDelta(delta{Role: roleAssistant, Content: &empty}, nil)
	s.flush()
}

// sendNewTokens sends the tokens that were generated since the last call.
func (s *stream) sendNewTokens() {
	for n := int(s.run.generated.Load()); s.sent < n; s.sent++ {
		text := tokenText(s.run.prompt.seed, s.run.prompt.answerStart+s.sent)
		s.sendDelta(delta{Content: &text}, nil)
	}
	s.flush()
}

// finish sends the remaining tokens, the finish reason, the usage if requested,
// and the end marker.
func (s *stream) finish(withUsage bool) {
	s.sendNewTokens()
	reason := s.run.finishReason()
	s.sendDelta(delta{}, &reason)
	if withUsage {
		last := s.template
		last.Choices = []chunkChoice{}
		last.Usage = s.run.usage()
		s.send(last)
	}
	_, _ = s.w.Write([]byte("data: [DONE]\n\n"))
	s.flush()
}

func (s *stream) sendDelta(d delta, reason *finishReason) {
	c := s.template
	c.Choices = []chunkChoice{{Delta: d, FinishReason: reason}}
	s.send(c)
}

func (s *stream) send(c chunk) {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // a chunk has only strings and numbers, which always marshal
	}
	_, _ = s.w.Write(append(append([]byte("data: "), data...), "\n\n"...))
}

// flush sends buffered data to the client.
func (s *stream) flush() {
	if f, ok := s.w.(http.Flusher); ok {
		f.Flush()
	}
}
