package chat

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"acaciapath.example/core/engine"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
)

func TestEvents(t *testing.T) {
	c := qt.New(t)
	long := strings.Repeat("x", 10_000)
	for _, test := range []struct {
		name, text string
		want       event
		err        error
	}{
		{name: "role", text: "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\",\"content\":\"\"}}],\"usage\":null}\n\n", want: event{roleOnly: true}},
		{name: "token", text: "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n", want: event{tokens: 1, content: []byte("a")}},
		{name: "two choices, CRLF", text: "data:{\"choices\":[{\"delta\":{\"content\":\"a\"}},{\"delta\":{\"reasoning\":\"b\"}}]}\r\n\r\n", want: event{tokens: 2, content: []byte("a"), mixed: true}},
		{name: "larger than the buffer", text: "data: {\"choices\":[{\"delta\":{\"content\":\"" + long + "\"}}]}\n\n", want: event{tokens: 1, content: []byte(long)}},
		{
			name: "usage", text: "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":4}}\n\n",
			want: event{usage: &engine.Usage{PromptTokens: 3, CompletionTokens: 4}, usageOnly: true},
		},
		{name: "done", text: "data: [DONE]\n\n", want: event{done: true}},
		{name: "comment", text: ": wait\n\n"},
		{name: "error", text: "data: {\"error\":{\"message\":\"no\"}}\n\n", want: event{failed: true}},
		{name: "aborted", text: "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"abort\"}]}\n\n", want: event{failed: true}},
		{name: "malformed", text: "data: {\"choices\":[{\"de\n\n"},
		{name: "end", text: "", err: io.EOF},
		{name: "end within an event", text: "data: {}\n", err: io.ErrUnexpectedEOF},
		{name: "too large", text: "data: " + strings.Repeat("x", maxEventBytes+10), err: ErrTooLarge},
	} {
		c.Run(test.name, func(c *qt.C) {
			reader := eventReader{reader: bufio.NewReader(strings.NewReader(test.text))}
			got, err := reader.next()
			c.Assert(errors.Is(err, test.err), qt.IsTrue, qt.Commentf("%v", err))
			if err != nil {
				return
			}
			c.Assert(string(got.text), qt.Equals, test.text)
			got.text = nil
			c.Assert(got, qt.CmpEquals(cmp.AllowUnexported(event{})), test.want)
		})
	}
}

// FuzzParseEvent checks that parseEvent handles arbitrary data without a panic.
func FuzzParseEvent(f *testing.F) {
	f.Add([]byte(`{"choices":[{"delta":{"content":"\`))
	f.Add([]byte(`{"`))
	f.Add([]byte(`{"a":`))
	f.Add([]byte(`{"choices":[,]`))
	f.Fuzz(func(_ *testing.T, data []byte) { parseEvent(nil, data) })
}
