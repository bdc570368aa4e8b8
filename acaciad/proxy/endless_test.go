package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"acaciapath.example/acaciad/proxy"
	"acaciapath.example/platform"
	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
)

// endlessServer is a backend server that answers each request with a prefix and then
// repeats some bytes until the connection is closed.
type endlessServer struct {
	listener       net.Listener
	prefix, repeat string
	// pause is the time before each repetition, or 0 for none.
	pause time.Duration
	// bytewise states that each byte is sent by itself.
	bytewise bool
	// open is the number of connections with an endless answer.
	open atomic.Int64
	// requests is the number of requests received, and received has their ids.
	requests atomic.Int64
	received sync.Map
}

func startEndlessServer(c *qt.C, prefix, repeat string, pause time.Duration) *endlessServer {
	listener, err := loopback.Listen()
	c.Assert(err, qt.IsNil)
	s := &endlessServer{listener: listener, prefix: prefix, repeat: repeat, pause: pause}
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(connection)
		}
	}()
	return s
}

// serve reads one request and answers it.
func (s *endlessServer) serve(connection net.Conn) {
	defer connection.Close()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	s.requests.Add(1)
	s.received.Store(request.Header.Get("X-Attempt-Id"), true)
	s.open.Add(1)
	defer s.open.Add(-1)
	prefix := strings.ReplaceAll(s.prefix, "ID", request.Header.Get("X-Attempt-Id"))
	if _, err := io.WriteString(connection, prefix); err != nil {
		return
	}
	for {
		time.Sleep(s.pause)
		if err := s.sendRepeat(connection); err != nil {
			return
		}
	}
}

// sendRepeat sends the repeated bytes once.
func (s *endlessServer) sendRepeat(connection net.Conn) error {
	if !s.bytewise {
		_, err := io.WriteString(connection, s.repeat)
		return err
	}
	for i := range s.repeat {
		if _, err := io.WriteString(connection, s.repeat[i:i+1]); err != nil {
			return err
		}
		time.Sleep(100 * time.Microsecond)
	}
	return nil
}

const (
	// endlessRequests is the number of requests that meet an endless answer at once.
	endlessRequests = 200
	// smallestMemory is the soft memory limit of the daemon on the smallest VM, which has
	// 184 MB.
	smallestMemory = 184 << 20 * 6 / 10
)

const (
	okHead    = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Replica-Signature: " + platformtest.Signature + "\r\n"
	errorHead = "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: ID\r\nX-Replica-Signature: " + platformtest.Signature + "\r\n"
	chunked   = "Transfer-Encoding: chunked\r\n\r\n"
)

// endlessAnswers are answers that never end, by the place where the bytes go on.
var endlessAnswers = []struct{ name, prefix, repeat string }{
	{"status line", "HTTP/1.1 200 ", "x"},
	{"no HTTP", "", "x"},
	{"header line", okHead + "X-Long: ", "x"},
	{"headers", okHead, "X-More: 1\r\n"},
	{"informational answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"chunk size", okHead + chunked, "0"},
	{"chunk extension", okHead + chunked + "5;", "x"},
	{"trailers", okHead + chunked + "5\r\nhello\r\n0\r\n", "X-More: 1\r\n"},
	{"chunks", okHead + chunked, "5\r\nhello\r\n"},
	{"body without length", okHead + "\r\n", "x"},
	{"error body", errorHead + "\r\n", "x"},
	{"error chunks", errorHead + chunked, "5\r\nhello\r\n"},
}

// sendToEndlessServer sends endlessRequests requests at once, each with a deadline after
// wait. It checks that each caller gets a failure or an answer that breaks off in time,
// that only requests which the server did not receive are said not to have run, that the
// server is rid of its connections, and that memory is bounded.
func (f *fixture) sendToEndlessServer(s *endlessServer, path string, wait time.Duration) {
	f.Helper()
	peak := watchHeap(f.C)
	var group sync.WaitGroup
	for i := range endlessRequests {
		group.Go(func() {
			r := f.request(f.Context(), http.MethodPost, path, "x")
			r.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
			r.Header.Set("X-Attempt-Id", fmt.Sprint("id-", i))
			began := time.Now()
			a := f.discard(r)
			f.Check(time.Since(began) < wait+2*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
			f.Check(a.err != nil || a.status >= 500, qt.IsTrue, qt.Commentf("%d", a.status))
			if _, received := s.received.Load(r.Header.Get("X-Attempt-Id")); received {
				f.Check(a.status != http.StatusServiceUnavailable, qt.IsTrue) // it may have run
			}
		})
	}
	group.Wait()
	f.eventually(func() bool { return s.open.Load() == 0 })
	f.Check(peak() < smallestMemory, qt.IsTrue, qt.Commentf("%d MB of heap", peak()>>20))
}

// TestEndlessAnswers has a backend server send bytes without end, fast and slowly, to many
// requests at once. Each caller must get a failure within its time, nothing that looks
// like a complete answer, and the server must be rid of its connections.
func TestEndlessAnswers(t *testing.T) {
	const wait = 1200 * time.Millisecond
	for _, test := range endlessAnswers {
		for pace, pause := range map[string]time.Duration{"fast": 0, "slow": 20 * time.Millisecond} {
			t.Run(test.name+" "+pace, func(t *testing.T) {
				f := newFixture(t, 0)
				f.loadCatalog()
				repeat := test.repeat
				if pause == 0 {
					repeat = strings.Repeat(repeat, 4096)
				}
				s := startEndlessServer(f.C, test.prefix, repeat, pause)
				f.registerServer("i-1", "shop", s.listener.Addr().String())
				f.sendToEndlessServer(s, "/order/", wait)
			})
		}
	}
}

// TestEndlessEvents has an engine send one event without end. The stream must break
// off, and the engine be left.
func TestEndlessEvents(t *testing.T) {
	f := newFixture(t, 0)
	f.loadCatalog()
	s := startEndlessServer(f.C, okHead+"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: ", strings.Repeat("x", 4096), 0)
	f.registerServer("i-1", "llm", s.listener.Addr().String())
	f.sendToEndlessServer(s, "/quote/", 2*time.Second)
}

// TestSlowAndStalledStreams has one engine send an event now and then, and another one
// byte of an event now and then. The former stream must complete, and the latter must
// break off when the caller's time is over, but not look complete.
func TestSlowAndStalledStreams(t *testing.T) {
	const events = 5
	f := newFixture(t, 0)
	patient := testCatalog()
	for i := range patient.Routes {
		patient.Routes[i].Timeout = 20 * time.Second
	}
	f.directory.SetCatalog(patient, time.Now())
	slow := f.startServer("i-1", "llm", events)
	slow.SetPause(700 * time.Millisecond)
	r := f.request(f.Context(), http.MethodPost, "/quote/", "x")
	r.Header.Set("X-Deadline-Ms", "20000")
	a := f.do(r)
	f.Assert(a.err, qt.IsNil)
	f.Assert(strings.Count(a.body, "\n\n"), qt.Equals, events)

	f = newFixture(t, 0)
	f.loadCatalog()
	stalled := startEndlessServer(f.C, okHead+"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: ", "x", 100*time.Millisecond)
	f.registerServer("i-1", "llm", stalled.listener.Addr().String())
	began := time.Now()
	a = f.do(f.request(f.Context(), http.MethodPost, "/quote/", "x"))
	f.Assert(a.err, qt.IsNotNil)
	f.Assert(time.Since(began) < 4*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
	f.eventually(func() bool { return stalled.open.Load() == 0 })
}

// TestServerWithEndlessAnswersIsAvoided checks that a server that answers without end is
// not chosen for a while, and that requests which may be repeated are answered by another.
func TestServerWithEndlessAnswersIsAvoided(t *testing.T) {
	f := newFixture(t, 20)
	f.loadCatalog()
	bad := startEndlessServer(f.C, okHead, strings.Repeat("X-More: 1\r\n", 500), 0)
	f.registerServer("i-1", "shop", bad.listener.Addr().String())
	f.startServer("i-2", "shop", 0)
	for i := range 40 {
		r := f.request(f.Context(), http.MethodGet, "/look/", "")
		r.Header.Set("X-Attempt-Id", fmt.Sprint("id-", i))
		a := f.do(r)
		f.Assert(a.err, qt.IsNil)
		f.Assert(a.status, qt.Equals, http.StatusOK)
	}
	f.Assert(bad.requests.Load() <= 5, qt.IsTrue, qt.Commentf("%d", bad.requests.Load()))
}

// TestEndlessAnswersOfEngineCalls has an engine answer reports and copies of runs without end.
// Each call must fail in time, and memory is bounded.
func TestEndlessAnswersOfEngineCalls(t *testing.T) {
	const calls, timeout = 50, 500 * time.Millisecond
	for _, test := range endlessAnswers {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := startEndlessServer(c, test.prefix, strings.Repeat(test.repeat, 4096), 0)
			address := s.listener.Addr().String()
			client := proxy.NewClient(proxy.Dial)
			engines := &platform.EngineClient{Transport: client.Transport(), StopTransport: client.SingleUseTransport()}
			peak := watchHeap(c)
			var group sync.WaitGroup
			for i := range calls {
				group.Go(func() {
					ctx, cancel := context.WithTimeout(c.Context(), timeout)
					defer cancel()
					var err error
					if i%2 == 0 {
						_, err = engines.State(ctx, address)
					} else {
						_, err = engines.CopyCache(ctx, address, "127.0.0.1:1", "id-1", true)
					}
					c.Check(err, qt.IsNotNil)
				})
			}
			group.Wait()
			for end := time.Now().Add(5 * time.Second); s.open.Load() > 0; time.Sleep(5 * time.Millisecond) {
				c.Assert(time.Now().Before(end), qt.IsTrue)
			}
			c.Check(peak() < smallestMemory, qt.IsTrue, qt.Commentf("%d MB of heap", peak()>>20))
		})
	}
}

// discard sends r and reads the answer without keeping it.
func (f *fixture) discard(r *http.Request) answer {
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return answer{status: response.StatusCode, err: err}
}

// watchHeap starts to watch the heap. The function that it returns returns by how much
// the heap has grown at the most.
func watchHeap(c *qt.C) func() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	start := stats.HeapAlloc
	var peak atomic.Uint64
	done := make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			if stats.HeapAlloc > start {
				peak.Store(max(peak.Load(), stats.HeapAlloc-start))
			}
		}
	})
	c.Cleanup(func() { close(done); watcher.Wait() })
	return peak.Load
}
