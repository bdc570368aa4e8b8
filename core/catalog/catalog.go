package catalog

import "time"

// Kind says how often a request of a route may run.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests may run at most once.
	AtMostOnce Kind = "once"
	// Stream requests are answered by a series of events. They may run at most
	// once unless the route is resumable.
	Stream Kind = "stream"
)

// Split is one of several services among which a route's requests are divided.
type Split struct {
	// Service is the name of the service.
	Service string
	// Weight is its share of the requests, relative to the other weights.
	// Weight ≥ 0.
	Weight int
}

// Route leads requests to a service.
type Route struct {
	// Name is unique in the catalog.
	Name string
	// Host is the host that requests ask for, in lower case and without port.
	Host string
	// Prefix begins the paths of its requests. It begins and ends with a slash.
	Prefix string
	// Kind says how often a request may run.
	Kind Kind
	// Timeout is the longest time that a request is kept waiting. Timeout > 0.
	Timeout time.Duration
	// LatencyTarget is the latency objective: of the whole answer, or of the first
	// event of a stream.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between events of a stream that is still
	// on time, or 0 if the route has none.
	GapTarget time.Duration
	// Tier is the rank of its requests; 0 is the most urgent.
	Tier int
	// Splits are the services that run its requests. There is at least one.
	Splits []Split
	// MaxReplicas is the most replicas that may run one request.
	// MaxReplicas ≥ 1.
	MaxReplicas int
	// Public says whether requests need no key.
	Public bool
	// Generates says whether its requests run on model engines and tell their
	// workload.
	Generates bool
	// Resumable says whether another replica can go on with a broken stream.
	Resumable bool
}

// Repeatable reports whether a request that may have run can be sent again.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Resumable }

// Engine is what is known of the model engines of a service.
type Engine struct {
	// Places is the number of requests that an engine batches. Places ≥ 1.
	Places int
	// CacheTokens is the memory of an engine, in tokens.
	CacheTokens int
	// EventTokens is the number of tokens in one event of a stream.
	// EventTokens ≥ 1.
	EventTokens int
	// CanCopyRuns says that the engines can copy the memory of a run to each other.
	CanCopyRuns bool
	// TokenBytes is the memory of one token of a run, in bytes.
	TokenBytes float64
	// CopyBandwidth is that of copies between engines, in bytes a second.
	CopyBandwidth float64
}

// Scaling bounds the replicas of a service that can be ordered.
type Scaling struct {
	// Min and Max bound the replicas in each failure domain. 0 ≤ Min ≤ Max.
	Min, Max int
	// Boot is how long a new replica takes to start.
	Boot time.Duration
	// CheapPriceRatio is the price of a cheap backend server as a share of that of a
	// standard one, or 0 if there are none.
	CheapPriceRatio float64
	// Prices are the prices of a replica by failure domain.
	Prices map[string]float64
}

// Service is a set of replicas that run the same requests.
type Service struct {
	// Name is unique in the catalog.
	Name string
	// HealthPath is the path that tells whether a replica is healthy.
	HealthPath string
	// MaxConnections is the number of connections that a replica accepts from
	// all callers together, or 0 if it is not known.
	MaxConnections int
	// Engine is set if its replicas are model engines.
	Engine *Engine
	// Scaling is set if its replicas can be ordered.
	Scaling *Scaling
}

// Account is a client account.
type Account struct {
	// Name is unique in the catalog.
	Name string
	// Keys are its API keys.
	Keys []string
	// Tier takes precedence over that of the route, if it is set.
	Tier *int
}

// Limits bound what callers may send.
type Limits struct {
	// HeaderBytes is the most bytes of a request's headers, or 0 for no bound.
	HeaderBytes int
	// BodyBytes is the most bytes of a request's body, or 0 for no bound.
	BodyBytes int64
	// HeaderTimeout is how long a caller may take to send the headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle between requests.
	IdleTimeout time.Duration
}

// Catalog is one revision of what an operator declares.
type Catalog struct {
	// Revision rises with each change.
	Revision int64
	// Routes are in no order.
	Routes []Route
	// Services are in no order.
	Services []Service
	// Accounts are in no order. If there are none, no request needs a key.
	Accounts []Account
	// Limits bound what callers may send.
	Limits Limits
}
