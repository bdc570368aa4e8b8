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
	"acaciapath.example/core/responses"
	"acaciapath.example/entryd/caller"

	"github.com/ansel1/merry/v2"
)

// Size and time limits of answers.
const (
	// maxBodyBytes limits an answer that is not streamed.
	maxBodyBytes = 16 << 20
	// maxMessageBytes limits the error message of an engine, and the rest of a
	// response body after the last event.
	maxMessageBytes = 4 << 10
	// bodyEndTimeout limits the wait for the end of a response body after the
	// last event.
	bodyEndTimeout = time.Second
)

// Content types of answers.
const (
	contentTypeStream = "text/event-stream"
	contentTypeJSON   = "application/json"
)

var noCache = []string{"no-cache"}

// ErrReadUnsupported is returned by Read; an answer is sent with WriteTo.
var ErrReadUnsupported = merry.Sentinel("chat: Read is not supported, use WriteTo")

// answer is the body of an answer whose first event, or whose complete body,
// has been received. WriteTo sends it and ends the run.
type answer struct {
	contentType string
	run         *run
	// body is the complete answer, or nil if the answer is streamed.
	body *[]byte
	// response and events belong to the current attempt of a stream; firstEvent
	// is the first event of its first attempt.
	response   *http.Response
	events     *eventReader
	firstEvent event
	ended      bool
	// endWriteLimit removes the write deadline that follows the current
	// attempt. It is nil if there is none.
	endWriteLimit func()
}

var (
	_ io.ReadCloser = (*answer)(nil)
	_ io.WriterTo   = (*answer)(nil)
)

// readers is a pool of event readers.
var readers = sync.Pool{New: func() any {
	return &eventReader{reader: bufio.NewReader(nil)}
}}

// open returns the answer once the first event of a stream, or the complete
// body, has been received. The response has status 200.
func (r *run) open(response *http.Response) (*answer, *failure) {
	if r.request.Stream {
		return r.openStream(response)
	}
	return r.openComplete(response)
}

func (r *run) openStream(response *http.Response) (*answer, *failure) {
	a := &answer{contentType: contentTypeStream, run: r, events: readers.Get().(*eventReader)}
	var f *failure
	if a.firstEvent, f = a.attach(response); f != nil {
		a.releaseBuffers()
		return nil, f
	}
	r.partialText = buffers.Get().(*[]byte)
	r.exchange.Header["Cache-Control"] = noCache
	return a, nil
}

// attach continues the stream with the given response and returns its first
// event.
func (a *answer) attach(response *http.Response) (event, *failure) {
	a.response = response
	a.events.reader.Reset(response.Body)
	e, err := a.events.next()
	if err != nil || e.failed {
		return event{}, a.run.interruptedFailure()
	}
	return e, nil
}

func (r *run) openComplete(response *http.Response) (*answer, *failure) {
	body := buffers.Get().(*[]byte)
	var err error
	*body, err = readAll(*body, response.Body)
	aborted := false
	if err == nil && responses.EndsWithConnection(response) && !json.Valid(*body) {
		err = io.ErrUnexpectedEOF
	}
	if err == nil {
		r.usage, aborted = parseBody(*body)
	}
	if err != nil || aborted {
		putBuffer(body)
		return nil, r.interruptedFailure()
	}
	r.stopAttempt(response)
	return &answer{contentType: contentTypeJSON, run: r, body: body}, nil
}

// readAll appends the body to buffer. It returns ErrTooLarge above
// maxBodyBytes.
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
		if len(buffer) > maxBodyBytes {
			return buffer, ErrTooLarge
		}
	}
}

// interruptedFailure returns the failure of an attempt whose response ended
// early.
func (r *run) interruptedFailure() *failure {
	if errors.Is(context.Cause(r.attemptCtx), errStalled) {
		return stallFailure()
	}
	if r.attemptCtx.Err() != nil {
		return &failure{refused: caller.RefusalForCause(context.Cause(r.attemptCtx), refusal.MayHaveRun)}
	}
	refused := refusal.NewMayHaveRun(refusal.AnswerIncomplete, "the backend server broke off its answer")
	return &failure{refused: refused, retryable: true, serverFailed: true}
}

// Read returns ErrReadUnsupported.
func (a *answer) Read([]byte) (int, error) { return 0, ErrReadUnsupported }

// Close releases the resources of the answer. If the answer was not written,
// the caller counts as disconnected.
func (a *answer) Close() error {
	if !a.ended {
		a.handleCallerGone()
	}
	if a.body != nil {
		putBuffer(a.body)
		a.body = nil
	}
	a.releaseBuffers()
	a.run.cancel(nil)
	return nil
}

// releaseBuffers returns the event reader and the text that was kept to resume
// the stream to their pools.
func (a *answer) releaseBuffers() {
	if a.events == nil {
		return
	}
	a.events.reader.Reset(nil)
	readers.Put(a.events)
	a.events = nil
	if a.run.partialText != nil {
		putBuffer(a.run.partialText)
		a.run.partialText = nil
	}
}

// WriteTo sends the answer to the caller. A stream that fails ends with an
// event that contains a refusal, and without the final [DONE] event. The error
// is always nil because failures have been handled.
func (a *answer) WriteTo(w io.Writer) (int64, error) {
	if a.body != nil {
		return a.writeBody(w), nil
	}
	a.limitWrites()
	return a.writeStream(w), nil
}

func (a *answer) writeBody(w io.Writer) int64 {
	a.ended = true
	n, err := w.Write(*a.body)
	if err == nil {
		err = a.run.exchange.Controller.Flush()
	}
	if err != nil {
		// The answer is complete and charged although the caller has disconnected.
		a.run.service.Metrics.CountWastedTokens(a.run.exchange.Class.Name, a.run.totalUsage().CompletionTokens)
	}
	a.run.complete()
	return int64(n)
}

// writeStream forwards the events of a stream until it ends.
func (a *answer) writeStream(w io.Writer) int64 {
	var written int64
	for e := a.firstEvent; ; {
		a.run.recordEvent(e)
		a.run.resetStallTimer()
		n, err := a.writeEvent(w, e)
		written += n
		if err != nil {
			a.handleCallerGone()
			return written
		}
		if e.done {
			a.finish()
			return written
		}
		var f *failure
		if e, f = a.nextEvent(); f != nil {
			return written + a.endWithError(w, f)
		}
	}
}

// nextEvent returns the next event of the stream. If the request must yield its
// slot or the engine fails, the stream continues on another slot if possible.
func (a *answer) nextEvent() (event, *failure) {
	select {
	case <-a.run.slot.Preempted():
		if a.run.tokens > 0 && a.run.canContinue() {
			return a.yield()
		}
	default:
	}
	e, err := a.events.next()
	if err == nil && !e.failed {
		return e, nil
	}
	return a.resume(a.run.interruptedFailure())
}

// writeEvent sends an event to the caller. It omits usage that the caller did
// not request, and repeated role events after a resume.
func (a *answer) writeEvent(w io.Writer, e event) (int64, error) {
	resumed := a.run.earlierTokens > 0
	if (e.usageOnly && !a.run.request.IncludeUsage) || (e.roleOnly && resumed) {
		return 0, nil
	}
	if e.usage != nil && resumed {
		e.text = replaceUsage(e.text, a.run.totalUsage())
	}
	n, err := w.Write(e.text)
	if err != nil {
		return int64(n), err
	}
	return int64(n), a.run.exchange.Controller.Flush()
}

// finish ends a stream that was received completely.
func (a *answer) finish() {
	a.ended = true
	a.run.stopStallTimer()
	a.unlimitWrites()
	// Read to the end of the body so that the connection can be reused.
	timer := time.AfterFunc(bodyEndTimeout, a.run.cancelAttempt)
	_, _ = io.Copy(io.Discard, io.LimitReader(a.response.Body, maxMessageBytes))
	timer.Stop()
	a.run.stopAttempt(a.response)
	a.run.complete()
}

// handleCallerGone ends an answer whose caller has disconnected. A complete
// answer is charged as usual; otherwise the request is cancelled at the engine.
func (a *answer) handleCallerGone() {
	a.ended = true
	if a.body != nil {
		a.run.complete()
		return
	}
	a.stopAttempt()
	a.run.cancelAndCharge(false)
	a.run.service.Metrics.CountWastedTokens(a.run.exchange.Class.Name, a.run.totalUsage().CompletionTokens)
}

// limitWrites makes writes fail soon after the current attempt has ended.
func (a *answer) limitWrites() { a.endWriteLimit = a.run.exchange.LimitWritesOnDone(a.run.attemptCtx) }

// unlimitWrites undoes limitWrites.
func (a *answer) unlimitWrites() {
	if a.endWriteLimit != nil {
		a.endWriteLimit()
		a.endWriteLimit = nil
	}
}

// stopAttempt ends the current attempt.
func (a *answer) stopAttempt() {
	a.unlimitWrites()
	a.run.stopAttempt(a.response)
}

// endWithError ends an incomplete stream with an event that tells the caller
// why. The last attempt must have been stopped.
func (a *answer) endWithError(w io.Writer, f *failure) int64 {
	a.ended = true
	x := a.run.exchange
	refused := a.run.fail(f)
	x.Refusal = refused
	x.LimitWrites()
	n, _ := w.Write(errorEvent(refused, x.ID))
	_ = x.Controller.Flush()
	return int64(n)
}

// errorEvent returns the event that ends an incomplete stream.
func errorEvent(refused *refusal.Refusal, requestID string) []byte {
	text := append([]byte("data: "), refused.JSON(requestID)...)
	return append(text, "\n\n"...)
}

// engineMessage returns the error message in the response of an engine.
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
