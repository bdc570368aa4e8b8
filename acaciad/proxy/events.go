package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"acaciapath.example/acaciad/directory"
	"acaciapath.example/core/responses"
	"acaciapath.example/core/sleep"

	"github.com/ansel1/merry/v2"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20

// Errors that end the forwarding of a stream.
var (
	// errCallerLeft is returned when a write to the caller fails.
	errCallerLeft = merry.Sentinel("proxy: the caller disconnected from the stream")
	// errIncompleteEvent is returned when a stream ends within an event.
	errIncompleteEvent = merry.Sentinel("proxy: the stream contains an incomplete event")
	// errNoEvent is returned when a stream without a length ends before its first event.
	errNoEvent = merry.Sentinel("proxy: the connection of the stream ended before its first event")
	// errRunStopped is returned when the connection of a stream without a length ended while
	// the daemon had the run stopped.
	errRunStopped = merry.Sentinel("proxy: the run was stopped before its stream was complete")
	// errServerStopped is returned when the connection of an answer without a length ended
	// because the backend server, which drained, stopped.
	errServerStopped = merry.Sentinel("proxy: the backend server stopped, so that its answer may be incomplete")
	// errServerCrashed is returned when the connection of an answer without a length ended and
	// the backend server, which did not drain, accepts no others.
	errServerCrashed = merry.Sentinel("proxy: the backend server ended, so that its answer may be incomplete")
)

// forwardEvents forwards complete events to the caller as they arrive. It returns
// nil if the stream ended after a complete event. If it ends with its connection, the
// end may be that of a run that was stopped.
func (x *exchange) forwardEvents(ctx context.Context, reservation *directory.Reservation, response *http.Response) error {
	controller := http.NewResponseController(x.writer)
	events := newBuffer(x.handler.Buffers, maxEventBytes)
	defer events.release()
	searched := 0 // bytes of events.data in which no event ends
	for {
		err := events.readFrom(response.Body)
		from := max(searched-maxEventEndBytes+1, 0)
		if end := lastEventEnd(events.data[from:]); end > 0 {
			end += from
			if writeErr := x.writeEvents(ctx, controller, reservation, response, events.data[:end]); writeErr != nil {
				return writeErr
			}
			events.discard(end)
		}
		searched = len(events.data)
		switch {
		case err == io.EOF && x.runProgress.events == 0 && responses.EndsWithConnection(response):
			return errNoEvent
		case err == io.EOF && len(events.data) == 0:
			x.startStream(ctx, reservation, response)
			return nil
		case err == io.EOF:
			return errIncompleteEvent
		case err != nil:
			return err
		}
	}
}

// stopCheckDelay is the time between the end of a connection and the check whether its server
// stopped. A server that stops closes its connections and its listener in any order.
const stopCheckDelay = 20 * time.Millisecond

// checkEnd returns an error if the end of a response says nothing, because it is that of its
// connection and the backend server accepts no others. The system ends the connections of a killed
// process in order, also in the middle of an answer.
func (x *exchange) checkEnd(ctx context.Context, reservation *directory.Reservation, response *http.Response) error {
	if !responses.EndsWithConnection(response) {
		return nil
	}
	sleep.For(ctx, stopCheckDelay)
	switch {
	case x.acceptsConnections(ctx, reservation.Spec):
		return nil
	case reservation.Draining().Err() != nil:
		return errServerStopped
	}
	return errServerCrashed
}

// startStream handles the first event from a backend server: it marks the prompt as
// read, records the usage and starts to watch the run for a move. It sends the response
// headers to the caller only for the first backend server of the request.
func (x *exchange) startStream(ctx context.Context, reservation *directory.Reservation, response *http.Response) {
	if x.streamSource == reservation {
		return
	}
	x.streamSource = reservation
	reservation.MarkPromptRead(time.Now())
	x.recordUsage()
	x.bindToVersion(reservation)
	x.runMove = x.watchForMove(ctx, reservation, func() { response.Body.Close() })
	if x.status != 0 {
		return
	}
	h := x.writer.Header()
	x.handler.Wire.CopyResponse(h, response.Header)
	delete(h, "Content-Length")
	x.status = response.StatusCode
	x.writer.WriteHeader(response.StatusCode)
}

// writeEvents sends complete events to the caller and flushes them.
func (x *exchange) writeEvents(ctx context.Context, controller *http.ResponseController, reservation *directory.Reservation, response *http.Response, events []byte) error {
	x.startStream(ctx, reservation, response)
	if _, err := x.writer.Write(events); err != nil {
		return errCallerLeft
	}
	if err := controller.Flush(); err != nil {
		return errCallerLeft
	}
	x.trackEvents(events)
	return nil
}

// trackEvents counts complete events and stores the id of the last one, at which
// the stream can be resumed.
func (x *exchange) trackEvents(events []byte) {
	now := time.Now()
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			x.eventCount++
			x.recordEvents(1, now)
			if x.runMove != nil {
				x.runMove.eventCount.Add(1)
			}
			continue
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			x.lastEventID = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
}

// maxEventEndBytes is the maximum length of the line ends that end an event.
const maxEventEndBytes = len("\r\n\r\n")

// lastEventEnd returns the length of the complete events at the beginning of data,
// or 0 if there are none. An event ends with an empty line.
func lastEventEnd(data []byte) int {
	for end := len(data); ; {
		i := bytes.LastIndexByte(data[:end], '\n')
		if i < 0 {
			return 0
		}
		if bytes.HasSuffix(data[:i], []byte("\n")) || bytes.HasSuffix(data[:i], []byte("\r\n\r")) {
			return i + 1
		}
		end = i
	}
}
