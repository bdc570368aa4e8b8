// Package settings reads the one INI file that tells a program who it is and
// whom it speaks to. Every setting can be changed by a flag, which is named
// after its section and setting: --platform-address for address in [platform].
package settings

import (
	"net/netip"
	"time"

	"acaciapath.example/core/peer"
)

// Role is the kind of program that the settings are for.
type Role string

// The roles.
const (
	// RoleEntry is an entry daemon.
	RoleEntry Role = "entry"
	// RoleControl is a control daemon.
	RoleControl Role = "control"
	// RoleCommand is the operators' command line, which has no daemon of its
	// own to set up.
	RoleCommand Role = "command"
)

// daemon reports whether the role is that of a daemon.
func (r Role) daemon() bool { return r != RoleCommand }

// Settings are what one daemon is told at its start.
type Settings struct {
	// VMName is the name of the VM that the daemon runs on, never used again
	// after the VM is replaced.
	VMName string
	// FailureDomain is the failure domain of the VM.
	FailureDomain string
	// ListenIP is the IP number that the daemon listens on.
	ListenIP string
	// CallersPort takes callers' requests; 0 takes any free port, here and in
	// the other ports.
	CallersPort int
	// PeerPort takes peers.
	PeerPort int
	// OpsPort serves /metrics, /healthz and /readyz.
	OpsPort int
	// PlatformAddress is the IP number and port of the platform.
	PlatformAddress string
	// PlatformTimeout bounds each call of the platform. PlatformTimeout > 0.
	PlatformTimeout time.Duration
	// ConfigPollInterval is how often the platform is asked for a newer revision.
	// ConfigPollInterval > 0.
	ConfigPollInterval time.Duration
	// IsolatedKeyDuration is how long an entry daemon goes on accepting keys while it
	// reaches neither the platform nor any neighbour; 0 means for ever.
	// IsolatedKeyDuration ≥ 0.
	IsolatedKeyDuration time.Duration
	// DrainTimeout bounds a graceful shutdown. DrainTimeout > 0.
	DrainTimeout time.Duration
	// LeaseDuration is how long a lease lasts without being renewed. LeaseDuration > 0.
	LeaseDuration time.Duration
	// TLS names the files for the peers' port. Without them Address is a
	// loopback address.
	TLS peer.TLSFiles
	// LogLevel is a level of logrus.
	LogLevel string
	// LogFormat is json or text.
	LogFormat string
	// TraceEndpoint is the IP number and port of an OTLP/HTTP collector; empty
	// means that spans are not exported.
	TraceEndpoint string
}

// Default returns settings in which only those that have a default are set.
func Default() Settings {
	var s Settings
	for _, k := range kinds(RoleCommand) {
		k.SetDefaults(&s)
	}
	return s
}

// loopback reports whether the daemon listens on a loopback address.
func (s *Settings) loopback() bool {
	address, err := netip.ParseAddr(s.ListenIP)
	return err == nil && address.IsLoopback()
}
