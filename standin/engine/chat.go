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
	run, refused := e.begin(&req, r)
	if refused != nil {
		refused.send(w)
		return
	}
	if req.Stream {
		e.stream(w, r, &req, run)
		return
	}
	e.sendWhole(w, r, &req, run)
}

// begin submits a chat request. It logs one that it refuses.
func (e *Engine) begin(req *engine.ChatRequest, r *http.Request) (*run, *apiError) {
	log := RunEntry{
		RequestID: r.Header.Get(engine.HeaderRequestID),
		Model:     req.Model,
		Priority:  req.Priority,
		Arrived:   e.now(),
		Header:    r.Header.Clone(),
	}
	begun, refused := e.check(req, log)
	if refused != nil {
		log.Ended, log.Outcome = e.now(), Refused
		e.runs.Add(log)
	}
	return begun, refused
}

// check submits a chat request if the engine can serve it.
func (e *Engine) check(req *engine.ChatRequest, log RunEntry) (*run, *apiError) {
	if e.Faults().Draining {
		return nil, errDraining
	}
	if !e.hasModel(req.Model) {
		return nil, invalid(http.StatusNotFound, "model_not_found", "the model "+req.Model+" is not loaded")
	}
	p, err := newPrompt(req, &e.options)
	if err != nil {
		return nil, invalid(http.StatusBadRequest, "invalid_messages", err.Error())
	}
	maxTokens := orDefault(req.MaxCompletionTokens, req.MaxTokens)
	if limit := e.options.ContextTokens; limit > 0 {
		if p.tokens+max(maxTokens, 1) > limit {
			return nil, invalid(http.StatusBadRequest, "context_length_exceeded", "the prompt and the answer are too long")
		}
		maxTokens = min(orDefault(maxTokens, limit), limit-p.tokens)
	}
	begun := newRun(p, log, maxTokens)
	if err := e.submit(begun); errors.Is(err, errQueueFull) {
		return nil, unavailable("queue_full", err.Error())
	}
	return begun, nil
}

// sendWhole answers with the whole answer once it is complete.
func (e *Engine) sendWhole(w http.ResponseWriter, r *http.Request, req *engine.ChatRequest, run *run) {
	select {
	case <-run.over:
	case <-r.Context().Done():
		e.stop(run, Disconnected)
	}
	e.abortIfBroken(run)
	var text strings.Builder
	n := int(run.generated.Load())
	for i := range n {
		text.WriteString(token(run.prompt.seed, run.prompt.start+i))
	}
	fault.WriteJSON(w, http.StatusOK, completion{
		ID:      completionID(run),
		Object:  objectCompletion,
		Created: run.log.Arrived.Unix(),
		Model:   req.Model,
		Choices: []choice{{
			Message:      answer{Role: roleAssistant, Content: text.String()},
			FinishReason: run.finishReason(),
		}},
		Usage: run.usage(),
	})
}

// abortIfBroken ends the connection of a run that has ended without an answer.
func (e *Engine) abortIfBroken(run *run) {
	<-run.over
	if run.log.Outcome == Crashed || run.log.Outcome == Disconnected {
		fault.AbortIfError(fault.ErrCrashed)
	}
	fault.AbortIfError(e.faults.WaitUnfrozen())
}

// finishReason returns why the answer of a run that is over ended.
func (r *run) finishReason() finishReason {
	switch {
	case r.log.Outcome != Finished:
		return finishAbort
	case r.whole():
		return finishStop
	}
	return finishLength
}

// usage returns what a run that is over used.
func (r *run) usage() *engine.Usage {
	n := r.log.CompletionTokens
	return &engine.Usage{
		PromptTokens:     r.log.PromptTokens,
		CompletionTokens: n,
		TotalTokens:      r.log.PromptTokens + n,
	}
}

func completionID(r *run) string { return "chatcmpl-" + r.log.RequestID }

// stream answers with the tokens as they are generated.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, req *engine.ChatRequest, run *run) {
	s := newStream(w, req, run)
	s.start()
	for e.follow(r.Context(), s) {
		fault.AbortIfError(e.faults.WaitUnfrozen())
		s.flush()
	}
	e.abortIfBroken(run)
	s.finish(req.StreamOptions != nil && req.StreamOptions.IncludeUsage)
}

// follow waits for more tokens and reports false when the run is over.
func (e *Engine) follow(ctx context.Context, s *stream) bool {
	select {
	case <-s.run.progress:
		return true
	case <-s.run.over:
	case <-ctx.Done():
		e.stop(s.run, Disconnected)
	}
	return false
}

// stream is a streamed answer (server-sent events).
type stream struct {
	w    http.ResponseWriter
	run  *run
	head chunk
	sent int // tokens sent
}

func newStream(w http.ResponseWriter, req *engine.ChatRequest, r *run) *stream {
	return &stream{w: w, run: r, head: chunk{
		ID:      completionID(r),
		Object:  objectChunk,
		Created: r.log.Arrived.Unix(),
		Model:   req.Model,
	}}
}

// start sends the header and the role.
func (s *stream) start() {
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
	empty := ""
	s.sendDelta(delta{Role: roleAssistant, Content: &empty}, nil)
	s.push()
}

// flush sends the tokens that were generated and not sent.
func (s *stream) flush() {
	for n := int(s.run.generated.Load()); s.sent < n; s.sent++ {
		text := token(s.run.prompt.seed, s.run.prompt.start+s.sent)
		s.sendDelta(delta{Content: &text}, nil)
	}
	s.push()
}

// finish sends the rest, the reason of the end and, if asked for, the usage.
func (s *stream) finish(withUsage bool) {
	s.flush()
	reason := s.run.finishReason()
	s.sendDelta(delta{}, &reason)
	if withUsage {
		last := s.head
		last.Choices = []chunkChoice{}
		last.Usage = s.run.usage()
		s.send(last)
	}
	_, _ = s.w.Write([]byte("data: [DONE]\n\n"))
	s.push()
}

func (s *stream) sendDelta(d delta, reason *finishReason) {
	c := s.head
	c.Choices = []chunkChoice{{Delta: d, FinishReason: reason}}
	s.send(c)
}

func (s *stream) send(c chunk) {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // strings and numbers alone always marshal
	}
	_, _ = s.w.Write(append(append([]byte("data: "), data...), "\n\n"...))
}

// push sends what is buffered.
func (s *stream) push() {
	if f, ok := s.w.(http.Flusher); ok {
		f.Flush()
	}
}
