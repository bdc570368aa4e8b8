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

	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
)

// stoppingServer is a backend server whose answers have no length. It answers each request with
// a part of a body, and ends the connections when it stops.
type stoppingServer struct {
	listener net.Listener
	answered chan net.Conn
}

// startStopping starts a server that answers with part, and lists it.
func (f *fixture) startStopping(service, contentType, part string) *stoppingServer {
	listener, err := loopback.Listen()
	f.Assert(err, qt.IsNil)
	s := &stoppingServer{listener: listener, answered: make(chan net.Conn, 1)}
	f.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(connection, contentType, part)
		}
	}()
	f.registerServer("i-1", service, listener.Addr().String())
	return s
}

// serve answers the request on a connection.
func (s *stoppingServer) serve(connection net.Conn, contentType, part string) {
	r, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		_ = connection.Close()
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	head := strings.ReplaceAll(okHead, "ID", r.Header.Get("X-Attempt-Id")) + "Content-Type: " + contentType + "\r\n\r\n"
	_, _ = io.WriteString(connection, head+part)
	s.answered <- connection
}

// TestStopOfServerDoesNotEndAnswers has backend servers stop during answers without a length, whose
// connections they end in order: servers that drain, and ones that are killed (review/6, MIXED and ORDER). The part
// of an answer must not look complete. The answer of a server that goes on is complete.
func TestStopOfServerDoesNotEndAnswers(t *testing.T) {
	for name, test := range map[string]struct{ path, service, contentType, part string }{
		"stream":           {"/quote/", "llm", "text/event-stream", events(1, 3)},
		"resumable stream": {"/reply/", "llm", "text/event-stream", events(1, 3)},
		"unsafe":           {"/order/", "shop", "text/plain", "0123"},
		"safe":             {"/look/", "shop", "text/plain", "0123"},
		"long":             {"/order/", "shop", "text/plain", strings.Repeat("0123456789abcdef", 1<<17)},
	} {
		for _, state := range []struct{ drains, stops bool }{{true, true}, {true, false}, {false, true}, {false, false}} {
			stops := state.stops
			t.Run(fmt.Sprintf("%s/drains=%v,stops=%v", name, state.drains, stops), func(t *testing.T) {
				f := newFixture(t, 2)
				f.loadCatalog()
				s := f.startStopping(test.service, test.contentType, test.part)
				answers := make(chan answer, 1)
				go func() { answers <- f.send(http.MethodPost, test.path, "x") }()
				connection := <-s.answered
				f.specs[0].Draining = state.drains
				f.directory.SetServers(f.specs, time.Now())
				if stops {
					_ = s.listener.Close()
				}
				_ = connection.Close()
				a := <-answers
				if !stops {
					f.Check(a.err, qt.IsNil)
					f.Check(a.status, qt.Equals, http.StatusOK)
					f.Check(a.body, qt.Equals, test.part)
					return
				}
				f.Check(a.err != nil || a.status == http.StatusBadGateway, qt.IsTrue, qt.Commentf("%d, %d bytes, %v", a.status, len(a.body), a.err))
			})
		}
	}
}
