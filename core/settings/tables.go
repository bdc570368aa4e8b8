package settings

import (
	"time"

	"acaciapath.example/core/ini"
	"acaciapath.example/core/telemetry"
	"acaciapath.example/core/value"
)

// maxPort is the greatest port of TCP.
const maxPort = 65535

// commandSections are those that matter to the command line.
var commandSections = []string{"platform", "tls", "log"}

// Reference returns the descriptions of all sections, with what a daemon
// requires.
func Reference() []ini.SectionDescription {
	var descriptions []ini.SectionDescription
	for _, k := range kinds(RoleEntry) {
		descriptions = append(descriptions, k.Describe())
	}
	return descriptions
}

// kinds returns the tables of all sections, with what the role requires.
func kinds(role Role) []ini.SectionKind[Settings] {
	return []ini.SectionKind[Settings]{
		daemonSection(role), listenSection(), platformSection(), configSection(), keysSection(), drainSection(),
		leaseSection(), tlsSection(), logSection(), traceSection(),
	}
}

func daemonSection(role Role) ini.SectionKind[Settings] {
	return ini.SectionKind[Settings]{
		Name: "daemon",
		Help: "Says who the daemon is. The command line needs none of it.",
		Settings: []ini.Setting[Settings]{
			{
				Name: "name", Required: role.daemon(),
				Help:    "Name of the VM, never used again after the VM is replaced.",
				Binding: ini.Bind(func(s *Settings) *string { return &s.VMName }, value.Name()),
			},
			{
				Name: "failure-domain", Required: role.daemon(),
				Help:    "Failure domain of the VM.",
				Binding: ini.Bind(func(s *Settings) *string { return &s.FailureDomain }, value.Name()),
			},
			{
				Name: "address", Required: role.daemon(),
				Help:    "IP number that the daemon listens on; a loopback address if [tls] has no files.",
				Binding: ini.Bind(func(s *Settings) *string { return &s.ListenIP }, value.IP()),
			},
		},
	}
}

func listenSection() ini.SectionKind[Settings] {
	return ini.SectionKind[Settings]{
		Name: "listen",
		Help: "Ports of TCP; 0 takes any free port. Two daemons on one VM need ports of their own.",
		Settings: []ini.Setting[Settings]{
			{
				Name: "callers-port", Default: "8080",
				Help:    "Port of an entry daemon for callers' requests.",
				Binding: ini.Bind(func(s *Settings) *int { return &s.CallersPort }, value.Int(0, maxPort)),
			},
			{
				Name: "peer-port", Default: "8081",
				Help:    "Port for peers.",
				Binding: ini.Bind(func(s *Settings) *int { return &s.PeerPort }, value.Int(0, maxPort)),
			},
			{
				Name: "ops-port", Default: "8082",
				Help:    "Port of /metrics, /healthz and /readyz.",
				Binding: ini.Bind(func(s *Settings) *int { return &s.OpsPort }, value.Int(0, maxPort)),
			},
		},
	}
}

func platformSection() ini.SectionKind[Settings] {
	return ini.SectionKind[Settings]{
		Name: "platform",
		Help: "Says where the platform is.",
		Settings: []ini.Setting[Settings]{
			{
				Name: "address", Required: true,
				Help:    "IP number and port of the platform.",
				Binding: ini.Bind(func(s *Settings) *string { return &s.PlatformAddress }, value.AddrPort()),
			},
			{
				Name: "timeout", Default: "2s",
				Help:    "Bounds each call of the platform.",
				Binding: ini.Bind(func(s *Settings) *time.Duration { return &s.PlatformTimeout }, value.Duration(time.Millisecond, time.Minute)),
			},
		},
	}
}

func configSection() ini.SectionKind[Settings] {
	return durationSection("config", "Says how a daemon follows the configuration.", ini.Setting[Settings]{
		Name: "poll", Default: "1s",
		Help:    "How often the platform is asked for a newer revision.",
		Binding: ini.Bind(func(s *Settings) *time.Duration { return &s.ConfigPollInterval }, value.Duration(10*time.Millisecond, 5*time.Second)),
	})
}

func keysSection() ini.SectionKind[Settings] {
	return durationSection("keys", "Says how long an entry daemon relies on the keys that it knows.", ini.Setting[Settings]{
		Name: "isolated", Default: "10s",
		Help: "How long keys are accepted while neither the platform nor any daemon of another VM can be reached, " +
			"so that the daemon does not hear of withdrawn keys; 0s accepts them for ever.",
		Binding: ini.Bind(func(s *Settings) *time.Duration { return &s.IsolatedKeyDuration }, value.Duration(0, 24*time.Hour)),
	})
}

func drainSection() ini.SectionKind[Settings] {
	return durationSection("drain", "Says how a daemon stops.", ini.Setting[Settings]{
		Name: "timeout", Default: "10m",
		Help:    "Bounds a graceful shutdown, after which requests that still run are cut.",
		Binding: ini.Bind(func(s *Settings) *time.Duration { return &s.DrainTimeout }, value.Duration(time.Millisecond, 24*time.Hour)),
	})
}

func leaseSection() ini.SectionKind[Settings] {
	return durationSection("lease", "Says how a control daemon takes charge.", ini.Setting[Settings]{
		Name: "duration", Default: "6s",
		Help:    "How long a lease lasts without being renewed.",
		Binding: ini.Bind(func(s *Settings) *time.Duration { return &s.LeaseDuration }, value.Duration(100*time.Millisecond, 10*time.Minute)),
	})
}

// durationSection returns a section with one setting.
func durationSection(name, help string, setting ini.Setting[Settings]) ini.SectionKind[Settings] {
	return ini.SectionKind[Settings]{Name: name, Help: help, Settings: []ini.Setting[Settings]{setting}}
}

func tlsSection() ini.SectionKind[Settings] {
	file := value.Text("file name")
	return ini.SectionKind[Settings]{
		Name: "tls",
		Help: "PEM files of mutual TLS between peers. Either all are set or none is.",
		Settings: []ini.Setting[Settings]{
			{
				Name:    "certificate",
				Help:    "The program's own certificate.",
				Binding: ini.Bind(func(s *Settings) *string { return &s.TLS.Certificate }, file),
			},
			{
				Name:    "key",
				Help:    "Private key of the certificate.",
				Binding: ini.Bind(func(s *Settings) *string { return &s.TLS.Key }, file),
			},
			{
				Name:    "authority",
				Help:    "Certificate that signed those of all members.",
				Binding: ini.Bind(func(s *Settings) *string { return &s.TLS.Authority }, file),
			},
		},
	}
}

func logSection() ini.SectionKind[Settings] {
	return ini.SectionKind[Settings]{
		Name: "log",
		Help: "Says what is logged.",
		Settings: []ini.Setting[Settings]{
			{
				Name: "level", Default: "info",
				Help:    "Least level that is logged.",
				Binding: ini.Bind(func(s *Settings) *string { return &s.LogLevel }, value.OneOf("error", "warning", "info", "debug", "trace")),
			},
			{
				Name: "format", Default: telemetry.FormatJSON,
				Help:    "Format of a line of the log.",
				Binding: ini.Bind(func(s *Settings) *string { return &s.LogFormat }, value.OneOf(telemetry.FormatJSON, telemetry.FormatText)),
			},
		},
	}
}

func traceSection() ini.SectionKind[Settings] {
	return ini.SectionKind[Settings]{
		Name: "trace",
		Help: "Says where spans go.",
		Settings: []ini.Setting[Settings]{
			{
				Name:    "endpoint",
				Help:    "IP number and port of a collector that takes OTLP over HTTP; without one, spans are not exported.",
				Binding: ini.Bind(func(s *Settings) *string { return &s.TraceEndpoint }, value.AddrPort()),
			},
		},
	}
}
