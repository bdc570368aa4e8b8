package settings_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
	"github.com/spf13/pflag"

	"acaciapath.example/core/peer"
	"acaciapath.example/core/settings"
)

// load loads the settings for a program that is started with the given
// arguments.
func load(c *qt.C, role settings.Role, arguments ...string) (*settings.Settings, error) {
	set := pflag.NewFlagSet("program", pflag.ContinueOnError)
	flags := settings.NewFlags(set, role)
	c.Assert(set.Parse(arguments), qt.IsNil)
	return flags.Load()
}

func TestLoadOverridesFileWithFlags(t *testing.T) {
	c := qt.New(t)
	got, err := load(c, settings.RoleEntry, "--settings", "testdata/entry.ini",
		"--daemon-address=10.0.1.5", "--platform-timeout=500ms", "--listen-ops-port", "0")
	c.Assert(err, qt.IsNil)
	c.Assert(*got, qt.Equals, settings.Settings{
		VMName: "entry-1", FailureDomain: "quito-a", ListenIP: "10.0.1.5",
		CallersPort: 8080, PeerPort: 9001, OpsPort: 0,
		PlatformAddress: "10.0.9.1:7000", PlatformTimeout: 500 * time.Millisecond,
		ConfigPollInterval: time.Second, IsolatedKeyDuration: 10 * time.Second, DrainTimeout: 10 * time.Minute, LeaseDuration: 6 * time.Second,
		TLS:      peer.TLSFiles{Certificate: "vm.pem", Key: "vm-key.pem", Authority: "authority.pem"},
		LogLevel: "warning", LogFormat: "json",
	})
}

func TestLoadForCommandRequiresOnlyPlatform(t *testing.T) {
	c := qt.New(t)
	got, err := load(c, settings.RoleCommand, "--platform-address=127.0.0.1:7000")
	c.Assert(err, qt.IsNil)
	want := settings.Default()
	want.PlatformAddress = "127.0.0.1:7000"
	c.Assert(*got, qt.Equals, want)
}

// TestLoadFindings compares the findings about files and flags with golden files.
func TestLoadFindings(t *testing.T) {
	for _, test := range []struct {
		name      string
		role      settings.Role
		arguments []string
	}{
		{name: "nothing", role: settings.RoleEntry},
		{name: "command-nothing", role: settings.RoleCommand},
		{name: "broken-file", role: settings.RoleControl, arguments: []string{"--settings=testdata/broken.ini"}},
		{name: "no-file", role: settings.RoleControl, arguments: []string{"--settings=testdata/absent.ini"}},
		{name: "flags", role: settings.RoleEntry, arguments: []string{
			"--settings=testdata/entry.ini", "--listen-ops-port=9001", "--platform-timeout=5", "--log-level=inf",
			"--trace-endpoint=collector:4318",
		}},
		{name: "without-tls", role: settings.RoleControl, arguments: []string{
			"--daemon-name=control-1", "--daemon-failure-domain=quito-a", "--daemon-address=10.0.1.4",
			"--platform-address=10.0.9.1:7000",
		}},
		{name: "half-tls", role: settings.RoleCommand, arguments: []string{
			"--platform-address=10.0.9.1:7000", "--tls-certificate=vm.pem",
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := load(c, test.role, test.arguments...)
			c.Assert(err, qt.Not(qt.IsNil))
			goldie.New(t).Assert(t, test.name, []byte(err.Error()+"\n"))
		})
	}
}

func TestNewFlagsForCommand(t *testing.T) {
	c := qt.New(t)
	set := pflag.NewFlagSet("program", pflag.ContinueOnError)
	settings.NewFlags(set, settings.RoleCommand)
	var names []string
	set.VisitAll(func(f *pflag.Flag) { names = append(names, f.Name) })
	c.Assert(strings.Join(names, " "), qt.Equals,
		"log-format log-level platform-address platform-timeout settings tls-authority tls-certificate tls-key")
}
