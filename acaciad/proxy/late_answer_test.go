package proxy_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
)

// lateEngine is an engine that on a connection in use again first writes the answer to an earlier
// request, which says that there is no such run. Its streams have no length.
type lateEngine struct {
	stop     chan struct{}
	stopOnce sync.Once
}

// serve answers the requests on a connection.
func (e *lateEngine) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		answer := `{"cacheHandle":"h","createdAt":3}`
		switch {
		case strings.HasPrefix(r.URL.Path, "/quote/"):
			head := strings.ReplaceAll(okHead, "ID", r.Header.Get("X-Attempt-Id")) + "Content-Type: text/event-stream\r\n\r\n"
			_, _ = io.WriteString(connection, head+events(1, 3))
			<-e.stop
			return
		case strings.HasSuffix(r.URL.Path, "/report"):
			answer = `{"state":"draining","leaves_ms":900}`
		case strings.Contains(string(body), `"final":true`):
			e.stopOnce.Do(func() { close(e.stop) })
			if n > 0 {
				_, _ = io.WriteString(connection, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			}
			time.Sleep(50 * time.Millisecond)
			answer = ""
		}
		if answer == "" {
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(answer))+"\r\n\r\n"+answer)
	}
}

// TestLateAnswerDoesNotEndStoppedStream has an engine stop a run and write the answer to an
// earlier request, status 404, where that to the request for the last copy is expected. The part
// of the stream must not look complete.
func TestLateAnswerDoesNotEndStoppedStream(t *testing.T) {
	f, _, two := newMoveFixture(t)
	listener, err := loopback.Listen()
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { _ = listener.Close() })
	e := &lateEngine{stop: make(chan struct{})}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(connection)
		}
	}()
	f.specs = nil
	f.registerServer("i-1", "llm", listener.Addr().String())
	answers := make(chan answer, 1)
	go func() {
		r := f.request(f.Context(), http.MethodPost, "/quote/", "x")
		r.Header.Set("X-Token-Usage", "17000,480")
		r.Header.Set("X-Length-Hint", strconv.Itoa(longStreamEvents*eventTokens))
		answers <- f.do(r)
	}()
	time.Sleep(200 * time.Millisecond)
	f.registerServer("i-2", "llm", two.Address())
	f.specs[0].Draining = true
	f.directory.SetServers(f.specs, time.Now())
	a := <-answers
	select {
	case <-e.stop:
	default:
		f.Fatal("the run was not stopped")
	}
	f.Check(a.err, qt.IsNotNil, qt.Commentf("%d, %q", a.status, a.body))
}
