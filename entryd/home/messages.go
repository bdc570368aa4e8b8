package home

import (
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/dispatch"
	"acaciapath.example/core/refusal"
	"acaciapath.example/core/replica"
	"acaciapath.example/entryd/scheduler"
)

// Methods of a home daemon on its port for peers.
const (
	// methodAcquire takes an acquireRequest and returns a slotResponse once the
	// request has been started or refused.
	methodAcquire = "place-enter"
	// methodRetry takes a retryRequest and returns a slotResponse.
	methodRetry = "place-retry"
	// methodFinish takes a finishRequest.
	methodFinish = "place-finish"
	// methodPreempt is a notification from the home daemon. It carries the
	// ticket of a slot that a more urgent request needs.
	methodPreempt = "place-preempt"
	// methodCancel takes the ticket of a request whose caller no longer waits.
	methodCancel = "place-cancel"
)

// acquireRequest asks for a slot.
type acquireRequest struct {
	// Ticket identifies the request on its connection.
	Ticket uint64 `json:"ticket"`
	// Model is the name of the model.
	Model string `json:"model"`
	// ClientAccount is the name of the client account.
	ClientAccount string `json:"client-account"`
	// ServiceClass is the name of the service class.
	ServiceClass string `json:"service-class"`
	// Prefixes are the hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64 `json:"prefixes"`
	// PromptTokens is an estimate of the length of the prompt.
	PromptTokens int `json:"prompt-tokens"`
	// Resumable is true if another backend server can continue the answer.
	Resumable bool `json:"resumable"`
	// Age is how long the request had already waited when it was sent.
	Age time.Duration `json:"age"`
}

// retryRequest asks for another slot after a failure or preemption.
type retryRequest struct {
	// Ticket identifies the request on its connection.
	Ticket uint64 `json:"ticket"`
	// Resume is true if part of the answer has reached the caller.
	Resume bool `json:"resume,omitempty"`
	// Yield is true if the slot is released for a more urgent request.
	Yield bool `json:"yield,omitempty"`
}

// ticketMessage identifies a request on its connection.
type ticketMessage struct {
	// Ticket identifies the request on its connection.
	Ticket uint64 `json:"ticket"`
}

// slotResponse grants or refuses a slot.
type slotResponse struct {
	// Grant is set if the request was started.
	Grant *slotGrant `json:"grant,omitempty"`
	// Refusal is set if it was refused.
	Refusal *refusalMessage `json:"refusal,omitempty"`
	// Unknown is true if the home daemon does not know the client account, the
	// service class or the ticket.
	Unknown bool `json:"unknown,omitempty"`
}

// slotGrant describes the backend server of a granted slot.
type slotGrant struct {
	// Name is the name of the backend server.
	Name string `json:"name"`
	// Address is its IP address and port.
	Address string `json:"address"`
	// FailureDomain is its failure domain.
	FailureDomain string `json:"failure-domain"`
	// Kind tells whether it is cheap or standard capacity.
	Kind config.ServerKind `json:"kind"`
	// Waited is the time that the request spent in the queue.
	Waited time.Duration `json:"waited"`
	// Attempts is the number of backend servers on which the request has been
	// started.
	Attempts int `json:"attempts"`
}

// refusalMessage tells why no slot is granted.
type refusalMessage struct {
	// Code is the kind of refusal.
	Code refusal.Code `json:"code"`
	// Message is an explanation for people.
	Message string `json:"message"`
	// RetryAfter is the time after which another attempt may succeed, or 0.
	RetryAfter time.Duration `json:"retry-after"`
}

// finishRequest releases a slot.
type finishRequest struct {
	// Ticket identifies the request on its connection.
	Ticket uint64 `json:"ticket"`
	// PromptTokens is the number of prompt tokens that were processed.
	PromptTokens int `json:"prompt-tokens"`
	// CompletionTokens is the number of tokens that were generated.
	CompletionTokens int `json:"completion-tokens"`
	// InterTokenLatency is the average time between tokens, or 0 if unknown.
	InterTokenLatency time.Duration `json:"pace"`
	// ReplicaFailed is true if the backend server failed.
	ReplicaFailed bool `json:"failed"`
}

// empty is a result without content.
type empty struct{}

func newSlotGrant(a *scheduler.Assignment) *slotGrant {
	return &slotGrant{
		Name:          a.Server.Name,
		Address:       a.Server.Address,
		FailureDomain: a.Server.FailureDomain,
		Kind:          a.Server.Kind,
		Waited:        a.Waited,
		Attempts:      a.Attempts,
	}
}

// assignment converts the grant for the daemon that requested it.
func (g *slotGrant) assignment(model string) *scheduler.Assignment {
	return &scheduler.Assignment{
		Server: replica.Spec{
			Name:          g.Name,
			Address:       g.Address,
			FailureDomain: g.FailureDomain,
			Serves:        []string{model},
			Kind:          g.Kind,
		},
		Waited:   g.Waited,
		Attempts: g.Attempts,
	}
}

func newFinishRequest(id uint64, r dispatch.Result) finishRequest {
	return finishRequest{
		Ticket:            id,
		PromptTokens:      r.PromptTokens,
		CompletionTokens:  r.CompletionTokens,
		InterTokenLatency: r.InterTokenLatency,
		ReplicaFailed:     r.ReplicaFailed,
	}
}

func (f finishRequest) result() dispatch.Result {
	return dispatch.Result{
		PromptTokens:      f.PromptTokens,
		CompletionTokens:  f.CompletionTokens,
		InterTokenLatency: f.InterTokenLatency,
		ReplicaFailed:     f.ReplicaFailed,
	}
}

func (r *refusalMessage) refusal() *refusal.Refusal {
	return refusal.New(r.Code, r.Message).WithRetryAfter(r.RetryAfter)
}
