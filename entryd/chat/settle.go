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

// cancelTimeout limits the cancellation of a request at an engine.
const cancelTimeout = 2 * time.Second

// fail ends a run without a complete answer and returns the refusal for the
// caller. If the last attempt may have run, the request is cancelled at the
// engine and its usage is charged in the background.
func (r *run) fail(f *failure) *refusal.Refusal {
	if f.refused.RunState == refusal.MayHaveRun {
		r.service.background.Go(func() {
			r.cancelAndCharge(f.serverFailed)
			r.countFailure(f.refused, r.totalUsage().CompletionTokens)
		})
		return f.refused
	}
	r.charge()
	r.slot.Finish(r.result(f.serverFailed))
	r.countFailure(f.refused, r.tokens)
	if !r.mayHaveRun {
		return f.refused
	}
	uncertain := *f.refused
	uncertain.RunState = refusal.MayHaveRun
	return &uncertain
}

// cancelAndCharge ends a run whose answer is incomplete: it cancels the request
// at the engine and charges the usage.
func (r *run) cancelAndCharge(serverFailed bool) {
	cancelled := r.cancelAt(r.slot.Server)
	if cancelled.Known {
		r.usage = &engine.Usage{PromptTokens: cancelled.PromptTokens, CompletionTokens: cancelled.CompletionTokens}
	}
	r.charge()
	r.service.Metrics.CountGeneratedTokens(r.slot.Server.Kind, r.totalUsage().CompletionTokens, false)
	r.slot.Finish(r.result(serverFailed))
}

// cancelInBackground cancels an attempt that is repeated on another engine.
// Only the tokens that were sent to the caller are charged.
func (r *run) cancelInBackground(server replica.Spec) {
	sent := r.tokens - r.earlierTokens
	r.service.background.Go(func() {
		wasted := r.cancelAt(server).CompletionTokens - sent
		r.service.Metrics.CountWastedTokens(r.exchange.Class.Name, max(wasted, 0))
		r.service.Metrics.CountGeneratedTokens(server.Kind, max(wasted, 0), false)
	})
}

// cancelAt cancels the request at an engine and returns the usage so far, or
// the zero value if the engine does not answer.
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

// result returns the result of the run for the dispatcher.
func (r *run) result(serverFailed bool) dispatch.Result {
	total := r.totalUsage()
	return dispatch.Result{
		PromptTokens:      total.PromptTokens,
		CompletionTokens:  total.CompletionTokens,
		InterTokenLatency: r.interTokenLatency(),
		ReplicaFailed:     serverFailed,
	}
}

// complete ends a run whose answer was received completely. An answer that is
// not streamed also counts if its caller has disconnected.
func (r *run) complete() {
	r.charge()
	r.service.Metrics.CountGeneratedTokens(r.slot.Server.Kind, r.totalUsage().CompletionTokens, true)
	r.slot.Finish(r.result(false))
	now := r.service.Clock()
	answer := metrics.Answer{
		Class:             r.exchange.Class,
		ClientAccount:     r.exchange.Grant.Account.Name,
		TotalTime:         now.Sub(r.exchange.Start),
		InterTokenLatency: r.interTokenLatency(),
		Tokens:            r.totalUsage().CompletionTokens,
	}
	if !r.firstTokenAt.IsZero() {
		answer.FirstTokenLatency = r.firstTokenAt.Sub(r.exchange.Start)
	}
	r.service.Metrics.RecordAnswer(answer)
}

// recordEvent records the usage and tokens of an event.
func (r *run) recordEvent(e event) {
	if e.usage != nil {
		r.usage = e.usage
	}
	if e.tokens == 0 {
		return
	}
	r.lastTokenAt = r.service.Clock()
	if r.tokens == 0 {
		r.firstTokenAt = r.lastTokenAt
	}
	r.tokens += e.tokens
	r.mixed = r.mixed || e.mixed
	if !r.mixed {
		*r.partialText = append(*r.partialText, e.content...)
	}
}

// interTokenLatency returns the average time between the tokens of a stream, or
// 0 if it has fewer than two.
func (r *run) interTokenLatency() time.Duration {
	if r.tokens < 2 {
		return 0
	}
	return r.lastTokenAt.Sub(r.firstTokenAt) / time.Duration(r.tokens-1)
}

// totalUsage returns the usage to charge: what the engine reported, but at
// least the tokens that were sent to the caller. Prompt tokens that no engine
// reported are not charged. An engine that resumed the answer counts the
// earlier tokens as part of the prompt, so they are moved to the completion.
func (r *run) totalUsage() engine.Usage {
	total := engine.Usage{CompletionTokens: r.tokens}
	if r.usage != nil {
		total.PromptTokens = max(r.usage.PromptTokens-r.earlierTokens, 0)
		total.CompletionTokens = max(r.usage.CompletionTokens+r.earlierTokens, r.tokens)
	}
	total.TotalTokens = total.PromptTokens + total.CompletionTokens
	return total
}

// charge adds the usage to the meter.
func (r *run) charge() {
	total := r.totalUsage()
	if total == (engine.Usage{}) {
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
			PromptTokens:     uint64(total.PromptTokens),
			CompletionTokens: uint64(total.CompletionTokens),
		},
		usage.Price{Prompt: class.PromptPriceMicros, Completion: class.CompletionPriceMicros},
	)
}

// countFailure counts a request without a complete answer, and its wasted
// tokens. Only failures of the service count against the targets of the class;
// others, such as those that the caller caused, count only as wasted tokens.
func (r *run) countFailure(refused *refusal.Refusal, wasted int) {
	switch refused.Code {
	case refusal.QueueFull, refusal.WaitTooLong, refusal.NoBackendServer, refusal.BackendServerFailed,
		refusal.BackendTimeout, refusal.AnswerIncomplete:
		r.service.Metrics.CountUnanswered(r.exchange.Class.Name, r.exchange.Grant.Account.Name, wasted)
	default:
		r.service.Metrics.CountWastedTokens(r.exchange.Class.Name, wasted)
	}
}
