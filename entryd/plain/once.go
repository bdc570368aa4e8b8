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

// headerIdempotencyKey names the header that identifies a call.
const headerIdempotencyKey = "Idempotency-Key"

// headerReplayed marks an answer that was stored by an earlier call.
const headerReplayed = "Idempotency-Replayed"

// storeTimeout limits a write to a claim.
const storeTimeout = 5 * time.Second

// storedHeaders are the headers of a response that are stored with its outcome.
var storedHeaders = []string{"Content-Type", "Content-Language", "Content-Encoding", "Location", "Etag"}

// checkIdempotencyKey refuses a call that must run at most once and has no
// valid idempotency key.
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

// serveOnce serves a call that runs at most once. After the claim has been
// made, the call continues even if its caller disconnects, so that its outcome
// is stored.
func (c *call) serveOnce(ctx context.Context) *refusal.Refusal {
	detached := context.WithoutCancel(ctx)
	handle, refused := c.claim(detached)
	if refused != nil {
		return refused
	}
	if handle != nil && handle.Action != claim.Send {
		return c.answerClaimed(handle)
	}
	if refused := c.acquireSlot(ctx); refused != nil {
		c.release(detached, handle)
		return refused
	}
	response, refused := c.sendOnce(ctx, detached, handle)
	if refused != nil {
		return refused
	}
	return c.storeAndForward(detached, handle, response)
}

// claim claims the call. It returns a nil handle if the platform is unavailable
// and the plain service itself checks idempotency keys.
func (c *call) claim(ctx context.Context) (*claims.Handle, *refusal.Refusal) {
	in := c.request
	rowKey := claim.RowKey(c.account.Name, c.route.Name, in.Header.Get(headerIdempotencyKey))
	fingerprint := claim.Fingerprint(in.Method, in.URL.RequestURI(), in.Header.Get("Content-Type"), c.body)
	c.handler.Metrics.CountControlMessage(metrics.ControlClaim)
	handle, err := c.handler.Claims.Acquire(ctx, rowKey, fingerprint, c.maxDuration())
	if err == nil {
		return handle, nil
	}
	if c.service.ChecksIdempotencyKey {
		return nil, nil
	}
	refused := refusal.New(refusal.PlatformUnavailable, "the call could not be claimed, so it was not sent")
	return nil, refused.WithRetryAfter(retryAfter)
}

// maxDuration returns how long after its claim the call may still be in
// progress.
func (c *call) maxDuration() time.Duration { return c.class.MaxWait + c.route.Timeout }

// answerClaimed answers a call whose idempotency key was claimed before.
func (c *call) answerClaimed(handle *claims.Handle) *refusal.Refusal {
	switch handle.Action {
	case claim.Replay:
		c.replay(handle.Outcome)
		return nil
	case claim.RefuseReused:
		return refusal.New(refusal.IdempotencyKeyReused, "the idempotency key was used for another call")
	case claim.RefuseInProgress:
		refused := refusal.NewMayHaveRun(refusal.CallInProgress, "a call with this idempotency key is in progress")
		return refused.WithRetryAfter(retryAfter)
	}
	return refusal.NewMayHaveRun(refusal.OutcomeUnknown, "a call with this idempotency key was sent, and its outcome is not known")
}

// replay answers with the stored outcome of an earlier call.
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

// sendOnce sends the call. It sends the call again only while no connection to
// a replica has been established.
func (c *call) sendOnce(ctx, detached context.Context, handle *claims.Handle) (*http.Response, *refusal.Refusal) {
	for {
		attemptCtx, cancel := context.WithTimeoutCause(detached, c.route.Timeout, caller.ErrRequestTimeout)
		response, sent, err := c.send(attemptCtx)
		if err == nil {
			response.Body = &cancelOnClose{ReadCloser: response.Body, cancel: cancel}
			return response, nil
		}
		cause := context.Cause(attemptCtx)
		cancel()
		if sent {
			return nil, c.markLost(detached, handle, cause)
		}
		retried, waitErr := c.slot.Retry(ctx)
		if waitErr != nil {
			c.release(detached, handle)
			return nil, caller.AsRefusal(waitErr, refusal.NotRun)
		}
		if !retried {
			c.slot.Finish(dispatch.Result{ReplicaFailed: true})
			c.release(detached, handle)
			return nil, failureRefusal(false)
		}
		c.handler.Metrics.CountRetry()
	}
}

// cancelOnClose cancels the context of a call when the response body is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close cancels the context and closes the body.
func (b *cancelOnClose) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

// markLost ends a call that was sent but got no complete response, and records
// in its claim that the outcome is lost.
func (c *call) markLost(detached context.Context, handle *claims.Handle, cause error) *refusal.Refusal {
	c.slot.Finish(dispatch.Result{ReplicaFailed: true})
	c.handler.Metrics.CountPlainCall(c.service.Name, "lost")
	c.updateClaim(detached, handle, func(ctx context.Context) error { return c.handler.Claims.MarkOutcomeLost(ctx, handle) })
	if errors.Is(cause, caller.ErrRequestTimeout) || errors.Is(cause, context.DeadlineExceeded) {
		return caller.RefusalForCause(caller.ErrRequestTimeout, refusal.MayHaveRun)
	}
	return failureRefusal(true)
}

// storeAndForward stores the outcome of a call and then sends it to the caller.
func (c *call) storeAndForward(detached context.Context, handle *claims.Handle, response *http.Response) *refusal.Refusal {
	defer response.Body.Close()
	outcome := &claim.Outcome{Status: response.StatusCode}
	var err error
	outcome.Body, err = io.ReadAll(io.LimitReader(response.Body, claim.MaxBodyBytes+1))
	if err != nil {
		return c.markLost(detached, handle, err)
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
	c.updateClaim(detached, handle, func(ctx context.Context) error { return c.handler.Claims.StoreOutcome(ctx, handle, outcome) })
	response.Body = &partlyReadBody{Reader: io.MultiReader(bytes.NewReader(body), response.Body), Closer: response.Body}
	return c.forward(c.request.Context(), response)
}

// partlyReadBody is a body whose first part has already been read.
type partlyReadBody struct {
	io.Reader
	io.Closer
}

// release deletes the claim of a call that certainly did not run.
func (c *call) release(detached context.Context, handle *claims.Handle) {
	c.updateClaim(detached, handle, func(ctx context.Context) error { return c.handler.Claims.Release(ctx, handle) })
}

// updateClaim writes to a claim, if there is one, and logs a failure.
func (c *call) updateClaim(detached context.Context, handle *claims.Handle, write func(context.Context) error) {
	if handle == nil {
		return
	}
	ctx, cancel := context.WithTimeout(detached, storeTimeout)
	defer cancel()
	c.handler.Metrics.CountControlMessage(metrics.ControlClaim)
	if err := write(ctx); err != nil {
		c.handler.Logger.WithField(telemetry.FieldRequestID, c.exchange.ID).WithError(err).Warn("writing the claim failed, later calls with its idempotency key may be refused")
	}
}
