package metrics_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/entryd/metrics"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

var class = &config.ServiceClass{Name: "chat", FirstTokenTarget: time.Second, InterTokenTarget: 50 * time.Millisecond}

func TestTargets(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name           string
		answer         metrics.Answer
		first, between string
	}{
		{name: "met", answer: metrics.Answer{FirstTokenLatency: time.Second, InterTokenLatency: 50 * time.Millisecond, Tokens: 7}, first: "met", between: "met"},
		{name: "late first token", answer: metrics.Answer{FirstTokenLatency: 2 * time.Second, InterTokenLatency: time.Millisecond, Tokens: 7}, first: "missed", between: "met"},
		{name: "slow tokens", answer: metrics.Answer{FirstTokenLatency: time.Second, InterTokenLatency: time.Second, Tokens: 7}, first: "met", between: "missed"},
		{name: "not streamed", answer: metrics.Answer{TotalTime: 1500 * time.Millisecond, Tokens: 10}, first: "met", between: "met"},
		{name: "not streamed and late", answer: metrics.Answer{TotalTime: 1501 * time.Millisecond, Tokens: 10}, first: "missed", between: "missed"},
	} {
		c.Run(test.name, func(c *qt.C) {
			registry := prometheus.NewRegistry()
			test.answer.Class = class
			metrics.New(registry).RecordAnswer(test.answer)
			want := fmt.Sprintf(`
# HELP acaciapath_entry_first_token_targets_total Answers by whether they met their class's target for the first token.
# TYPE acaciapath_entry_first_token_targets_total counter
acaciapath_entry_first_token_targets_total{result="%s",service_class="chat"} 1
# HELP acaciapath_entry_inter_token_targets_total Answers by whether they met their class's target between tokens.
# TYPE acaciapath_entry_inter_token_targets_total counter
acaciapath_entry_inter_token_targets_total{result="%s",service_class="chat"} 1
`, test.first, test.between)
			names := []string{"acaciapath_entry_first_token_targets_total", "acaciapath_entry_inter_token_targets_total"}
			c.Assert(testutil.GatherAndCompare(registry, strings.NewReader(want), names...), qt.IsNil)
		})
	}
}

func TestClientAccountsAreBounded(t *testing.T) {
	c := qt.New(t)
	registry := prometheus.NewRegistry()
	m := metrics.New(registry)
	for i := range 100 {
		m.RecordAnswer(metrics.Answer{Class: class, ClientAccount: fmt.Sprint("good-", i), FirstTokenLatency: 1, Tokens: 1})
	}
	m.CountUnanswered("chat", "bad", 3)
	shown, err := testutil.GatherAndCount(registry, "acaciapath_entry_client_account_attainment_ratio")
	c.Assert(err, qt.IsNil)
	c.Assert(shown, qt.Equals, 20)
	c.Assert(testutil.GatherAndCompare(registry, strings.NewReader(`
# HELP acaciapath_entry_worst_client_account_attainment_ratio Lowest attainment of any client account of a class.
# TYPE acaciapath_entry_worst_client_account_attainment_ratio gauge
acaciapath_entry_worst_client_account_attainment_ratio{service_class="chat"} 0
`), "acaciapath_entry_worst_client_account_attainment_ratio"), qt.IsNil)
}

func TestTokensByKind(t *testing.T) {
	c := qt.New(t)
	registry := prometheus.NewRegistry()
	m := metrics.New(registry)
	m.CountGeneratedTokens(config.KindCheap, 5, true)
	m.CountGeneratedTokens(config.KindCheap, 2, false)
	m.CountGeneratedTokens(config.KindStandard, 7, true)
	c.Assert(testutil.GatherAndCompare(registry, strings.NewReader(`
# HELP acaciapath_entry_backend_server_tokens_total Generated tokens by the kind of the backend server that ended the answer.
# TYPE acaciapath_entry_backend_server_tokens_total counter
acaciapath_entry_backend_server_tokens_total{kind="cheap",result="broken"} 2
acaciapath_entry_backend_server_tokens_total{kind="cheap",result="whole"} 5
acaciapath_entry_backend_server_tokens_total{kind="standard",result="whole"} 7
`), "acaciapath_entry_backend_server_tokens_total"), qt.IsNil)
}
