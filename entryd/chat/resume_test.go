package chat

import (
	"testing"

	"acaciapath.example/core/engine"

	qt "github.com/frankban/quicktest"
)

func TestResumeBody(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct{ name, body, want string }{
		{
			name: "conversation",
			body: `{"priority":1,"max_tokens":9,"model":"m","messages":[{"role":"user"} ],"stream":true}`,
			want: `{"continue_final_message":true,"max_completion_tokens":4,"priority":1,"model":"m",` +
				`"messages":[{"role":"user"},{"role":"assistant","content":"a\"b"}],"stream":true}`,
		},
		{
			name: "empty conversation",
			body: `{"messages":[]}`,
			want: `{"continue_final_message":true,"max_completion_tokens":4,"messages":[{"role":"assistant","content":"a\"b"}]}`,
		},
	} {
		c.Run(test.name, func(c *qt.C) {
			c.Assert(string(resumeBody([]byte(test.body), []byte(`a\"b`), 4)), qt.Equals, test.want)
		})
	}
}

func TestReplaceUsage(t *testing.T) {
	c := qt.New(t)
	got := replaceUsage([]byte("data: {\"choices\":[],\"usage\":{\"prompt_tokens\":1},\"x\":1}\n\n"), engine.Usage{PromptTokens: 2, CompletionTokens: 3, TotalTokens: 5})
	c.Assert(string(got), qt.Equals, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":2,\"completion_tokens\":3,\"total_tokens\":5},\"x\":1}\n\n")
}
