package refusal

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Body is the JSON form of a refusal. Its outer shape is that of the
// well-known chat API, so that unchanged client libraries show the message.
type Body struct {
	// Error is the refusal.
	Error BodyError `json:"error"`
}

// BodyError is the inner part of a Body.
type BodyError struct {
	// Message tells a person what is wrong.
	Message string `json:"message"`
	// Type is the same as Code.
	Type Code `json:"type"`
	// Code is the stable code of the refusal.
	Code Code `json:"code"`
	// Param is always null.
	Param *string `json:"param"`
	// RunState says whether the request may have run.
	RunState RunState `json:"run"`
	// RequestID is the id of the request.
	RequestID string `json:"request-id"`
}

// JSON returns the body of the refusal of a request.
func (r *Refusal) JSON(requestID string) []byte {
	body := Body{Error: BodyError{
		Message:   r.Message,
		Type:      r.Code,
		Code:      r.Code,
		RunState:  r.RunState,
		RequestID: requestID,
	}}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // strings alone always marshal
	}
	return data
}

// Write sends the refusal of a request whose answer has not begun.
func (r *Refusal) Write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retrySeconds(r.RetryAfter)))
	}
	w.WriteHeader(r.Status())
	_, _ = w.Write(append(r.JSON(requestID), '\n'))
}

// retrySeconds rounds a wait up to whole seconds, as RFC 9110 wants them.
func retrySeconds(wait time.Duration) int {
	return int((wait + time.Second - 1) / time.Second)
}
