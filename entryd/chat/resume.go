package chat

import (
	"bytes"
	"encoding/json"
	"strconv"

	"acaciapath.example/core/engine"
	"acaciapath.example/core/refusal"
	"acaciapath.example/entryd/caller"
)

// maxPartialBytes limits the text of an answer that is kept to resume it.
const maxPartialBytes = 1 << 20

// canContinue reports whether another engine can answer the request: from the
// start if no token was sent to the caller, otherwise from the end of the text
// that was sent.
func (r *run) canContinue() bool {
	if r.tokens == 0 {
		return true
	}
	return !r.mixed && !r.request.Unresumable && len(*r.partialText) <= maxPartialBytes && r.tokensLeft() > 0
}

// tokensLeft returns the number of tokens that the answer may still contain.
func (r *run) tokensLeft() int { return r.maxTokens - r.tokens }

// attemptBody returns the request body for the current attempt.
func (r *run) attemptBody() []byte {
	if r.tokens == 0 {
		return r.body
	}
	return resumeBody(r.body, *r.partialText, r.tokensLeft())
}

// resumeBody returns a request body that makes an engine continue an answer
// after the given JSON-escaped text, with at most maxTokens more tokens.
func resumeBody(body, partialText []byte, maxTokens int) []byte {
	buffer := make([]byte, 0, len(body)+len(partialText)+2*maxRewriteBytes)
	buffer = append(buffer, `{"continue_final_message":true,"`+fieldMaxCompletionTokens+`":`...)
	buffer = strconv.AppendInt(buffer, int64(maxTokens), 10)
	fields(body, func(f field) bool {
		switch {
		case f.is("continue_final_message"), f.is(fieldMaxTokens), f.is(fieldMaxCompletionTokens):
		case f.is(fieldMessages):
			buffer = append(buffer, `,"`+fieldMessages+`":`...)
			buffer = appendMessage(buffer, f.value, partialText)
		default:
			buffer = append(buffer, ',')
			buffer = append(buffer, body[f.start:f.end]...)
		}
		return true
	})
	return append(buffer, '}')
}

// appendMessage appends the conversation extended by an assistant message with
// the given JSON-escaped content.
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

// resume continues the stream on another engine after a failure. It returns the
// next event, or the failure that ends the stream. The ids of chunks stay the
// same because engines derive them from the request id.
func (a *answer) resume(f *failure) (event, *failure) {
	for {
		a.stopAttempt()
		response, sendFailure := a.run.sendElsewhere(f)
		if sendFailure != nil {
			return event{}, sendFailure
		}
		var e event
		if e, f = a.attach(response); f == nil {
			a.limitWrites()
			return e, nil
		}
	}
}

// yield releases the slot for a more urgent request, waits for another slot and
// continues the answer there. The engine is told to stop before the slot is
// released, so that the same engine can continue the answer later.
func (a *answer) yield() (event, *failure) {
	r := a.run
	sent := r.tokens - r.earlierTokens
	a.stopAttempt()
	r.mayHaveRun = true
	wasted := r.cancelAt(r.slot.Server).CompletionTokens - sent
	r.service.Metrics.CountWastedTokens(r.exchange.Class.Name, max(wasted, 0))
	r.service.Metrics.CountPreemption(r.exchange.Class.Name)
	reassigned, err := r.slot.Yield(r.ctx)
	if err != nil {
		return event{}, &failure{refused: caller.AsRefusal(err, refusal.MayHaveRun)}
	}
	if !reassigned {
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
	a.limitWrites()
	return e, nil
}

// replaceUsage returns the text of an event with its usage replaced.
func replaceUsage(text []byte, usage engine.Usage) []byte {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return text
	}
	usageText, err := json.Marshal(usage)
	if err != nil {
		return text
	}
	var replaced []byte
	fields(text[start:], func(f field) bool {
		if !f.is("usage") {
			return true
		}
		end := start + f.end
		replaced = append(replaced, text[:end-len(f.value)]...)
		replaced = append(replaced, usageText...)
		replaced = append(replaced, text[end:]...)
		return false
	})
	if replaced == nil {
		return text
	}
	return replaced
}
