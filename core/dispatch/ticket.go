package dispatch

import (
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/queue"
	"acaciapath.example/core/replica"
)

// Request is what the dispatcher has to know of a request.
type Request struct {
	// Service is the name of the model or the plain service that is asked for.
	Service string
	// Account is the client account.
	Account *config.ClientAccount
	// Class is the service class.
	Class *config.ServiceClass
	// Prefixes are the hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// PromptTokens is an estimate of the length of the prompt.
	PromptTokens int
	// Resumable says whether another replica can go on with the answer.
	Resumable bool
	// Admitted says whether another daemon has held the request to its client
	// account's limits.
	Admitted bool
	// Age is how long the request has waited before it entered. Age ≥ 0.
	Age time.Duration
	// PlainService says whether Serves is a plain service, which generates no tokens.
	PlainService bool
}

// Ticket is a request that entered. It ends by exactly one call of
// Dispatcher.Finish.
type Ticket[T any] struct {
	// Request is what was asked for.
	Request Request
	// Value is what the daemon keeps with the request.
	Value T
	// Replica is the replica that runs the request, or nil while it waits.
	Replica *replica.Replica
	// Attempts is the number of replicas that it was sent to.
	Attempts int
	// Started is when the last attempt began.
	Started time.Time

	entry queue.Entry[*Ticket[T]]
	pool  *pool[T]
	// tried are the replicas that failed it.
	tried []string
	// charged is what its client account was charged so far, in tokens.
	charged int
	ended   bool
	// parked says that the ticket waits for the retry budget.
	parked bool
	// preempted says that the request is about to yield its place.
	preempted bool
	// cheapOnly says that the request may start on cheap backend servers only.
	cheapOnly bool
}

// Waiting reports whether the request waits for a replica.
func (t *Ticket[T]) Waiting() bool { return t.entry.Waiting() || t.parked }

// Result is how a request ended.
type Result struct {
	// PromptTokens is the number of prompt tokens that were processed.
	PromptTokens int
	// CompletionTokens is the number of tokens that were generated.
	CompletionTokens int
	// InterTokenLatency is the average time between tokens, or 0 if it is not known.
	InterTokenLatency time.Duration
	// ReplicaFailed says whether the replica failed.
	ReplicaFailed bool
}
