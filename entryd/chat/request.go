package chat

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"

	"acaciapath.example/core/config"
	"acaciapath.example/core/refusal"
)

// bytesPerToken is the typical size of a token. The tokens of a prompt are
// estimated with it until an engine has counted them.
const bytesPerToken = 4

// Request holds the fields of a request body that routing needs.
type Request struct {
	// Model is the name of the model.
	Model string
	// Stream is true if the caller requested a streamed answer.
	Stream bool
	// IncludeUsage is true if the caller requested a final event with usage.
	IncludeUsage bool
	// MaxTokens limits the tokens of the answer; 0 if the caller set no limit.
	MaxTokens int
	// PromptTokens is an estimate of the number of tokens in the prompt.
	PromptTokens int
	// Messages is the JSON text of the conversation.
	Messages []byte
	// Unresumable is true if another engine cannot continue the answer from the
	// text so far.
	Unresumable bool
}

// Names of the fields that are parsed or rewritten.
const (
	fieldModel               = "model"
	fieldMessages            = "messages"
	fieldStream              = "stream"
	fieldStreamOptions       = "stream_options"
	fieldIncludeUsage        = "include_usage"
	fieldMaxTokens           = "max_tokens"
	fieldMaxCompletionTokens = "max_completion_tokens"
	fieldPriority            = "priority"
)

// handledFields lists the fields that Parse or Rewrite handle.
var handledFields = [...]string{
	fieldModel, fieldMessages, fieldStream, fieldStreamOptions,
	fieldMaxTokens, fieldMaxCompletionTokens, fieldPriority,
}

// unresumableFields lists the fields that make an answer unresumable, because
// it has more than one text or depends on more than the text so far.
var unresumableFields = [...]string{
	"n", "tools", "functions", "response_format", "stop", "logprobs", "continue_final_message",
}

// neutralValues lists the values for which a field of unresumableFields has no
// effect.
var neutralValues = [...]string{"null", "false", "1", "[]", `{"type":"text"}`}

// Parse parses a request body, or returns why it is refused. Handled fields
// must not be repeated, because the engine might use another occurrence than
// Parse.
func Parse(body []byte) (Request, *refusal.Refusal) {
	if !json.Valid(body) {
		return Request{}, invalidRequest("the body is not JSON")
	}
	if i := skipSpace(body, 0); body[i] != '{' {
		return Request{}, invalidRequest("the body is not a JSON object")
	}
	var request Request
	var problem *refusal.Refusal
	var seen [len(handledFields)]bool
	fields(body, func(f field) bool {
		i := slices.IndexFunc(handledFields[:], f.is)
		if i < 0 {
			request.Unresumable = request.Unresumable || f.isUnresumable()
			return true
		}
		if seen[i] {
			problem = invalidRequest("the field " + handledFields[i] + " stands twice")
			return false
		}
		seen[i] = true
		problem = request.setField(handledFields[i], f.value)
		return problem == nil
	})
	if problem != nil {
		return Request{}, problem
	}
	return request, request.validate()
}

// isUnresumable reports whether the field makes the answer unresumable.
func (f field) isUnresumable() bool {
	return slices.ContainsFunc(unresumableFields[:], f.is) && !slices.Contains(neutralValues[:], string(f.value))
}

// setField records the value of a handled field.
func (r *Request) setField(name string, value []byte) *refusal.Refusal {
	var err error
	switch name {
	case fieldModel:
		err = json.Unmarshal(value, &r.Model)
	case fieldMessages:
		r.Messages = value
		r.PromptTokens = len(value)/bytesPerToken + 1
	case fieldStream:
		err = json.Unmarshal(value, &r.Stream)
	case fieldStreamOptions:
		err = r.setStreamOptions(value)
	case fieldMaxTokens, fieldMaxCompletionTokens:
		err = r.setMaxTokens(value)
	}
	if err != nil {
		return invalidRequest("the field " + name + " has the wrong type")
	}
	return nil
}

func (r *Request) setStreamOptions(value []byte) error {
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	err := json.Unmarshal(value, &options)
	r.IncludeUsage = options.IncludeUsage
	return err
}

// setMaxTokens records the limit unless the other field has set a lower one.
func (r *Request) setMaxTokens(value []byte) error {
	if bytes.Equal(value, []byte("null")) {
		return nil
	}
	maxTokens, err := strconv.Atoi(string(value))
	if err != nil || maxTokens < 1 {
		return strconv.ErrRange
	}
	if r.MaxTokens == 0 || maxTokens < r.MaxTokens {
		r.MaxTokens = maxTokens
	}
	return nil
}

func (r *Request) validate() *refusal.Refusal {
	if r.Model == "" {
		return invalidRequest("the field model is missing")
	}
	if i := skipSpace(r.Messages, 0); i >= len(r.Messages) || r.Messages[i] != '[' {
		return invalidRequest("the field messages is missing or not a list")
	}
	return nil
}

// CheckModel checks that the model exists and permits the requested number of
// tokens.
func (r *Request) CheckModel(model *config.Model) *refusal.Refusal {
	if model == nil {
		return refusal.New(refusal.ModelUnknown, "there is no such model")
	}
	if r.MaxTokens > model.MaxCompletionTokens {
		return invalidRequest("the model answers with at most " + strconv.Itoa(model.MaxCompletionTokens) + " tokens")
	}
	return nil
}

// Rewrite appends the body for the engine to buffer: the caller's body with the
// given priority, with maxTokens as the limit if the caller set none, and with
// usage requested for streams. The body must have been accepted by Parse.
func (r *Request) Rewrite(buffer, body []byte, priority, maxTokens int) []byte {
	buffer = append(buffer, `{"`+fieldPriority+`":`...)
	buffer = strconv.AppendInt(buffer, int64(priority), 10)
	if r.MaxTokens == 0 {
		buffer = append(buffer, `,"`+fieldMaxCompletionTokens+`":`...)
		buffer = strconv.AppendInt(buffer, int64(maxTokens), 10)
	}
	options := []byte(nil)
	fields(body, func(f field) bool {
		switch {
		case f.is(fieldPriority), r.MaxTokens == 0 && (f.is(fieldMaxTokens) || f.is(fieldMaxCompletionTokens)):
		case f.is(fieldStreamOptions):
			options = f.value
		default:
			buffer = append(buffer, ',')
			buffer = append(buffer, body[f.start:f.end]...)
		}
		return true
	})
	if r.Stream {
		buffer = appendStreamOptions(buffer, options)
	}
	return append(buffer, '}')
}

// appendStreamOptions appends the stream options with usage requested.
func appendStreamOptions(buffer, options []byte) []byte {
	buffer = append(buffer, `,"`+fieldStreamOptions+`":{"`+fieldIncludeUsage+`":true`...)
	fields(options, func(f field) bool {
		if !f.is(fieldIncludeUsage) {
			buffer = append(buffer, ',')
			buffer = append(buffer, options[f.start:f.end]...)
		}
		return true
	})
	return append(buffer, '}')
}

func invalidRequest(message string) *refusal.Refusal {
	return refusal.New(refusal.InvalidRequest, message)
}
