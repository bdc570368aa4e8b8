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

// run is one request on its way through the queue and an engine. It is used by
// one thread at a time.
type run struct {
	service  *Service
	exchange *caller.Exchange
	request  *Request
	// body is what engines are sent. It belongs to the run alone, because the
	// transport may read it after a failed attempt.
	body []byte
	// maxTokens bounds the answer.
	maxTokens int
	// ctx ends when the caller is gone, the key withdrawn or the drain over.
	ctx    context.Context
	cancel context.CancelCauseFunc
	place  *scheduler.Slot

	// hop ends with ctx or with the request's timeout.
	hop     context.Context
	stopHop context.CancelFunc
	// endHop ends hop with a cause.
	endHop context.CancelCauseFunc
	span   trace.Span
	// watch ends the attempt if its engine stalls; nil for whole answers.
	watch *time.Timer

	firstToken time.Time
	lastToken  time.Time
	// tokens is the number of tokens that the caller was sent, before is how
	// many of them came from earlier attempts, and partial is their text, still
	// escaped, unless mixed says that they are more than one text.
	tokens  int
	before  int
	partial *[]byte
	mixed   bool
	// usage is what the present attempt used, or nil.
	usage *engine.Usage
	// mayHaveRun says whether an earlier attempt may have run.
	mayHaveRun bool
}

// begin waits for a place, sends the request and returns its answer once that
// has begun. If it returns a refusal the run has ended.
func (r *run) begin() (*answer, *refusal.Refusal) {
	if refused := r.enter(); refused != nil {
		r.miss(refused, 0)
		return nil, refused
	}
	response, f := r.send()
	for {
		if f != nil {
			response, f = r.proceed(f)
		}
		if f != nil {
			return nil, r.fail(f)
		}
		answer, failed := r.open(response)
		if failed == nil {
			return answer, nil
		}
		r.stopAttempt(response)
		f = failed
	}
}

// enter waits for a place.
func (r *run) enter() *refusal.Refusal {
	ctx, span := r.service.Tracer.Start(r.ctx, "queue")
	defer span.End()
	place, err := r.service.Scheduler.Acquire(ctx, dispatch.Request{
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
	r.place = place
	r.service.Metrics.ObserveQueueWait(r.exchange.Class.Name, place.Waited)
	return nil
}

// send sends the request to the backend server of its place.
func (r *run) send() (*http.Response, *failure) {
	r.usage = nil
	r.before = r.tokens
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

// proceed sends the request to other backend servers after a failure, until one
// answers or a failure ends the run.
func (r *run) proceed(f *failure) (*http.Response, *failure) {
	for f.again && r.canProceed() {
		failed := r.place.Server
		moved, err := r.moveOn()
		if !moved && err == nil {
			return nil, f
		}
		r.service.Metrics.CountRetry()
		if f.refused.RunState == refusal.MayHaveRun {
			r.mayHaveRun = true
			r.abandon(failed)
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

// moveOn gives up the place of a failed attempt and waits for another. It
// reports false if there is to be none.
func (r *run) moveOn() (bool, error) {
	if r.tokens > 0 {
		return r.place.Resume(r.ctx)
	}
	return r.place.Retry(r.ctx)
}

// attempt sends the request to the backend server of its place.
func (r *run) attempt() (response *http.Response, sent bool, err error) {
	server := r.place.Server
	r.exchange.BackendServer = server.Name
	timeout := r.exchange.Snapshot.Index.Config.Limits.RequestTimeout
	ctx, span := r.service.Tracer.Start(r.ctx, "backend server",
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String(telemetry.FieldBackendServer, server.Name)))
	r.span = span
	ctx, r.endHop = context.WithCancelCause(ctx)
	r.hop, r.stopHop = context.WithTimeoutCause(ctx, timeout, caller.ErrRequestTimeout)
	r.startWatch()
	return r.service.Client.Chat(r.hop, server, r.exchange.ID, r.bodyToSend())
}

// stopAttempt ends the connection of an attempt and its span.
func (r *run) stopAttempt(response *http.Response) {
	r.stopWatch()
	r.stopHop()
	r.endHop(nil)
	if response != nil {
		_ = response.Body.Close()
	}
	r.span.End()
}

// failure is why an attempt brought no answer.
type failure struct {
	// refused is what the caller is told unless a retry helps.
	refused *refusal.Refusal
	// again says whether another backend server may do better.
	again bool
	// isServer says whether the backend server is to blame.
	isServer bool
}

// classify returns why an attempt failed, or nil if the answer has begun.
func (r *run) classify(response *http.Response, sent bool, err error) *failure {
	switch {
	case err == nil:
		return classifyStatus(response)
	case errors.Is(context.Cause(r.hop), errStalled):
		return stalled()
	case r.hop.Err() != nil:
		return &failure{refused: caller.RefusalForCause(context.Cause(r.hop), refusal.RunStateFor(sent))}
	case !sent:
		refused := refusal.New(refusal.BackendServerFailed, "no backend server could be reached").WithRetryAfter(time.Second)
		return &failure{refused: refused, again: true, isServer: true}
	}
	refused := refusal.NewMayHaveRun(refusal.BackendServerFailed, "the backend server failed before it answered")
	return &failure{refused: refused, again: true, isServer: true}
}

// classifyStatus returns why an answer's status is a failure, or nil.
func classifyStatus(response *http.Response) *failure {
	switch status := response.StatusCode; {
	case status == http.StatusOK:
		return nil
	case tookNothing(status):
		refused := refusal.New(refusal.BackendServerFailed, "the backend server took no work").WithRetryAfter(time.Second)
		return &failure{refused: refused, again: true, isServer: true}
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return &failure{refused: refusal.New(refusal.InvalidRequest, engineMessage(response))}
	}
	refused := refusal.NewMayHaveRun(refusal.BackendServerFailed, "the backend server failed")
	return &failure{refused: refused, again: true, isServer: true}
}

// tookNothing reports whether a status says that the engine did not begin, and
// another may: it is busy or starting, or has not loaded the model.
func tookNothing(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusNotFound
}
