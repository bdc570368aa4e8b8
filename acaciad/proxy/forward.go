package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"acaciapath.example/acaciad/directory"
	"acaciapath.example/core/catalog"
	"acaciapath.example/core/responses"

	"github.com/sirupsen/logrus"
)

// handleResponse forwards a response to the caller and returns how the attempt ended.
// It returns rejected if the response states that the request did not run, except with
// status 400, which is an answer for the caller. A faulty server may write an earlier
// refusal once more, so that one without the id of the request counts only on a new
// connection, and one with another id does not. It returns broken if the response
// belongs to another request, or if it has a status of success and is unsigned or has a
// content encoding.
func (x *exchange) handleResponse(ctx context.Context, reservation *directory.Reservation, response *http.Response) result {
	info := x.handler.Wire.ParseResponse(response, x.metadata.AttemptID)
	if info.MatchesRequest {
		x.recordLimit(reservation, info)
		x.recordBrittle(reservation, info)
	}
	isOurs := info.MatchesRequest || info.Anonymous && !x.transmission.Reused
	if isOurs {
		x.handler.hear(reservation.Spec, info.Statement)
	}
	if info.NotExecuted && isOurs && response.StatusCode != http.StatusBadRequest {
		return rejected
	}
	if info.NotExecuted && !isOurs {
		x.handler.Logger.WithFields(logrus.Fields{
			"backend-server": reservation.Spec.Name, "request-id": x.metadata.AttemptID, "status": response.StatusCode,
		}).Warn("backend server sent a refusal that is not one of this request, which may have run")
	}
	success := response.StatusCode >= 200 && response.StatusCode < 300
	if !info.MatchesRequest || success && (!info.Signed || info.Encoded) {
		return broken
	}
	switch {
	case success && x.status != 0 && !x.continuesStream(response):
		return broken
	case success && x.route.Kind == catalog.Stream:
		return x.forwardStream(ctx, reservation, response)
	case x.status != 0:
		return broken // a stream has begun, so that no error response can be sent
	}
	return x.forwardWhole(ctx, reservation, response)
}

// continuesStream reports whether a response may continue the stream that the caller gets:
// it must have the same status and type of content.
func (x *exchange) continuesStream(response *http.Response) bool {
	return response.StatusCode == x.status && response.Header.Get("Content-Type") == x.writer.Header().Get("Content-Type")
}

// bufferedAnswer is an answer of a backend server that was received completely.
type bufferedAnswer struct {
	status int
	header http.Header
	data   []byte
}

// forwardWhole forwards an answer once it was received completely, or as it arrives
// if it exceeds maxBufferedBytes.
func (x *exchange) forwardWhole(ctx context.Context, reservation *directory.Reservation, response *http.Response) result {
	whole := newBuffer(x.handler.Buffers, maxBufferedBytes)
	defer whole.release()
	var err error
	for err == nil {
		err = whole.readFrom(response.Body)
	}
	success := response.StatusCode < http.StatusBadRequest
	if err == io.EOF {
		if endErr := x.checkEnd(ctx, reservation, response); endErr != nil {
			err = endErr
		}
	}
	x.answerEnd = describeEnd(response, err)
	switch {
	case err == errServerStopped:
		return broken
	case err == io.EOF:
	case err == errBufferFull && success:
		x.recordUsage()
		return x.forwardLong(ctx, reservation, response, whole.data)
	default:
		x.runProgress.lost = err != errBufferFull
		return broken // a failure of that size is no answer
	}
	x.recordUsage()
	buffered := &bufferedAnswer{status: response.StatusCode, header: response.Header, data: whole.data}
	if x.shouldRetryFailure(response.StatusCode) {
		x.lastFailure = buffered
		return broken
	}
	x.writeAnswer(buffered)
	return answered
}

// writeAnswer sends a buffered answer to the caller.
func (x *exchange) writeAnswer(a *bufferedAnswer) {
	h := x.writer.Header()
	x.handler.Wire.CopyResponse(h, a.header)
	h["Content-Length"] = []string{strconv.Itoa(len(a.data))}
	x.status, x.outcome = a.status, outcomeServed
	x.writer.WriteHeader(a.status)
	if _, err := x.writer.Write(a.data); err != nil {
		x.outcome = outcomeCallerLeft
	}
}

// forwardLong forwards an answer as it arrives. data is the part that was read
// already.
func (x *exchange) forwardLong(ctx context.Context, reservation *directory.Reservation, response *http.Response, data []byte) result {
	x.keepsAttempt.Store(true) // it cannot be begun anew
	x.handler.Wire.CopyResponse(x.writer.Header(), response.Header)
	x.status, x.outcome = response.StatusCode, outcomeServed
	x.writer.WriteHeader(response.StatusCode)
	_, err := x.writer.Write(data)
	if err == nil {
		_, err = io.Copy(x.writer, response.Body)
	}
	if err == nil {
		err = x.checkEnd(ctx, reservation, response)
	}
	x.answerEnd = describeEnd(response, err)
	if err != nil {
		x.outcome = outcomeBroken
		return truncated
	}
	return answered
}

// describeEnd returns what showed the end of a response, for the log. err is nil or io.EOF if
// nothing shows that the response is incomplete.
func describeEnd(response *http.Response, err error) string {
	switch {
	case err != nil && err != io.EOF: // bodies do not wrap it
		return err.Error()
	case responses.EndsWithConnection(response):
		return "connection"
	}
	return "marked"
}

// shouldRetryFailure reports whether a request that a backend server answered with
// status is sent to another backend server.
func (x *exchange) shouldRetryFailure(status int) bool {
	return status >= http.StatusInternalServerError && x.route.Kind == catalog.Idempotent &&
		len(x.attempts) < x.route.MaxReplicas
}

// forwardStream forwards the events of a stream as they arrive. If the stream
// breaks off, the result tells whether it can be continued on another backend
// server.
func (x *exchange) forwardStream(ctx context.Context, reservation *directory.Reservation, response *http.Response) result {
	err := x.forwardEvents(ctx, reservation, response)
	end := streamComplete
	switch {
	case err != nil:
		end = streamBroken
	case responses.EndsWithConnection(response):
		end = streamClosed
	}
	to, stopped := x.runMove.finish(end)
	switch {
	case end == streamClosed && stopped:
		err = errRunStopped
	case to == nil && err == nil:
		err = x.checkEnd(ctx, reservation, response)
	}
	x.answerEnd = describeEnd(response, err)
	if to != nil && err != nil && x.request.Context().Err() == nil && !errors.Is(err, errCallerLeft) {
		x.moveTarget, x.cacheCopy = to, x.runMove.cacheCopy
		x.runMove = nil
		return moved
	}
	x.runMove = nil
	if to != nil {
		to.Finish(directory.Neutral, time.Now())
	}
	if err == nil {
		x.outcome = outcomeServed
		if p := &x.runProgress; p.events > 1 {
			now := time.Now()
			reservation.ObserveInterval(now.Sub(p.firstEvent)/time.Duration(p.events-1), now)
		}
		return answered
	}
	x.runProgress.lost = err != errBufferFull && err != errRunStopped && err != errServerStopped
	if x.status == 0 {
		return broken
	}
	x.mayHaveExecuted, x.outcome = true, outcomeBroken
	if errors.Is(err, errCallerLeft) || x.request.Context().Err() != nil {
		x.outcome = outcomeCallerLeft
		return truncated
	}
	if !x.route.Resumable || ctx.Err() != nil {
		return truncated
	}
	return broken
}
