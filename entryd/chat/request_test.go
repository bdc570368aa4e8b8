package chat_test

import (
	"encoding/json"
	"testing"

	"acaciapath.example/entryd/chat"

	qt "github.com/frankban/quicktest"
)

func TestParse(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name, body, problem string
		want                chat.Request
	}{
		{name: "minimal", body: `{"model":"m","messages":[]}`, want: chat.Request{Model: "m", PromptTokens: 1, Messages: []byte(`[]`)}},
		{
			name: "all fields",
			body: ` {"x":{"model":"no"}, "model" : "m", "messages":[{"a":"]\"}"}], "stream":true,` +
				`"stream_options":{"include_usage":true},"max_tokens":9,"max_completion_tokens":7} `,
			want: chat.Request{
				Model: "m", Stream: true, IncludeUsage: true, MaxTokens: 7, PromptTokens: 4,
				Messages: []byte(`[{"a":"]\"}"}]`),
			},
		},
		{name: "escaped field name", body: `{"mod\u0065l":"m","messages":[]}`, want: chat.Request{Model: "m", PromptTokens: 1, Messages: []byte(`[]`)}},
		{name: "null limit", body: `{"model":"m","messages":[],"max_tokens":null}`, want: chat.Request{Model: "m", PromptTokens: 1, Messages: []byte(`[]`)}},
		{
			name: "unresumable", body: `{"model":"m","messages":[],"n":2}`,
			want: chat.Request{Model: "m", PromptTokens: 1, Messages: []byte(`[]`), Unresumable: true},
		},
		{name: "neutral values", body: `{"model":"m","messages":[],"n":1,"tools":[]}`, want: chat.Request{Model: "m", PromptTokens: 1, Messages: []byte(`[]`)}},
		{name: "not JSON", body: `{"model":`, problem: "invalid-request: the body is not JSON"},
		{name: "not an object", body: `[]`, problem: "invalid-request: the body is not a JSON object"},
		{name: "empty", body: ``, problem: "invalid-request: the body is not JSON"},
		{name: "repeated field", body: `{"model":"a","Model":"b","messages":[]}`, problem: "invalid-request: the field model stands twice"},
		{name: "wrong type", body: `{"model":1}`, problem: "invalid-request: the field model has the wrong type"},
		{name: "limit too low", body: `{"model":"m","messages":[],"max_tokens":0}`, problem: "invalid-request: the field max_tokens has the wrong type"},
		{name: "no model", body: `{"messages":[]}`, problem: "invalid-request: the field model is missing"},
		{name: "no messages", body: `{"model":"m","messages":{}}`, problem: "invalid-request: the field messages is missing or not a list"},
	} {
		c.Run(test.name, func(c *qt.C) {
			got, refused := chat.Parse([]byte(test.body))
			if test.problem != "" {
				c.Assert(refused, qt.ErrorMatches, test.problem)
				return
			}
			c.Assert(refused == nil, qt.IsTrue)
			c.Assert(got, qt.DeepEquals, test.want)
		})
	}
}

func TestRewriteKeepsUnknownFields(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct{ name, body, want string }{
		{
			name: "not streamed",
			body: `{"model":"m","messages":[{"role":"user"}],"top_k":[1,{"priority":3}],"Priority":0}`,
			want: `{"priority":2,"max_completion_tokens":50,"model":"m","messages":[{"role":"user"}],"top_k":[1,{"priority":3}]}`,
		},
		{
			name: "stream",
			body: `{"stream":true,"stream_options":{"other":[1,2],"include_usage":false},"model":"m","messages":[],"max_tokens":5}`,
			want: `{"priority":2,"stream":true,"model":"m","messages":[],"max_tokens":5,"stream_options":{"include_usage":true,"other":[1,2]}}`,
		},
	} {
		c.Run(test.name, func(c *qt.C) {
			request, refused := chat.Parse([]byte(test.body))
			c.Assert(refused == nil, qt.IsTrue)
			got := request.Rewrite(nil, []byte(test.body), 2, 50)
			c.Assert(string(got), qt.Equals, test.want)
			c.Assert(json.Valid(got), qt.IsTrue)
		})
	}
}

// FuzzRewrite checks that Rewrite turns every body that Parse accepts into one
// that Parse accepts, with the same model and streaming.
func FuzzRewrite(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[],"stream":true,"stream_options":{"a":"\\"}}`))
	f.Add([]byte(`{"model":"m","messages":[],"stream":true,"stream_options":null,"max_tokens":null}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		request, refused := chat.Parse(body)
		if refused != nil {
			return
		}
		rewritten := request.Rewrite(nil, body, 1, 10)
		again, refused := chat.Parse(rewritten)
		if refused != nil || again.Model != request.Model || again.Stream != request.Stream {
			t.Fatalf("%s was rewritten into %s: %v", body, rewritten, refused)
		}
	})
}
