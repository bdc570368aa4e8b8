package home

import (
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/dispatch"
	"acaciapath.example/core/refusal"
	"acaciapath.example/core/replica"
	"acaciapath.example/entryd/scheduler"
)

// Methods of a home daemon on its peers' port.
const (
	// methodEnter takes an enter and returns an answer once the request has been
	// started or refused.
	methodEnter = "place-enter"
	// methodRetry takes a retry and returns an answer.
	methodRetry = "place-retry"
	// methodFinish takes a finish.
	methodFinish = "place-finish"
	// methodPreempt is sent by the home daemon with a ticket whose place a more
	// urgent request needs.
	methodPreempt = "place-preempt"
	// methodCancel takes a ticket whose request is no longer waited for.
	methodCancel = "place-cancel"
)

// enter asks for a place.
type enter struct {
	// Ticket names the request within the connection.
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
	// Resumable says whether another replica can go on with the answer.
	Resumable bool `json:"resumable"`
	// Age is how long the request has waited already.
	Age time.Duration `json:"age"`
}

// retry asks for another place after a failure.
type retry struct {
	// Ticket is the number of the request on its connection.
	Ticket uint64 `json:"ticket"`
	// Resume says whether a part of the answer has reached the caller.
	Resume bool `json:"resume,omitempty"`
	// Yield says whether the place is given to a more urgent request.
	Yield bool `json:"yield,omitempty"`
}

// ticket names a request within the connection.
type ticket struct {
	// Ticket is the name.
	Ticket uint64 `json:"ticket"`
}

// answer grants or refuses a place.
type answer struct {
	// Grant is set if the request was started.
	Grant *grant `json:"grant,omitempty"`
	// Refusal is set if it was refused.
	Refusal *refused `json:"refusal,omitempty"`
	// Unknown says that the home daemon does not know the client account, the
	// service class or the ticket.
	Unknown bool `json:"unknown,omitempty"`
}

// grant is a place on a backend server.
type grant struct {
	// Name is the name of the backend server.
	Name string `json:"name"`
	// Address is its IP number and port.
	Address string `json:"address"`
	// FailureDomain is its failure domain.
	FailureDomain string `json:"failure-domain"`
	// Kind is the way in which it was bought.
	Kind config.ServerKind `json:"kind"`
	// Waited is how long the request waited.
	Waited time.Duration `json:"waited"`
	// Attempts is the number of backend servers that it was started on.
	Attempts int `json:"attempts"`
}

// refused is why a place is refused.
type refused struct {
	// Code is the kind of refusal.
	Code refusal.Code `json:"code"`
	// Message tells a person what is wrong.
	Message string `json:"message"`
	// RetryAfter is when asking again may help, or 0.
	RetryAfter time.Duration `json:"retry-after"`
}

// finish gives a place back.
type finish struct {
	// Ticket names the request within the connection.
	Ticket uint64 `json:"ticket"`
	// PromptTokens is the number of prompt tokens that were processed.
	PromptTokens int `json:"prompt-tokens"`
	// CompletionTokens is the number of tokens that were generated.
	CompletionTokens int `json:"completion-tokens"`
	// Pace is the average time between tokens, or 0.
	Pace time.Duration `json:"pace"`
	// Failed says whether the backend server failed.
	Failed bool `json:"failed"`
}

// none is a result without content.
type none struct{}

func newGrant(g *scheduler.Assignment) *grant {
	return &grant{
		Name:          g.Server.Name,
		Address:       g.Server.Address,
		FailureDomain: g.Server.FailureDomain,
		Kind:          g.Server.Kind,
		Waited:        g.Waited,
		Attempts:      g.Attempts,
	}
}

// place returns the grant as the daemon that asked for it uses it.
func (g *grant) place(model string) *scheduler.Assignment {
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

func newFinish(id uint64, r dispatch.Result) finish {
	return finish{
		Ticket:           id,
		PromptTokens:     r.PromptTokens,
		CompletionTokens: r.CompletionTokens,
		Pace:             r.InterTokenLatency,
		Failed:           r.ReplicaFailed,
	}
}

func (f finish) result() dispatch.Result {
	return dispatch.Result{
		PromptTokens:      f.PromptTokens,
		CompletionTokens:  f.CompletionTokens,
		InterTokenLatency: f.Pace,
		ReplicaFailed:     f.Failed,
	}
}

func (r *refused) refusal() *refusal.Refusal {
	return refusal.New(r.Code, r.Message).WithRetryAfter(r.RetryAfter)
}
