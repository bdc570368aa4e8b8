package refusal

import (
	"net/http"
	"time"
)

// RunState tells whether a refused request may have run.
type RunState string

// Values of RunState.
const (
	// NotRun is used only if it is certain that no backend server started the
	// request.
	NotRun RunState = "not-run"
	// MayHaveRun is used in all other cases.
	MayHaveRun RunState = "unknown"
)

// RunStateFor returns MayHaveRun for a request that was sent to a backend
// server, and NotRun for one that was not.
func RunStateFor(sent bool) RunState {
	if sent {
		return MayHaveRun
	}
	return NotRun
}

// Code is the stable name of a kind of refusal.
type Code string

// Codes of refusals. Their HTTP statuses are in statuses.
const (
	InvalidRequest        Code = "invalid-request"
	BodyTooLarge          Code = "body-too-large"
	BodyTimeout           Code = "body-timeout"
	KeyMissing            Code = "key-missing"
	KeyInvalid            Code = "key-invalid"
	KeyWithdrawn          Code = "key-withdrawn"
	KeysUnconfirmed       Code = "keys-unconfirmed"
	ClassNotBought        Code = "class-not-bought"
	RouteUnknown          Code = "route-unknown"
	ModelUnknown          Code = "model-unknown"
	RateLimited           Code = "rate-limited"
	TooManyRequests       Code = "too-many-requests"
	QueueFull             Code = "queue-full"
	WaitTooLong           Code = "wait-too-long"
	NoBackendServer       Code = "no-backend-server"
	BackendServerFailed   Code = "backend-server-failed"
	BackendTimeout        Code = "backend-timeout"
	AnswerIncomplete      Code = "answer-incomplete"
	PlatformUnavailable   Code = "platform-unavailable"
	IdempotencyKeyMissing Code = "idempotency-key-missing"
	IdempotencyKeyReused  Code = "idempotency-key-reused"
	CallInProgress        Code = "call-in-progress"
	OutcomeUnknown        Code = "outcome-unknown"
	ShuttingDown          Code = "shutting-down"
	NotConfigured         Code = "not-configured"
	Internal              Code = "internal"
)

// statuses maps each code to its HTTP status.
var statuses = map[Code]int{
	InvalidRequest:        http.StatusBadRequest,
	BodyTooLarge:          http.StatusRequestEntityTooLarge,
	BodyTimeout:           http.StatusRequestTimeout,
	KeyMissing:            http.StatusUnauthorized,
	KeyInvalid:            http.StatusUnauthorized,
	KeyWithdrawn:          http.StatusUnauthorized,
	KeysUnconfirmed:       http.StatusServiceUnavailable,
	ClassNotBought:        http.StatusForbidden,
	RouteUnknown:          http.StatusNotFound,
	ModelUnknown:          http.StatusNotFound,
	RateLimited:           http.StatusTooManyRequests,
	TooManyRequests:       http.StatusTooManyRequests,
	QueueFull:             http.StatusServiceUnavailable,
	WaitTooLong:           http.StatusServiceUnavailable,
	NoBackendServer:       http.StatusServiceUnavailable,
	BackendServerFailed:   http.StatusBadGateway,
	BackendTimeout:        http.StatusGatewayTimeout,
	AnswerIncomplete:      http.StatusBadGateway,
	PlatformUnavailable:   http.StatusServiceUnavailable,
	IdempotencyKeyMissing: http.StatusBadRequest,
	IdempotencyKeyReused:  http.StatusUnprocessableEntity,
	CallInProgress:        http.StatusConflict,
	OutcomeUnknown:        http.StatusConflict,
	ShuttingDown:          http.StatusServiceUnavailable,
	NotConfigured:         http.StatusServiceUnavailable,
	Internal:              http.StatusInternalServerError,
}

// Refusal is the error response to a request that is not served completely.
type Refusal struct {
	// Code is the kind of refusal.
	Code Code
	// Message tells the caller what is wrong and what to do.
	Message string
	// RunState tells whether the request may have run.
	RunState RunState
	// RetryAfter is the time after which a retry may succeed; 0 if waiting does
	// not help.
	RetryAfter time.Duration
}

// New returns a refusal of a request that did not run.
func New(code Code, message string) *Refusal {
	return &Refusal{Code: code, Message: message, RunState: NotRun}
}

// NewMayHaveRun returns a refusal of a request that may have run.
func NewMayHaveRun(code Code, message string) *Refusal {
	return &Refusal{Code: code, Message: message, RunState: MayHaveRun}
}

// WithRetryAfter sets the time after which a retry may succeed. It changes r
// and returns it.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	r.RetryAfter = wait
	return r
}

// Error returns the code and the message, separated by a colon.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Message }

// Status returns the HTTP status of the refusal, which is 500 for an unknown
// code.
func (r *Refusal) Status() int {
	status, ok := statuses[r.Code]
	if !ok {
		return http.StatusInternalServerError
	}
	return status
}
