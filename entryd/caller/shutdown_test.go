package caller_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"acaciapath.example/entryd/caller"

	qt "github.com/frankban/quicktest"
)

// TestShutdownAnswersNewConnections connects to a server that is then shut down, and sends
// a request only after that, at once or in pieces. It must be answered.
func TestShutdownAnswersNewConnections(t *testing.T) {
	for _, pieces := range [][]string{
		{"", "GET / HTTP/1.1\r\nHost: a\r\n\r\n"},
		{"GET / HTTP/1.1\r\nHo", "st: a\r\n\r\n"},
	} {
		c := qt.New(t)
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
		s, err := caller.Listen(t.Context(), "127.0.0.1:0", handler, func() {})
		c.Assert(err, qt.IsNil)
		go s.Serve()
		connection, err := net.Dial("tcp", s.Address())
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(connection, pieces[0])
		c.Assert(err, qt.IsNil)
		time.Sleep(100 * time.Millisecond) // lets the server accept the connection
		ended := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			ended <- s.Shutdown(ctx)
		}()
		time.Sleep(300 * time.Millisecond)
		_, err = io.WriteString(connection, pieces[1])
		c.Assert(err, qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
		c.Assert(string(body), qt.Equals, "answer")
		c.Assert(connection.Close(), qt.IsNil)
		c.Assert(<-ended, qt.IsNil)
	}
}
