package plain

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"acaciapath.example/core/claim"
	"acaciapath.example/core/dispatch"
	"acaciapath.example/core/refusal"
	"acaciapath.example/core/telemetry"
	"acaciapath.example/entryd/caller"
	"acaciapath.example/entryd/claims"
	"acaciapath.example/entryd/metrics"
)

// headerIdempotencyKey names the header that tells calls apart.
const headerIdempotencyKey = "Idempotency-Key"

// headerReplayed marks an answer that was stored.
const headerReplayed = "Idempotency-Replayed"

// storeTimeout bounds the storing of an outcome.
const storeTimeout = 5 * time.Second

// storedHeaders are the headers of an answer that are stored with it.
var storedHeaders = []string{"Content-Type", "Content-Language", "Content-Encoding", "Location", "Etag"}

// checkIdempotencyKey refuses a call that may run once only and has no usable
// idempotency key.
func (c *call) checkIdempotencyKey() *refusal.Refusal {
	if c.route.Repeatable {
		return nil
	}
	key := c.request.Header.Get(headerIdempotencyKey)
	switch {
	case key == "":
		return refusal.New(refusal.IdempotencyKeyMissing, "this call needs an Idempotency-Key header")
	case len(key) > claim.MaxKeyBytes || len(c.request.Header[headerIdempotencyKey]) > 1:
		return refusal.New(refusal.InvalidRequest, "the Idempotency-Key header is too long or stands twice")
	}
	return nil
}

// serveOnce serves a call that runs at most once. From the claim on it goes on
// without its caller, so that the outcome is stored.
func (c *call) serveOnce(ctx context.Context) *refusal.Refusal {
	detached := context.WithoutCancel(ctx)
	held, refused := c.claim(detached)
	if refused != nil {
		return refused
	}
	if held != nil && held.Action != claim.Send {
		return c.answerHeld(held)
	}
	if refused := c.enter(ctx); refused != nil {
		c.release(detached, held)
		return refused
	}
	response, refused := c.sendOnce(ctx, detached, held)
	if refused != nil {
		return refused
	}
	return c.passOnce(detached, held, response)
}

// claim claims the call. It returns no claim if the platform is down and the
// service itself checks idempotency keys.
func (c *call) claim(ctx context.Context) (*claims.Handle, *refusal.Refusal) {
	in := c.request
	row := claim.RowKey(c.account.Name, c.route.Name, in.Header.Get(headerIdempotencyKey))
	fingerprint := claim.Fingerprint(in.Method, in.URL.RequestURI(), in.Header.Get("Content-Type"), c.body)
	c.handler.Metrics.CountControlMessage(metrics.ControlClaim)
	held, err := c.handler.Claims.Acquire(ctx, row, fingerprint, c.bound())
	if err == nil {
		return held, nil
	}
	if c.service.ChecksIdempotencyKey {
		return nil, nil
	}
	refused := refusal.New(refusal.PlatformUnavailable, "the call could not be claimed, so it was not sent")
	return nil, refused.WithRetryAfter(after)
}

// bound returns how long after its claim the call may still be running.
func (c *call) bound() time.Duration { return c.class.MaxWait + c.route.Timeout }

// answerHeld answers a call that was claimed before.
func (c *call) answerHeld(held *claims.Handle) *refusal.Refusal {
	switch held.Action {
	case claim.Replay:
		c.replay(held.Outcome)
		return nil
	case claim.RefuseReused:
		return refusal.New(refusal.IdempotencyKeyReused, "the idempotency key was used for another call")
	case claim.RefuseInProgress:
		refused := refusal.NewMayHaveRun(refusal.CallInProgress, "a call with this idempotency key is in progress")
		return refused.WithRetryAfter(after)
	}
	return refusal.NewMayHaveRun(refusal.OutcomeUnknown, "a call with this idempotency key was sent, and its outcome is not known")
}

// replay answers with a stored outcome.
func (c *call) replay(outcome *claim.Outcome) {
	h := c.writer.Header()
	for _, stored := range outcome.Headers {
		h.Set(stored.Name, stored.Value)
	}
	h.Set(headerReplayed, "true")
	c.handler.Metrics.CountPlainCall(c.service.Name, "replayed")
	c.writer.WriteHeader(outcome.Status)
	_, _ = c.writer.Write(outcome.Body)
}

// sendOnce sends the call, and sends it again only as long as no replica was
// connected to.
func (c *call) sendOnce(ctx, detached context.Context, held *claims.Handle) (*http.Response, *refusal.Refusal) {
	for {
		bounded, stop := context.WithTimeoutCause(detached, c.route.Timeout, caller.ErrRequestTimeout)
		response, sent, err := c.send(bounded)
		if err == nil {
			response.Body = &stopBody{ReadCloser: response.Body, stop: stop}
			return response, nil
		}
		cause := context.Cause(bounded)
		stop()
		if sent {
			return nil, c.lose(detached, held, cause)
		}
		retried, waitErr := c.place.Retry(ctx)
		if waitErr != nil {
			c.release(detached, held)
			return nil, caller.AsRefusal(waitErr, refusal.NotRun)
		}
		if !retried {
			c.place.Finish(dispatch.Result{ReplicaFailed: true})
			c.release(detached, held)
			return nil, unreached(false)
		}
		c.handler.Metrics.CountRetry()
	}
}

// stopBody ends the context of a call with its answer.
type stopBody struct {
	io.ReadCloser
	stop context.CancelFunc
}

// Close closes the body.
func (b *stopBody) Close() error {
	b.stop()
	return b.ReadCloser.Close()
}

// lose ends a call that was sent and brought no answer.
func (c *call) lose(detached context.Context, held *claims.Handle, cause error) *refusal.Refusal {
	c.place.Finish(dispatch.Result{ReplicaFailed: true})
	c.handler.Metrics.CountPlainCall(c.service.Name, "lost")
	c.storing(detached, held, func(ctx context.Context) error { return c.handler.Claims.MarkOutcomeLost(ctx, held) })
	if errors.Is(cause, caller.ErrRequestTimeout) || errors.Is(cause, context.DeadlineExceeded) {
		return caller.RefusalForCause(caller.ErrRequestTimeout, refusal.MayHaveRun)
	}
	return unreached(true)
}

// passOnce stores the outcome of a call and then sends it to the caller.
func (c *call) passOnce(detached context.Context, held *claims.Handle, response *http.Response) *refusal.Refusal {
	defer response.Body.Close()
	outcome := &claim.Outcome{Status: response.StatusCode}
	var err error
	outcome.Body, err = io.ReadAll(io.LimitReader(response.Body, claim.MaxBodyBytes+1))
	if err != nil {
		return c.lose(detached, held, err)
	}
	body := outcome.Body
	if len(body) > claim.MaxBodyBytes {
		outcome.Body, outcome.Truncated = nil, true
	}
	for _, name := range storedHeaders {
		if value := response.Header.Get(name); value != "" {
			outcome.Headers = append(outcome.Headers, claim.Header{Name: name, Value: value})
		}
	}
	c.storing(detached, held, func(ctx context.Context) error { return c.handler.Claims.StoreOutcome(ctx, held, outcome) })
	response.Body = &joinedBody{Reader: io.MultiReader(bytes.NewReader(body), response.Body), Closer: response.Body}
	return c.pass(c.request.Context(), response)
}

// joinedBody is a body of which a part was read before.
type joinedBody struct {
	io.Reader
	io.Closer
}

// release gives up the claim of a call that certainly did not run.
func (c *call) release(detached context.Context, held *claims.Handle) {
	c.storing(detached, held, func(ctx context.Context) error { return c.handler.Claims.Release(ctx, held) })
}

// storing writes to a claim, if there is one.
func (c *call) storing(detached context.Context, held *claims.Handle, write func(context.Context) error) {
	if held == nil {
		return
	}
	ctx, cancel := context.WithTimeout(detached, storeTimeout)
	defer cancel()
	c.handler.Metrics.CountControlMessage(metrics.ControlClaim)
	if err := write(ctx); err != nil {
		c.handler.Logger.WithField(telemetry.FieldRequestID, c.exchange.ID).WithError(err).Warn("claim was not settled")
	}
}
