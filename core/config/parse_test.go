package config_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"acaciapath.example/core/apikey"
	"acaciapath.example/core/config"
	"acaciapath.example/core/finding"
)

const classes = `
[service-class letters]
tier = 3
first-token-target = 1h
max-wait = 6h
prompt-price = 0.1 USD/Mtok
completion-price = 0.2 USD/Mtok
cheap-servers = true

[service-class chat]
tier = 1
first-token-target = 900ms  # a comment
max-wait = 10s
prompt-price = 0.40 USD/Mtok
completion-price = 1.25 USD/Mtok
`

func TestParseFindings(t *testing.T) {
	c := qt.New(t)
	files, err := config.ReadFolder("testdata/broken")
	c.Assert(err, qt.IsNil)
	_, err = config.Parse(files)
	var findings *finding.List
	c.Assert(errors.As(err, &findings), qt.IsTrue)
	c.Assert(err.Error(), qt.Not(qt.Contains), "S3cr3t")
	c.Assert(err.Error(), qt.Not(qt.Contains), "c2VjcmV0")
	goldie.New(t).Assert(t, "broken", []byte(err.Error()+"\n"))
	kinds := make(map[finding.Kind]bool)
	for _, f := range findings.Findings {
		kinds[f.Kind] = true
	}
	c.Assert(kinds, qt.HasLen, 6)
}

func TestParseMergesInOrderOfNames(t *testing.T) {
	c := qt.New(t)
	conf, err := config.Parse([]config.File{
		{Name: "90-change.ini", Text: "[service-class chat]\nmax-wait = 20s\n[limits]\nbody-bytes = 2MiB\n"},
		{Name: "10-classes.ini", Text: classes},
	})
	c.Assert(err, qt.IsNil)
	c.Assert(conf.Classes, qt.DeepEquals, []config.ServiceClass{{
		Name: "chat", Tier: 1, FirstTokenTarget: 900 * time.Millisecond, InterTokenTarget: 100 * time.Millisecond,
		MaxWait: 20 * time.Second, QueueLimit: 1000, PromptPriceMicros: 400_000, CompletionPriceMicros: 1_250_000,
	}, {
		Name: "letters", Tier: 3, FirstTokenTarget: time.Hour, InterTokenTarget: 100 * time.Millisecond,
		MaxWait: 6 * time.Hour, QueueLimit: 1000, PromptPriceMicros: 100_000, CompletionPriceMicros: 200_000, AllowCheapServers: true,
	}})
	c.Assert(conf.Limits, qt.Equals, config.Limits{
		BodyBytes: 2 << 20, HeaderTimeout: 5 * time.Second, BodyTimeout: 30 * time.Second,
		Connections: 10_000, RequestTimeout: 10 * time.Minute, RetryBudgetPercent: 10,
	})
	c.Assert(conf.Billing, qt.Equals, config.Billing{Window: 5 * time.Minute, Grace: time.Minute, Currency: "USD"})
}

func TestParseOrdersRoutes(t *testing.T) {
	c := qt.New(t)
	conf, err := config.Parse([]config.File{{Name: "routes.ini", Text: `
[plain-service shop]
call-price = 0.002 USD/call
[route a-any]
path-prefix = /orders
plain-service = shop
[route b-get]
method = GET
path-prefix = /orders/
plain-service = shop
[route c-long]
path-prefix = /orders/status
plain-service = shop
`}})
	c.Assert(err, qt.IsNil)
	var names []string
	for _, r := range conf.Routes {
		names = append(names, r.Name)
	}
	c.Assert(names, qt.DeepEquals, []string{"c-long", "b-get", "a-any"})
	index := config.NewIndex(conf, 1)
	c.Assert(index.Route("GET", "/orders/7").Name, qt.Equals, "b-get")
	c.Assert(index.Route("POST", "/orders/7").Name, qt.Equals, "a-any")
	c.Assert(index.Route("POST", "/orders/status/7").Name, qt.Equals, "c-long")
	c.Assert(index.Route("POST", "/ordersx"), qt.IsNil)
}

func TestKeySectionIsParsed(t *testing.T) {
	c := qt.New(t)
	key := config.Key{
		Name: "shop-1", ClientAccount: "shop", Hash: apikey.Hash("any"), DefaultClass: "chat", Withdrawn: true,
	}
	conf, err := config.Parse([]config.File{
		{Name: "10-classes.ini", Text: classes},
		{Name: "20-accounts.ini", Text: "[client-account shop]\nclasses = chat\n"},
		{Name: "30-keys.ini", Text: config.KeySection(key)},
	})
	c.Assert(err, qt.IsNil)
	c.Assert(conf.Keys, qt.DeepEquals, []config.Key{key})
}

// TestParseBoundsSuggestions checks that Parse stops searching for suggestions
// after 500,000 comparisons: each of 1000 keys refers to a client account that
// does not exist, and each search compares the names of 1000 accounts.
func TestParseBoundsSuggestions(t *testing.T) {
	c := qt.New(t)
	const accounts = 1000
	files := manyAccounts(accounts)
	files[2].Text = strings.ReplaceAll(files[2].Text, "client-account = ", "client-account = x")
	_, err := config.Parse(files)
	c.Assert(strings.Count(err.Error(), "there is no [client-account] named"), qt.Equals, accounts)
	c.Assert(strings.Count(err.Error(), "did you mean"), qt.Equals, 500)
}
