package settings

import (
	"net/netip"
	"time"

	"acaciapath.example/core/peer"
)

// Role is the kind of program that reads the settings.
type Role string

// The roles.
const (
	// RoleEntry is an entry daemon.
	RoleEntry Role = "entry"
	// RoleControl is a control daemon.
	RoleControl Role = "control"
	// RoleCommand is the operators' command-line tool, which runs no daemon.
	RoleCommand Role = "command"
)

// isDaemon reports whether the role is that of a daemon.
func (r Role) isDaemon() bool { return r != RoleCommand }

// Settings are the settings that a program reads when it starts.
type Settings struct {
	// VMName is the name of the VM that the daemon runs on. It is not reused
	// after the VM is replaced.
	VMName string
	// FailureDomain is the failure domain of the VM.
	FailureDomain string
	// ListenIP is the IP address that the daemon listens on.
	ListenIP string
	// CallersPort is the port for callers' requests. For this and the other
	// ports, 0 means any free port.
	CallersPort int
	// PeerPort is the port for peers.
	PeerPort int
	// OpsPort is the port that serves /metrics, /healthz and /readyz.
	OpsPort int
	// PlatformAddress is the IP address and port of the platform.
	PlatformAddress string
	// PlatformTimeout is the timeout of each call to the platform. It is greater
	// than 0.
	PlatformTimeout time.Duration
	// ConfigPollInterval is the interval at which the platform is asked for a
	// newer revision of the configuration. It is greater than 0.
	ConfigPollInterval time.Duration
	// IsolatedKeyDuration is how long an entry daemon continues to accept keys
	// while it can reach neither the platform nor any daemon on another VM; 0
	// means without limit. It is not negative.
	IsolatedKeyDuration time.Duration
	// DrainTimeout is the maximum duration of a graceful shutdown, and greater
	// than 0.
	DrainTimeout time.Duration
	// LeaseDuration is how long a lease remains valid without being renewed. It
	// is greater than 0.
	LeaseDuration time.Duration
	// TLS names the files for mutual TLS on the peers' port. Without them
	// ListenIP is a loopback address.
	TLS peer.TLSFiles
	// LogLevel is the name of a logrus level.
	LogLevel string
	// LogFormat is telemetry.FormatJSON or telemetry.FormatText.
	LogFormat string
	// TraceEndpoint is the IP address and port of an OTLP/HTTP collector. If it
	// is empty, spans are not exported.
	TraceEndpoint string
}

// Default returns settings in which only the settings with a default are set.
func Default() Settings {
	var s Settings
	for _, k := range kinds(RoleCommand) {
		k.SetDefaults(&s)
	}
	return s
}

// listensOnLoopback reports whether ListenIP is a loopback address.
func (s *Settings) listensOnLoopback() bool {
	address, err := netip.ParseAddr(s.ListenIP)
	return err == nil && address.IsLoopback()
}
