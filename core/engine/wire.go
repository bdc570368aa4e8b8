package engine

import "time"

// Paths of the HTTP endpoints of an engine.
const (
	// PathChat takes a ChatRequest and returns the answer, whole or as a stream.
	PathChat = "/v1/chat/completions"
	// PathLoad returns a Load.
	PathLoad = "/load"
	// PathCacheEvents returns the CacheEvents whose sequence numbers follow that
	// in the query parameter "after".
	PathCacheEvents = "/cache-events"
	// PathCancel takes a Cancel and returns a CancelResult.
	PathCancel = "/cancel"
	// PathOrders takes an Order and returns an OrderResult.
	PathOrders = "/orders"
)

// HeaderRequestID is the header that carries the id of a request to backend
// servers and back to callers.
const HeaderRequestID = "X-Request-Id"

// Load is the load that an engine last published. It may be out of date.
type Load struct {
	// At is when the load was measured.
	At time.Time `json:"at"`
	// Running is the number of requests in the batch.
	Running int `json:"running"`
	// Waiting is the number of requests that wait to enter the batch.
	Waiting int `json:"waiting"`
	// Slots is the maximum number of requests in the batch.
	Slots int `json:"places"`
	// CacheUsedFraction is the fraction of the cache memory in use, from 0 to 1.
	CacheUsedFraction float64 `json:"cache-used"`
	// Models are the names of the loaded models.
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
	// Seq increases with every event; a gap means that events were lost.
	Seq uint64 `json:"seq"`
	// At is when the change happened.
	At time.Time `json:"at"`
	// Stored reports whether the prefix was added; otherwise it was evicted.
	Stored bool `json:"stored"`
	// PrefixHash is the hash of the prefix, as returned by the function
	// PrefixHash.
	PrefixHash uint64 `json:"prefix"`
}

// Cancel asks an engine to stop a request.
type Cancel struct {
	// RequestID is the id with which the request was sent.
	RequestID string `json:"request-id"`
}

// CancelResult reports how much of a request had run when it was cancelled or
// ended.
type CancelResult struct {
	// Known reports whether the engine knows the request.
	Known bool `json:"known"`
	// PromptTokens is the number of prompt tokens that were processed.
	PromptTokens int `json:"prompt-tokens"`
	// CompletionTokens is the number of tokens that were generated.
	CompletionTokens int `json:"completion-tokens"`
}

// OrderKind is the change that an order asks for.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "load-model"
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderSetRole     OrderKind = "set-role"
)

// Order asks an engine to load a model or an adapter, or to change its role.
type Order struct {
	// ID identifies the order. A second order with the same ID has no effect.
	ID string `json:"id"`
	// Fence is the fencing token of the lease under which the order is given.
	Fence uint64 `json:"fence"`
	// Holder is the process that gives the order.
	Holder string `json:"holder"`
	// Kind is the change that is asked for.
	Kind OrderKind `json:"kind"`
	// Name is the name of the model, adapter or role.
	Name string `json:"name"`
}

// OrderResult is the answer to an order.
type OrderResult struct {
	// Applied reports whether the order is in effect.
	Applied bool `json:"applied"`
	// Fence is the highest fencing token that the engine has seen.
	Fence uint64 `json:"fence"`
}
