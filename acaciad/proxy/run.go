package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"acaciapath.example/acaciad/directory"
	"acaciapath.example/core/catalog"
	"acaciapath.example/platform"
)

// outcomeServed is the outcome of a request whose caller got a whole answer of a
// backend server, and outcomeLeft that of one whose caller left.
const (
	outcomeServed = "served"
	outcomeLeft   = "caller-left"
	outcomeBroken = "answer-broken"
)

// maxAttempts bounds the backend servers that are tried for one request,
// including those that could not be reached.
const maxAttempts = 8

// maxBuffered is the most bytes of an answer that are held to find out whether
// it is whole before the caller is sent any of it.
const maxBuffered = 1 << 20

// result is how one attempt ended.
type result int

const (
	// unreached: the backend server did not get the request.
	unreached result = iota
	// rejected: the backend server said that it did not run.
	rejected
	// broken: it may have run, and no usable answer came.
	broken
	// cut: the caller got a part of the answer, and nothing can go on with it.
	cut
	// moved: the run goes on at another backend server, which has its memory.
	moved
	// answered: the caller got an answer.
	answered
)

// run sends the request until the caller has an answer, or returns why it gets
// none.
func (x *exchange) run(ctx context.Context) *refusal {
	defer x.dropMoved()
	last, runs := unreached, 0
	for len(x.attempts) < maxAttempts {
		place := x.moved
		if x.moved = nil; place == nil {
			place = x.next(last)
		}
		if place == nil {
			break
		}
		last = x.attempt(ctx, place)
		x.wish.FailedServers = append(x.wish.FailedServers, place.Spec.Name)
		if last == answered {
			return nil
		}
		if last == cut {
			panic(http.ErrAbortHandler) // the answer must not look complete
		}
		if ended := x.ended(ctx); ended != nil {
			if x.failure != nil {
				x.write(x.failure)
				return nil
			}
			return ended
		}
		if last == broken {
			x.ran = true
			runs++
			if !x.route.Repeatable() || runs >= x.route.MaxReplicas {
				break
			}
		}
		if last != moved && x.status != 0 && !x.route.Resumable {
			break // only its own memory could go on with the stream
		}
	}
	switch {
	case x.status != 0:
		panic(http.ErrAbortHandler) // a stream that has begun must not look complete
	case x.failure != nil:
		x.write(x.failure)
		return nil
	}
	return x.giveUp()
}

// next takes a place on a backend server that was not tried yet, or returns nil.
// After a backend server got the request, another one costs a retry.
func (x *exchange) next(last result) *directory.Reservation {
	now := time.Now()
	place := x.handler.Directory.Reserve(x.service, x.wish, now)
	if place == nil {
		return nil
	}
	if slices.Contains(x.wish.FailedServers, place.Spec.Name) || last != unreached && !x.mayRetry(now) {
		place.Finish(directory.Neutral, now)
		return nil
	}
	return place
}

// mayRetry takes one retry of the budget.
func (x *exchange) mayRetry(now time.Time) bool {
	return x.handler.Metrics.spent(budgetRetry, x.handler.RetryBudgets.Spend(x.service, now))
}

// ended returns how a request ends whose caller has left or whose time is over,
// or nil.
func (x *exchange) ended(ctx context.Context) *refusal {
	switch {
	case x.request.Context().Err() != nil:
		x.outcome = outcomeLeft
		panic(http.ErrAbortHandler) // nobody is there to get an answer
	case ctx.Err() == nil:
		return nil
	case x.status != 0:
		panic(http.ErrAbortHandler) // a stream that has begun must not look complete
	case x.ran || x.lastStarted():
		return timeoutRun
	}
	return timeoutIdle
}

// dropMoved gives up the place at which a moved run was to go on.
func (x *exchange) dropMoved() {
	if x.moved != nil {
		x.moved.Finish(directory.Neutral, time.Now())
		x.moved = nil
	}
}

// lastStarted reports whether the last attempt may have run.
func (x *exchange) lastStarted() bool {
	n := len(x.attempts)
	return n > 0 && x.attempts[n-1].result == resultBroken
}

// Results of attempts in logs.
const (
	resultUnreached = "unreached"
	resultRejected  = "rejected"
	resultBroken    = "broken"
	resultCut       = "cut"
	resultMoved     = "moved"
	resultAnswered  = "answered"
)

func (x *exchange) giveUp() *refusal {
	switch {
	case x.ran:
		return mayHaveRun
	case len(x.attempts) == 0:
		return noServer
	}
	return notRun
}

// attempt sends the request to the backend server of a place, and passes the
// answer on if there is one.
func (x *exchange) attempt(ctx context.Context, place *directory.Reservation) result {
	x.attempts = append(x.attempts, attempt{
		server: place.Spec.Name, domain: place.Spec.FailureDomain,
		running: place.Running, reading: place.UnreadTokens,
	})
	a := &x.attempts[len(x.attempts)-1]
	began := time.Now()
	response, r := x.send(ctx, place)
	if response == nil {
		x.fail(ctx, place, a, r)
		return r
	}
	defer response.Body.Close()
	a.first = time.Since(began)
	r = x.answer(ctx, place, response)
	a.result = r.String()
	switch {
	case r == answered && response.StatusCode >= http.StatusInternalServerError:
		place.Finish(directory.Failed, time.Now())
	case r == answered:
		place.Finish(directory.Succeeded, time.Now())
	case r == moved:
		place.Finish(directory.Neutral, time.Now())
	case r == rejected && response.StatusCode == http.StatusMisdirectedRequest:
		x.handler.Logger.WithField("backend-server", place.Spec.Name).
			Warn("another server answers at the address of a backend server, which is used no more")
		place.Finish(directory.Misdirected, time.Now())
	case r == rejected:
		place.Finish(directory.Rejected, time.Now())
	case x.request.Context().Err() == nil && ctx.Err() == nil && x.outcome != outcomeLeft:
		place.Finish(directory.Failed, time.Now())
	default:
		place.Finish(directory.Neutral, time.Now())
	}
	return r
}

// String returns the result as logs name it.
func (r result) String() string {
	return [...]string{resultUnreached, resultRejected, resultBroken, resultCut, resultMoved, resultAnswered}[r]
}

// fail ends an attempt that brought no answer.
func (x *exchange) fail(ctx context.Context, place *directory.Reservation, a *attempt, r result) {
	a.result = r.String()
	outcome := directory.Neutral
	if ctx.Err() == nil {
		outcome = directory.Failed
	}
	place.Finish(outcome, time.Now())
}

// send sends the request and returns the answer, or how it failed.
func (x *exchange) send(ctx context.Context, place *directory.Reservation) (*http.Response, result) {
	deadline, _ := ctx.Deadline()
	forwarding := platform.Forwarding{
		Server:    place.Spec.Name,
		Timeout:   time.Until(deadline),
		Tier:      catalog.Tier(x.route, x.account),
		Generates: x.route.Generates,
	}
	if x.account != nil {
		forwarding.Account = x.account.Name
	}
	if x.route.Kind == catalog.Stream {
		forwarding.LastEventID = x.lastEvent
	}
	forwarding.Copy, x.copy = x.copy, ""
	response, sent, err := x.handler.Client.send(ctx, outgoing{
		method:     x.request.Method,
		target:     x.request.URL,
		host:       x.request.Host,
		header:     x.handler.Wire.Outgoing(x.request.Header, forwarding),
		body:       x.body,
		address:    place.Spec.Address,
		repeatable: x.route.Repeatable(),
	})
	switch {
	case err == nil:
		return response, answered
	case sent:
		return nil, broken
	}
	return nil, unreached
}

// answer passes an answer on, unless it is none that the caller can be sent.
func (x *exchange) answer(ctx context.Context, place *directory.Reservation, response *http.Response) result {
	told := x.handler.Wire.ParseResponse(response, x.ask.AttemptID)
	if told.NotExecuted && response.StatusCode != http.StatusBadRequest {
		return rejected
	}
	success := response.StatusCode >= 200 && response.StatusCode < 300
	if !told.MatchesRequest || success && (!told.Signed || told.Encoded) {
		return broken
	}
	switch {
	case success && x.route.Kind == catalog.Stream:
		return x.stream(ctx, place, response)
	case x.status != 0:
		return broken // the caller has the beginning of a stream, and can be sent no failure
	}
	return x.whole(response)
}

// held is an answer of a backend server that has arrived whole.
type held struct {
	status int
	header http.Header
	data   []byte
}

// whole passes an answer on once all of it has arrived, or as it comes if it is
// too long to be held.
func (x *exchange) whole(response *http.Response) result {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBuffered+1))
	if err != nil {
		return broken
	}
	x.count()
	if len(data) > maxBuffered {
		return x.long(response, data)
	}
	h := &held{status: response.StatusCode, header: response.Header, data: data}
	if x.mayImprove(response.StatusCode) {
		x.failure = h
		return broken
	}
	x.write(h)
	return answered
}

// write sends an answer that has arrived whole to the caller.
func (x *exchange) write(a *held) {
	h := x.writer.Header()
	x.handler.Wire.CopyResponse(h, a.header)
	h["Content-Length"] = []string{strconv.Itoa(len(a.data))}
	x.status, x.outcome = a.status, outcomeServed
	x.writer.WriteHeader(a.status)
	if _, err := x.writer.Write(a.data); err != nil {
		x.outcome = outcomeLeft
	}
}

// long passes an answer on as it comes, of which data is the beginning.
func (x *exchange) long(response *http.Response, data []byte) result {
	x.handler.Wire.CopyResponse(x.writer.Header(), response.Header)
	x.status, x.outcome = response.StatusCode, outcomeServed
	x.writer.WriteHeader(response.StatusCode)
	_, err := x.writer.Write(data)
	if err == nil {
		_, err = io.Copy(x.writer, response.Body)
	}
	if err != nil {
		x.outcome = outcomeBroken
		return cut
	}
	return answered
}

// mayImprove reports whether a request that a backend server failed is to be
// sent to another one.
func (x *exchange) mayImprove(status int) bool {
	return status >= http.StatusInternalServerError && x.route.Kind == catalog.Idempotent &&
		len(x.attempts) < x.route.MaxReplicas
}

// stream passes the events of a stream on as they come. If the stream breaks
// off and can be resumed, it goes on at another backend server.
func (x *exchange) stream(ctx context.Context, place *directory.Reservation, response *http.Response) result {
	err := x.pass(ctx, place, response)
	to := x.move.end(err != nil)
	if to != nil && err != nil && x.request.Context().Err() == nil && !errors.Is(err, errCaller) {
		x.moved, x.copy = to, x.move.copy
		x.move = nil
		return moved
	}
	x.move = nil
	if to != nil {
		to.Finish(directory.Neutral, time.Now())
	}
	if err == nil {
		x.outcome = outcomeServed
		return answered
	}
	if x.status == 0 {
		return broken
	}
	x.ran, x.outcome = true, outcomeBroken
	if errors.Is(err, errCaller) || x.request.Context().Err() != nil {
		x.outcome = outcomeLeft
		return cut
	}
	if !x.route.Resumable || ctx.Err() != nil {
		return cut
	}
	return broken
}
