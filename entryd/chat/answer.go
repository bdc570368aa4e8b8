package chat

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"acaciapath.example/core/refusal"
	"acaciapath.example/entryd/caller"

	"github.com/ansel1/merry/v2"
)

// Bounds of answers.
const (
	// maxWholeBytes bounds a whole answer.
	maxWholeBytes = 16 << 20
	// maxMessageBytes bounds the message of an engine's refusal.
	maxMessageBytes = 4 << 10
)

// Media types of answers.
const (
	typeStream = "text/event-stream"
	typeJSON   = "application/json"
)

var noCache = []string{"no-cache"}

// ErrWriteOnly is returned by a Read of an answer, which is sent by WriteTo.
var ErrWriteOnly = merry.Sentinel("chat: answer is sent by WriteTo")

// answer is the body of an answer that has begun. WriteTo ends the run.
type answer struct {
	contentType string
	run         *run
	// whole is the whole answer, or nil if it is streamed.
	whole *[]byte
	// response and events are those of a stream, and first its first event.
	response *http.Response
	events   *eventReader
	first    event
	ended    bool
	// release lifts the bound of writes, or is nil.
	release func()
}

var (
	_ io.ReadCloser = (*answer)(nil)
	_ io.WriterTo   = (*answer)(nil)
)

// readers holds the readers of streams.
var readers = sync.Pool{New: func() any {
	return &eventReader{reader: bufio.NewReader(nil)}
}}

// open returns the answer of a response with status 200 once its first event,
// or all of a whole answer, has come.
func (r *run) open(response *http.Response) (*answer, *refusal.Refusal) {
	if r.request.Stream {
		return r.openStream(response)
	}
	return r.openWhole(response)
}

func (r *run) openStream(response *http.Response) (*answer, *refusal.Refusal) {
	events := readers.Get().(*eventReader)
	events.reader.Reset(response.Body)
	first, err := events.next()
	if err != nil || first.failed {
		readers.Put(events)
		return nil, r.lose(response)
	}
	r.exchange.Header["Cache-Control"] = noCache
	return &answer{contentType: typeStream, run: r, response: response, events: events, first: first}, nil
}

func (r *run) openWhole(response *http.Response) (*answer, *refusal.Refusal) {
	whole := buffers.Get().(*[]byte)
	var err error
	*whole, err = readAll(*whole, response.Body)
	if err != nil {
		putBuffer(whole)
		return nil, r.lose(response)
	}
	aborted := false
	if r.usage, aborted = inspectWhole(*whole); aborted {
		putBuffer(whole)
		return nil, r.lose(response)
	}
	r.stopAttempt(response)
	return &answer{contentType: typeJSON, run: r, whole: whole}, nil
}

// readAll appends all of a whole answer to buffer.
func readAll(buffer []byte, body io.Reader) ([]byte, error) {
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF { //nolint:errorlint // as io.Reader has it
			return buffer, nil
		}
		if err != nil {
			return buffer, err
		}
		if len(buffer) > maxWholeBytes {
			return buffer, ErrEventTooLarge
		}
	}
}

// lose ends a run whose answer broke off, and returns what the caller is told.
func (r *run) lose(response *http.Response) *refusal.Refusal {
	f := r.broken()
	r.stopAttempt(response)
	return r.fail(f)
}

// broken returns why an answer broke off.
func (r *run) broken() *failure {
	if r.hop.Err() != nil {
		return &failure{refused: caller.EndRefusal(context.Cause(r.hop), refusal.Unknown)}
	}
	refused := refusal.NewUnknown(refusal.AnswerIncomplete, "the backend server broke off its answer")
	return &failure{refused: refused, isServer: true}
}

// Read returns ErrWriteOnly.
func (a *answer) Read([]byte) (int, error) { return 0, ErrWriteOnly }

// Close gives back what the answer holds. An answer that was not written counts
// as one whose caller is gone.
func (a *answer) Close() error {
	if !a.ended {
		a.vanish()
	}
	if a.whole != nil {
		putBuffer(a.whole)
		a.whole = nil
	}
	if a.events != nil {
		a.events.reader.Reset(nil)
		readers.Put(a.events)
		a.events = nil
	}
	a.run.cancel(nil)
	return nil
}

// WriteTo sends the answer to the caller. A stream that breaks off ends with an
// event that holds a refusal, and without the event that ends a whole one. It
// returns no error, since a broken answer has been dealt with.
func (a *answer) WriteTo(w io.Writer) (int64, error) {
	if a.whole != nil {
		return a.writeWhole(w), nil
	}
	a.release = a.run.exchange.BoundWrites(a.run.hop)
	return a.writeStream(w), nil
}

func (a *answer) writeWhole(w io.Writer) int64 {
	a.ended = true
	n, err := w.Write(*a.whole)
	if err == nil {
		err = a.run.exchange.Controller.Flush()
	}
	if err != nil {
		// The answer ran whole and is charged, although its caller is gone.
		a.run.service.Metrics.Wasted(a.run.exchange.Class.Name, a.run.ran().CompletionTokens)
	}
	a.run.complete()
	return int64(n)
}

// writeStream passes on event by event.
func (a *answer) writeStream(w io.Writer) int64 {
	var written int64
	for e := a.first; ; {
		a.run.saw(e)
		if e.failed {
			return written + a.breakOff(w)
		}
		if !e.usageOnly || a.run.request.IncludeUsage {
			n, err := w.Write(e.text)
			written += int64(n)
			if err == nil {
				err = a.run.exchange.Controller.Flush()
			}
			if err != nil {
				a.vanish()
				return written
			}
		}
		if e.done {
			a.finish()
			return written
		}
		var err error
		if e, err = a.events.next(); err != nil {
			return written + a.breakOff(w)
		}
	}
}

// finish ends a stream that came whole.
func (a *answer) finish() {
	a.ended = true
	a.release()
	_, _ = io.Copy(io.Discard, io.LimitReader(a.response.Body, maxMessageBytes)) // so that the connection is kept
	a.run.stopAttempt(a.response)
	a.run.complete()
}

// vanish ends a stream whose caller is gone.
func (a *answer) vanish() {
	a.ended = true
	if a.whole != nil {
		a.run.complete()
		return
	}
	if a.release != nil {
		a.release()
	}
	a.run.stopAttempt(a.response)
	a.run.settle(false)
	a.run.service.Metrics.Wasted(a.run.exchange.Class.Name, a.run.ran().CompletionTokens)
}

// breakOff ends a stream that did not come whole and tells the caller why.
func (a *answer) breakOff(w io.Writer) int64 {
	a.ended = true
	f := a.run.broken()
	n, _ := w.Write(errorEvent(f.refused, a.run.exchange.ID))
	_ = a.run.exchange.Controller.Flush()
	a.run.exchange.Refusal = f.refused
	a.release()
	a.run.stopAttempt(a.response)
	a.run.fail(f)
	return int64(n)
}

// errorEvent returns the event that ends a broken stream.
func errorEvent(refused *refusal.Refusal, requestID string) []byte {
	text := append([]byte("data: "), refused.JSON(requestID)...)
	return append(text, "\n\n"...)
}

// engineMessage returns the message of an engine's refusal.
func engineMessage(response *http.Response) string {
	var body struct {
		Message string `json:"message"`
		Error   struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	err := json.NewDecoder(io.LimitReader(response.Body, maxMessageBytes)).Decode(&body)
	switch {
	case err == nil && body.Error.Message != "":
		return body.Error.Message
	case err == nil && body.Message != "":
		return body.Message
	}
	return "the backend server refused the request"
}
