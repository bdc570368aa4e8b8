package config

import "time"

// Config is one checked configuration. It is read-only once loaded.
type Config struct {
	// Classes are in the order of their tiers, most urgent first.
	// No two have the same tier.
	Classes []ServiceClass
	// Accounts are in the order of their names.
	Accounts []ClientAccount
	// Keys are in the order of their names. No two have the same hash.
	Keys []Key
	// Models are in the order of their names.
	Models []Model
	// FailureDomains are in the order of their names.
	FailureDomains []FailureDomain
	// BackendServers are in the order of their names.
	BackendServers []BackendServer
	// Pools are in the order of their names.
	Pools []Pool
	// PlainServices are in the order of their names.
	PlainServices []PlainService
	// Routes are in the order in which they are matched: longest path prefix
	// first, then routes that name a method, then by name.
	Routes []Route
	// Limits hold for each entry daemon.
	Limits Limits
	// Billing says how usage is reported.
	Billing Billing
}

// ServiceClass is a service level that client accounts buy.
type ServiceClass struct {
	// Name is unique among the classes.
	Name string
	// Tier is the priority, 1 is the most urgent. 1 ≤ Tier ≤ 99.
	Tier int
	// FirstTokenTarget is the time to the first token that 95 in 100 requests
	// are to meet. FirstTokenTarget > 0.
	FirstTokenTarget time.Duration
	// InterTokenTarget is the time between tokens that 95 in 100 requests are
	// to meet. InterTokenTarget > 0.
	InterTokenTarget time.Duration
	// MaxWait is how long a request may wait for a place before it is refused.
	// MaxWait ≥ FirstTokenTarget.
	MaxWait time.Duration
	// QueueLimit is the number of requests of the class that may wait in one
	// entry daemon. QueueLimit ≥ 1.
	QueueLimit int
	// PromptPriceMicros is the price of a million prompt tokens, in millionths of
	// the currency unit. PromptPriceMicros ≥ 0.
	PromptPriceMicros int64
	// CompletionPriceMicros is the price of a million generated tokens, in
	// millionths of the currency unit. CompletionPriceMicros ≥ 0.
	CompletionPriceMicros int64
	// AllowCheapServers says whether the class may run on cheap backend servers,
	// which can vanish on a few seconds' notice.
	AllowCheapServers bool
}

// ClientAccount is a customer that pays for what ran.
type ClientAccount struct {
	// Name is unique among the client accounts.
	Name string
	// Classes are the names of the service classes that were bought.
	// len(Classes) ≥ 1.
	Classes []string
	// RequestsPerMinute limits requests; 0 means no limit.
	RequestsPerMinute int
	// TokensPerMinute limits prompt and generated tokens together; 0 means no
	// limit.
	TokensPerMinute int
	// ConcurrentRequests limits requests that wait or run at once; 0 means no
	// limit.
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
	// DefaultClass is the service class of requests that ask for none. The
	// client account has bought it.
	DefaultClass string
	// Withdrawn says whether the key has been withdrawn.
	Withdrawn bool
}

// Model is a language model that callers may ask for.
type Model struct {
	// Name is unique among the models.
	Name string
	// ContextTokens is the size of the context window. ContextTokens ≥ 1.
	ContextTokens int
	// MaxCompletionTokens bounds an answer. 1 ≤ MaxCompletionTokens ≤ ContextTokens.
	MaxCompletionTokens int
}

// FailureDomain is a part of a region that fails as one.
type FailureDomain struct {
	// Name is unique among the failure domains.
	Name string
	// Region is the region that the failure domain is in.
	Region string
}

// ServerKind is the way in which a backend server was bought.
type ServerKind string

// The kinds of backend servers.
const (
	// KindStandard is kept until it is given back.
	KindStandard ServerKind = "standard"
	// KindCheap can be taken away on a few seconds' notice.
	KindCheap ServerKind = "cheap"
)

// BackendServer is a backend server that was not ordered through a pool.
// Exactly one of Models and PlainService is set.
type BackendServer struct {
	// Name is unique among the backend servers.
	Name string
	// Address is an IP number and a port.
	Address string
	// FailureDomain is the name of its failure domain.
	FailureDomain string
	// Kind is the way in which it was bought.
	Kind ServerKind
	// Models are the names of the models that it serves.
	Models []string
	// PlainService is the name of the plain service that it is a replica of.
	PlainService string
	// Slots is the number of requests that it runs at once. Slots ≥ 1.
	Slots int
	// ChecksFencing says whether it refuses an order with an old fencing number.
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
	// Min is the least number of backend servers. 0 ≤ Min ≤ Max.
	Min int
	// Max is the greatest number of backend servers. Max ≥ 1.
	Max int
	// Slots is the number of requests that each runs at once. Slots ≥ 1.
	Slots int
	// HourPriceMicros is the price of one backend server for an hour, in millionths
	// of the currency unit. HourPriceMicros ≥ 0.
	HourPriceMicros int64
}

// PlainService is a service that is not a model engine.
type PlainService struct {
	// Name is unique among the plain services.
	Name string
	// ChecksIdempotencyKey says whether the service itself never runs two
	// calls with the same idempotency key.
	ChecksIdempotencyKey bool
	// CallPriceMicros is the price of one call, in millionths of the currency unit.
	// CallPriceMicros ≥ 0.
	CallPriceMicros int64
}

// Access says who may use a route.
type Access string

// The kinds of access.
const (
	// AccessKeyed requires a key of a client account.
	AccessKeyed Access = "keyed"
	// AccessOpen lets every caller in.
	AccessOpen Access = "open"
)

// Route sends calls to a plain service.
type Route struct {
	// Name is unique among the routes.
	Name string
	// Method is the HTTP method, or empty for all.
	Method string
	// PathPrefix starts with a slash. It matches whole path segments and is
	// not below one that the router serves itself.
	PathPrefix string
	// PlainService is the name of the plain service.
	PlainService string
	// Access says who may use the route.
	Access Access
	// Repeatable says whether a call that may have run may be sent again.
	Repeatable bool
	// Timeout bounds a call. Timeout > 0.
	Timeout time.Duration
}

// Limits bound what callers can take of one entry daemon.
type Limits struct {
	// BodyBytes is the greatest size of a request body. BodyBytes ≥ 1.
	BodyBytes int64
	// HeaderTimeout bounds the time to read a request's headers. HeaderTimeout > 0.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time to read a request's body. BodyTimeout > 0.
	BodyTimeout time.Duration
	// Connections is the number of callers' connections. Connections ≥ 1.
	Connections int
	// RequestTimeout bounds a model request after it got its place. RequestTimeout > 0.
	RequestTimeout time.Duration
	// RetryBudgetPercent is the share of requests that may be retried, in percent.
	// 0 ≤ RetryBudgetPercent ≤ 100.
	RetryBudgetPercent int
}

// Billing says how usage is reported to the platform.
type Billing struct {
	// Window is the length of a usage window. Window > 0.
	Window time.Duration
	// Grace is how long after its end a window still takes in figures. Grace ≥ 0.
	Grace time.Duration
	// Currency is the currency unit of the prices, in ISO 4217.
	Currency string
}
