package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"acaciapath.example/core/usage"
	"acaciapath.example/entryd/daemon"
	"acaciapath.example/standin/engine"
	"acaciapath.example/standin/plain"

	qt "github.com/frankban/quicktest"
)

// sendRaw sends text on a new connection and returns the answer.
func (s *system) sendRaw(text string) answer {
	conn, err := net.Dial("tcp", s.daemon.CallersAddress())
	s.c.Assert(err, qt.IsNil)
	defer conn.Close()
	s.c.Assert(conn.SetDeadline(time.Now().Add(waitTimeout)), qt.IsNil)
	_, err = conn.Write([]byte(text))
	s.c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

func TestSlowSenders(t *testing.T) {
	s := start(t, systemOptions{extraConfig: "\n[limits]\nheader-timeout = 200ms\nbody-timeout = 200ms\n"})
	got := s.sendRaw("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + shopKey + "\r\nContent-Length: 100\r\n\r\n{")
	s.c.Assert(got.err, qt.IsNil)
	assertRefusal(t, "body-timeout", got)
	got = s.sendRaw("POST /v1/chat/completions HTTP/1.1\r\nHost:")
	s.c.Assert(got.err, qt.Not(qt.IsNil)) // the connection is closed
	s.eventually(func() bool { return s.daemon.Status().Connections == 0 })
}

func TestChunkedBodyIsBounded(t *testing.T) {
	s := start(t, systemOptions{extraConfig: "\n[limits]\nbody-bytes = 1KiB\n"})
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 2000, make([]byte, 2000))
	got := s.sendRaw("POST /status HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + shopKey + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk)
	s.c.Assert(got.err, qt.IsNil)
	assertRefusal(t, "body-too-large", got)
}

func TestTooManyConnections(t *testing.T) {
	s := start(t, systemOptions{extraConfig: "\n[limits]\nconnections = 1\n"})
	held, err := net.Dial("tcp", s.daemon.CallersAddress())
	s.c.Assert(err, qt.IsNil)
	s.eventually(func() bool { return s.daemon.Status().Connections == 1 })
	got := s.sendRaw("GET /v1/models HTTP/1.1\r\nHost: a\r\n\r\n")
	s.c.Assert(got.err, qt.IsNil)
	s.c.Assert(got.status, qt.Equals, 429)
	s.c.Assert(got.body, qt.Contains, `"code":"too-many-requests"`)
	s.c.Assert(held.Close(), qt.IsNil)
	s.eventually(func() bool { return s.daemon.Status().Connections == 0 })
	s.c.Assert(s.sendRaw("GET /v1/models HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").status, qt.Equals, 401)
}

func TestNotConfigured(t *testing.T) {
	s := start(t, systemOptions{})
	c := s.c
	unconfigured := &system{c: c, platform: s.platform, logs: s.logs}
	s.platform.SetFaults("all", down)
	unconfigured.daemon = unconfigured.launchDaemon(t, "vm-2", systemOptions{})
	got := unconfigured.do(unconfigured.request("GET", "/v1/models", shopKey, ""))
	assertRefusal(t, "not-configured", got)
	c.Assert(unconfigured.daemon.Ready(), qt.ErrorIs, daemon.ErrNotConfigured)
}

// TestDisconnectedCaller checks that the request is cancelled at the engine
// when its caller disconnects, and that the usage so far is charged.
func TestDisconnectedCaller(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprint("stream=", stream), func(t *testing.T) {
			s := start(t, systemOptions{engines: []engine.Options{{StepTime: 5 * time.Millisecond}}})
			ctx, disconnect := context.WithCancel(context.Background())
			request := s.request("POST", "/v1/chat/completions", shopKey, chatBody(2000, stream)).WithContext(ctx)
			go func() {
				response, err := http.DefaultClient.Do(request)
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			}()
			s.eventually(func() bool { return len(s.daemon.Status().Queues) == 1 && s.daemon.Status().Queues[0].Running == 1 })
			time.Sleep(50 * time.Millisecond) // until some tokens have been generated
			disconnect()
			s.eventually(func() bool { return len(s.engines[0].Runs().Entries()) == 1 })
			s.stop()
			<-s.ended
			run := s.engines[0].Runs().Entries()[0]
			s.c.Assert(run.CompletionTokens > 0 && run.CompletionTokens < 2000, qt.IsTrue)
			s.c.Assert(s.chargedUsage(), qt.HasLen, 1)
			s.c.Assert(s.chargedUsage()[0].Work, qt.Equals, usage.Work{
				Requests: 1, PromptTokens: uint64(run.PromptTokens), CompletionTokens: uint64(run.CompletionTokens),
			})
		})
	}
}

// TestReusedConnectionAfterStream checks that a stream leaves no write deadline
// behind that would cut the next answer on the same connection.
func TestReusedConnectionAfterStream(t *testing.T) {
	s := start(t, systemOptions{orders: plain.Options{ExecutionTime: 1500 * time.Millisecond}})
	client := http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for _, request := range []*http.Request{
		s.request("POST", "/v1/chat/completions", shopKey, chatBody(3, true)),
		s.request("POST", "/status/1", shopKey, "x"),
	} {
		response, err := client.Do(request)
		s.c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, response.Body)
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(response.Body.Close(), qt.IsNil)
		s.c.Assert(response.StatusCode, qt.Equals, 200)
	}
	s.c.Assert(s.daemon.Status().Connections, qt.Equals, 1)
}
