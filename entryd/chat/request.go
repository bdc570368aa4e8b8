package chat

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"

	"acaciapath.example/core/config"
	"acaciapath.example/core/refusal"
)

// bytesPerToken is the usual length of a token, by which the tokens of a
// prompt are estimated before an engine has counted them.
const bytesPerToken = 4

// Request is what routing needs of a request's body.
type Request struct {
	// Model is the name of the model.
	Model string
	// Stream says whether the answer is streamed.
	Stream bool
	// IncludeUsage says whether the caller asked for a last event with usage.
	IncludeUsage bool
	// MaxTokens bounds the answer; 0 if the caller set no bound.
	MaxTokens int
	// PromptTokens is an estimate of the prompt's tokens.
	PromptTokens int
	// Messages is the text of the conversation.
	Messages []byte
	// Unresumable says whether a part of an answer is not enough for another
	// engine to go on with it.
	Unresumable bool
}

// names of the fields that are looked at.
const (
	fieldModel         = "model"
	fieldMessages      = "messages"
	fieldStream        = "stream"
	fieldStreamOptions = "stream_options"
	fieldIncludeUsage  = "include_usage"
	fieldMaxTokens     = "max_tokens"
	fieldMaxCompletion = "max_completion_tokens"
	fieldPriority      = "priority"
)

// looked lists the fields of a body that Parse or Rewrite look at.
var looked = [...]string{
	fieldModel, fieldMessages, fieldStream, fieldStreamOptions,
	fieldMaxTokens, fieldMaxCompletion, fieldPriority,
}

// unresumable lists the fields by which an answer is more than one text, or
// depends on more than the text so far.
var unresumable = [...]string{
	"n", "tools", "functions", "response_format", "stop", "logprobs", "continue_final_message",
}

// neutral lists the values by which such a field asks for nothing.
var neutral = [...]string{"null", "false", "1", "[]", `{"type":"text"}`}

// Parse returns what routing needs of a body, or why it is refused. A field
// that is looked at may stand once only, so that the engine cannot read the
// body in another way.
func Parse(body []byte) (Request, *refusal.Refusal) {
	if !json.Valid(body) {
		return Request{}, invalid("the body is not JSON")
	}
	if i := skipSpace(body, 0); body[i] != '{' {
		return Request{}, invalid("the body is not a JSON object")
	}
	var request Request
	var problem *refusal.Refusal
	var seen [len(looked)]bool
	fields(body, func(f field) bool {
		i := slices.IndexFunc(looked[:], f.is)
		if i < 0 {
			request.Unresumable = request.Unresumable || f.isUnresumable()
			return true
		}
		if seen[i] {
			problem = invalid("the field " + looked[i] + " stands twice")
			return false
		}
		seen[i] = true
		problem = request.take(looked[i], f.value)
		return problem == nil
	})
	if problem != nil {
		return Request{}, problem
	}
	return request, request.check()
}

// isUnresumable reports whether the field keeps an answer from being resumed.
func (f field) isUnresumable() bool {
	return slices.ContainsFunc(unresumable[:], f.is) && !slices.Contains(neutral[:], string(f.value))
}

// take keeps the value of a field that is looked at.
func (r *Request) take(name string, value []byte) *refusal.Refusal {
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
		err = r.takeOptions(value)
	case fieldMaxTokens, fieldMaxCompletion:
		err = r.takeBound(value)
	}
	if err != nil {
		return invalid("the field " + name + " has the wrong type")
	}
	return nil
}

func (r *Request) takeOptions(value []byte) error {
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	err := json.Unmarshal(value, &options)
	r.IncludeUsage = options.IncludeUsage
	return err
}

// takeBound keeps the lower of two bounds.
func (r *Request) takeBound(value []byte) error {
	if bytes.Equal(value, []byte("null")) {
		return nil
	}
	bound, err := strconv.Atoi(string(value))
	if err != nil || bound < 1 {
		return strconv.ErrRange
	}
	if r.MaxTokens == 0 || bound < r.MaxTokens {
		r.MaxTokens = bound
	}
	return nil
}

func (r *Request) check() *refusal.Refusal {
	if r.Model == "" {
		return invalid("the field model is missing")
	}
	if i := skipSpace(r.Messages, 0); i >= len(r.Messages) || r.Messages[i] != '[' {
		return invalid("the field messages is missing or not a list")
	}
	return nil
}

// CheckModel checks a request against its model and completes its bound.
func (r *Request) CheckModel(model *config.Model) *refusal.Refusal {
	if model == nil {
		return refusal.New(refusal.ModelUnknown, "there is no such model")
	}
	if r.MaxTokens > model.MaxCompletionTokens {
		return invalid("the model answers with at most " + strconv.Itoa(model.MaxCompletionTokens) + " tokens")
	}
	return nil
}

// Rewrite appends the body for the engine to buffer: the caller's, with the
// engine's priority, a bound of the answer, and usage asked for in streams. The
// body must be one that Parse took.
func (r *Request) Rewrite(buffer, body []byte, priority, maxTokens int) []byte {
	buffer = append(buffer, `{"`+fieldPriority+`":`...)
	buffer = strconv.AppendInt(buffer, int64(priority), 10)
	if r.MaxTokens == 0 {
		buffer = append(buffer, `,"`+fieldMaxCompletion+`":`...)
		buffer = strconv.AppendInt(buffer, int64(maxTokens), 10)
	}
	options := []byte(nil)
	fields(body, func(f field) bool {
		switch {
		case f.is(fieldPriority), r.MaxTokens == 0 && (f.is(fieldMaxTokens) || f.is(fieldMaxCompletion)):
		case f.is(fieldStreamOptions):
			options = f.value
		default:
			buffer = append(buffer, ',')
			buffer = append(buffer, body[f.start:f.end]...)
		}
		return true
	})
	if r.Stream {
		buffer = appendOptions(buffer, options)
	}
	return append(buffer, '}')
}

// appendOptions appends the stream options with usage asked for.
func appendOptions(buffer, options []byte) []byte {
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

func invalid(message string) *refusal.Refusal {
	return refusal.New(refusal.InvalidRequest, message)
}
