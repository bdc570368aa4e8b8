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
	// failed says whether the engine reports in it that the answer will not be
	// whole.
	failed bool
	// tokens is the number of tokens in it.
	tokens int
	// usage is the usage in it, or nil.
	usage *engine.Usage
	// usageOnly says whether there is nothing but usage in it.
	usageOnly bool
	// opening says whether it says who answers and nothing more.
	opening bool
	// content is the text in it, still escaped, unless mixed says that it holds
	// more than the text of one choice.
	content []byte
	mixed   bool
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
		case err == bufio.ErrBufferFull: // never wrapped
			continue
		case err == io.EOF && len(r.text) > 0: // never wrapped
			return io.ErrUnexpectedEOF
		default:
			return err
		}
	}
}

// inspect looks into the data of an event.
func inspect(text, data []byte) event {
	e := event{text: text, done: bytes.Equal(data, doneData)}
	chosen := choices{}
	fields(data, func(f field) bool {
		switch {
		case f.is("choices"):
			chosen = readChoices(f.value)
		case f.is("usage"):
			e.usage = parseUsage(f.value)
		case f.is("error"):
			e.failed = e.failed || !isNull(f.value)
		}
		return true
	})
	e.tokens = chosen.tokens
	e.failed = e.failed || chosen.aborted
	e.usageOnly = e.usage != nil && chosen.count == 0
	e.opening = chosen.hasRole && chosen.tokens == 0 && !chosen.finished
	e.content = chosen.content
	e.mixed = chosen.mixed || chosen.count > 1
	return e
}

// choices is what is looked at of the choices of a chunk or a whole answer.
type choices struct {
	// count is their number.
	count int
	// tokens is the number of those that bring a token.
	tokens int
	// hasRole says whether any says who answers.
	hasRole bool
	// finished says whether any has ended.
	finished bool
	// aborted says whether the engine stopped any before its end.
	aborted bool
	// content is the text of the last one, still escaped.
	content []byte
	// mixed says whether any brings something else than text.
	mixed bool
}

// finishAbort is the reason of an end that the engine was made to put to an
// answer, which is not whole then.
const finishAbort = `"abort"`

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
				c.aborted = c.aborted || string(f.value) == finishAbort
			}
			return true
		})
		return true
	})
	return c
}

// readDelta looks at what a chunk adds to a choice. One that holds anything but
// a role counts as a token.
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

// inspectWhole returns the usage in a whole answer, or nil, and whether the
// engine stopped the answer before its end.
func inspectWhole(body []byte) (used *engine.Usage, aborted bool) {
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
