package proxy_test

import (
	"fmt"
	"net/http"
	"testing"

	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// TestStatusThatIsNoneIsNoAnswer has a backend server in trouble send status lines of many
// shapes. None of them is an answer: a request that may run once gets status 502, and another
// one is sent to another server. The caller's connection is not closed.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 None", "HTTP/1.1 001 x", "HTTP/1.1 099 x", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 199 x",
		"HTTP/1.1 600 x", "HTTP/1.1 999 x", "HTTP/1.1 0200 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 -00 x", "HTTP/1.1 -20 x", "HTTP/1.1 +20 x", "HTTP/1.1 +99 x",
		"HTTP/1.1 2x0 OK", "HTTP/1.1 abc", "HTTP/1.1", "HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/3.0 200 OK",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 None", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101 Switching Protocols",
	} {
		for _, framing := range []string{"Content-Length: 4\r\n", "", "Content-Length: 4\r\nConnection: Upgrade\r\nUpgrade: x\r\n"} {
			for path, service := range map[string]string{"/order/": "shop", "/look/": "shop", "/quote/": "llm", "/reply/": "llm"} {
				t.Run(fmt.Sprintf("%q/%q%s", line, framing, path), func(t *testing.T) {
					f := newFixture(t, 10)
					f.loadCatalog()
					bad := f.startScripted("i-1", service, func(id string, _ int) (string, bool) {
						return line + "\r\nX-Attempt-Id: " + id + "\r\nX-Replica-Signature: " + platformtest.Signature + "\r\nContent-Type: text/event-stream\r\n" + framing + "\r\n1\n\n\n", true
					})
					a := f.send(http.MethodPost, path, "x")
					f.Check(a.err, qt.IsNil)
					f.Check(a.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%q", a.body))
					f.Check(len(bad.received()), qt.Equals, 1)
				})
			}
		}
	}
}

// TestSafeRequestGoesElsewhereAfterStatusThatIsNone has one of two servers answer with a status
// that is none. A request that may be repeated is served by the other one.
func TestSafeRequestGoesElsewhereAfterStatusThatIsNone(t *testing.T) {
	f := newFixture(t, 20)
	f.loadCatalog()
	bad := f.startScripted("i-1", "shop", func(id string, _ int) (string, bool) {
		return "HTTP/1.1 000 None\r\nX-Attempt-Id: " + id + "\r\nContent-Length: 4\r\n\r\n0123", true
	})
	f.startServer("i-2", "shop", 0)
	f.eventually(func() bool {
		a := f.send(http.MethodGet, "/look/", "")
		f.Assert(a.err, qt.IsNil)
		f.Assert(a.status, qt.Equals, http.StatusOK)
		return len(bad.received()) > 0
	})
}

// TestUnusualStatusLinesOfAnswers has a backend server send status lines that are valid.
func TestUnusualStatusLinesOfAnswers(t *testing.T) {
	for line, status := range map[string]int{
		"HTTP/1.1 200": 200, "HTTP/1.1 200 ": 200, "HTTP/1.1  200 OK": 200, "HTTP/1.0 200 OK": 200, "HTTP/1.1 299 x": 299, "HTTP/1.1 400 Bad": 400, "HTTP/1.1 599 x": 599,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK": 200, "HTTP/1.1 302 Found": 302,
	} {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			f := newFixture(t, 10)
			f.loadCatalog()
			f.startScripted("i-1", "shop", func(id string, _ int) (string, bool) {
				return line + "\r\nX-Attempt-Id: " + id + "\r\nX-Replica-Signature: " + platformtest.Signature + "\r\nContent-Length: 4\r\n\r\n0123", true
			})
			a := f.send(http.MethodPost, "/order/", "x")
			f.Check(a.err, qt.IsNil)
			f.Check(a.status, qt.Equals, status)
			f.Check(a.body, qt.Equals, "0123")
		})
	}
}
