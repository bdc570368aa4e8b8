package catalog

import "time"

// Kind tells how often a request of a route may be executed.
type Kind string

const (
	// Idempotent requests may be executed any number of times.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests must not be executed more than once.
	AtMostOnce Kind = "once"
	// Stream requests are answered by a stream of events. They must not be
	// executed more than once unless the route is resumable.
	Stream Kind = "stream"
)

// Split assigns a share of a route's requests to a service.
type Split struct {
	// Service is the name of the service.
	Service string
	// Weight is the share of the requests that the service receives, relative to
	// the other weights of the route. Weight ≥ 0.
	Weight int
}

// Route forwards the requests for a host and path prefix to one or more services.
type Route struct {
	// Name is unique in the catalog.
	Name string
	// Host is the requested host in lower case, without a port.
	Host string
	// Prefix is the prefix of request paths. It starts and ends with a slash.
	Prefix string
	// Kind tells how often a request may be executed.
	Kind Kind
	// Timeout is the maximum time that a caller waits for an answer. Timeout > 0.
	Timeout time.Duration
	// LatencyTarget is the target time to the complete answer or, for a stream,
	// to its first event.
	LatencyTarget time.Duration
	// GapTarget is the target for the longest pause between two events of a
	// stream, or 0 for no target.
	GapTarget time.Duration
	// Tier is the priority of the requests; 0 is the most urgent.
	Tier int
	// Splits are the services that execute the requests. There is at least one.
	Splits []Split
	// MaxReplicas is the maximum number of replicas that one request may be sent
	// to. MaxReplicas ≥ 1.
	MaxReplicas int
	// Public is set if requests need no API key.
	Public bool
	// Generates is set if the requests run on model engines and have headers that
	// describe their workload.
	Generates bool
	// Resumable is set if another replica can resume an interrupted stream.
	Resumable bool
	// Homes are the regions in which the requests may be executed and their data kept. If
	// there are none, all regions are allowed.
	Homes []string
}

// Repeatable reports whether a request can be sent again although it may have
// been executed before.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Resumable }

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the maximum number of requests in an engine's batch. Slots ≥ 1.
	Slots int
	// KVCacheTokens is the size of an engine's KV cache, in tokens.
	KVCacheTokens int
	// EventTokens is the number of tokens in one event of a stream.
	// EventTokens ≥ 1.
	EventTokens int
	// CanCopyRuns is set if the engines can copy the KV cache of a running request
	// to each other.
	CanCopyRuns bool
	// KVBytesPerToken is the size of one token in the KV cache, in bytes.
	KVBytesPerToken float64
	// CopyBandwidth is the bandwidth of copies between engines, in bytes per
	// second.
	CopyBandwidth float64
}

// Scaling describes how the number of a service's replicas can be changed by
// orders to the platform.
type Scaling struct {
	// Min and Max bound the number of replicas in each failure domain.
	// 0 ≤ Min ≤ Max.
	Min, Max int
	// StartupTime is how long a new replica takes to start.
	StartupTime time.Duration
	// CheapPriceRatio is the price of a cheap backend server divided by the price
	// of a standard one, or 0 if there are no cheap ones.
	CheapPriceRatio float64
	// Prices maps failure domains to the price of a replica there.
	Prices map[string]float64
}

// Service is a set of replicas that serve the same requests.
type Service struct {
	// Name is unique in the catalog.
	Name string
	// HealthPath is the path of a replica's health check.
	HealthPath string
	// MaxConnections is the maximum number of connections that a replica accepts
	// in total, or 0 if it is unknown.
	MaxConnections int
	// Engine is non-nil if the replicas are model engines.
	Engine *Engine
	// Scaling is non-nil if replicas can be ordered from the platform.
	Scaling *Scaling
	// Cold is non-nil if the replicas are cold after their start.
	Cold *Cold
}

// Cold describes what replicas tolerate while they are cold: after their start, and whenever
// they say so. A cold replica crashes well above the rate.
type Cold struct {
	// Duration is how long a replica is cold after its start. Duration > 0.
	Duration time.Duration
	// PerSecond is the number of requests a second from all daemons together.
	// PerSecond > 0.
	PerSecond float64
}

// Account is a client account.
type Account struct {
	// Name is unique in the catalog.
	Name string
	// Keys are the API keys of the account.
	Keys []string
	// Tier overrides the tier of the route if it is not nil.
	Tier *int
	// Homes are the regions in which its requests may be executed and their data kept. If
	// there are none, the account does not restrict them.
	Homes []string
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	// HeaderBytes is the maximum size of a request's headers, or 0 for no limit.
	HeaderBytes int
	// BodyBytes is the maximum size of a request's body, or 0 for no limit.
	BodyBytes int64
	// HeaderTimeout is the maximum time that a caller may take to send the
	// headers.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum time that a connection may be idle between
	// requests.
	IdleTimeout time.Duration
}

// Catalog is one revision of the operator's configuration.
type Catalog struct {
	// Revision increases with each change.
	Revision int64
	// Routes are in no particular order.
	Routes []Route
	// Services are in no particular order.
	Services []Service
	// Accounts are in no particular order. If there are none, no request needs an
	// API key.
	Accounts []Account
	// Limits are the limits on callers' requests and connections.
	Limits Limits
}
