package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
)

// scriptedServer writes bytes of a script as answers, and counts the requests.
type scriptedServer struct {
	listener net.Listener
	mu       sync.Mutex // guards requests
	requests []string
}

// script returns what a server writes as the answer to the request with an id, which is
// the n-th on its connection, and whether it closes the connection then.
type script func(id string, n int) (answer string, closes bool)

// startScripted starts a server that answers as a script says, and lists it.
func (f *fixture) startScripted(id, service string, answer script) *scriptedServer {
	listener, err := loopback.Listen()
	f.Assert(err, qt.IsNil)
	s := &scriptedServer{listener: listener}
	f.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(connection, answer)
		}
	}()
	f.registerServer(id, service, listener.Addr().String())
	return s
}

// serve answers the requests on a connection.
func (s *scriptedServer) serve(connection net.Conn, answer script) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		s.mu.Lock()
		s.requests = append(s.requests, id)
		s.mu.Unlock()
		data, closes := answer(id, n)
		if _, err := io.WriteString(connection, data); err != nil || closes {
			return
		}
	}
}

// received returns the ids of the requests that the server got.
func (s *scriptedServer) received() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

// refusalOf returns the answer by which a server rejects the request with an id.
func refusalOf(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"
}

// TestRepeatedRefusalIsNotBelieved has servers run requests and write an earlier refusal
// once more as the answer, with the id of the other request or, on a connection in use
// again, with none. Nobody may be told that such a request did not run, and one that may
// run once must not be sent again.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	ofOther := func(string, int) (string, bool, bool) { return refusalOf("id-other"), true, false }
	for name, test := range map[string]struct {
		path string
		// answer returns the answer, whether the server runs the request, and whether it
		// closes the connection.
		answer func(id string, n int) (answer string, runs, closes bool)
	}{
		"unsafe":    {path: "/order/", answer: ofOther},
		"stream":    {path: "/quote/", answer: ofOther},
		"safe":      {path: "/look/", answer: ofOther},
		"resumable": {path: "/reply/", answer: ofOther},
		"misdirected": {path: "/order/", answer: func(string, int) (string, bool, bool) {
			return strings.Replace(refusalOf("id-other"), "503 Service Unavailable", "421 Misdirected Request", 1), true, false
		}},
		"without id, kept connection": {path: "/look/", answer: func(id string, n int) (string, bool, bool) {
			if n == 0 {
				return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Replica-Signature: " + platformtest.Signature + "\r\nContent-Length: 2\r\n\r\nok", false, false
			}
			return strings.Replace(refusalOf(id), "X-Attempt-Id: "+id+"\r\n", "", 1), true, false
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 20)
			f.loadCatalog()
			service := "shop"
			if test.path == "/quote/" || test.path == "/reply/" {
				service = "llm"
			}
			var mu sync.Mutex
			runs := make(map[string]int)
			answer := func(id string, n int) (string, bool) {
				answer, ran, closes := test.answer(id, n)
				mu.Lock()
				defer mu.Unlock()
				if ran {
					runs[id]++
				}
				return answer, closes
			}
			one, two := f.startScripted("i-1", service, answer), f.startScripted("i-2", service, answer)
			ran := 0
			for i := range 4 {
				r := f.request(f.Context(), http.MethodPost, test.path, "x")
				id := "id-" + strconv.Itoa(i)
				r.Header.Set("X-Attempt-Id", id)
				before := len(one.received()) + len(two.received())
				a := f.do(r)
				sent := len(one.received()) + len(two.received()) - before
				mu.Lock()
				n := runs[id]
				mu.Unlock()
				if n > 0 {
					ran++
					servedElsewhere := test.path == "/look/" && a.status == http.StatusOK
					f.Check(servedElsewhere || a.status == http.StatusBadGateway, qt.IsTrue, qt.Commentf("request %d, sent %d times: %d", i, sent, a.status))
				}
				if test.path == "/order/" || test.path == "/quote/" {
					f.Check(sent <= 1, qt.IsTrue, qt.Commentf("sent %d times", sent))
				}
			}
			f.Check(ran > 0, qt.IsTrue)
		})
	}
}

// TestErrorDoesNotContinueStream breaks off a stream that has begun, and has the next server
// answer with an error in several framings. The caller must get the events of the first
// server only, and must see that the stream broke off.
func TestErrorDoesNotContinueStream(t *testing.T) {
	errorText := `{"error":"no such model"}`
	for _, status := range []string{"200 OK", "204 No Content", "206 Partial Content", "400 Bad Request", "404 Not Found", "429 Too Many Requests", "500 Internal Server Error", "502 Bad Gateway", "503 Service Unavailable", "504 Gateway Timeout"} {
		for framing, head := range map[string]string{
			"length":  fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(errorText), errorText),
			"chunks":  fmt.Sprintf("Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(errorText), errorText),
			"close":   "Content-Type: application/json\r\n\r\n" + errorText,
			"events":  fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s\n\n", len(errorText)+2, errorText),
			"nothing": "Content-Type: application/json\r\nContent-Length: 0\r\n\r\n",
		} {
			for _, signed := range []bool{false, true} {
				if status == "204 No Content" && framing != "nothing" {
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/signed=%t", status, framing, signed), func(t *testing.T) {
					f := newFixture(t, 100)
					f.loadCatalog()
					f.startServer("i-1", "llm", 6).SetResponseMode(platformtest.Truncated)
					f.startScripted("i-2", "llm", func(id string, _ int) (string, bool) {
						answer := "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + id + "\r\n"
						if signed {
							answer += "X-Replica-Signature: " + platformtest.Signature + "\r\n"
						}
						return answer + head, true
					})
					begun := false
					for range 6 {
						a := f.send(http.MethodPost, "/reply/", "x")
						if a.header.Get("Content-Type") == "text/event-stream" {
							begun = true
							f.Check(a.err, qt.IsNotNil)
							f.Check(a.body, qt.Equals, events(1, 3))
						}
					}
					f.Check(begun, qt.IsTrue)
				})
			}
		}
	}
}

// TestAnswerThatEndsInItsHeadIsNoAnswer has a server stop after each byte of an answer's
// head and close the connection. No caller may get a success.
func TestAnswerThatEndsInItsHeadIsNoAnswer(t *testing.T) {
	for _, rest := range []string{"Content-Length: 5", "Transfer-Encoding: chunked", "Connection: close"} {
		head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Replica-Signature: " + platformtest.Signature + "\r\n" + rest + "\r\n\r\n"
		for _, path := range []string{"/order/", "/look/", "/quote/", "/reply/"} {
			f := newFixture(t, 1000)
			f.loadCatalog()
			end := 0
			var mu sync.Mutex
			answer := func(string, int) (string, bool) {
				mu.Lock()
				defer mu.Unlock()
				return head[:end], true
			}
			service := "shop"
			if path == "/quote/" || path == "/reply/" {
				service = "llm"
			}
			f.startScripted("i-1", service, answer)
			for cut := range len(head) {
				mu.Lock()
				end = cut
				mu.Unlock()
				f.directory.SetServers(nil, time.Now())
				f.directory.SetServers(f.specs, time.Now())
				a := f.send(http.MethodPost, path, "x")
				f.Check(a.err != nil || a.status >= http.StatusBadRequest, qt.IsTrue, qt.Commentf("%s, %s, cut after %q: %d %q", path, rest, head[max(0, cut-20):cut], a.status, a.body))
			}
		}
	}
}
