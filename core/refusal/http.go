package refusal

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Body is the JSON form of a refusal. It has the outer shape of an error of the
// OpenAI chat API, so that existing client libraries show the message.
type Body struct {
	// Error is the refusal.
	Error BodyError `json:"error"`
}

// BodyError is the error object in a Body.
type BodyError struct {
	// Message tells the caller what is wrong and what to do.
	Message string `json:"message"`
	// Type equals Code.
	Type Code `json:"type"`
	// Code is the stable code of the refusal.
	Code Code `json:"code"`
	// Param is always null.
	Param *string `json:"param"`
	// RunState tells whether the request may have run.
	RunState RunState `json:"run"`
	// RequestID is the id of the request.
	RequestID string `json:"request-id"`
}

// JSON returns the body of the response that refuses the request with the given
// id.
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
		panic(err) // marshalling a struct of strings cannot fail
	}
	return data
}

// Write sends the refusal as the response to a request. No part of another
// response may have been written to w before.
func (r *Refusal) Write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retrySeconds(r.RetryAfter)))
	}
	w.WriteHeader(r.Status())
	_, _ = w.Write(append(r.JSON(requestID), '\n'))
}

// retrySeconds rounds a wait up to whole seconds, because the Retry-After
// header holds whole seconds (RFC 9110).
func retrySeconds(wait time.Duration) int {
	return int((wait + time.Second - 1) / time.Second)
}
