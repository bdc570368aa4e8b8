// Package engine speaks to model engines: the well-known chat API, and beside
// it their load, cache events, cancellation and orders.
package engine

import "time"

// Paths of an engine.
const (
	// PathChat is the chat API.
	PathChat = "/v1/chat/completions"
	// PathLoad returns a Load.
	PathLoad = "/load"
	// PathCacheEvents returns CacheEvents after the sequence number given as
	// the query parameter after.
	PathCacheEvents = "/cache-events"
	// PathCancel takes a Cancel and returns a Cancelled.
	PathCancel = "/cancel"
	// PathOrders takes an Order and returns an OrderResult.
	PathOrders = "/orders"
)

// HeaderRequestID carries the id of a request to backend servers and callers.
const HeaderRequestID = "X-Request-Id"

// Load is what an engine last published of its load. It lags behind.
type Load struct {
	// At is when the load was taken.
	At time.Time `json:"at"`
	// Running is the number of requests in the batch.
	Running int `json:"running"`
	// Waiting is the number of requests that wait for the batch.
	Waiting int `json:"waiting"`
	// Slots is the size of the batch.
	Slots int `json:"places"`
	// CacheUsedFraction is the share of the cache memory in use, 0 to 1.
	CacheUsedFraction float64 `json:"cache-used"`
	// Models are the models that are loaded.
	Models []string `json:"models"`
	// Role is the role that the engine was last ordered to take.
	Role string `json:"role"`
}

// CacheEvents are changes of an engine's prefix cache.
type CacheEvents struct {
	// Events are in the order of their sequence numbers, which may have gaps.
	Events []CacheEvent `json:"events"`
}

// CacheEvent is one change of a prefix cache.
type CacheEvent struct {
	// Seq rises with every event; a gap means that events were lost.
	Seq uint64 `json:"seq"`
	// At is when the change happened.
	At time.Time `json:"at"`
	// Stored says whether the prefix came in; else it was evicted.
	Stored bool `json:"stored"`
	// PrefixHash is the hash of the prefix, see PrefixHash.
	PrefixHash uint64 `json:"prefix"`
}

// Cancel asks an engine to stop a request.
type Cancel struct {
	// RequestID is the id that the request was sent with.
	RequestID string `json:"request-id"`
}

// CancelResult says what had run of a request that was cancelled or had ended.
type CancelResult struct {
	// Known says whether the engine knows the request.
	Known bool `json:"known"`
	// PromptTokens is the number of prompt tokens that were processed.
	PromptTokens int `json:"prompt-tokens"`
	// CompletionTokens is the number of tokens that were generated.
	CompletionTokens int `json:"completion-tokens"`
}

// OrderKind is what an order asks for.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadModel   OrderKind = "load-model"
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderSetRole     OrderKind = "set-role"
)

// Order asks an engine for a change.
type Order struct {
	// ID names the order; a second order with the same ID does nothing.
	ID string `json:"id"`
	// Fence is the fencing number of the lease that the order is given under.
	Fence uint64 `json:"fence"`
	// Holder is the process that gives the order.
	Holder string `json:"holder"`
	// Kind is what is asked for.
	Kind OrderKind `json:"kind"`
	// Name is the model, adapter or role.
	Name string `json:"name"`
}

// OrderResult answers an order.
type OrderResult struct {
	// Applied says whether the order is in force.
	Applied bool `json:"applied"`
	// Fence is the highest fencing number that the engine has seen.
	Fence uint64 `json:"fence"`
}
