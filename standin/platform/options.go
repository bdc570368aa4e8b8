package platform

import (
	"time"

	"acaciapath.example/core/gen/servers"
	"acaciapath.example/core/gen/vms"
)

// Options say how a Server behaves. The zero value is a platform without lags,
// limits, VMs and backend servers that ignores fencing numbers.
type Options struct {
	// Now returns the present time; nil means time.Now.
	Now func() time.Time
	// VMListLag is how far the list of VMs lags behind. VMListLag ≥ 0.
	VMListLag time.Duration
	// VMs are the entry VMs that are listed from the start.
	VMs []*vms.VM
	// Servers are the backend servers that run from the start.
	Servers []*servers.BackendServer
	// ChecksFencing says whether an order with a fencing number that is lower
	// than one seen before, in the same failure domain, is refused.
	ChecksFencing bool
	// StartDelay is how long an ordered backend server takes to start.
	StartDelay time.Duration
	// Launcher starts the backend servers that are ordered; nil gives them
	// addresses at which nothing runs.
	Launcher Launcher
	// Capacity bounds the backend servers of a kind in a failure domain that
	// are not gone. One that is not listed is not bounded.
	Capacity map[ServerGroup]int
	// WritesPerSecond bounds the writes to the table service and the object
	// store together; 0 means no limit. A transaction is one write.
	WritesPerSecond int
	// ReadsPerSecond bounds the reads of both; 0 means no limit.
	ReadsPerSecond int
	// LogLimit is the number of entries that the receivers' log keeps; 0 means
	// record.DefaultLimit.
	LogLimit int
}

// ServerGroup names the backend servers of one kind in one failure domain.
type ServerGroup struct {
	// FailureDomain is the failure domain.
	FailureDomain string
	// Kind is standard or cheap.
	Kind string
}

// Launcher starts backend servers. It is called by several threads.
type Launcher interface {
	// Launch starts server and returns its IP number and port, and a function
	// that stops it at once.
	Launch(server servers.BackendServer) (address string, stop func(), err error)
}
