package config

import "time"

// Config is a checked configuration. It must not be changed.
type Config struct {
	// Classes are sorted by tier, most urgent first. Tiers are unique.
	Classes []ServiceClass
	// Accounts are sorted by name.
	Accounts []ClientAccount
	// Keys are sorted by name. Hashes are unique.
	Keys []Key
	// Models are sorted by name.
	Models []Model
	// FailureDomains are sorted by name.
	FailureDomains []FailureDomain
	// BackendServers are sorted by name.
	BackendServers []BackendServer
	// Pools are sorted by name.
	Pools []Pool
	// PlainServices are sorted by name.
	PlainServices []PlainService
	// Routes are in the order in which they are matched: longest path prefix
	// first, then routes with a method before those without, then by name.
	Routes []Route
	// Limits apply to each entry daemon.
	Limits Limits
	// Billing says how usage is reported.
	Billing Billing
}

// ServiceClass is a service level that client accounts buy.
type ServiceClass struct {
	// Name is unique among the classes.
	Name string
	// Tier is the priority; 1 is the most urgent. 1 ≤ Tier ≤ 99.
	Tier int
	// FirstTokenTarget is the time to the first token that 95 % of the requests
	// should meet. FirstTokenTarget > 0.
	FirstTokenTarget time.Duration
	// InterTokenTarget is the time between tokens that 95 % of the requests
	// should meet. InterTokenTarget > 0.
	InterTokenTarget time.Duration
	// MaxWait is how long a request may wait for a slot of a backend server
	// before it is rejected. MaxWait ≥ FirstTokenTarget.
	MaxWait time.Duration
	// QueueLimit is the maximum number of requests of the class that wait in one
	// entry daemon. QueueLimit ≥ 1.
	QueueLimit int
	// PromptPriceMicros is the price of a million prompt tokens, in millionths of
	// the currency unit. PromptPriceMicros ≥ 0.
	PromptPriceMicros int64
	// CompletionPriceMicros is the price of a million generated tokens, in
	// millionths of the currency unit. CompletionPriceMicros ≥ 0.
	CompletionPriceMicros int64
	// AllowCheapServers says whether the requests of the class may run on cheap
	// backend servers, which the platform can evict on a few seconds' notice.
	AllowCheapServers bool
}

// ClientAccount is an account that sends requests and is billed for the usage.
type ClientAccount struct {
	// Name is unique among the client accounts.
	Name string
	// Classes are the names of the service classes that the account has bought.
	// len(Classes) ≥ 1.
	Classes []string
	// RequestsPerMinute limits the rate of requests; 0 means no limit.
	RequestsPerMinute int
	// TokensPerMinute limits the rate of prompt and generated tokens together;
	// 0 means no limit.
	TokensPerMinute int
	// ConcurrentRequests limits the number of waiting and running requests; 0
	// means no limit.
	ConcurrentRequests int
}

// Key is an API key of a client account. The key itself is never stored.
type Key struct {
	// Name is unique among the keys. It is shown in logs in place of the key.
	Name string
	// ClientAccount is the name of the client account that the key belongs to.
	ClientAccount string
	// Hash is the SHA-256 of the key.
	Hash [32]byte
	// DefaultClass is the service class of requests that do not name one. The
	// client account has bought it.
	DefaultClass string
	// Withdrawn says whether the key has been withdrawn, so that it is no longer
	// accepted.
	Withdrawn bool
}

// Model is a language model that callers can use.
type Model struct {
	// Name is unique among the models.
	Name string
	// ContextTokens is the size of the context window. ContextTokens ≥ 1.
	ContextTokens int
	// MaxCompletionTokens is the maximum length of an answer.
	// 1 ≤ MaxCompletionTokens ≤ ContextTokens.
	MaxCompletionTokens int
}

// FailureDomain is a part of a region that can fail as a whole.
type FailureDomain struct {
	// Name is unique among the failure domains.
	Name string
	// Region is the region that the failure domain is in.
	Region string
}

// ServerKind is the way in which a backend server was bought.
type ServerKind string

const (
	// KindStandard is a backend server that is kept until it is released.
	KindStandard ServerKind = "standard"
	// KindCheap is a backend server that the platform can evict on a few seconds'
	// notice.
	KindCheap ServerKind = "cheap"
)

// BackendServer is a backend server that was not ordered through a pool.
// Exactly one of Models and PlainService is set.
type BackendServer struct {
	// Name is unique among the backend servers.
	Name string
	// Address is an IP address and a port.
	Address string
	// FailureDomain is the name of its failure domain.
	FailureDomain string
	// Kind is the way in which it was bought.
	Kind ServerKind
	// Models are the names of the models that it serves.
	Models []string
	// PlainService is the name of the plain service of which it is a replica.
	PlainService string
	// Slots is the number of requests that it can run concurrently. Slots ≥ 1.
	Slots int
	// ChecksFencing says whether it rejects an order whose fencing token is lower
	// than one that it has seen.
	ChecksFencing bool
}

// Pool is a set of backend servers of one model in one failure domain that
// the control daemon orders from the platform.
type Pool struct {
	// Name is unique among the pools.
	Name string
	// Model is the name of the model that the backend servers load.
	Model string
	// FailureDomain is the name of the failure domain.
	FailureDomain string
	// Kind is the way in which the backend servers are bought.
	Kind ServerKind
	// Min is the minimum number of backend servers. 0 ≤ Min ≤ Max.
	Min int
	// Max is the maximum number of backend servers. Max ≥ 1.
	Max int
	// Slots is the number of requests that each can run concurrently. Slots ≥ 1.
	Slots int
	// HourPriceMicros is the price of one backend server for an hour, in
	// millionths of the currency unit. HourPriceMicros ≥ 0.
	HourPriceMicros int64
}

// PlainService is a service whose backend servers are not model engines. Routes
// send calls to it.
type PlainService struct {
	// Name is unique among the plain services.
	Name string
	// ChecksIdempotencyKey says whether the service itself ensures that it does
	// not run two calls with the same idempotency key.
	ChecksIdempotencyKey bool
	// CallPriceMicros is the price of one call, in millionths of the currency
	// unit. CallPriceMicros ≥ 0.
	CallPriceMicros int64
}

// Access says who may use a route.
type Access string

const (
	// AccessKeyed requires an API key of a client account.
	AccessKeyed Access = "keyed"
	// AccessOpen allows every caller.
	AccessOpen Access = "open"
)

// Route sends calls to a plain service.
type Route struct {
	// Name is unique among the routes.
	Name string
	// Method is the HTTP method, or empty for all.
	Method string
	// PathPrefix starts with a slash and matches whole path segments. It is
	// neither a path that the router serves itself nor below one.
	PathPrefix string
	// PlainService is the name of the plain service.
	PlainService string
	// Access says who may use the route.
	Access Access
	// Repeatable says whether a call that may have been run can be sent again.
	Repeatable bool
	// Timeout bounds the time of a call. Timeout > 0.
	Timeout time.Duration
}

// Limits bound the resources of one entry daemon that callers can use.
type Limits struct {
	// BodyBytes is the maximum size of a request body. BodyBytes ≥ 1.
	BodyBytes int64
	// HeaderTimeout bounds the time to read a request's headers. HeaderTimeout > 0.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time to read a request's body. BodyTimeout > 0.
	BodyTimeout time.Duration
	// Connections is the maximum number of callers' connections. Connections ≥ 1.
	Connections int
	// RequestTimeout bounds a model request from the time it gets a slot.
	// RequestTimeout > 0.
	RequestTimeout time.Duration
	// RetryBudgetPercent is the share of requests that may be retried, in
	// percent. 0 ≤ RetryBudgetPercent ≤ 100.
	RetryBudgetPercent int
}

// Billing says how usage is reported to the platform.
type Billing struct {
	// Window is the length of a usage window. Window > 0.
	Window time.Duration
	// Grace is how long after the end of a window usage is still added to it.
	// Grace ≥ 0.
	Grace time.Duration
	// Currency is the ISO 4217 code of the currency of all prices.
	Currency string
}
