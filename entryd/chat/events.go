package chat

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"acaciapath.example/core/engine"

	"github.com/ansel1/merry/v2"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

// ErrTooLarge is returned for an event larger than maxEventBytes, or an
// unstreamed answer larger than maxBodyBytes.
var ErrTooLarge = merry.Sentinel("chat: event of a stream or unstreamed answer is too large")

// doneData is the data of the event that ends a complete answer.
var doneData = []byte("[DONE]")

// event is one server-sent event.
type event struct {
	// text is the event with its closing blank line. It is valid until the next
	// event is read.
	text []byte
	// done is true if the event ends a complete answer.
	done bool
	// failed is true if the engine reports in the event that the answer is
	// incomplete.
	failed bool
	// tokens is the number of tokens in the event.
	tokens int
	// usage is the usage in the event, or nil.
	usage *engine.Usage
	// usageOnly is true if the event contains nothing but usage.
	usageOnly bool
	// roleOnly is true if the event contains a role and nothing else.
	roleOnly bool
	// content is the text in the event, still JSON-escaped. It is incomplete if
	// mixed is true: then the event contains something other than text, or
	// several choices.
	content []byte
	mixed   bool
}

// eventReader reads the events of a stream.
type eventReader struct {
	reader *bufio.Reader
	text   []byte
}

// next returns the next event. It returns io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF if the stream ends within an event.
func (r *eventReader) next() (event, error) {
	r.text = r.text[:0]
	var data []byte
	for {
		start := len(r.text)
		if err := r.readLine(); err != nil {
			return event{}, err
		}
		line := bytes.TrimRight(r.text[start:], "\r\n")
		if len(line) == 0 {
			return parseEvent(r.text, data), nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			data = bytes.TrimSpace(value)
		}
	}
}

// readLine appends one line to the text of the event.
func (r *eventReader) readLine() error {
	for {
		part, err := r.reader.ReadSlice('\n')
		r.text = append(r.text, part...)
		switch {
		case err == nil:
			return nil
		case len(r.text) > maxEventBytes:
			return ErrTooLarge
		case err == bufio.ErrBufferFull: // never wrapped
			continue
		case err == io.EOF && len(r.text) > 0: // never wrapped
			return io.ErrUnexpectedEOF
		default:
			return err
		}
	}
}

// parseEvent parses the fields of an event that the daemon needs.
func parseEvent(text, data []byte) event {
	e := event{text: text, done: bytes.Equal(data, doneData)}
	parsed := choices{}
	fields(data, func(f field) bool {
		switch {
		case f.is("choices"):
			parsed = readChoices(f.value)
		case f.is("usage"):
			e.usage = parseUsage(f.value)
		case f.is("error"):
			e.failed = e.failed || !isNull(f.value)
		}
		return true
	})
	e.tokens = parsed.tokens
	e.failed = e.failed || parsed.aborted
	e.usageOnly = e.usage != nil && parsed.count == 0
	e.roleOnly = parsed.hasRole && parsed.tokens == 0 && !parsed.finished
	e.content = parsed.content
	e.mixed = parsed.mixed || parsed.count > 1
	return e
}

// choices summarizes the choices of a chunk or a complete answer.
type choices struct {
	// count is the number of choices.
	count int
	// tokens is the number of choices that contain a token.
	tokens int
	// hasRole is true if a choice contains a role.
	hasRole bool
	// finished is true if a choice has a finish reason.
	finished bool
	// aborted is true if the engine stopped a choice before its end.
	aborted bool
	// content is the text of the last choice that has text, still JSON-escaped.
	content []byte
	// mixed is true if a choice contains something other than text.
	mixed bool
}

// finishReasonAbort is the finish reason of an answer that was cancelled at the
// engine. Such an answer is incomplete.
const finishReasonAbort = `"abort"`

func readChoices(text []byte) choices {
	var c choices
	elements(text, func(choice []byte) bool {
		c.count++
		fields(choice, func(f field) bool {
			switch {
			case f.is("delta"):
				c.readDelta(f.value)
			case f.is("finish_reason") && !isNull(f.value):
				c.finished = true
				c.aborted = c.aborted || string(f.value) == finishReasonAbort
			}
			return true
		})
		return true
	})
	return c
}

// readDelta records what a chunk adds to a choice. A delta that contains
// anything but a role counts as one token.
func (c *choices) readDelta(delta []byte) {
	token := false
	fields(delta, func(f field) bool {
		switch {
		case isEmpty(f.value):
		case f.is("role"):
			c.hasRole = true
		case f.is("content") && len(f.value) > 1 && f.value[0] == '"':
			token = true
			c.content = f.value[1 : len(f.value)-1]
		default:
			token = true
			c.mixed = true
		}
		return true
	})
	if token {
		c.tokens++
	}
}

// isEmpty reports whether a value of a delta adds nothing.
func isEmpty(value []byte) bool {
	return isNull(value) || string(value) == `""` || string(value) == "[]"
}

// parseUsage returns the usage in the text, or nil.
func parseUsage(text []byte) *engine.Usage {
	if isNull(text) {
		return nil
	}
	usage := new(engine.Usage)
	if json.Unmarshal(text, usage) != nil {
		return nil
	}
	return usage
}

// parseBody returns the usage in a complete answer, or nil, and whether the
// engine stopped the answer before its end.
func parseBody(body []byte) (used *engine.Usage, aborted bool) {
	fields(body, func(f field) bool {
		switch {
		case f.is("usage"):
			used = parseUsage(f.value)
		case f.is("choices"):
			aborted = readChoices(f.value).aborted
		}
		return true
	})
	return used, aborted
}

func isNull(value []byte) bool { return string(value) == "null" }
