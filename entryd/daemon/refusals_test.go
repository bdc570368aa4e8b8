package daemon_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciapath.example/standin/engine"
	"acaciapath.example/standin/fault"
	"acaciapath.example/standin/plain"
	"acaciapath.example/standin/platform"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
)

// refusalCase is a request that must be refused.
type refusalCase struct {
	name    string
	options systemOptions
	// prepare brings the system into the state in which it refuses the request.
	prepare func(*system)
	request func(*system) *http.Request
}

func chatRequest(key, body string, headers ...string) func(*system) *http.Request {
	return func(s *system) *http.Request {
		return s.request("POST", "/v1/chat/completions", key, body, headers...)
	}
}

func orderRequest(key, idempotencyKey, body string) func(*system) *http.Request {
	return func(s *system) *http.Request {
		return s.request("POST", "/orders/1", key, body, "Idempotency-Key", idempotencyKey)
	}
}

// withAccountLimit returns options that set a limit of the client account shop.
func withAccountLimit(setting string) systemOptions {
	return systemOptions{extraConfig: "\n[client-account shop]\n" + setting + "\n"}
}

// occupySlots starts a long answer that occupies all slots of a small engine.
func occupySlots(s *system) {
	opened := s.openStream(s.c.Context(), s.request("POST", "/v1/chat/completions", shopKey, chatBody(100_000, true)))
	s.c.Cleanup(func() { _ = opened.response.Body.Close() })
}

// endlessEngine generates answers that last longer than the test.
var endlessEngine = engine.Options{StepTime: 50 * time.Millisecond, MaxAnswerTokens: 100_000}

var refusalCases = []refusalCase{
	{name: "not-json", request: chatRequest(shopKey, `{"model":`)},
	{name: "body-too-large", options: systemOptions{extraConfig: "\n[limits]\nbody-bytes = 1KiB\n"}, request: chatRequest(shopKey, strings.Repeat(" ", 1025))},
	{name: "key-missing", request: chatRequest("", chatBody(1, false))},
	{name: "key-invalid", request: chatRequest("acacia_unknown", chatBody(1, false))},
	{
		name: "key-withdrawn", request: chatRequest(roofersKey, chatBody(1, false)),
		prepare: func(s *system) {
			s.applyConfig("\n[key roofers-1]\nwithdrawn = true\n")
			s.eventually(func() bool { return s.daemon.Status().Revision == 2 })
		},
	},
	{name: "key-in-body", request: chatRequest(shopKey, `{"model":"assistant","messages":[],"user":"`+shopKey+`"}`)},
	{name: "key-in-url", request: func(s *system) *http.Request {
		return s.request("GET", "/status?key="+shopKey, shopKey, "")
	}},
	{name: "class-not-bought", request: chatRequest(roofersKey, chatBody(1, false), "X-Service-Class", "letters")},
	{name: "route-unknown", request: func(s *system) *http.Request { return s.request("GET", "/nothing", shopKey, "") }},
	{name: "method-unknown", request: func(s *system) *http.Request { return s.request("GET", "/v1/chat/completions", shopKey, "") }},
	{name: "model-unknown", request: chatRequest(shopKey, `{"model":"other","messages":[]}`)},
	{name: "max-tokens", request: chatRequest(shopKey, `{"model":"assistant","messages":[],"max_tokens":2001}`)},
	{
		name: "context-too-long", options: systemOptions{engines: []engine.Options{{ContextTokens: 10}}},
		request: chatRequest(shopKey, `{"model":"assistant","messages":[{"role":"user","content":"a"}],"max_tokens":2000}`),
	},
	{
		name: "rate-limited", options: withAccountLimit("requests-per-minute = 1"),
		prepare: func(s *system) {
			s.c.Assert(s.do(chatRequest(shopKey, chatBody(1, false))(s)).status, qt.Equals, 200)
		},
		request: chatRequest(shopKey, chatBody(1, false)),
	},
	{
		name: "too-many-requests", options: systemOptions{engines: []engine.Options{endlessEngine}, extraConfig: withAccountLimit("concurrent-requests = 1").extraConfig},
		prepare: occupySlots, request: chatRequest(shopKey, chatBody(1, false)),
	},
	{
		name: "wait-too-long", options: systemOptions{extraConfig: "\n[service-class chat]\nmax-wait = 1s\n[backend-server engine-1]\nplaces = 1\n", engines: []engine.Options{endlessEngine}},
		prepare: occupySlots, request: chatRequest(shopKey, chatBody(1, false)),
	},
	{
		name:    "queue-full",
		options: systemOptions{extraConfig: "\n[service-class chat]\nqueue-limit = 1\n[backend-server engine-1]\nplaces = 1\n", engines: []engine.Options{endlessEngine}},
		request: chatRequest(shopKey, chatBody(1, false)),
		prepare: func(s *system) {
			occupySlots(s)
			go func() {
				_, _ = http.DefaultClient.Do(chatRequest(roofersKey, chatBody(1, false))(s).WithContext(s.c.Context()))
			}()
			s.eventually(func() bool {
				queues := s.daemon.Status().Queues
				return len(queues) == 1 && queues[0].Waiting == 1
			})
		},
	},
	{name: "no-backend-server", options: systemOptions{engines: []engine.Options{}}, request: chatRequest(shopKey, chatBody(1, false))},
	{
		name: "engine-unreachable", options: systemOptions{closesServers: true}, request: chatRequest(shopKey, chatBody(1, false)),
		prepare: func(s *system) { _ = s.engines[0].Close() },
	},
	{
		name: "engine-down", options: systemOptions{engines: []engine.Options{{Faults: engine.Faults{Faults: fault.Faults{Down: true}}}}},
		request: chatRequest(shopKey, chatBody(1, false)),
	},
	{
		name: "engine-crashed", options: systemOptions{engines: []engine.Options{{Faults: engine.Faults{CrashAfterTokens: 5}}}},
		request: chatRequest(shopKey, chatBody(100, false)),
	},
	{
		name: "backend-timeout", options: systemOptions{engines: []engine.Options{endlessEngine}, extraConfig: "\n[limits]\nrequest-timeout = 1s\n"},
		request: chatRequest(shopKey, chatBody(1000, false)),
	},
	{name: "idempotency-key-missing", request: func(s *system) *http.Request { return s.request("POST", "/orders/1", shopKey, "x") }},
	{
		name: "idempotency-key-reused", prepare: func(s *system) { s.do(orderRequest(shopKey, "k", "x")(s)) },
		request: orderRequest(shopKey, "k", "y"),
	},
	{
		name: "call-in-progress", options: systemOptions{orders: plain.Options{ExecutionTime: time.Second}}, request: orderRequest(shopKey, "k", "x"),
		prepare: func(s *system) {
			go func() { _, _ = http.DefaultClient.Do(orderRequest(shopKey, "k", "x")(s)) }()
			s.eventually(func() bool { return len(s.rows("claim/")) == 1 })
		},
	},
	{
		name: "call-lost", request: orderRequest(shopKey, "k", "x"),
		options: systemOptions{orders: plain.Options{Faults: fault.Faults{LoseReplies: 1}}},
	},
	{
		name: "outcome-unknown", request: orderRequest(shopKey, "k", "x"),
		options: systemOptions{orders: plain.Options{Faults: fault.Faults{LoseReplies: 1}}},
		prepare: func(s *system) { s.do(orderRequest(shopKey, "k", "x")(s)) },
	},
	{
		name: "platform-unavailable", request: orderRequest(shopKey, "k", "x"),
		prepare: func(s *system) { s.platform.SetFaults(platform.Table, fault.Faults{Down: true}) },
	},
}

// TestRefusals compares each kind of refusal with its golden file.
func TestRefusals(t *testing.T) {
	for _, test := range refusalCases {
		t.Run(test.name, func(t *testing.T) {
			s := start(t, test.options)
			if test.prepare != nil {
				test.prepare(s)
			}
			got := s.do(test.request(s))
			s.c.Assert(got.err, qt.IsNil)
			assertRefusal(t, test.name, got)
		})
	}
}

// assertRefusal compares a refusal with its golden file.
func assertRefusal(t *testing.T, name string, got answer) {
	id := got.header.Get("X-Request-Id")
	qt.Assert(t, id, qt.HasLen, 32)
	text := fmt.Sprintf("%d\nContent-Type: %s\nRetry-After: %s\n\n%s",
		got.status, got.header.Get("Content-Type"), got.header.Get("Retry-After"),
		strings.ReplaceAll(got.body, id, "REQUEST-ID"))
	goldie.New(t, goldie.WithFixtureDir("testdata/refusals")).Assert(t, name, []byte(text))
}
