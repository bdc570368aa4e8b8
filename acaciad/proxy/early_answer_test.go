package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciapath.example/core/memory"
	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
)

// uploadBytes is the size of the bodies of these tests. The kernel does not buffer all of it.
const uploadBytes = 8 << 20

// earlyServer answers each request before it has read its body, and ends the connection.
type earlyServer struct {
	listener net.Listener
	// requests has the ids of the requests with a body. Those without one get an answer that
	// keeps the connection.
	requests chan string
	// answer is the rest of the head and the body of the answer.
	answer string
	// resets states that the connection is reset, and otherwise it is closed in order for
	// writing only.
	resets bool
	// delay is the time between the answer and the end.
	delay time.Duration
}

// startEarly starts a server and lists it.
func (f *fixture) startEarly(id, service string, s *earlyServer) *earlyServer {
	listener, err := loopback.Listen()
	f.Assert(err, qt.IsNil)
	s.listener, s.requests = listener, make(chan string, 1000)
	f.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(f, connection.(*net.TCPConn))
		}
	}()
	f.registerServer(id, service, listener.Addr().String())
	return s
}

// serve answers the requests on a connection.
func (s *earlyServer) serve(f *fixture, connection *net.TCPConn) {
	_ = connection.SetReadBuffer(16 << 10)
	reader := bufio.NewReaderSize(connection, 4<<10)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			_ = connection.Close()
			return
		}
		head := strings.ReplaceAll(okHead, "ID", r.Header.Get("X-Attempt-Id"))
		if r.ContentLength == 0 {
			_, _ = io.WriteString(connection, head+"Content-Length: 2\r\n\r\nok")
			continue
		}
		s.requests <- r.Header.Get("X-Attempt-Id")
		_, _ = io.WriteString(connection, head+s.answer)
		time.Sleep(s.delay)
		if s.resets {
			_ = connection.SetLinger(0)
			_ = connection.Close()
			return
		}
		_ = connection.CloseWrite()
		f.Cleanup(func() { _ = connection.Close() })
		return
	}
}

// newUploadFixture returns a fixture that takes large bodies.
func newUploadFixture(t *testing.T) *fixture {
	f := newFixture(t, 100)
	c := testCatalog()
	c.Limits.BodyBytes = 2 * uploadBytes
	f.handler.Buffers = memory.NewBudget(64 << 20)
	f.directory.SetCatalog(c, time.Now())
	return f
}

// TestAnswerThatEndsUnderItsUploadIsNotComplete has a backend server answer a long upload at once
// with a status of success and no length, send a part of the body, and end the connection while
// the upload is being sent. Nobody may get the part as a complete answer.
func TestAnswerThatEndsUnderItsUploadIsNotComplete(t *testing.T) {
	for name, test := range map[string]struct{ path, service, contentType, part string }{
		"unsafe":           {"/order/", "shop", "text/plain", "0123"},
		"safe":             {"/look/", "shop", "text/plain", "0123"},
		"unsafe, long":     {"/order/", "shop", "text/plain", strings.Repeat("0123456789abcdef", 3<<15)},
		"safe, long":       {"/look/", "shop", "text/plain", strings.Repeat("0123456789abcdef", 3<<15)},
		"stream":           {"/quote/", "llm", "text/event-stream", events(1, 3)},
		"resumable stream": {"/reply/", "llm", "text/event-stream", events(1, 3)},
	} {
		for _, reused := range []bool{false, true} {
			for _, resets := range []bool{true, false} {
				for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
					t.Run(fmt.Sprintf("%s/reused=%t/resets=%t/after %s", name, reused, resets, delay), func(t *testing.T) {
						f := newUploadFixture(t)
						s := f.startEarly("i-1", test.service, &earlyServer{
							answer: "Content-Type: " + test.contentType + "\r\n\r\n" + test.part, resets: resets, delay: delay,
						})
						complete := 0
						const tries = 3
						for range tries {
							if reused {
								_ = f.do(f.request(f.Context(), http.MethodGet, test.path, ""))
							}
							a := f.do(f.request(f.Context(), http.MethodPost, test.path, strings.Repeat("u", uploadBytes)))
							if a.err == nil && a.status == http.StatusOK {
								complete++
							}
							f.directory.SetServers(nil, time.Now())
							f.directory.SetServers(f.specs, time.Now())
						}
						f.Check(complete, qt.Equals, 0, qt.Commentf("of %d, %d sent", tries, len(s.requests)))
					})
				}
			}
		}
	}
}

// TestEarlyCompleteAnswerIsDelivered has a backend server answer a long upload at once with a
// complete answer and reset the connection, or end it in order.
func TestEarlyCompleteAnswerIsDelivered(t *testing.T) {
	for name, test := range map[string]struct{ path, service, answer, body string }{
		"length":           {"/order/", "shop", "Content-Length: 4\r\n\r\n0123", "0123"},
		"chunks":           {"/order/", "shop", "Transfer-Encoding: chunked\r\n\r\n4\r\n0123\r\n0\r\n\r\n", "0123"},
		"safe, length":     {"/look/", "shop", "Content-Length: 4\r\n\r\n0123", "0123"},
		"stream in chunks": {"/quote/", "llm", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(events(1, 3)), events(1, 3)), events(1, 3)},
	} {
		for _, resets := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/resets=%t", name, resets), func(t *testing.T) {
				f := newUploadFixture(t)
				f.startEarly("i-1", test.service, &earlyServer{answer: test.answer, resets: resets, delay: 50 * time.Millisecond})
				a := f.do(f.request(f.Context(), http.MethodPost, test.path, strings.Repeat("u", uploadBytes)))
				f.Check(a.err, qt.IsNil)
				f.Check(a.status, qt.Equals, http.StatusOK)
				f.Check(a.body, qt.Equals, test.body)
				f.Check(a.header.Get("X-Replica-Signature"), qt.Equals, platformtest.Signature)
			})
		}
	}
}

// TestAnswerThatEndsBeforeItsUploadArrivedIsNotComplete has a backend server answer as above to
// an upload that the kernel has taken as a whole, but that has not arrived at the server.
func TestAnswerThatEndsBeforeItsUploadArrivedIsNotComplete(t *testing.T) {
	for name, test := range map[string]struct{ path, service, contentType, part string }{
		"unsafe": {"/order/", "shop", "text/plain", "0123"},
		"safe":   {"/look/", "shop", "text/plain", "0123"},
		"stream": {"/quote/", "llm", "text/event-stream", events(1, 3)},
	} {
		for _, size := range []int{256 << 10, 1 << 20} {
			for _, resets := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%d bytes/resets=%t", name, size, resets), func(t *testing.T) {
					f := newUploadFixture(t)
					f.startEarly("i-1", test.service, &earlyServer{
						answer: "Content-Type: " + test.contentType + "\r\n\r\n" + test.part, resets: resets, delay: 20 * time.Millisecond,
					})
					complete := 0
					const tries = 8
					for range tries {
						a := f.do(f.request(f.Context(), http.MethodPost, test.path, strings.Repeat("u", size)))
						if a.err == nil && a.status == http.StatusOK {
							complete++
						}
						f.directory.SetServers(nil, time.Now())
						f.directory.SetServers(f.specs, time.Now())
					}
					f.Check(complete, qt.Equals, 0, qt.Commentf("of %d", tries))
				})
			}
		}
	}
}
