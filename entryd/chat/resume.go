package chat

import (
	"bytes"
	"encoding/json"
	"strconv"

	"acaciapath.example/core/engine"
	"acaciapath.example/core/refusal"
	"acaciapath.example/entryd/caller"
)

// maxPartialBytes bounds the text that is kept of an answer to resume it.
const maxPartialBytes = 1 << 20

// canProceed reports whether another engine can answer the request: from the
// start while the caller was sent no token, else from where it broke off.
func (r *run) canProceed() bool {
	if r.tokens == 0 {
		return true
	}
	return !r.mixed && !r.request.Unresumable && len(*r.partial) <= maxPartialBytes && r.tokensLeft() > 0
}

// tokensLeft returns how many tokens the answer may still have.
func (r *run) tokensLeft() int { return r.maxTokens - r.tokens }

// bodyToSend returns the body for the present attempt.
func (r *run) bodyToSend() []byte {
	if r.tokens == 0 {
		return r.body
	}
	return resumed(r.body, *r.partial, r.tokensLeft())
}

// resumed returns a body by which an engine goes on with an answer after its
// first part, which is still escaped, for at most maxTokens more.
func resumed(body, partial []byte, maxTokens int) []byte {
	buffer := make([]byte, 0, len(body)+len(partial)+2*rewriteBytes)
	buffer = append(buffer, `{"continue_final_message":true,"`+fieldMaxCompletion+`":`...)
	buffer = strconv.AppendInt(buffer, int64(maxTokens), 10)
	fields(body, func(f field) bool {
		switch {
		case f.is("continue_final_message"), f.is(fieldMaxTokens), f.is(fieldMaxCompletion):
		case f.is(fieldMessages):
			buffer = append(buffer, `,"`+fieldMessages+`":`...)
			buffer = appendMessage(buffer, f.value, partial)
		default:
			buffer = append(buffer, ',')
			buffer = append(buffer, body[f.start:f.end]...)
		}
		return true
	})
	return append(buffer, '}')
}

// appendMessage appends a conversation with one more message of the assistant,
// whose content is still escaped.
func appendMessage(buffer, conversation, content []byte) []byte {
	open := bytes.TrimRight(conversation[:len(conversation)-1], " \n\t\r")
	buffer = append(buffer, open...)
	if open[len(open)-1] != '[' {
		buffer = append(buffer, ',')
	}
	buffer = append(buffer, `{"role":"assistant","content":"`...)
	buffer = append(buffer, content...)
	return append(buffer, `"}]`...)
}

// resume lets another engine go on with the stream after a failure, and returns
// its next event, or the failure that ends the stream. The id of a chunk is
// made of the request's id by engines, so that it stays the same.
func (a *answer) resume(f *failure) (event, *failure) {
	for {
		a.detach()
		response, failed := a.run.proceed(f)
		if failed != nil {
			return event{}, failed
		}
		var e event
		if e, f = a.attach(response); f == nil {
			a.bind()
			return e, nil
		}
	}
}

// yield gives the place to a more urgent request, waits for another and goes on
// with the answer there. The engine has stopped before the place is given up, so
// that the same engine may go on with it.
func (a *answer) yield() (event, *failure) {
	r := a.run
	sent := r.tokens - r.before
	a.detach()
	r.mayHaveRun = true
	wasted := r.cancelAt(r.place.Server).CompletionTokens - sent
	r.service.Metrics.CountWastedTokens(r.exchange.Class.Name, max(wasted, 0))
	r.service.Metrics.CountPreemption(r.exchange.Class.Name)
	moved, err := r.place.Yield(r.ctx)
	if err != nil {
		return event{}, &failure{refused: caller.AsRefusal(err, refusal.MayHaveRun)}
	}
	if !moved {
		refused := refusal.NewMayHaveRun(refusal.AnswerIncomplete, "the request yielded its place and got no other")
		return event{}, &failure{refused: refused}
	}
	response, f := r.send()
	if f != nil {
		return a.resume(f)
	}
	e, f := a.attach(response)
	if f != nil {
		return a.resume(f)
	}
	a.bind()
	return e, nil
}

// withUsage returns the text of an event with other figures of usage.
func withUsage(text []byte, used engine.Usage) []byte {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return text
	}
	figures, err := json.Marshal(used)
	if err != nil {
		return text
	}
	var changed []byte
	fields(text[start:], func(f field) bool {
		if !f.is("usage") {
			return true
		}
		end := start + f.end
		changed = append(changed, text[:end-len(f.value)]...)
		changed = append(changed, figures...)
		changed = append(changed, text[end:]...)
		return false
	})
	if changed == nil {
		return text
	}
	return changed
}
