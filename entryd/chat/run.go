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
	"acaciapath.example/core/usage"
	"acaciapath.example/entryd/caller"
	"acaciapath.example/entryd/metrics"
	"acaciapath.example/entryd/scheduler"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// cancelTimeout bounds the cancellation of a request at an engine.
const cancelTimeout = 2 * time.Second

// run is one request on its way through the queue and an engine. It is used by
// one thread at a time.
type run struct {
	service  *Service
	exchange *caller.Exchange
	request  *Request
	// body is what engines are sent. It belongs to the run alone, because the
	// transport may read it after a failed attempt.
	body []byte
	// ctx ends when the caller is gone, the key withdrawn or the drain over.
	ctx    context.Context
	cancel context.CancelCauseFunc
	place  *scheduler.Place

	// hop ends with ctx or with the request's timeout.
	hop     context.Context
	stopHop context.CancelFunc
	span    trace.Span

	firstToken time.Time
	lastToken  time.Time
	tokens     int
	usage      *engine.Usage
}

// begin waits for a place, sends the request and returns its answer once that
// has begun. If it returns a refusal the run has ended.
func (r *run) begin() (*answer, *refusal.Refusal) {
	if refused := r.enter(); refused != nil {
		r.miss(refused, 0)
		return nil, refused
	}
	response, refused := r.send()
	if refused != nil {
		return nil, refused
	}
	return r.open(response)
}

// enter waits for a place.
func (r *run) enter() *refusal.Refusal {
	ctx, span := r.service.Tracer.Start(r.ctx, "queue")
	defer span.End()
	place, err := r.service.Scheduler.Enter(ctx, dispatch.Request{
		Serves:       r.exchange.Model,
		Account:      r.exchange.Grant.Account,
		Class:        r.exchange.Class,
		Prefixes:     prefixes(r.exchange.Model, r.request.Messages),
		PromptTokens: r.request.PromptTokens,
	})
	if err != nil {
		return asRefusal(err, refusal.NotRun)
	}
	r.place = place
	r.service.Metrics.Waited(r.exchange.Class.Name, place.Waited)
	return nil
}

// send sends the request to the backend server of its place, and to others as
// long as it certainly did not run and the retry budget allows.
func (r *run) send() (*http.Response, *refusal.Refusal) {
	for {
		response, sent, err := r.attempt()
		f := r.classify(response, sent, err)
		if f == nil {
			return response, nil
		}
		r.stopAttempt(response)
		if !f.again {
			return nil, r.fail(f)
		}
		retried, err := r.place.Retry(r.ctx)
		if err != nil {
			refused := asRefusal(err, refusal.NotRun)
			r.miss(refused, 0)
			return nil, refused
		}
		if !retried {
			return nil, r.fail(f)
		}
		r.service.Metrics.Retried()
	}
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
	r.hop, r.stopHop = context.WithTimeoutCause(ctx, timeout, caller.ErrTimeout)
	return r.service.Client.Chat(r.hop, server, r.exchange.ID, r.body)
}

// stopAttempt ends the connection of an attempt and its span.
func (r *run) stopAttempt(response *http.Response) {
	r.stopHop()
	if response != nil {
		_ = response.Body.Close()
	}
	r.span.End()
}

// failure is why an attempt brought no answer.
type failure struct {
	// refused is what the caller is told unless a retry helps.
	refused *refusal.Refusal
	// again says whether the request certainly did not run and another backend
	// server may do better.
	again bool
	// isServer says whether the backend server is to blame.
	isServer bool
}

// classify returns why an attempt failed, or nil if the answer has begun.
func (r *run) classify(response *http.Response, sent bool, err error) *failure {
	switch {
	case err == nil:
		return classifyStatus(response)
	case r.hop.Err() != nil:
		return &failure{refused: caller.EndRefusal(context.Cause(r.hop), ranIf(sent))}
	case !sent:
		refused := refusal.New(refusal.BackendServerFailed, "no backend server could be reached").After(time.Second)
		return &failure{refused: refused, again: true, isServer: true}
	}
	refused := refusal.NewUnknown(refusal.BackendServerFailed, "the backend server failed before it answered")
	return &failure{refused: refused, isServer: true}
}

// classifyStatus returns why an answer's status is a failure, or nil.
func classifyStatus(response *http.Response) *failure {
	switch status := response.StatusCode; {
	case status == http.StatusOK:
		return nil
	case tookNothing(status):
		refused := refusal.New(refusal.BackendServerFailed, "the backend server took no work").After(time.Second)
		return &failure{refused: refused, again: true, isServer: true}
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return &failure{refused: refusal.New(refusal.InvalidRequest, engineMessage(response))}
	}
	refused := refusal.NewUnknown(refusal.BackendServerFailed, "the backend server failed")
	return &failure{refused: refused, isServer: true}
}

// tookNothing reports whether a status says that the engine did not begin, and
// another may: it is busy or starting, or has not loaded the model.
func tookNothing(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusNotFound
}

// fail ends a run without a whole answer. If the request may have run, the
// engine is told to cancel it, and what ran is charged, while the caller is told.
func (r *run) fail(f *failure) *refusal.Refusal {
	if f.refused.Run != refusal.Unknown {
		r.place.Finish(dispatch.Result{Failed: f.isServer})
		r.miss(f.refused, 0)
		return f.refused
	}
	r.service.settling.Go(func() {
		r.settle(f.isServer)
		r.miss(f.refused, r.ran().CompletionTokens)
	})
	return f.refused
}

// settle ends a run whose answer did not come whole: it tells the engine to
// cancel the request and charges what ran.
func (r *run) settle(failed bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), cancelTimeout)
	defer cancel()
	r.service.Metrics.Controlled(metrics.ControlCancel)
	cancelled, err := r.service.Client.Cancel(ctx, r.place.Server, r.exchange.ID)
	if err == nil && cancelled.Known {
		r.usage = &engine.Usage{PromptTokens: cancelled.PromptTokens, CompletionTokens: cancelled.CompletionTokens}
	}
	r.charge()
	ran := r.ran()
	r.place.Finish(dispatch.Result{
		PromptTokens:     ran.PromptTokens,
		CompletionTokens: ran.CompletionTokens,
		Failed:           failed,
	})
}

// complete ends a run whose answer reached the caller whole.
func (r *run) complete() {
	r.charge()
	ran := r.ran()
	r.place.Finish(dispatch.Result{
		PromptTokens:     ran.PromptTokens,
		CompletionTokens: ran.CompletionTokens,
		Pace:             r.pace(),
	})
	now := r.service.Clock()
	answer := metrics.Answer{
		Class:         r.exchange.Class,
		ClientAccount: r.exchange.Grant.Account.Name,
		Total:         now.Sub(r.exchange.Start),
		Pace:          r.pace(),
		Tokens:        ran.CompletionTokens,
	}
	if !r.firstToken.IsZero() {
		answer.FirstToken = r.firstToken.Sub(r.exchange.Start)
	}
	r.service.Metrics.Answered(answer)
}

// saw takes note of the tokens of an event.
func (r *run) saw(e event) {
	if e.usage != nil {
		r.usage = e.usage
	}
	if e.tokens == 0 {
		return
	}
	r.lastToken = r.service.Clock()
	if r.tokens == 0 {
		r.firstToken = r.lastToken
	}
	r.tokens += e.tokens
}

// pace returns the average time between the tokens of a stream, or 0.
func (r *run) pace() time.Duration {
	if r.tokens < 2 {
		return 0
	}
	return r.lastToken.Sub(r.firstToken) / time.Duration(r.tokens-1)
}

// ran returns what ran: the engine's word, and no less than the tokens that
// came. Prompt tokens that no engine counted are not charged.
func (r *run) ran() engine.Usage {
	ran := engine.Usage{CompletionTokens: r.tokens}
	if r.usage != nil {
		ran.PromptTokens = r.usage.PromptTokens
		ran.CompletionTokens = max(r.usage.CompletionTokens, r.tokens)
	}
	return ran
}

// charge adds what ran to the meter.
func (r *run) charge() {
	ran := r.ran()
	if ran == (engine.Usage{}) {
		return
	}
	class := r.exchange.Class
	r.service.Meter.Add(
		usage.Key{
			ClientAccount: r.exchange.Grant.Account.Name,
			ServiceClass:  class.Name,
			Model:         r.exchange.Model,
		},
		usage.Work{
			Requests:         1,
			PromptTokens:     uint64(ran.PromptTokens),
			CompletionTokens: uint64(ran.CompletionTokens),
		},
		usage.Price{Prompt: class.PromptPrice, Completion: class.CompletionPrice},
	)
}

// miss counts a request that was not answered whole, unless its caller is the
// reason.
func (r *run) miss(refused *refusal.Refusal, wasted int) {
	switch refused.Code {
	case refusal.QueueFull, refusal.WaitTooLong, refusal.NoBackendServer, refusal.BackendServerFailed,
		refusal.BackendTimeout, refusal.AnswerIncomplete:
		r.service.Metrics.Missed(r.exchange.Class.Name, r.exchange.Grant.Account.Name, wasted)
	default:
		r.service.Metrics.Wasted(r.exchange.Class.Name, wasted)
	}
}

// asRefusal returns the refusal that err is, or that of a context that ended.
func asRefusal(err error, ran refusal.Run) *refusal.Refusal {
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		return refused
	}
	return caller.EndRefusal(err, ran)
}

func ranIf(sent bool) refusal.Run {
	if sent {
		return refusal.Unknown
	}
	return refusal.NotRun
}
