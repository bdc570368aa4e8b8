package forwarding

import "time"

// State is what a daemon knows of its own path to the backend servers.
type State int

// States of the own path.
const (
	// Direct means that the own path works, as far as is known.
	Direct State = iota
	// Suspect means that signs speak against the own path and probes are pending.
	Suspect
	// CutOff means that no backend server is reached on the own path.
	CutOff
)

// String returns the state as it appears in logs and metrics.
func (s State) String() string { return [...]string{"direct", "suspect", "cut-off"}[s] }

// Target is a backend server that can be probed.
type Target struct {
	// Name is the backend server's name, and Address its IP address and port.
	Name, Address string
	// FailureDomain is the failure domain of the backend server.
	FailureDomain string
}

// Contact is the outcome of a connection to a backend server.
type Contact int

// Outcomes of connections.
const (
	// Opened means that bytes arrived on a new connection.
	Opened Contact = iota
	// Refused means that the connection was refused.
	Refused
	// Reset means that the connection was accepted, and ended before a byte arrived.
	Reset
	// TimedOut means that the connection was not established, or stayed silent.
	TimedOut
)

// Reach decides from the outcomes of connections whether a daemon reaches the backend
// servers. It is not safe for concurrent use.
type Reach struct {
	state State
}

// State returns the state of the own path.
func (r *Reach) State(_ time.Time) State { return r.state }
