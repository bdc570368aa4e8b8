package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciapath.example/core/engine"
	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
)

// faultyServer is a backend server that writes bytes as its answers.
type faultyServer struct {
	// answer is what it answers to requests that are no control calls.
	answer string
	// early states that it answers before it has read the body, and resets the connection 20 ms
	// later.
	early bool
}

// startFaulty starts a server and returns the configuration that lists it as a replica of a
// plain service and as an engine.
func startFaulty(t *testing.T, s *faultyServer) (config string) {
	return fmt.Sprintf(`
[plain-service faulty]
call-price = 0.002 USD/call

[route faulty-once]
path-prefix = /faulty-once
plain-service = faulty

[route faulty]
path-prefix = /faulty
plain-service = faulty
repeatable = true

[model faulty]
context-tokens = 8000
max-completion-tokens = 2000

[backend-server faulty-1]
address = %[1]s
failure-domain = quito-a
plain-service = faulty
places = 8

[backend-server faulty-2]
address = %[2]s
failure-domain = quito-a
models = faulty
places = 8
`, s.listen(t), s.listen(t))
}

// listen returns an address at which the server accepts connections.
func (s *faultyServer) listen(t *testing.T) string {
	listener, err := loopback.Listen()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(connection.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// serve answers the requests on a connection.
func (s *faultyServer) serve(connection *net.TCPConn) {
	defer connection.Close()
	_ = connection.SetReadBuffer(16 << 10)
	reader := bufio.NewReaderSize(connection, 4<<10)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if strings.HasPrefix(r.URL.Path, "/faulty") || r.URL.Path == engine.PathChat {
			if !s.early {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			_, _ = io.WriteString(connection, s.answer)
			if s.early {
				time.Sleep(20 * time.Millisecond)
				_ = connection.SetLinger(0)
			}
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
	}
}

// faultyRequests returns requests that reach a faulty server, by name. padding lengthens their
// bodies.
func faultyRequests(s *system, padding string) map[string]func() *http.Request {
	once := 0
	chat := func(stream bool) func() *http.Request {
		return func() *http.Request {
			body := fmt.Sprintf(`{"model":"faulty","messages":[{"role":"user","content":"socks %s"}],"stream":%t}`, padding, stream)
			return s.request(http.MethodPost, "/v1/chat/completions", shopKey, body)
		}
	}
	return map[string]func() *http.Request{
		"once": func() *http.Request {
			once++
			return s.request(http.MethodPost, "/faulty-once", shopKey, padding, "Idempotency-Key", fmt.Sprint("k", once))
		},
		"repeatable": func() *http.Request { return s.request(http.MethodPost, "/faulty", shopKey, padding) },
		"chat":       chat(false),
		"stream":     chat(true),
	}
}

// TestStatusThatIsNoneIsNoAnswer has backend servers send status lines that are none of an
// answer. Callers get a refusal which says that the request may have run, on a connection that
// stays open.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 None", "HTTP/1.1 099 x", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 x", "HTTP/1.1 999 x", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.1 2000 OK"} {
		t.Run(line, func(t *testing.T) {
			s := start(t, systemOptions{extraConfig: startFaulty(t, &faultyServer{answer: line + "\r\nContent-Type: text/event-stream\r\nContent-Length: 14\r\n\r\ndata: [DONE]\n\n"})})
			for name, request := range faultyRequests(s, "x") {
				response, err := http.DefaultTransport.RoundTrip(request())
				s.c.Check(err, qt.IsNil, qt.Commentf("%s", name))
				if err != nil {
					continue
				}
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				s.c.Check(err, qt.IsNil, qt.Commentf("%s", name))
				s.c.Check(response.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf("%s: %q", name, body))
				s.c.Check(strings.Contains(s.logs.String(), "panic"), qt.IsFalse)
			}
		})
	}
}

// TestAnswerThatEndsUnderItsUploadIsNotComplete has backend servers answer a long upload at once
// with status 200 and no length, send a part of the body, and reset the connection while the
// upload is being sent. Nobody may get the part as a complete answer, now or as a stored one.
func TestAnswerThatEndsUnderItsUploadIsNotComplete(t *testing.T) {
	padding := strings.Repeat("u", 8<<20)
	for _, name := range []string{"once", "repeatable", "chat", "stream"} {
		complete := 0
		for range 6 { // a server that failed gets no requests for a while
			s := start(t, systemOptions{extraConfig: "\n[limits]\nbody-bytes = 16MiB\n" + startFaulty(t, &faultyServer{
				answer: "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"choices\":[{\"message\":{\"content\":\"a\"}}]}", early: true,
			})})
			got := s.do(faultyRequests(s, padding)[name]())
			if got.err == nil && got.status == http.StatusOK {
				complete++
			}
			s.stop()
			<-s.ended
		}
		qt.Check(t, complete, qt.Equals, 0, qt.Commentf("%s, of 6", name))
	}
}
