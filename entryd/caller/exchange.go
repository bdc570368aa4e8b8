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

// CodeCallerGone stands in logs and metrics for a caller that is gone, who cannot be
// told.
const CodeCallerGone refusal.Code = "caller-gone"

// Causes with which the context of a request may end, besides that of a caller
// who is gone, which is context.Canceled.
var (
	// ErrDrainTimeout is the cause when a graceful shutdown has run out of time.
	ErrDrainTimeout = merry.Sentinel("caller: shutdown has run out of time")
	// ErrRequestTimeout is the cause when a request has run out of time.
	ErrRequestTimeout = merry.Sentinel("caller: request has run out of time")
)

// Exchange is one request and its answer, as the parts that serve it share it.
// It is used by one thread at a time.
type Exchange struct {
	// ID is the request id: random, and never the caller's.
	ID string
	// Start is when the request arrived.
	Start time.Time
	// Snapshot is what is in force for the whole of the request.
	Snapshot *access.Snapshot
	// Controller sets deadlines of the connection and flushes the answer.
	Controller *http.ResponseController
	// Header is the header of the answer.
	Header http.Header

	// Grant, Class, Model and BackendServer are set once they are known, for
	// logs and spans.
	Grant         *access.Grant
	Class         *config.ServiceClass
	Model         string
	BackendServer string
	// Refusal is what the caller was told, or nil.
	Refusal *refusal.Refusal

	// unread says whether the caller may still be sending a body.
	unread bool
}

// refuse takes note of the refusal that the caller is told. The connection ends
// with it if the caller may still be sending: net/http would wait for the body
// before it answers.
func (x *Exchange) refuse(refused *refusal.Refusal) {
	x.Refusal = refused
	if x.unread {
		x.Header["Connection"] = closeConnection
	}
}

var closeConnection = []string{"close"}

type exchangeKey struct{}

// FromContext returns the exchange of a request's context.
func FromContext(ctx context.Context) *Exchange {
	x, _ := ctx.Value(exchangeKey{}).(*Exchange)
	return x
}

// newID returns a request id made from random.
func newID(random io.Reader) string {
	var raw [idBytes]byte
	if _, err := io.ReadFull(random, raw[:]); err != nil {
		panic(merry.Prepend(err, "caller: random source"))
	}
	var text [2 * idBytes]byte
	hex.Encode(text[:], raw[:])
	return string(text[:])
}

// Authorize finds the grant and the service class of a request. Either is nil
// if the request is refused.
func (x *Exchange) Authorize(authorization, class string) *refusal.Refusal {
	grant, refused := x.Snapshot.Grant(authorization)
	if refused != nil {
		return refused
	}
	x.Grant = grant
	x.Class, refused = x.Snapshot.Class(grant, class)
	return refused
}

// CancelCause returns why a request whose context is ctx is not to be sent on any
// more, or nil. A withdrawn key is seen at once, also if the place that the
// request got is one that the withdrawal made free.
func (x *Exchange) CancelCause(ctx context.Context) error {
	if x.Grant != nil {
		if err := x.Grant.Err(); err != nil {
			return err
		}
	}
	return context.Cause(ctx)
}

// ReadBody appends a request's body to buffer. The deadline for it was set when
// the request arrived, and is lifted once the body is there.
func (x *Exchange) ReadBody(buffer []byte, body io.Reader) ([]byte, *refusal.Refusal) {
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			_ = x.Controller.SetReadDeadline(time.Time{})
			x.unread = false
			return buffer, nil
		}
		if err != nil {
			return buffer, bodyRefusal(err)
		}
	}
}

// lastWriteTimeout bounds the sending of what remains of an answer after its
// context has ended.
const lastWriteTimeout = time.Second

// LimitWritesOnDone lets writes of the answer end soon after ctx has ended, also if
// the caller reads nothing, and lifts the bound of an earlier ctx. The function
// that it returns undoes that; it is called when the answer, or the attempt that
// it came from, has ended.
func (x *Exchange) LimitWritesOnDone(ctx context.Context) (release func()) {
	_ = x.Controller.SetWriteDeadline(time.Time{})
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		x.LimitWrites()
	})
	return func() {
		if !stop() {
			<-done // the connection's next request lifts the deadline
		}
	}
}

// LimitWrites lets writes of the answer end soon. The connection's next request
// lifts the limit.
func (x *Exchange) LimitWrites() {
	_ = x.Controller.SetWriteDeadline(time.Now().Add(lastWriteTimeout))
}

// bodyRefusal returns the refusal of a request whose body could not be read.
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

// AsRefusal returns the refusal that err is, or that of a request whose context
// ended with err as its cause.
func AsRefusal(err error, run refusal.RunState) *refusal.Refusal {
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		return refused
	}
	return RefusalForCause(err, run)
}

// RefusalForCause returns the refusal of a request whose context ended with cause.
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
