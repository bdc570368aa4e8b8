package plain

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"

	"acaciapath.example/core/config"
	"acaciapath.example/core/dispatch"
	"acaciapath.example/core/engine"
	"acaciapath.example/core/refusal"
	"acaciapath.example/core/telemetry"
	"acaciapath.example/entryd/backend"
	"acaciapath.example/entryd/caller"
	"acaciapath.example/entryd/scheduler"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// call is one call of a plain service. It is used by one thread at a time.
type call struct {
	handler  *Handler
	writer   http.ResponseWriter
	request  *http.Request
	exchange *caller.Exchange
	route    *config.Route
	service  *config.PlainService
	account  *config.ClientAccount
	class    *config.ServiceClass
	body     []byte
	place    *scheduler.Slot
}

// enter waits for a place on a replica.
func (c *call) enter(ctx context.Context) *refusal.Refusal {
	ctx, span := c.handler.Tracer.Start(ctx, "queue")
	defer span.End()
	place, err := c.handler.Scheduler.Acquire(ctx, dispatch.Request{
		Service:      backend.PlainServiceKey(c.service.Name),
		Account:      c.account,
		Class:        c.class,
		PlainService: true,
	})
	if err != nil {
		return caller.AsRefusal(err, refusal.NotRun)
	}
	if ended := c.exchange.CancelCause(ctx); ended != nil {
		place.Finish(dispatch.Result{})
		return caller.RefusalForCause(ended, refusal.NotRun)
	}
	c.place = place
	c.handler.Metrics.ObserveQueueWait(c.class.Name, place.Waited)
	return nil
}

// serveRepeatable serves a call that may run more than once.
func (c *call) serveRepeatable(ctx context.Context) *refusal.Refusal {
	if refused := c.enter(ctx); refused != nil {
		return refused
	}
	ctx, stop := context.WithTimeoutCause(ctx, c.route.Timeout, caller.ErrRequestTimeout)
	defer stop()
	mayHaveRun := false
	for {
		response, sent, err := c.send(ctx)
		mayHaveRun = mayHaveRun || sent
		if err == nil && !isTemporary(response.StatusCode) {
			return c.pass(ctx, response)
		}
		if ctx.Err() != nil {
			c.place.Finish(dispatch.Result{})
			closeBody(response)
			return caller.RefusalForCause(context.Cause(ctx), refusal.RunStateFor(mayHaveRun))
		}
		retried, waitErr := c.place.Retry(ctx)
		if waitErr != nil {
			closeBody(response)
			return caller.AsRefusal(waitErr, refusal.RunStateFor(mayHaveRun))
		}
		if !retried {
			return c.giveUp(ctx, response, mayHaveRun)
		}
		closeBody(response)
		c.handler.Metrics.CountRetry()
	}
}

// giveUp ends a call that is not tried again. An answer is passed on as it is.
func (c *call) giveUp(ctx context.Context, response *http.Response, sent bool) *refusal.Refusal {
	if response != nil {
		return c.pass(ctx, response)
	}
	c.place.Finish(dispatch.Result{ReplicaFailed: true})
	c.handler.Metrics.CountPlainCall(c.service.Name, "failed")
	return unreached(sent)
}

// unreached returns the refusal of a call that brought no answer.
func unreached(sent bool) *refusal.Refusal {
	if sent {
		return refusal.NewMayHaveRun(refusal.BackendServerFailed, "the plain service failed before it answered")
	}
	return refusal.New(refusal.BackendServerFailed, "no replica of the plain service could be reached").WithRetryAfter(after)
}

// send sends the call to the replica of its place.
func (c *call) send(ctx context.Context) (response *http.Response, sent bool, err error) {
	server := c.place.Server
	c.exchange.BackendServer = server.Name
	ctx, span := c.handler.Tracer.Start(ctx, "backend server",
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String(telemetry.FieldBackendServer, server.Name)))
	defer span.End()
	return c.handler.Client.Do(c.outgoing(ctx, server.Address), c.route.Repeatable)
}

// outgoing returns the request that a replica is sent.
func (c *call) outgoing(ctx context.Context, address string) *http.Request {
	in := c.request
	out := (&http.Request{
		Method:        in.Method,
		URL:           &url.URL{Scheme: "http", Host: address, Path: in.URL.Path, RawPath: in.URL.RawPath, RawQuery: in.URL.RawQuery},
		Host:          address,
		Header:        requestHeaders(in.Header),
		ContentLength: int64(len(c.body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}).WithContext(ctx)
	if len(c.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(c.body))
	}
	out.Header[engine.HeaderRequestID] = []string{c.exchange.ID}
	telemetry.Propagator().Inject(ctx, propagation.HeaderCarrier(out.Header))
	return out
}

// pass sends an answer on to the caller as it comes.
func (c *call) pass(ctx context.Context, response *http.Response) *refusal.Refusal {
	defer response.Body.Close()
	c.handler.Metrics.CountPlainCall(c.service.Name, "answered")
	c.charge()
	defer c.exchange.LimitWritesOnDone(ctx)()
	answerHeaders(c.writer.Header(), response.Header)
	c.writer.WriteHeader(response.StatusCode)
	_, err := io.Copy(flusher{writer: c.writer, controller: c.exchange.Controller}, response.Body)
	c.place.Finish(dispatch.Result{ReplicaFailed: err != nil && ctx.Err() == nil && c.request.Context().Err() == nil})
	if err != nil {
		c.exchange.Refusal = refusal.NewMayHaveRun(refusal.AnswerIncomplete, "the answer broke off")
		panic(http.ErrAbortHandler) // the caller must see that the answer is not whole
	}
	return nil
}

// flusher sends on each part of an answer at once.
type flusher struct {
	writer     io.Writer
	controller *http.ResponseController
}

// Write writes and flushes a part.
func (f flusher) Write(p []byte) (int, error) {
	n, err := f.writer.Write(p)
	if err != nil {
		return n, err
	}
	return n, f.controller.Flush()
}

// isTemporary reports whether an answer says that another replica may do
// better.
func isTemporary(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

func closeBody(response *http.Response) {
	if response != nil {
		_ = response.Body.Close()
	}
}
