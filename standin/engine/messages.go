package engine

import (
	"net/http"

	"acaciapath.example/core/engine"
	"acaciapath.example/standin/fault"
)

// Object types of the chat API.
const (
	objectCompletion = "chat.completion"
	objectChunk      = "chat.completion.chunk"
	objectModel      = "model"
	objectList       = "list"
)

// finishReason is the reason why an answer ended.
type finishReason string

// Finish reasons of the chat API.
const (
	finishStop   finishReason = "stop"
	finishLength finishReason = "length"
	finishAbort  finishReason = "abort"
)

// completion is the body of a response that is not streamed.
type completion struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []choice      `json:"choices"`
	Usage   *engine.Usage `json:"usage"`
}

// choice is the only choice of a completion.
type choice struct {
	Index        int          `json:"index"`
	Message      chatMessage  `json:"message"`
	FinishReason finishReason `json:"finish_reason"`
}

// chatMessage is the message that a completion returns.
type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// chunk is one event of a streamed answer.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *engine.Usage `json:"usage,omitempty"`
}

// chunkChoice is the only choice of a chunk.
type chunkChoice struct {
	Index        int           `json:"index"`
	Delta        delta         `json:"delta"`
	FinishReason *finishReason `json:"finish_reason"`
}

// delta is the text that a chunk appends to the answer.
type delta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

// modelList is the response to pathModels.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

// modelItem describes a loaded model.
type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// apiError is an error response of the chat API.
type apiError struct {
	status int
	Error  apiErrorBody `json:"error"`
}

// apiErrorBody describes the error of an apiError.
type apiErrorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// Error types of the chat API.
const (
	typeInvalidRequest = "invalid_request_error"
	typeUnavailable    = "service_unavailable_error"
)

// Error responses with fixed texts.
var (
	errNotStarted = unavailableError("not_started", "the engine has not started")
	errDraining   = unavailableError("draining", "the engine takes no new requests")
)

func invalidRequestError(status int, code, message string) *apiError {
	return &apiError{
		status: status,
		Error:  apiErrorBody{Message: message, Type: typeInvalidRequest, Code: code},
	}
}

func unavailableError(code, message string) *apiError {
	return &apiError{
		status: http.StatusServiceUnavailable,
		Error:  apiErrorBody{Message: message, Type: typeUnavailable, Code: code},
	}
}

// send sends the error as the response.
func (e *apiError) send(w http.ResponseWriter) { fault.WriteJSON(w, e.status, e) }
