package connections_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"acaciapath.example/core/connections"

	qt "github.com/frankban/quicktest"
)

// waitLimit is long enough for every condition in these tests on a busy machine.
const waitLimit = 10 * time.Second

// TestIdleConnectionsAreClosed stops a server while one connection has a long request and
// another one waits for its next request. The latter must be closed at once: a request
// that came on it later could not be completed before the process ends.
func TestIdleConnectionsAreClosed(t *testing.T) {
	c := qt.New(t)
	proceed := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			<-proceed
		}
		_, _ = io.WriteString(w, "answer")
	})}
	tracker := connections.Track(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	served := make(chan error, 1)
	go func() { served <- tracker.Serve(listener) }()
	dial := func(path string) (net.Conn, *bufio.Reader) {
		connection, err := net.Dial("tcp", listener.Addr().String())
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = connection.Close() })
		c.Assert(connection.SetDeadline(time.Now().Add(waitLimit)), qt.IsNil)
		_, err = io.WriteString(connection, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
		c.Assert(err, qt.IsNil)
		return connection, bufio.NewReader(connection)
	}
	readAnswer := func(r *bufio.Reader) {
		response, err := http.ReadResponse(r, nil)
		c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
		c.Assert(string(body), qt.Equals, "answer")
	}
	_, idle := dial("/short")
	readAnswer(idle)
	_, long := dial("/long")
	time.Sleep(100 * time.Millisecond) // lets the server read the request
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		ended <- tracker.Shutdown(ctx)
	}()
	_, err = idle.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
	close(proceed)
	readAnswer(long)
	c.Assert(<-ended, qt.IsNil)
	c.Assert(<-served, qt.IsNil)
}
