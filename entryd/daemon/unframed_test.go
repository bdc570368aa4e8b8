package daemon_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestPartOfUnframedAnswerIsNotComplete has an engine without length or chunks end its connection
// within the answer.
func TestPartOfUnframedAnswerIsNotComplete(t *testing.T) {
	whole := `{"choices":[{"message":{"content":"a"}}],"usage":{"prompt_tokens":1,"completion_tokens":1}}`
	for _, test := range []struct {
		body     string
		complete bool
	}{{whole, true}, {whole[:30], false}, {whole[:len(whole)-1], false}, {"", false}} {
		s := start(t, systemOptions{extraConfig: startFaulty(t, &faultyServer{answer: "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + test.body})})
		got := s.do(faultyRequests(s, "x")["chat"]())
		s.c.Check(got.status == http.StatusOK, qt.Equals, test.complete, qt.Commentf("%q", test.body))
	}
}
