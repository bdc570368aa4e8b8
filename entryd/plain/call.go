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

// call is one call of a plain service. It is used by one goroutine at a time.
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
	slot     *scheduler.Slot
}

// acquireSlot waits for a slot on a replica.
func (c *call) acquireSlot(ctx context.Context) *refusal.Refusal {
	ctx, span := c.handler.Tracer.Start(ctx, "queue")
	defer span.End()
	slot, err := c.handler.Scheduler.Acquire(ctx, dispatch.Request{
		Service:      backend.PlainServiceKey(c.service.Name),
		Account:      c.account,
		Class:        c.class,
		PlainService: true,
	})
	if err != nil {
		return caller.AsRefusal(err, refusal.NotRun)
	}
	if ended := c.exchange.CancelCause(ctx); ended != nil {
		slot.Finish(dispatch.Result{})
		return caller.RefusalForCause(ended, refusal.NotRun)
	}
	c.slot = slot
	c.handler.Metrics.ObserveQueueWait(c.class.Name, slot.Waited)
	return nil
}

// serveRepeatable serves a call that may be executed more than once.
func (c *call) serveRepeatable(ctx context.Context) *refusal.Refusal {
	if refused := c.acquireSlot(ctx); refused != nil {
		return refused
	}
	ctx, cancel := context.WithTimeoutCause(ctx, c.route.Timeout, caller.ErrRequestTimeout)
	defer cancel()
	mayHaveRun := false
	for {
		response, sent, err := c.send(ctx)
		mayHaveRun = mayHaveRun || sent
		if err == nil && !isTemporary(response.StatusCode) {
			return c.forward(ctx, response)
		}
		if ctx.Err() != nil {
			c.slot.Finish(dispatch.Result{})
			closeBody(response)
			return caller.RefusalForCause(context.Cause(ctx), refusal.RunStateFor(mayHaveRun))
		}
		retried, waitErr := c.slot.Retry(ctx)
		if waitErr != nil {
			closeBody(response)
			return caller.AsRefusal(waitErr, refusal.RunStateFor(mayHaveRun))
		}
		if !retried {
			return c.endWithoutRetry(ctx, response, mayHaveRun)
		}
		closeBody(response)
		c.handler.Metrics.CountRetry()
	}
}

// endWithoutRetry ends a call that is not sent again. A response, if there is
// one, is forwarded unchanged.
func (c *call) endWithoutRetry(ctx context.Context, response *http.Response, mayHaveRun bool) *refusal.Refusal {
	if response != nil {
		return c.forward(ctx, response)
	}
	c.slot.Finish(dispatch.Result{ReplicaFailed: true})
	c.handler.Metrics.CountPlainCall(c.service.Name, "failed")
	return failureRefusal(mayHaveRun)
}

// failureRefusal returns the refusal of a call without a response.
func failureRefusal(mayHaveRun bool) *refusal.Refusal {
	if mayHaveRun {
		return refusal.NewMayHaveRun(refusal.BackendServerFailed, "the plain service failed before it answered")
	}
	return refusal.New(refusal.BackendServerFailed, "no replica of the plain service could be reached").WithRetryAfter(retryAfter)
}

// send sends the call to the replica of its slot. sent is false if the replica
// cannot have executed the call.
func (c *call) send(ctx context.Context) (response *http.Response, sent bool, err error) {
	server := c.slot.Server
	c.exchange.BackendServer = server.Name
	ctx, span := c.handler.Tracer.Start(ctx, "backend server",
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String(telemetry.FieldBackendServer, server.Name)))
	defer span.End()
	return c.handler.Client.Do(c.replicaRequest(ctx, server.Address), c.route.Repeatable)
}

// replicaRequest returns the request for a replica.
func (c *call) replicaRequest(ctx context.Context, address string) *http.Request {
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

// forward charges the call, sends its response to the caller as it arrives and
// releases the slot. It panics with http.ErrAbortHandler if the response breaks
// off.
func (c *call) forward(ctx context.Context, response *http.Response) *refusal.Refusal {
	defer response.Body.Close()
	c.handler.Metrics.CountPlainCall(c.service.Name, "answered")
	c.charge()
	defer c.exchange.LimitWritesOnDone(ctx)()
	copyAnswerHeaders(c.writer.Header(), response.Header)
	c.writer.WriteHeader(response.StatusCode)
	_, err := io.Copy(flushWriter{writer: c.writer, controller: c.exchange.Controller}, response.Body)
	c.slot.Finish(dispatch.Result{ReplicaFailed: err != nil && ctx.Err() == nil && c.request.Context().Err() == nil})
	if err != nil {
		c.exchange.Refusal = refusal.NewMayHaveRun(refusal.AnswerIncomplete, "the answer broke off")
		panic(http.ErrAbortHandler) // closes the connection, so that the caller sees that the answer is incomplete
	}
	return nil
}

// flushWriter flushes after each write.
type flushWriter struct {
	writer     io.Writer
	controller *http.ResponseController
}

// Write writes and flushes a part.
func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.writer.Write(p)
	if err != nil {
		return n, err
	}
	return n, f.controller.Flush()
}

// isTemporary reports whether a status means that another replica may succeed.
func isTemporary(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

func closeBody(response *http.Response) {
	if response != nil {
		_ = response.Body.Close()
	}
}
