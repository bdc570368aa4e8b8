package chat

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

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
	// endTimeout bounds the wait for the end of a body that is whole.
	endTimeout = time.Second
)

// Media types of answers.
const (
	typeStream = "text/event-stream"
	typeJSON   = "application/json"
)

var noCache = []string{"no-cache"}

// ErrReadUnsupported is returned by a Read of an answer, which is sent by WriteTo.
var ErrReadUnsupported = merry.Sentinel("chat: answer is sent by WriteTo")

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
func (r *run) open(response *http.Response) (*answer, *failure) {
	if r.request.Stream {
		return r.openStream(response)
	}
	return r.openWhole(response)
}

func (r *run) openStream(response *http.Response) (*answer, *failure) {
	a := &answer{contentType: typeStream, run: r, events: readers.Get().(*eventReader)}
	var f *failure
	if a.first, f = a.attach(response); f != nil {
		a.putReader()
		return nil, f
	}
	r.partial = buffers.Get().(*[]byte)
	r.exchange.Header["Cache-Control"] = noCache
	return a, nil
}

// attach makes a response the source of a stream and returns its first event.
func (a *answer) attach(response *http.Response) (event, *failure) {
	a.response = response
	a.events.reader.Reset(response.Body)
	e, err := a.events.next()
	if err != nil || e.failed {
		return event{}, a.run.broken()
	}
	return e, nil
}

func (r *run) openWhole(response *http.Response) (*answer, *failure) {
	whole := buffers.Get().(*[]byte)
	var err error
	*whole, err = readAll(*whole, response.Body)
	aborted := false
	if err == nil {
		r.usage, aborted = inspectWhole(*whole)
	}
	if err != nil || aborted {
		putBuffer(whole)
		return nil, r.broken()
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
		if errors.Is(err, io.EOF) {
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

// broken returns why an answer broke off.
func (r *run) broken() *failure {
	if errors.Is(context.Cause(r.hop), errStalled) {
		return stalled()
	}
	if r.hop.Err() != nil {
		return &failure{refused: caller.RefusalForCause(context.Cause(r.hop), refusal.MayHaveRun)}
	}
	refused := refusal.NewMayHaveRun(refusal.AnswerIncomplete, "the backend server broke off its answer")
	return &failure{refused: refused, again: true, isServer: true}
}

// Read returns ErrWriteOnly.
func (a *answer) Read([]byte) (int, error) { return 0, ErrReadUnsupported }

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
	a.putReader()
	a.run.cancel(nil)
	return nil
}

// putReader gives back the reader of the stream and the text that was kept.
func (a *answer) putReader() {
	if a.events == nil {
		return
	}
	a.events.reader.Reset(nil)
	readers.Put(a.events)
	a.events = nil
	if a.run.partial != nil {
		putBuffer(a.run.partial)
		a.run.partial = nil
	}
}

// WriteTo sends the answer to the caller. A stream that breaks off ends with an
// event that holds a refusal, and without the event that ends a whole one. It
// returns no error, since a broken answer has been dealt with.
func (a *answer) WriteTo(w io.Writer) (int64, error) {
	if a.whole != nil {
		return a.writeWhole(w), nil
	}
	a.bind()
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
		a.run.service.Metrics.CountWastedTokens(a.run.exchange.Class.Name, a.run.ran().CompletionTokens)
	}
	a.run.complete()
	return int64(n)
}

// writeStream passes on event by event.
func (a *answer) writeStream(w io.Writer) int64 {
	var written int64
	for e := a.first; ; {
		a.run.saw(e)
		a.run.resetWatch()
		n, err := a.writeEvent(w, e)
		written += n
		if err != nil {
			a.vanish()
			return written
		}
		if e.done {
			a.finish()
			return written
		}
		var f *failure
		if e, f = a.next(); f != nil {
			return written + a.breakOff(w, f)
		}
	}
}

// next returns the next event of the stream, which another engine goes on with
// if the present one fails.
func (a *answer) next() (event, *failure) {
	select {
	case <-a.run.place.Preempted():
		if a.run.tokens > 0 && a.run.canProceed() {
			return a.yield()
		}
	default:
	}
	e, err := a.events.next()
	if err == nil && !e.failed {
		return e, nil
	}
	return a.resume(a.run.broken())
}

// writeEvent sends an event to the caller, unless it is not meant for it.
func (a *answer) writeEvent(w io.Writer, e event) (int64, error) {
	resumed := a.run.before > 0
	if (e.usageOnly && !a.run.request.IncludeUsage) || (e.opening && resumed) {
		return 0, nil
	}
	if e.usage != nil && resumed {
		e.text = withUsage(e.text, a.run.ran())
	}
	n, err := w.Write(e.text)
	if err != nil {
		return int64(n), err
	}
	return int64(n), a.run.exchange.Controller.Flush()
}

// finish ends a stream that came whole.
func (a *answer) finish() {
	a.ended = true
	a.run.stopWatch()
	a.unbind()
	// The end of the body is read so that the connection is kept.
	timer := time.AfterFunc(endTimeout, a.run.stopHop)
	_, _ = io.Copy(io.Discard, io.LimitReader(a.response.Body, maxMessageBytes))
	timer.Stop()
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
	a.detach()
	a.run.settle(false)
	a.run.service.Metrics.CountWastedTokens(a.run.exchange.Class.Name, a.run.ran().CompletionTokens)
}

// bind lets writes end soon after the present attempt has.
func (a *answer) bind() { a.release = a.run.exchange.LimitWritesOnDone(a.run.hop) }

// unbind undoes bind.
func (a *answer) unbind() {
	if a.release != nil {
		a.release()
		a.release = nil
	}
}

// detach ends the present attempt.
func (a *answer) detach() {
	a.unbind()
	a.run.stopAttempt(a.response)
}

// breakOff ends a stream that did not come whole and tells the caller why. The
// last attempt has ended.
func (a *answer) breakOff(w io.Writer, f *failure) int64 {
	a.ended = true
	x := a.run.exchange
	refused := a.run.fail(f)
	x.Refusal = refused
	x.LimitWrites()
	n, _ := w.Write(errorEvent(refused, x.ID))
	_ = x.Controller.Flush()
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
