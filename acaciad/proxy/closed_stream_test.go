package proxy_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
)

// startClosingServer starts a backend server that answers each request with a head without
// a length, a body, and the end of the connection.
func startClosingServer(c *qt.C, body string) string {
	listener, err := loopback.Listen()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				request, err := http.ReadRequest(bufio.NewReader(connection))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				head := strings.ReplaceAll(okHead, "ID", request.Header.Get("X-Attempt-Id")) + "Content-Type: text/event-stream\r\n\r\n"
				_, _ = io.WriteString(connection, head+body)
			}()
		}
	}()
	return listener.Addr().String()
}

// TestStreamsThatEndWithTheirConnection has streams without a length end with their
// connection. One that has events and ends after a complete one is complete; one that ends
// within an event, or before the first one, has been broken off.
func TestStreamsThatEndWithTheirConnection(t *testing.T) {
	for name, test := range map[string]struct {
		body     string
		complete bool
	}{
		"complete events": {events(1, 3), true},
		"within an event": {events(1, 3) + "id: 4\nda", false},
		"no event":        {"", false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0)
			f.loadCatalog()
			f.registerServer("i-1", "llm", startClosingServer(f.C, test.body))
			a := f.send(http.MethodPost, "/quote/x", "x")
			f.Check(a.err == nil && a.status == http.StatusOK, qt.Equals, test.complete, qt.Commentf("%d %v", a.status, a.err))
			if test.complete {
				f.Check(a.body, qt.Equals, test.body)
			}
		})
	}
}
