package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciapath.example/entryd/daemon"
	"acaciapath.example/standin/engine"

	qt "github.com/frankban/quicktest"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// TestKeyIsNotForwarded searches everything that leaves the daemon for the
// caller's key: headers sent to backend servers, spans, logs and metrics.
func TestKeyIsNotForwarded(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	tracers := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans))
	s := start(t, systemOptions{options: daemon.Options{TracerProvider: tracers}})
	headers := []string{
		"X-Api-Key", shopKey, "Cookie", "key=" + shopKey, "X-Custom", "see " + shopKey, "Baggage", "key=" + shopKey,
		"Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", "Tracestate", "key=" + shopKey,
		"X-Request-Id", shopKey,
	}
	for _, stream := range []bool{true, false} {
		got := s.do(s.request("POST", "/v1/chat/completions", shopKey, chatBody(3, stream), headers...))
		s.c.Assert(got.status, qt.Equals, 200)
	}
	s.c.Assert(s.do(s.request("GET", "/status/1", shopKey, "", headers...)).status, qt.Equals, 200)
	s.c.Assert(s.do(s.request("GET", "/open/1", shopKey, "", headers...)).status, qt.Equals, 200)
	s.c.Assert(s.do(s.request("POST", "/orders/1", shopKey, "x", append(headers, "Idempotency-Key", "k")...)).status, qt.Equals, 200)
	s.c.Assert(s.do(s.request("GET", "/nothing", shopKey, "", headers...)).status, qt.Equals, 404)
	metrics := s.do(mustGet("http://" + s.daemon.OpsAddress() + "/metrics"))

	runs, calls := s.engines[0].Runs().Entries(), s.orders.Log().Entries()
	s.c.Assert(runs, qt.HasLen, 2)
	s.c.Assert(calls, qt.HasLen, 3)
	for _, run := range runs {
		s.c.Assert(fmt.Sprint(run), qt.Not(qt.Contains), shopKey)
		s.c.Assert(run.Header.Get("Traceparent"), qt.Contains, "0af7651916cd43dd8448eb211c80319c")
	}
	for _, call := range calls {
		s.c.Assert(fmt.Sprint(call), qt.Not(qt.Contains), shopKey)
		s.c.Assert(call.Header.Get("Traceparent"), qt.Contains, "0af7651916cd43dd8448eb211c80319c")
	}
	for _, span := range spans.Ended() {
		s.c.Assert(fmt.Sprint(span.Name(), span.Attributes(), span.Events(), span.Status(), span.SpanContext()), qt.Not(qt.Contains), shopKey)
	}
	s.c.Assert(s.logs.String(), qt.Contains, "client-account=shop")
	s.c.Assert(s.logs.String(), qt.Not(qt.Contains), shopKey)
	s.c.Assert(metrics.body, qt.Contains, "acaciapath_entry_goodput_tokens_total")
	s.c.Assert(metrics.body, qt.Contains, `acaciapath_entry_backend_server_tokens_total{kind="standard",result="whole"} 6`)
	s.c.Assert(metrics.body, qt.Not(qt.Contains), shopKey)
}

func mustGet(url string) *http.Request {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		panic(err)
	}
	return request
}

// TestSpans checks that the spans of a request for the queue, the backend
// server and the request itself belong to one trace.
func TestSpans(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	s := start(t, systemOptions{options: daemon.Options{TracerProvider: sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans))}})
	s.c.Assert(s.do(s.request("POST", "/v1/chat/completions", shopKey, chatBody(3, true))).status, qt.Equals, 200)
	s.eventually(func() bool { return len(spans.Ended()) == 3 })
	ended := spans.Ended()
	names := []string{ended[0].Name(), ended[1].Name(), ended[2].Name()}
	s.c.Assert(names, qt.DeepEquals, []string{"queue", "backend server", "request"})
	for _, span := range ended[:2] {
		s.c.Assert(span.Parent().SpanID(), qt.Equals, ended[2].SpanContext().SpanID())
	}
	run := s.engines[0].Runs().Entries()[0]
	s.c.Assert(run.Header.Get("Traceparent"), qt.Contains, ended[1].SpanContext().SpanID().String())
}

// TestWithdrawnKey checks that withdrawing a key ends a running stream and a
// waiting request of that key, but not those of other keys.
func TestWithdrawnKey(t *testing.T) {
	s := start(t, systemOptions{
		engines:     []engine.Options{{Slots: 2, StepTime: 5 * time.Millisecond, MaxAnswerTokens: 100_000}},
		extraConfig: "\n[backend-server engine-1]\nplaces = 2\n[model assistant]\ncontext-tokens = 200000\nmax-completion-tokens = 100000\n",
	})
	ctx := context.Background()
	withdrawn := s.openStream(ctx, s.request("POST", "/v1/chat/completions", roofersKey, chatBody(100_000, true)))
	kept := s.openStream(ctx, s.request("POST", "/v1/chat/completions", shopKey, chatBody(400, true)))
	waiting := make(chan answer, 1)
	go func() { waiting <- s.do(s.request("POST", "/v1/chat/completions", roofersKey, chatBody(5, false))) }()
	s.eventually(func() bool { return s.daemon.Status().Queues[0].Waiting == 1 })

	s.applyConfig("\n[key roofers-1]\nwithdrawn = true\n")
	text, err := withdrawn.readRest()
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(text, qt.Contains, `"code":"key-withdrawn"`)
	s.c.Assert(text, qt.Contains, `"run":"unknown"`)
	s.c.Assert(text, qt.Not(qt.Contains), "[DONE]")
	refused := <-waiting
	s.c.Assert(refused.status, qt.Equals, 401)
	s.c.Assert(refused.body, qt.Contains, `"run":"not-run"`)
	text, err = kept.readRest()
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(strings.HasSuffix(text, "data: [DONE]\n\n"), qt.IsTrue)
}
