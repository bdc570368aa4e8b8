package settings

import (
	"time"

	"acaciapath.example/core/ini"
	"acaciapath.example/core/telemetry"
	"acaciapath.example/core/value"
)

// maxPort is the greatest TCP port.
const maxPort = 65535

// commandSections are the sections that RoleCommand uses. Only their settings
// get flags in the command-line tool.
var commandSections = []string{"platform", "tls", "log"}

// Reference returns the descriptions of all sections for the reference page.
// The settings that an entry daemon requires are marked as required.
func Reference() []ini.SectionDescription {
	var descriptions []ini.SectionDescription
	for _, k := range kinds(RoleEntry) {
		descriptions = append(descriptions, k.Describe())
	}
	return descriptions
}

// kinds returns the declarations of all sections. The role determines which
// settings are required.
func kinds(role Role) []ini.SectionKind[Settings] {
	return []ini.SectionKind[Settings]{
		daemonSection(role), listenSection(), platformSection(), configSection(), keysSection(), drainSection(),
		leaseSection(), tlsSection(), logSection(), traceSection(),
	}
}

func daemonSection(role Role) ini.SectionKind[Settings] {
	return ini.SectionKind[Settings]{
		Name: "daemon",
		Help: "Identity and address of the daemon. The command-line tool does not use it.",
		Settings: []ini.Setting[Settings]{
			{
				Name: "name", Required: role.isDaemon(),
				Help:    "Name of the VM. It must not be reused after the VM is replaced.",
				Binding: ini.Bind(func(s *Settings) *string { return &s.VMName }, value.Name()),
			},
			{
				Name: "failure-domain", Required: role.isDaemon(),
				Help:    "Failure domain of the VM.",
				Binding: ini.Bind(func(s *Settings) *string { return &s.FailureDomain }, value.Name()),
			},
			{
				Name: "address", Required: role.isDaemon(),
				Help:    "IP address that the daemon listens on. It must be a loopback address if [tls] has no files.",
				Binding: ini.Bind(func(s *Settings) *string { return &s.ListenIP }, value.IP()),
			},
		},
	}
}

func listenSection() ini.SectionKind[Settings] {
	return ini.SectionKind[Settings]{
		Name: "listen",
		Help: "TCP ports; 0 means any free port. Two daemons on one VM need different ports.",
		Settings: []ini.Setting[Settings]{
			{
				Name: "callers-port", Default: "8080",
				Help:    "Port for callers' requests. Only entry daemons use it.",
				Binding: ini.Bind(func(s *Settings) *int { return &s.CallersPort }, value.Int(0, maxPort)),
			},
			{
				Name: "peer-port", Default: "8081",
				Help:    "Port for peers.",
				Binding: ini.Bind(func(s *Settings) *int { return &s.PeerPort }, value.Int(0, maxPort)),
			},
			{
				Name: "ops-port", Default: "8082",
				Help:    "Port that serves /metrics, /healthz and /readyz.",
				Binding: ini.Bind(func(s *Settings) *int { return &s.OpsPort }, value.Int(0, maxPort)),
			},
		},
	}
}

func platformSection() ini.SectionKind[Settings] {
	return ini.SectionKind[Settings]{
		Name: "platform",
		Help: "How the platform is called.",
		Settings: []ini.Setting[Settings]{
			{
				Name: "address", Required: true,
				Help:    "IP address and port of the platform.",
				Binding: ini.Bind(func(s *Settings) *string { return &s.PlatformAddress }, value.AddrPort()),
			},
			{
				Name: "timeout", Default: "2s",
				Help:    "Timeout of each call to the platform.",
				Binding: ini.Bind(func(s *Settings) *time.Duration { return &s.PlatformTimeout }, value.Duration(time.Millisecond, time.Minute)),
			},
		},
	}
}

func configSection() ini.SectionKind[Settings] {
	return durationSection("config", "How a daemon learns of new revisions of the configuration.", ini.Setting[Settings]{
		Name: "poll", Default: "1s",
		Help:    "Interval at which the platform is asked for a newer revision.",
		Binding: ini.Bind(func(s *Settings) *time.Duration { return &s.ConfigPollInterval }, value.Duration(10*time.Millisecond, 5*time.Second)),
	})
}

func keysSection() ini.SectionKind[Settings] {
	return durationSection("keys", "How long an entry daemon accepts the keys that it knows while it is isolated.", ini.Setting[Settings]{
		Name: "isolated", Default: "10s",
		Help: "How long keys are accepted while neither the platform nor any daemon on another VM can be reached, " +
			"so that the daemon cannot learn that a key was withdrawn; 0s means without limit.",
		Binding: ini.Bind(func(s *Settings) *time.Duration { return &s.IsolatedKeyDuration }, value.Duration(0, 24*time.Hour)),
	})
}

func drainSection() ini.SectionKind[Settings] {
	return durationSection("drain", "How a daemon shuts down.", ini.Setting[Settings]{
		Name: "timeout", Default: "10m",
		Help:    "Maximum duration of a graceful shutdown. Requests that are still running after it are aborted.",
		Binding: ini.Bind(func(s *Settings) *time.Duration { return &s.DrainTimeout }, value.Duration(time.Millisecond, 24*time.Hour)),
	})
}

func leaseSection() ini.SectionKind[Settings] {
	return durationSection("lease", "Leases, under which one control daemon at a time orders backend servers and reports usage.", ini.Setting[Settings]{
		Name: "duration", Default: "6s",
		Help:    "How long a lease remains valid without being renewed.",
		Binding: ini.Bind(func(s *Settings) *time.Duration { return &s.LeaseDuration }, value.Duration(100*time.Millisecond, 10*time.Minute)),
	})
}

// durationSection returns the declaration of a section with a single setting.
func durationSection(name, help string, setting ini.Setting[Settings]) ini.SectionKind[Settings] {
	return ini.SectionKind[Settings]{Name: name, Help: help, Settings: []ini.Setting[Settings]{setting}}
}

func tlsSection() ini.SectionKind[Settings] {
	file := value.Text("file name")
	return ini.SectionKind[Settings]{
		Name: "tls",
		Help: "PEM files for mutual TLS between peers. Either all of them are set or none.",
		Settings: []ini.Setting[Settings]{
			{
				Name:    "certificate",
				Help:    "Certificate of the program.",
				Binding: ini.Bind(func(s *Settings) *string { return &s.TLS.Certificate }, file),
			},
			{
				Name:    "key",
				Help:    "Private key of the certificate.",
				Binding: ini.Bind(func(s *Settings) *string { return &s.TLS.Key }, file),
			},
			{
				Name:    "authority",
				Help:    "Certificate of the authority that signed the certificates of all members.",
				Binding: ini.Bind(func(s *Settings) *string { return &s.TLS.Authority }, file),
			},
		},
	}
}

func logSection() ini.SectionKind[Settings] {
	return ini.SectionKind[Settings]{
		Name: "log",
		Help: "Logging.",
		Settings: []ini.Setting[Settings]{
			{
				Name: "level", Default: "info",
				Help:    "Lowest level that is logged.",
				Binding: ini.Bind(func(s *Settings) *string { return &s.LogLevel }, value.OneOf("error", "warning", "info", "debug", "trace")),
			},
			{
				Name: "format", Default: telemetry.FormatJSON,
				Help:    "Format of the log lines.",
				Binding: ini.Bind(func(s *Settings) *string { return &s.LogFormat }, value.OneOf(telemetry.FormatJSON, telemetry.FormatText)),
			},
		},
	}
}

func traceSection() ini.SectionKind[Settings] {
	return ini.SectionKind[Settings]{
		Name: "trace",
		Help: "Export of trace spans.",
		Settings: []ini.Setting[Settings]{
			{
				Name:    "endpoint",
				Help:    "IP address and port of a collector that accepts OTLP over HTTP. Without it, spans are not exported.",
				Binding: ini.Bind(func(s *Settings) *string { return &s.TraceEndpoint }, value.AddrPort()),
			},
		},
	}
}
