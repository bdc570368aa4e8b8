package connections_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"acaciapath.example/core/connections"
	"acaciapath.example/core/memory"

	qt "github.com/frankban/quicktest"
)

// TestAbortedAnswerIsNotCompleteForOldCallers has a handler abort an answer without a length to a
// caller that speaks HTTP/1.0. The part must not look complete; an answer that ends is.
func TestAbortedAnswerIsNotCompleteForOldCallers(t *testing.T) {
	for _, aborts := range []bool{true, false} {
		for _, version := range []string{"1.0", "1.1"} {
			t.Run(fmt.Sprintf("aborts=%t/%s", aborts, version), func(t *testing.T) {
				c := qt.New(t)
				inner, err := net.Listen("tcp", "127.0.0.1:0")
				c.Assert(err, qt.IsNil)
				guard := connections.NewGuard(memory.NewBudget(1<<20), connections.Limits{
					Connections: 10, HeadBytes: 4096, HeadTimeout: time.Second, IdleTimeout: time.Second,
				}, func(string, string) {})
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = io.WriteString(w, "part")
					_ = http.NewResponseController(w).Flush()
					time.Sleep(50 * time.Millisecond)
					if aborts {
						panic(http.ErrAbortHandler)
					}
				})}
				guard.Protect(server)
				go func() { _ = server.Serve(guard.Listen(inner)) }()
				c.Cleanup(func() { _ = server.Close() })
				connection, err := net.Dial("tcp", inner.Addr().String())
				c.Assert(err, qt.IsNil)
				defer connection.Close()
				_, _ = fmt.Fprintf(connection, "GET / HTTP/%s\r\nHost: a\r\nConnection: close\r\n\r\n", version)
				data, err := io.ReadAll(connection)
				c.Check(string(data), qt.Contains, "part")
				if version == "1.1" {
					c.Check(err, qt.IsNil) // the last chunk tells
					return
				}
				c.Check(err != nil, qt.Equals, aborts, qt.Commentf("%v", err))
			})
		}
	}
}
