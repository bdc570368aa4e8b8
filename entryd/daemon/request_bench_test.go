package daemon

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"acaciapath.example/core/apikey"
	"acaciapath.example/core/config"
	"acaciapath.example/core/platformapi"
	"acaciapath.example/core/replica"
	"acaciapath.example/core/settings"
	"acaciapath.example/entryd/backend"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

const benchKey = "acacia_bench"

// cannedEngine answers every request with the same stream.
type cannedEngine struct{ text []byte }

// RoundTrip reads the request and returns the stream.
func (e cannedEngine) RoundTrip(r *http.Request) (*http.Response, error) {
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(e.text))}, nil
}

// benchDaemon returns a daemon that is not running and whose only engine is a
// cannedEngine.
func benchDaemon(b testing.TB, tokens int) *Daemon {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	own := settings.Settings{VMName: "vm-1", FailureDomain: "quito-a", ListenIP: "127.0.0.1"}
	d, err := New(own, platformapi.New("127.0.0.1:1", time.Second), logger, Options{})
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(d.close)
	var text bytes.Buffer
	for i := range tokens {
		fmt.Fprintf(&text, "data: {\"id\":\"c\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word %d\"},\"finish_reason\":null}]}\n\n", i)
	}
	fmt.Fprintf(&text, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", tokens)
	d.client = backend.NewClientWithTransport(cannedEngine{text: text.Bytes()})
	d.handler = d.newHandler(logger)
	d.access.Replace(config.NewIndex(&config.Config{
		Classes:  []config.ServiceClass{{Name: "chat", Tier: 1, FirstTokenTarget: time.Second, InterTokenTarget: time.Second, MaxWait: time.Minute, QueueLimit: 100}},
		Accounts: []config.ClientAccount{{Name: "shop", Classes: []string{"chat"}}},
		Keys:     []config.Key{{Name: "shop-1", ClientAccount: "shop", Hash: apikey.Hash(benchKey), DefaultClass: "chat"}},
		Models:   []config.Model{{Name: "assistant", ContextTokens: 8000, MaxCompletionTokens: 1000}},
		Limits:   config.Limits{BodyBytes: 1 << 20, BodyTimeout: time.Minute, RequestTimeout: time.Minute},
	}, 1))
	d.scheduler.SetReplicas([]replica.Spec{{Name: "engine-1", Address: "127.0.0.1:1", FailureDomain: "quito-a", Serves: []string{"assistant"}, Slots: 64}})
	return d
}

// discardWriter is a response writer that discards the answer.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header            { return w.header }
func (*discardWriter) Write(p []byte) (int, error)      { return len(p), nil }
func (*discardWriter) WriteHeader(int)                  {}
func (*discardWriter) Flush()                           {}
func (*discardWriter) SetReadDeadline(time.Time) error  { return nil }
func (*discardWriter) SetWriteDeadline(time.Time) error { return nil }

const benchBody = `{"model":"assistant","messages":[{"role":"system","content":"You help."},{"role":"user","content":"Which socks?"}],"stream":true}`

// serveRequest serves one request.
func serveRequest(d *Daemon) {
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(benchBody))
	r.Header.Set("Authorization", "Bearer "+benchKey)
	d.handler.ServeHTTP(&discardWriter{header: make(http.Header)}, r)
}

// BenchmarkRequest measures the processing of a request in the daemon, without
// the server and transport of net/http, for answers of two lengths. The
// difference is the cost of the events.
func BenchmarkRequest(b *testing.B) {
	for _, tokens := range []int{1, 1001} {
		b.Run(fmt.Sprint("tokens=", tokens), func(b *testing.B) {
			d := benchDaemon(b, tokens)
			b.ReportAllocs()
			for b.Loop() {
				serveRequest(d)
			}
		})
	}
}

// Upper bounds for the number of allocations.
const (
	maxRequestAllocs = 150
	// maxThousandTokensAllocs applies to the additional events of a thousand
	// tokens.
	maxThousandTokensAllocs = 10
)

// TestAllocations limits the allocations of a request, and the additional
// allocations of a longer answer.
func TestAllocations(t *testing.T) {
	short, long := benchDaemon(t, 1), benchDaemon(t, 1001)
	one := testing.AllocsPerRun(200, func() { serveRequest(short) })
	many := testing.AllocsPerRun(200, func() { serveRequest(long) })
	t.Logf("allocations of a request: %v, with a thousand tokens more: %v", one, many)
	qt.Assert(t, one <= maxRequestAllocs, qt.IsTrue, qt.Commentf("%v", one))
	qt.Assert(t, many-one <= maxThousandTokensAllocs, qt.IsTrue, qt.Commentf("%v", many-one))
}
