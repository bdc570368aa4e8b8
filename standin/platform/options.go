package platform

import (
	"time"

	"acaciapath.example/core/gen/servers"
	"acaciapath.example/core/gen/vms"
)

// Options configure a Server. The zero value is a platform without lag, limits,
// VMs and backend servers that does not check fencing tokens.
type Options struct {
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// VMListLag is the delay with which changes appear in the list of VMs.
	// VMListLag ≥ 0.
	VMListLag time.Duration
	// VMs are the entry VMs that are listed initially.
	VMs []*vms.VM
	// Servers are the backend servers that exist initially.
	Servers []*servers.BackendServer
	// ChecksFencing reports whether an order or release is rejected if its
	// fencing token is lower than the highest one received for the same failure
	// domain.
	ChecksFencing bool
	// StartDelay is the time from an order to the launch of the backend server.
	StartDelay time.Duration
	// Launcher starts the ordered backend servers. nil assigns them addresses
	// without running anything.
	Launcher Launcher
	// Capacity is the maximum number of backend servers in each group, not
	// counting those that are gone. A group without an entry has no limit.
	Capacity map[ServerGroup]int
	// WritesPerSecond limits the writes to the table service and the object
	// store together; 0 means no limit. A transaction is one write.
	WritesPerSecond int
	// ReadsPerSecond limits the reads from the table service and the object
	// store together; 0 means no limit.
	ReadsPerSecond int
	// LogLimit is the maximum number of entries in the log; 0 means
	// record.DefaultLimit.
	LogLimit int
}

// ServerGroup identifies the backend servers of one kind in one failure domain.
type ServerGroup struct {
	// FailureDomain is the failure domain.
	FailureDomain string
	// Kind is standard or cheap.
	Kind string
}

// Launcher starts backend servers. It must be safe for concurrent use.
type Launcher interface {
	// Launch starts server. It returns the IP address and port of the server and
	// a function that stops it immediately.
	Launch(server servers.BackendServer) (address string, stop func(), err error)
}
