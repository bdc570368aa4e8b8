package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"acaciapath.example/acaciad/directory"

	"github.com/ansel1/merry/v2"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// readBytes is how much of a stream is read at once.
const readBytes = 4 << 10

// Errors of streams.
var (
	// errCaller is returned when the caller took no more of a stream.
	errCaller = merry.Sentinel("relay: the caller left the stream")
	// errEvent is returned when a stream ended within an event.
	errEvent = merry.Sentinel("relay: the stream ended within an event")
)

// pass passes whole events on as they arrive. It returns nil once the stream
// ended as complete.
func (x *exchange) pass(ctx context.Context, place *directory.Reservation, response *http.Response) error {
	controller := http.NewResponseController(x.writer)
	buffer := make([]byte, 0, readBytes)
	for {
		if len(buffer) == cap(buffer) {
			if len(buffer) > maxEventBytes {
				return errEvent
			}
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if end := lastEventEnd(buffer); end > 0 {
			if passErr := x.passEvents(ctx, controller, place, response, buffer[:end]); passErr != nil {
				return passErr
			}
			buffer = buffer[:copy(buffer, buffer[end:])]
		}
		switch {
		case err == io.EOF && len(buffer) == 0:
			x.begin(ctx, place, response)
			return nil
		case err == io.EOF:
			return errEvent
		case err != nil:
			return err
		}
	}
}

// begin sends the headers of the stream, of the first backend server only.
func (x *exchange) begin(ctx context.Context, place *directory.Reservation, response *http.Response) {
	if x.begun == place {
		return
	}
	x.begun = place
	place.MarkPromptRead(time.Now())
	x.count()
	x.move = x.watchMove(ctx, place, func() { response.Body.Close() })
	if x.status != 0 {
		return
	}
	h := x.writer.Header()
	x.handler.Wire.CopyResponse(h, response.Header)
	delete(h, "Content-Length")
	x.status = response.StatusCode
	x.writer.WriteHeader(response.StatusCode)
}

func (x *exchange) passEvents(ctx context.Context, controller *http.ResponseController, place *directory.Reservation, response *http.Response, events []byte) error {
	x.begin(ctx, place, response)
	if _, err := x.writer.Write(events); err != nil {
		return errCaller
	}
	if err := controller.Flush(); err != nil {
		return errCaller
	}
	x.note(events)
	return nil
}

// note remembers the id of the last of the events, which are whole.
func (x *exchange) note(events []byte) {
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			x.events++
			if x.move != nil {
				x.move.events.Add(1)
			}
			continue
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			x.lastEvent = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
}

// lastEventEnd returns the length of the whole events at the beginning of data,
// which end with an empty line.
func lastEventEnd(data []byte) int {
	end := bytes.LastIndex(data, []byte("\n\n"))
	if crlf := bytes.LastIndex(data, []byte("\r\n\r\n")); crlf >= 0 && crlf+4 > end+2 {
		return crlf + 4
	}
	if end < 0 {
		return 0
	}
	return end + 2
}
