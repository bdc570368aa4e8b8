package dispatch

import (
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/queue"
	"acaciapath.example/core/replica"
)

// Request describes a request to the dispatcher.
type Request struct {
	// Service is the name of the requested model or plain service.
	Service string
	// Account is the client account.
	Account *config.ClientAccount
	// Class is the service class.
	Class *config.ServiceClass
	// Prefixes are the hashes of the prefixes of the prompt, shortest first.
	Prefixes []uint64
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// Resumable states that another replica can continue the answer.
	Resumable bool
	// Admitted states that another daemon has applied the limits of the client
	// account.
	Admitted bool
	// Age is how long the request had waited before it was enqueued. Age ≥ 0.
	Age time.Duration
	// PlainService states that Service is a plain service, which generates no
	// tokens.
	PlainService bool
}

// Ticket is a request that was enqueued. The daemon ends it with
// Dispatcher.Finish.
type Ticket[T any] struct {
	// Request is the enqueued request.
	Request Request
	// Value is the value that the daemon attached to the request.
	Value T
	// Replica is the replica that runs the request, or nil while it waits.
	Replica *replica.Replica
	// Attempts is the number of replicas that the request was sent to, without
	// preempted runs.
	Attempts int
	// Started is the start of the last attempt.
	Started time.Time

	entry queue.Entry[*Ticket[T]]
	pool  *pool[T]
	// failedReplicas are the names of the replicas that failed the request.
	failedReplicas []string
	// charged is the number of tokens charged to the client account so far.
	charged int
	ended   bool
	// awaitingBudget states that the ticket waits for the retry budget.
	awaitingBudget bool
	// preempted states that the request was chosen for preemption and still
	// occupies its slot.
	preempted bool
	// cheapOnly states that the request may start on cheap backend servers
	// only.
	cheapOnly bool
}

// Waiting reports whether the request waits for a replica or for the retry
// budget.
func (t *Ticket[T]) Waiting() bool { return t.entry.Waiting() || t.awaitingBudget }

// Result describes how a request ended.
type Result struct {
	// PromptTokens is the number of prompt tokens that were processed.
	PromptTokens int
	// CompletionTokens is the number of tokens that were generated.
	CompletionTokens int
	// InterTokenLatency is the average time between tokens, or 0 if it is not
	// known.
	InterTokenLatency time.Duration
	// ReplicaFailed states that the replica failed.
	ReplicaFailed bool
}
