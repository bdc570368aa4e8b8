package peer

import "time"

// Methods that daemons serve on their peers' port.
const (
	// MethodStatus returns a Status; it takes no parameters.
	MethodStatus = "status"
	// MethodConfigHead takes the ConfigHead of the caller and returns that of the
	// receiver, so that each learns which revision the other has in force.
	MethodConfigHead = "config-head"
	// MethodGetConfig takes a ConfigRequest and returns a ConfigContent.
	MethodGetConfig = "config-get"
)

// Role is the kind of a daemon.
type Role string

// The roles of a daemon.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Status is what a daemon reports about itself.
type Status struct {
	// Name is the name of the daemon's VM.
	Name string `json:"name"`
	// Role is the role of the daemon.
	Role Role `json:"role"`
	// FailureDomain is the failure domain of the daemon.
	FailureDomain string `json:"failure-domain"`
	// Version is the version of the program.
	Version string `json:"version"`
	// Revision is the configuration revision in force; 0 means none.
	Revision uint64 `json:"revision"`
	// ConfirmedAt is when the revision was last known to be the newest.
	ConfirmedAt time.Time `json:"confirmed-at"`
	// RejectedRevision is the newest revision that failed the daemon's own check,
	// or 0.
	RejectedRevision uint64 `json:"rejected"`
	// Leaving says whether the daemon is shutting down.
	Leaving bool `json:"leaving"`
	// Connections is the number of callers' connections.
	Connections int `json:"connections"`
	// Queues are the queues of an entry daemon, sorted by model and tier.
	Queues []Queue `json:"queues"`
	// BackendServers are those that an entry daemon routes to, sorted by name.
	BackendServers []BackendServer `json:"backend-servers"`
	// Leases are those that a control daemon knows, sorted by name.
	Leases []Lease `json:"leases"`
	// Members are the daemons of the same failure domain, this one included,
	// sorted by VM and role.
	Members []Member `json:"members"`
	// Domains are the other failure domains, sorted by name.
	Domains []Domain `json:"domains"`
}

// Queue is the state of the requests of one model and service class.
type Queue struct {
	// Model is the name of the model.
	Model string `json:"model"`
	// ServiceClass is the name of the service class.
	ServiceClass string `json:"service-class"`
	// Waiting is the number of waiting requests.
	Waiting int `json:"waiting"`
	// Running is the number of running requests.
	Running int `json:"running"`
	// OldestWait is how long the oldest waiting request has waited.
	OldestWait time.Duration `json:"oldest"`
}

// BackendServer is the state of a backend server as an entry daemon sees it.
type BackendServer struct {
	// Name is the name of the backend server.
	Name string `json:"name"`
	// FailureDomain is its failure domain.
	FailureDomain string `json:"failure-domain"`
	// Kind is standard or cheap, the way in which it was bought.
	Kind string `json:"kind"`
	// Serves holds the models, or the one plain service, that it serves.
	Serves []string `json:"serves"`
	// Running is the number of this daemon's requests on it.
	Running int `json:"running"`
	// Slots is the number of requests that it can run concurrently.
	Slots int `json:"places"`
	// State is ready, leaving or failed.
	State string `json:"state"`
}

// Lease is the state of a lease as a control daemon sees it.
type Lease struct {
	// Name is the name of the lease.
	Name string `json:"name"`
	// Holder is the process that holds it; it is empty if none does.
	Holder string `json:"holder"`
	// Fence is the fencing token of the lease. It rises each time the lease is
	// acquired.
	Fence uint64 `json:"fence"`
	// IsHolder says whether this daemon is the holder.
	IsHolder bool `json:"held"`
}

// ConfigHead says which revision of the configuration a daemon has in force.
type ConfigHead struct {
	// Name is the name of the daemon.
	Name string `json:"name"`
	// Revision is the revision in force.
	Revision uint64 `json:"revision"`
}

// ConfigRequest asks for the content of a revision, or of a newer one.
type ConfigRequest struct {
	// Revision is the requested revision.
	Revision uint64 `json:"revision"`
}

// ConfigContent is the content of a revision.
type ConfigContent struct {
	// Revision is the number of the revision.
	Revision uint64 `json:"revision"`
	// Data is the content in its stored form; see revision.Unpack.
	Data []byte `json:"data"`
}
