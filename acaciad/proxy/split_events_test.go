package proxy_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEventsSplitAnywhere has an engine send events byte by byte, with either kind of line
// end. Each must be forwarded when it is complete.
func TestEventsSplitAnywhere(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n"} {
		f := newFixture(t, 0)
		f.loadCatalog()
		body := strings.ReplaceAll(events(1, 3), "\n", lineEnd)
		s := startEndlessServer(f.C, okHead+"Content-Type: text/event-stream\r\n\r\n", body, 0)
		s.bytewise = true
		f.registerServer("i-1", "llm", s.listener.Addr().String())
		r := f.request(f.Context(), http.MethodPost, "/quote/x", "x")
		r.Header.Set("X-Deadline-Ms", "700")
		response, err := http.DefaultTransport.RoundTrip(r)
		f.Assert(err, qt.IsNil)
		received := make([]byte, len(body))
		began := time.Now()
		for n := 0; n < len(received); {
			k, err := response.Body.Read(received[n:])
			f.Assert(err, qt.IsNil)
			n += k
		}
		f.Check(string(received), qt.Equals, body)
		f.Check(time.Since(began) < 600*time.Millisecond, qt.IsTrue)
		f.Check(response.Body.Close(), qt.IsNil)
	}
}
