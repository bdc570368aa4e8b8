package chat

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"acaciapath.example/core/engine"

	"github.com/ansel1/merry/v2"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// ErrEventTooLarge is returned for an event above maxEventBytes.
var ErrEventTooLarge = merry.Sentinel("chat: event of a stream is too large")

// doneData is the data of the event that ends a whole answer.
var doneData = []byte("[DONE]")

// event is one server-sent event.
type event struct {
	// text is the event with its closing blank line. It is valid until the next
	// event is read.
	text []byte
	// done says whether it ends a whole answer.
	done bool
	// failed says whether the engine reports an error in it.
	failed bool
	// tokens is the number of tokens in it.
	tokens int
	// usage is the usage in it, or nil.
	usage *engine.Usage
	// usageOnly says whether there is nothing but usage in it.
	usageOnly bool
}

// eventReader reads the events of a stream.
type eventReader struct {
	reader *bufio.Reader
	text   []byte
}

// next returns the next event. It returns io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF if that is within an event.
func (r *eventReader) next() (event, error) {
	r.text = r.text[:0]
	var data []byte
	for {
		start := len(r.text)
		if err := r.line(); err != nil {
			return event{}, err
		}
		line := bytes.TrimRight(r.text[start:], "\r\n")
		if len(line) == 0 {
			return inspect(r.text, data), nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			data = bytes.TrimSpace(value)
		}
	}
}

// line appends one line to the text of the event.
func (r *eventReader) line() error {
	for {
		part, err := r.reader.ReadSlice('\n')
		r.text = append(r.text, part...)
		switch {
		case err == nil:
			return nil
		case len(r.text) > maxEventBytes:
			return ErrEventTooLarge
		case err == bufio.ErrBufferFull: //nolint:errorlint // never wrapped
			continue
		case err == io.EOF && len(r.text) > 0: //nolint:errorlint // never wrapped
			return io.ErrUnexpectedEOF
		default:
			return err
		}
	}
}

// inspect looks into the data of an event.
func inspect(text, data []byte) event {
	e := event{text: text, done: bytes.Equal(data, doneData)}
	choices := 0
	fields(data, func(f field) bool {
		switch {
		case f.is("choices"):
			choices, e.tokens = countTokens(f.value)
		case f.is("usage"):
			e.usage = parseUsage(f.value)
		case f.is("error"):
			e.failed = !isNull(f.value)
		}
		return true
	})
	e.usageOnly = e.usage != nil && choices == 0
	return e
}

// countTokens returns the number of choices in a chunk, and how many of them
// bring a token.
func countTokens(choices []byte) (count, tokens int) {
	elements(choices, func(choice []byte) bool {
		count++
		fields(choice, func(f field) bool {
			if f.is("delta") && bringsToken(f.value) {
				tokens++
			}
			return true
		})
		return true
	})
	return count, tokens
}

// bringsToken reports whether a delta holds anything but a role.
func bringsToken(delta []byte) bool {
	found := false
	fields(delta, func(f field) bool {
		if !f.is("role") && !isNull(f.value) && string(f.value) != `""` && string(f.value) != "[]" {
			found = true
		}
		return !found
	})
	return found
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

// answerUsage returns the usage in a whole answer, or nil.
func answerUsage(body []byte) *engine.Usage {
	var usage *engine.Usage
	fields(body, func(f field) bool {
		if f.is("usage") {
			usage = parseUsage(f.value)
		}
		return true
	})
	return usage
}

func isNull(value []byte) bool { return string(value) == "null" }
