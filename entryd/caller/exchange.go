package caller

import (
	"context"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/refusal"
	"acaciapath.example/entryd/access"

	"github.com/ansel1/merry/v2"
)

// idBytes is the number of random bytes in a request id.
const idBytes = 16

// CodeCallerGone is used in logs and metrics for a caller that has
// disconnected. It is never sent.
const CodeCallerGone refusal.Code = "caller-gone"

// Causes that cancel the context of a request. If the caller has disconnected,
// the cause is context.Canceled.
var (
	// ErrDrainTimeout is the cause when the drain timeout of a graceful
	// shutdown has expired.
	ErrDrainTimeout = merry.Sentinel("caller: drain timeout expired")
	// ErrRequestTimeout is the cause when the request timeout has expired.
	ErrRequestTimeout = merry.Sentinel("caller: request timeout expired")
)

// Exchange is the state of one request and its answer, shared by the packages
// that serve it. It is used by one goroutine at a time.
type Exchange struct {
	// ID is the request id. It is generated; an id sent by the caller is
	// ignored.
	ID string
	// Start is when the request arrived.
	Start time.Time
	// Snapshot is the snapshot that applies to the whole request.
	Snapshot *access.Snapshot
	// Controller sets the deadlines of the connection and flushes the answer.
	Controller *http.ResponseController
	// Header contains the headers of the answer.
	Header http.Header

	// Grant, Class, Model and BackendServer are set as soon as they are known.
	// They are used in logs and spans.
	Grant         *access.Grant
	Class         *config.ServiceClass
	Model         string
	BackendServer string
	// Refusal is the refusal that the caller received, or nil.
	Refusal *refusal.Refusal

	// bodyUnread is true while the caller may still be sending the request
	// body.
	bodyUnread bool
}

// recordRefusal records the refusal that the caller receives. If the caller may
// still be sending its body, the connection is closed after the answer:
// otherwise net/http would read the body before it answers.
func (x *Exchange) recordRefusal(refused *refusal.Refusal) {
	x.Refusal = refused
	if x.bodyUnread {
		x.Header["Connection"] = closeConnection
	}
}

var closeConnection = []string{"close"}

type exchangeKey struct{}

// FromContext returns the exchange of a request's context, or nil if there is
// none.
func FromContext(ctx context.Context) *Exchange {
	x, _ := ctx.Value(exchangeKey{}).(*Exchange)
	return x
}

// newID returns a request id read from random.
func newID(random io.Reader) string {
	var raw [idBytes]byte
	if _, err := io.ReadFull(random, raw[:]); err != nil {
		panic(merry.Prepend(err, "caller: read random source"))
	}
	var text [2 * idBytes]byte
	hex.Encode(text[:], raw[:])
	return string(text[:])
}

// Authorize sets the grant and the service class of a request. Class, or both,
// remain nil if the request is refused.
func (x *Exchange) Authorize(authorization, class string) *refusal.Refusal {
	grant, refused := x.Snapshot.Grant(authorization)
	if refused != nil {
		return refused
	}
	x.Grant = grant
	x.Class, refused = x.Snapshot.Class(grant, class)
	return refused
}

// CancelCause returns why a request with the context ctx must not be sent any
// more, or nil. It checks the grant first: if the withdrawal of a key frees a
// slot, the next request of the same key may get the slot before its context is
// cancelled.
func (x *Exchange) CancelCause(ctx context.Context) error {
	if x.Grant != nil {
		if err := x.Grant.Err(); err != nil {
			return err
		}
	}
	return context.Cause(ctx)
}

// ReadBody appends the request body to buffer. The read deadline, which was set
// when the request arrived, is removed after the body has been read.
func (x *Exchange) ReadBody(buffer []byte, body io.Reader) ([]byte, *refusal.Refusal) {
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			_ = x.Controller.SetReadDeadline(time.Time{})
			x.bodyUnread = false
			return buffer, nil
		}
		if err != nil {
			return buffer, bodyRefusal(err)
		}
	}
}

// lastWriteTimeout limits the sending of the rest of an answer after its
// context has been cancelled.
const lastWriteTimeout = time.Second

// LimitWritesOnDone removes the write deadline and sets a new one,
// lastWriteTimeout from then, when ctx is done, so that writes end even if the
// caller does not read. release must be called when the answer, or the attempt
// from which it came, has ended.
func (x *Exchange) LimitWritesOnDone(ctx context.Context) (release func()) {
	_ = x.Controller.SetWriteDeadline(time.Time{})
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		x.LimitWrites()
	})
	return func() {
		if !stop() {
			<-done // the next request on the connection removes the deadline
		}
	}
}

// LimitWrites sets the write deadline to lastWriteTimeout from now. The next
// request on the connection removes it.
func (x *Exchange) LimitWrites() {
	_ = x.Controller.SetWriteDeadline(time.Now().Add(lastWriteTimeout))
}

// bodyRefusal returns the refusal of a request whose body could not be read
// because of err.
func bodyRefusal(err error) *refusal.Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refusal.New(refusal.BodyTooLarge, "the body is larger than this service accepts")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refusal.New(refusal.BodyTimeout, "the body was not sent in time")
	}
	return refusal.New(refusal.InvalidRequest, "the body could not be read")
}

// AsRefusal returns err if it is a refusal. Otherwise it returns the refusal of
// a request whose context was cancelled with the cause err.
func AsRefusal(err error, run refusal.RunState) *refusal.Refusal {
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		return refused
	}
	return RefusalForCause(err, run)
}

// RefusalForCause returns the refusal of a request whose context was cancelled
// with the given cause.
func RefusalForCause(cause error, run refusal.RunState) *refusal.Refusal {
	switch {
	case errors.Is(cause, access.ErrWithdrawn):
		return access.WithdrawnRefusal(run)
	case errors.Is(cause, access.ErrUnconfirmed):
		return access.UnconfirmedRefusal(run)
	case errors.Is(cause, ErrDrainTimeout):
		r := &refusal.Refusal{Code: refusal.ShuttingDown, Message: "the entry VM is shutting down", RunState: run}
		return r.WithRetryAfter(time.Second)
	case errors.Is(cause, ErrRequestTimeout):
		return &refusal.Refusal{Code: refusal.BackendTimeout, Message: "the answer took too long", RunState: run}
	}
	return &refusal.Refusal{Code: CodeCallerGone, Message: "the caller is gone", RunState: run}
}
