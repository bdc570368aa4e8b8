package config_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"acaciapath.example/core/apikey"
	"acaciapath.example/core/config"
)

func TestExamples(t *testing.T) {
	for _, name := range []string{"sock-club", "skylights"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			files, err := config.ReadFolder("../../examples/" + name)
			c.Assert(err, qt.IsNil)
			for _, f := range files {
				c.Assert(f.Text, qt.Not(qt.Contains), apikey.Prefix)
			}
			conf, err := config.Parse(files)
			c.Assert(err, qt.IsNil)
			goldie.New(t).Assert(t, name, []byte(summary(conf)))
		})
	}
}

// summary returns a line for each declaration of a configuration, without the
// hashes of keys.
func summary(conf *config.Config) string {
	var b strings.Builder
	for _, x := range conf.Classes {
		fmt.Fprintf(&b, "service-class %+v\n", x)
	}
	for _, x := range conf.Accounts {
		fmt.Fprintf(&b, "client-account %+v\n", x)
	}
	for _, x := range conf.Keys {
		fmt.Fprintf(&b, "key %s of %s, class %s\n", x.Name, x.ClientAccount, x.DefaultClass)
	}
	for _, x := range conf.Models {
		fmt.Fprintf(&b, "model %+v\n", x)
	}
	for _, x := range conf.FailureDomains {
		fmt.Fprintf(&b, "failure-domain %+v\n", x)
	}
	for _, x := range conf.BackendServers {
		fmt.Fprintf(&b, "backend-server %+v\n", x)
	}
	minServers, maxServers := 0, 0
	for _, x := range conf.Pools {
		fmt.Fprintf(&b, "pool %+v\n", x)
		minServers, maxServers = minServers+x.Min, maxServers+x.Max
	}
	fmt.Fprintf(&b, "backend servers in pools: %d to %d\n", minServers, maxServers)
	for _, x := range conf.PlainServices {
		fmt.Fprintf(&b, "plain-service %+v\n", x)
	}
	for _, x := range conf.Routes {
		fmt.Fprintf(&b, "route %+v\n", x)
	}
	fmt.Fprintf(&b, "limits %+v\nbilling %+v\n", conf.Limits, conf.Billing)
	return b.String()
}
