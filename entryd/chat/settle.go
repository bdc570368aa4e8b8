package chat

import (
	"context"
	"time"

	"acaciapath.example/core/dispatch"
	"acaciapath.example/core/engine"
	"acaciapath.example/core/refusal"
	"acaciapath.example/core/replica"
	"acaciapath.example/core/usage"
	"acaciapath.example/entryd/metrics"
)

// cancelTimeout bounds the cancellation of a request at an engine.
const cancelTimeout = 2 * time.Second

// fail ends a run without a whole answer and returns what the caller is told. If
// the last attempt may have run, the engine is told to cancel it, and what ran
// is charged, while the caller is told.
func (r *run) fail(f *failure) *refusal.Refusal {
	if f.refused.RunState == refusal.MayHaveRun {
		r.service.settling.Go(func() {
			r.settle(f.isServer)
			r.miss(f.refused, r.ran().CompletionTokens)
		})
		return f.refused
	}
	r.charge()
	r.place.Finish(r.result(f.isServer))
	r.miss(f.refused, r.tokens)
	if !r.mayHaveRun {
		return f.refused
	}
	unsure := *f.refused
	unsure.RunState = refusal.MayHaveRun
	return &unsure
}

// settle ends a run whose answer did not come whole: it tells the engine to
// cancel the request and charges what ran.
func (r *run) settle(failed bool) {
	cancelled := r.cancelAt(r.place.Server)
	if cancelled.Known {
		r.usage = &engine.Usage{PromptTokens: cancelled.PromptTokens, CompletionTokens: cancelled.CompletionTokens}
	}
	r.charge()
	r.service.Metrics.CountGeneratedTokens(r.place.Server.Kind, r.ran().CompletionTokens, false)
	r.place.Finish(r.result(failed))
}

// abandon tells an engine to cancel an attempt that is made again elsewhere. It
// is not charged beyond what the caller was sent of it.
func (r *run) abandon(server replica.Spec) {
	sent := r.tokens - r.before
	r.service.settling.Go(func() {
		wasted := r.cancelAt(server).CompletionTokens - sent
		r.service.Metrics.CountWastedTokens(r.exchange.Class.Name, max(wasted, 0))
		r.service.Metrics.CountGeneratedTokens(server.Kind, max(wasted, 0), false)
	})
}

// cancelAt cancels the request at an engine and returns what had run. An engine
// that does not answer knows nothing.
func (r *run) cancelAt(server replica.Spec) engine.CancelResult {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), cancelTimeout)
	defer cancel()
	r.service.Metrics.CountControlMessage(metrics.ControlCancel)
	cancelled, err := r.service.Client.Cancel(ctx, server, r.exchange.ID)
	if err != nil {
		return engine.CancelResult{}
	}
	return cancelled
}

// result returns what the dispatcher is told of the run.
func (r *run) result(failed bool) dispatch.Result {
	ran := r.ran()
	return dispatch.Result{
		PromptTokens:      ran.PromptTokens,
		CompletionTokens:  ran.CompletionTokens,
		InterTokenLatency: r.pace(),
		ReplicaFailed:     failed,
	}
}

// complete ends a run whose answer reached the caller whole.
func (r *run) complete() {
	r.charge()
	r.service.Metrics.CountGeneratedTokens(r.place.Server.Kind, r.ran().CompletionTokens, true)
	r.place.Finish(r.result(false))
	now := r.service.Clock()
	answer := metrics.Answer{
		Class:             r.exchange.Class,
		ClientAccount:     r.exchange.Grant.Account.Name,
		TotalTime:         now.Sub(r.exchange.Start),
		InterTokenLatency: r.pace(),
		Tokens:            r.ran().CompletionTokens,
	}
	if !r.firstToken.IsZero() {
		answer.FirstTokenLatency = r.firstToken.Sub(r.exchange.Start)
	}
	r.service.Metrics.RecordAnswer(answer)
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
	r.mixed = r.mixed || e.mixed
	if !r.mixed {
		*r.partial = append(*r.partial, e.content...)
	}
}

// pace returns the average time between the tokens of a stream, or 0.
func (r *run) pace() time.Duration {
	if r.tokens < 2 {
		return 0
	}
	return r.lastToken.Sub(r.firstToken) / time.Duration(r.tokens-1)
}

// ran returns what ran for the caller: the engine's word, and no less than the
// tokens that the caller was sent. Prompt tokens that no engine counted are not
// charged. To an engine that resumed the answer, the part before is prompt.
func (r *run) ran() engine.Usage {
	ran := engine.Usage{CompletionTokens: r.tokens}
	if r.usage != nil {
		ran.PromptTokens = max(r.usage.PromptTokens-r.before, 0)
		ran.CompletionTokens = max(r.usage.CompletionTokens+r.before, r.tokens)
	}
	ran.TotalTokens = ran.PromptTokens + ran.CompletionTokens
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
		usage.Price{Prompt: class.PromptPriceMicros, Completion: class.CompletionPriceMicros},
	)
}

// miss counts a request that was not answered whole, unless its caller is the
// reason.
func (r *run) miss(refused *refusal.Refusal, wasted int) {
	switch refused.Code {
	case refusal.QueueFull, refusal.WaitTooLong, refusal.NoBackendServer, refusal.BackendServerFailed,
		refusal.BackendTimeout, refusal.AnswerIncomplete:
		r.service.Metrics.CountUnanswered(r.exchange.Class.Name, r.exchange.Grant.Account.Name, wasted)
	default:
		r.service.Metrics.CountWastedTokens(r.exchange.Class.Name, wasted)
	}
}
