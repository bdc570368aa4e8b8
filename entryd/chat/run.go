package chat

import (
	"context"
	"errors"
	"net/http"
	"time"

	"acaciapath.example/core/dispatch"
	"acaciapath.example/core/engine"
	"acaciapath.example/core/refusal"
	"acaciapath.example/core/telemetry"
	"acaciapath.example/entryd/caller"
	"acaciapath.example/entryd/scheduler"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// run is one request, from its entry into the queue to the end of its answer.
// It is used by one goroutine at a time.
type run struct {
	service  *Service
	exchange *caller.Exchange
	request  *Request
	// body is the body that engines receive. It is not pooled because the
	// transport may read it after an attempt has failed.
	body []byte
	// maxTokens limits the tokens of the answer.
	maxTokens int
	// ctx is done when the caller has disconnected, the key is withdrawn or can
	// no longer be confirmed, or the drain timeout has expired.
	ctx    context.Context
	cancel context.CancelCauseFunc
	slot   *scheduler.Slot

	// attemptCtx is the context of the current attempt. It is done when ctx is,
	// or when the request times out.
	attemptCtx    context.Context
	cancelAttempt context.CancelFunc
	// cancelAttemptCause cancels attemptCtx with a cause; cancelAttempt cancels
	// it without one and stops its timeout.
	cancelAttemptCause context.CancelCauseFunc
	span               trace.Span
	// stallTimer cancels the attempt if its engine stalls. It is nil for
	// answers that are not streamed.
	stallTimer *time.Timer

	// firstTokenAt and lastTokenAt are when the first and the latest token of a
	// stream were received.
	firstTokenAt time.Time
	lastTokenAt  time.Time
	// tokens is the number of tokens sent to the caller, earlierTokens is the
	// number of these that came from earlier attempts, and partialText is their
	// text, still JSON-escaped. If mixed is true, the tokens are not the text
	// of a single choice, and partialText is incomplete.
	tokens        int
	earlierTokens int
	partialText   *[]byte
	mixed         bool
	// usage is the usage that the engine reported for the current attempt, or
	// nil.
	usage *engine.Usage
	// mayHaveRun is true if an earlier attempt may have run on an engine.
	mayHaveRun bool
}

// start waits for a slot, sends the request and returns its answer once the
// answer has begun. If start returns a refusal, the run has ended.
func (r *run) start() (*answer, *refusal.Refusal) {
	if refused := r.acquireSlot(); refused != nil {
		r.countFailure(refused, 0)
		return nil, refused
	}
	response, f := r.send()
	for {
		if f != nil {
			response, f = r.sendElsewhere(f)
		}
		if f != nil {
			return nil, r.fail(f)
		}
		answer, openFailure := r.open(response)
		if openFailure == nil {
			return answer, nil
		}
		r.stopAttempt(response)
		f = openFailure
	}
}

// acquireSlot waits for a slot.
func (r *run) acquireSlot() *refusal.Refusal {
	ctx, span := r.service.Tracer.Start(r.ctx, "queue")
	defer span.End()
	slot, err := r.service.Scheduler.Acquire(ctx, dispatch.Request{
		Service:      r.exchange.Model,
		Account:      r.exchange.Grant.Account,
		Class:        r.exchange.Class,
		Prefixes:     prefixes(r.exchange.Model, r.request.Messages),
		PromptTokens: r.request.PromptTokens,
		Resumable:    r.request.Stream && !r.request.Unresumable,
	})
	if err != nil {
		return caller.AsRefusal(err, refusal.NotRun)
	}
	r.slot = slot
	r.service.Metrics.ObserveQueueWait(r.exchange.Class.Name, slot.Waited)
	return nil
}

// send sends the request to the backend server of its slot.
func (r *run) send() (*http.Response, *failure) {
	r.usage = nil
	r.earlierTokens = r.tokens
	if ended := r.exchange.CancelCause(r.ctx); ended != nil {
		return nil, &failure{refused: caller.RefusalForCause(ended, refusal.NotRun)}
	}
	response, sent, err := r.attempt()
	f := r.classify(response, sent, err)
	if f != nil {
		r.stopAttempt(response)
		return nil, f
	}
	return response, nil
}

// sendElsewhere sends the request to other backend servers after a failure,
// until one of them answers or a failure ends the run.
func (r *run) sendElsewhere(f *failure) (*http.Response, *failure) {
	for f.retryable && r.canContinue() {
		failedServer := r.slot.Server
		reassigned, err := r.nextSlot()
		if !reassigned && err == nil {
			return nil, f
		}
		r.service.Metrics.CountRetry()
		if f.refused.RunState == refusal.MayHaveRun {
			r.mayHaveRun = true
			r.cancelInBackground(failedServer)
		}
		if err != nil {
			return nil, &failure{refused: caller.AsRefusal(err, refusal.NotRun)}
		}
		var response *http.Response
		if response, f = r.send(); f == nil {
			return response, nil
		}
	}
	return nil, f
}

// nextSlot releases the slot of a failed attempt and waits for another slot. It
// returns false if the request must not be sent again.
func (r *run) nextSlot() (bool, error) {
	if r.tokens > 0 {
		return r.slot.Resume(r.ctx)
	}
	return r.slot.Retry(r.ctx)
}

// attempt sends the request to the backend server of its slot and starts the
// span and timers of the attempt. sent is false if the engine cannot have
// started the request.
func (r *run) attempt() (response *http.Response, sent bool, err error) {
	server := r.slot.Server
	r.exchange.BackendServer = server.Name
	timeout := r.exchange.Snapshot.Index.Config.Limits.RequestTimeout
	ctx, span := r.service.Tracer.Start(r.ctx, "backend server",
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String(telemetry.FieldBackendServer, server.Name)))
	r.span = span
	ctx, r.cancelAttemptCause = context.WithCancelCause(ctx)
	r.attemptCtx, r.cancelAttempt = context.WithTimeoutCause(ctx, timeout, caller.ErrRequestTimeout)
	r.startStallTimer()
	return r.service.Client.Chat(r.attemptCtx, server, r.exchange.ID, r.attemptBody())
}

// stopAttempt ends an attempt: it stops the timers, cancels the context, closes
// the response body, if there is one, and ends the span.
func (r *run) stopAttempt(response *http.Response) {
	r.stopStallTimer()
	r.cancelAttempt()
	r.cancelAttemptCause(nil)
	if response != nil {
		_ = response.Body.Close()
	}
	r.span.End()
}

// failure describes why an attempt failed.
type failure struct {
	// refused is the refusal that the caller receives if the request is not
	// retried.
	refused *refusal.Refusal
	// retryable is true if another backend server may succeed.
	retryable bool
	// serverFailed is true if the backend server caused the failure.
	serverFailed bool
}

// classify returns the failure of an attempt, or nil if the engine responded
// with status 200.
func (r *run) classify(response *http.Response, sent bool, err error) *failure {
	switch {
	case err == nil:
		return classifyStatus(response)
	case errors.Is(context.Cause(r.attemptCtx), errStalled):
		return stallFailure()
	case r.attemptCtx.Err() != nil:
		return &failure{refused: caller.RefusalForCause(context.Cause(r.attemptCtx), refusal.RunStateFor(sent))}
	case !sent:
		refused := refusal.New(refusal.BackendServerFailed, "no backend server could be reached").WithRetryAfter(time.Second)
		return &failure{refused: refused, retryable: true, serverFailed: true}
	}
	refused := refusal.NewMayHaveRun(refusal.BackendServerFailed, "the backend server failed before it answered")
	return &failure{refused: refused, retryable: true, serverFailed: true}
}

// classifyStatus returns the failure that the status of a response indicates, or
// nil.
func classifyStatus(response *http.Response) *failure {
	switch status := response.StatusCode; {
	case status == http.StatusOK:
		return nil
	case notStarted(status):
		refused := refusal.New(refusal.BackendServerFailed, "the backend server took no work").WithRetryAfter(time.Second)
		return &failure{refused: refused, retryable: true, serverFailed: true}
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return &failure{refused: refusal.New(refusal.InvalidRequest, engineMessage(response))}
	}
	refused := refusal.NewMayHaveRun(refusal.BackendServerFailed, "the backend server failed")
	return &failure{refused: refused, retryable: true, serverFailed: true}
}

// notStarted reports whether a status means that the engine did not start the
// request, and another engine may: the engine is busy or starting, or has not
// loaded the model.
func notStarted(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusNotFound
}
