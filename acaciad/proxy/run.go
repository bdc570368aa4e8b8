package proxy

import (
	"context"
	"net/http"
	"slices"
	"time"

	"acaciapath.example/acaciad/directory"
	"acaciapath.example/acaciad/forwarding"
	"acaciapath.example/core/catalog"
	"acaciapath.example/core/origin"
	"acaciapath.example/platform"

	"github.com/sirupsen/logrus"
)

// Outcomes of requests other than refusals: the caller received a complete answer
// of a backend server, the caller disconnected, or the answer broke off.
const (
	outcomeServed     = "served"
	outcomeCallerLeft = "caller-left"
	outcomeBroken     = "answer-broken"
)

// maxAttempts is the maximum number of attempts for one request, including
// backend servers that could not be reached.
const maxAttempts = 8

// maxBufferedBytes is the maximum number of bytes of an answer that are buffered. An
// answer of up to this size is known to be complete before any of it is sent to
// the caller, unless the budget for buffers is used up.
const maxBufferedBytes = 1 << 20

// result is how one attempt ended.
type result int

const (
	// notReached means that the backend server did not receive the request.
	notReached result = iota
	// rejected means that the backend server stated that the request did not run.
	rejected
	// broken means that the request may have run, and that there is no usable answer.
	broken
	// truncated means that the caller received a part of the answer, which cannot be
	// continued.
	truncated
	// moved means that the run can continue on another backend server, which has its KV
	// cache.
	moved
	// answered means that the caller received an answer.
	answered
)

// run sends the request to backend servers until the caller has an answer. If
// there is none it returns the refusal to answer with. It panics with
// http.ErrAbortHandler if an answer that has begun cannot be completed.
func (x *exchange) run(ctx context.Context) *refusal {
	defer x.releaseMoveTarget()
	last := notReached
	for len(x.attempts) < maxAttempts {
		reservation := x.moveTarget
		if x.moveTarget = nil; reservation == nil {
			reservation = x.reserveNext(ctx, last)
		}
		if reservation == nil {
			break
		}
		if !x.mayBegin(ctx, reservation) {
			reservation.Finish(directory.Neutral, time.Now())
			x.unreported = true
			break
		}
		if !reservation.MayServe(x.homes()) {
			reservation.Finish(directory.Neutral, time.Now())
			x.requirements.FailedServers = append(x.requirements.FailedServers, reservation.Spec.Name)
			x.cacheCopy = ""
			if last == moved && !x.route.Resumable {
				break // as below
			}
			continue
		}
		last = x.attempt(ctx, reservation)
		x.requirements.FailedServers = append(x.requirements.FailedServers, reservation.Spec.Name)
		if last == answered {
			return nil
		}
		if last == truncated {
			panic(http.ErrAbortHandler) // the answer must not look complete
		}
		if refused := x.checkContext(ctx); refused != nil {
			if x.lastFailure != nil {
				x.writeAnswer(x.lastFailure)
				return nil
			}
			return refused
		}
		if last == broken {
			x.mayHaveExecuted = true
			x.failedRuns++
			if !x.route.Repeatable() || x.failedRuns >= x.route.MaxReplicas {
				break
			}
		}
		if last != moved && x.status != 0 && !x.route.Resumable {
			break // only the KV cache of the same run could continue the stream
		}
	}
	switch {
	case x.status != 0:
		panic(http.ErrAbortHandler) // a stream that has begun must not look complete
	case x.lastFailure != nil:
		x.writeAnswer(x.lastFailure)
		return nil
	}
	return x.finalRefusal()
}

// reserveNext reserves a slot on a backend server that was not tried yet, or
// returns nil. It takes a retry from the budget unless the last attempt did not
// reach its backend server.
func (x *exchange) reserveNext(ctx context.Context, last result) *directory.Reservation {
	if len(x.attempts) > 0 && x.checkQuarantine() != nil {
		return nil
	}
	now := time.Now()
	reservation := x.reserve(now)
	if reservation == nil {
		reservation = x.awaitRoom(ctx)
	}
	if reservation == nil {
		return nil
	}
	if slices.Contains(x.requirements.FailedServers, reservation.Spec.Name) || last != notReached && !x.spendRetry(now) {
		reservation.Finish(directory.Neutral, now)
		return nil
	}
	return reservation
}

// reserve reserves a slot. A stream that has not begun goes to a server of another version if
// the one at which it is to begin has none that did not fail.
func (x *exchange) reserve(now time.Time) *directory.Reservation {
	x.requirements.Homes = x.homes()
	reservation := x.handler.Directory.Reserve(x.service, x.requirements, now)
	if x.receiving || !x.requirements.OnlyVersion {
		return reservation
	}
	if reservation != nil {
		if !slices.Contains(x.requirements.FailedServers, reservation.Spec.Name) {
			return reservation
		}
		reservation.Finish(directory.Neutral, now)
	}
	x.requirements.OnlyVersion = false
	return x.handler.Directory.Reserve(x.service, x.requirements, now)
}

// spendRetry takes one retry from the budget and reports whether it had one.
func (x *exchange) spendRetry(now time.Time) bool {
	return x.handler.Metrics.recordSpend(budgetRetry, x.handler.RetryBudgets.Spend(x.service, now))
}

// checkContext returns the refusal for a request whose deadline has passed, or nil
// if the request may go on. It panics with http.ErrAbortHandler if the caller has
// disconnected, or if the deadline has passed and a stream has begun.
func (x *exchange) checkContext(ctx context.Context) *refusal {
	switch {
	case x.request.Context().Err() != nil:
		x.outcome = outcomeCallerLeft
		panic(http.ErrAbortHandler) // the caller has disconnected
	case ctx.Err() == nil:
		return nil
	case x.status != 0:
		panic(http.ErrAbortHandler) // a stream that has begun must not look complete
	case x.mayHaveExecuted || x.lastMayHaveRun():
		if x.handler.Ending.Err() != nil {
			return endedMayHaveRun
		}
		return timeoutMayHaveRun
	case x.handler.Ending.Err() != nil:
		return shuttingDown
	}
	return timeoutNotRun
}

// releaseMoveTarget releases the reservation on which a moved run was to continue.
func (x *exchange) releaseMoveTarget() {
	if x.moveTarget != nil {
		x.moveTarget.Finish(directory.Neutral, time.Now())
		x.moveTarget = nil
	}
}

// lastMayHaveRun reports whether the request may have run in the last attempt.
func (x *exchange) lastMayHaveRun() bool {
	n := len(x.attempts)
	return n > 0 && x.attempts[n-1].result == resultBroken
}

// Results of attempts in logs and metrics.
const (
	resultNotReached = "unreached"
	resultRejected   = "rejected"
	resultBroken     = "broken"
	resultTruncated  = "cut"
	resultMoved      = "moved"
	resultAnswered   = "answered"
)

// finalRefusal returns the refusal for a request that no backend server answered.
func (x *exchange) finalRefusal() *refusal {
	if x.mayHaveExecuted {
		return mayHaveRun
	}
	if refused := x.placeRefusal(); refused != nil {
		return refused
	}
	if wait, limited := x.handler.Directory.ReturnTime(x.service, x.requirements, time.Now()); limited {
		reason := "servers-limited"
		switch now := time.Now(); {
		case x.handler.Directory.HasBrittle(x.service, now):
			reason = "servers-brittle"
		case x.handler.Directory.HasCold(x.service, now):
			reason = "servers-cold"
		}
		return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: max(wait, retryAfterFailure)}
	}
	if x.unreported || x.receiving && len(x.attempts) == 0 {
		return noSuchVersion
	}
	if len(x.attempts) > 0 {
		return notRun
	}
	return noBackendServer
}

// recordLimit records the limit that a backend server names in its answer, or that it names
// none.
func (x *exchange) recordLimit(reservation *directory.Reservation, info platform.ResponseInfo) {
	now := time.Now()
	if info.HasRateLimit {
		instance := reservation.Spec.Instance()
		x.handler.Limits.Record(instance, info.RateLimit, now)
		if reservation.SetLimit(info.RateLimit, now) {
			x.handler.Logger.WithFields(logrus.Fields{"backend-server": instance, "per-second": info.RateLimit}).
				Info("backend server names a limit of requests, sending it this daemon's part")
		}
		return
	}
	if !info.NotExecuted && reservation.EndLimit(x.runProgress.sent) {
		instance := reservation.Spec.Instance()
		x.handler.Limits.End(instance, now)
		x.handler.Logger.WithField("backend-server", instance).Info("backend server names no limit of requests any more")
	}
}

// attempt sends the request to the backend server of a reservation, forwards the
// answer if there is one, and releases the reservation.
func (x *exchange) attempt(ctx context.Context, reservation *directory.Reservation) result {
	x.attempts = append(x.attempts, attempt{
		server: reservation.Spec.Name, domain: reservation.Spec.FailureDomain, version: reservation.Spec.Version,
		running: reservation.Running, unreadTokens: reservation.UnreadTokens,
	})
	a := &x.attempts[len(x.attempts)-1]
	began := time.Now()
	x.runProgress = runProgress{sent: began}
	if x.route.Resumable && !x.receiving {
		x.beginStream(origin.Origin{Service: x.service, Version: reservation.Spec.Version})
	}
	response, r := x.send(ctx, reservation)
	if response == nil {
		x.runProgress.lost = true
		x.recordRunEnd(ctx, reservation, 0, r)
		x.finishFailed(ctx, reservation, a, r)
		return r
	}
	defer response.Body.Close()
	a.timeToHeaders = time.Since(began)
	r = x.handleResponse(ctx, reservation, response)
	x.recordRunEnd(ctx, reservation, response.StatusCode, r)
	a.result = r.String()
	switch {
	case r == answered && response.StatusCode >= http.StatusInternalServerError:
		reservation.Finish(directory.Failed, time.Now())
	case r == answered:
		reservation.Finish(directory.Succeeded, time.Now())
	case r == moved:
		reservation.Finish(directory.Neutral, time.Now())
	case r == rejected && response.StatusCode == http.StatusMisdirectedRequest:
		x.handler.Logger.WithField("backend-server", reservation.Spec.Name).
			Warn("a different server answers at the address of a backend server, no longer sending it requests")
		reservation.Finish(directory.Misdirected, time.Now())
	case r == rejected:
		reservation.Finish(directory.Rejected, time.Now())
	case x.request.Context().Err() == nil && ctx.Err() == nil && x.outcome != outcomeCallerLeft && x.blamesServer(ctx, reservation.Spec):
		if x.runProgress.lost {
			x.loseContact(reservation)
		}
		reservation.Finish(directory.Failed, time.Now())
	default:
		reservation.Finish(directory.Neutral, time.Now())
	}
	return r
}

// String returns the result as it appears in logs and metrics.
func (r result) String() string {
	return [...]string{resultNotReached, resultRejected, resultBroken, resultTruncated, resultMoved, resultAnswered}[r]
}

// finishFailed releases the reservation of an attempt that had no response.
func (x *exchange) finishFailed(ctx context.Context, reservation *directory.Reservation, a *attempt, r result) {
	a.result = r.String()
	outcome := directory.Neutral
	blames := x.blamesServer(ctx, reservation.Spec)
	if ctx.Err() == nil && blames {
		outcome = directory.Failed
	}
	if x.request.Context().Err() == nil && x.handler.Ending.Err() == nil && blames {
		x.loseContact(reservation)
	}
	reservation.Finish(outcome, time.Now())
}

// loseContact records that the backend server of a reservation could not be reached or broke
// off its answer.
func (x *exchange) loseContact(reservation *directory.Reservation) {
	if n := reservation.LoseContact(time.Now()); n > 0 {
		x.handler.Logger.WithFields(logrus.Fields{"backend-server": reservation.Spec.Instance(), "failure-domain": reservation.Spec.FailureDomain, "servers": n}).
			Info("connection to a backend server was lost, servers may come back cold")
	}
}

// send sends the request. It returns the response, or nil and how the attempt
// failed.
func (x *exchange) send(ctx context.Context, reservation *directory.Reservation) (*http.Response, result) {
	cacheCopy := x.cacheCopy
	x.cacheCopy = ""
	build := func() forwarding.Request { return x.newRequest(ctx, reservation, cacheCopy) }
	response, how, err := x.handler.transmit(ctx, reservation.Spec.Name, reservation.Spec.Address, x.mayAbandon(), build)
	x.transmission = how
	x.attempts[len(x.attempts)-1].via = how.Via
	switch {
	case err == nil:
		return response, answered
	case how.Sent:
		return nil, broken
	}
	return nil, notReached
}

// newRequest returns the request to the backend server of a reservation as it is sent now.
func (x *exchange) newRequest(ctx context.Context, reservation *directory.Reservation, resumeFrom platform.CacheCopy) forwarding.Request {
	deadline, _ := ctx.Deadline()
	added := platform.Forwarding{
		Server:     reservation.Spec.Name,
		Timeout:    time.Until(deadline),
		Priority:   x.view.Index.Priority(x.route, x.account),
		Generates:  x.route.Generates,
		ResumeFrom: resumeFrom,
	}
	if x.account != nil {
		added.Account = x.account.Name
	}
	if x.route.Kind == catalog.Stream {
		added.LastEventID = x.lastEventID
	}
	return forwarding.Request{
		Method:     x.request.Method,
		Target:     x.request.URL,
		Host:       x.request.Host,
		Header:     x.handler.Wire.Outgoing(x.request.Header, added),
		Body:       x.body,
		Server:     reservation.Spec.Name,
		Address:    reservation.Spec.Address,
		Repeatable: x.route.Repeatable(),
	}
}
