package engine

import (
	"net/http"

	"acaciapath.example/core/engine"
	"acaciapath.example/standin/fault"
)

// Names of objects of the chat API.
const (
	objectCompletion = "chat.completion"
	objectChunk      = "chat.completion.chunk"
	objectModel      = "model"
	objectList       = "list"
)

// finishReason is why an answer ended.
type finishReason string

// The reasons why answers end.
const (
	finishStop   finishReason = "stop"
	finishLength finishReason = "length"
	finishAbort  finishReason = "abort"
)

// completion is a whole answer.
type completion struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []choice      `json:"choices"`
	Usage   *engine.Usage `json:"usage"`
}

// choice is the one choice of a whole answer.
type choice struct {
	Index        int          `json:"index"`
	Message      answer       `json:"message"`
	FinishReason finishReason `json:"finish_reason"`
}

// answer is the text of an answer or of a part of it.
type answer struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// chunk is a part of a streamed answer.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *engine.Usage `json:"usage,omitempty"`
}

// chunkChoice is the one choice of a chunk.
type chunkChoice struct {
	Index        int           `json:"index"`
	Delta        delta         `json:"delta"`
	FinishReason *finishReason `json:"finish_reason"`
}

// delta is what a chunk adds to the answer.
type delta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

// modelList is the list of models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

// modelItem is a model in a modelList.
type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// apiError is an error of the chat API.
type apiError struct {
	status int
	Error  apiErrorBody `json:"error"`
}

// apiErrorBody is the body of an apiError.
type apiErrorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// Types of errors of the chat API.
const (
	typeInvalidRequest = "invalid_request_error"
	typeUnavailable    = "service_unavailable_error"
)

// Errors of the chat API that always read the same.
var (
	errNotStarted = unavailable("not_started", "the engine has not started")
	errDraining   = unavailable("draining", "the engine takes no new requests")
)

func invalid(status int, code, message string) *apiError {
	return &apiError{
		status: status,
		Error:  apiErrorBody{Message: message, Type: typeInvalidRequest, Code: code},
	}
}

func unavailable(code, message string) *apiError {
	return &apiError{
		status: http.StatusServiceUnavailable,
		Error:  apiErrorBody{Message: message, Type: typeUnavailable, Code: code},
	}
}

// send answers with the error.
func (e *apiError) send(w http.ResponseWriter) { fault.WriteJSON(w, e.status, e) }
