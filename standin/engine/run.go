package engine

import (
	"cmp"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"acaciapath.example/core/engine"
)

// Outcome is how a request ended.
type Outcome string

// The outcomes of requests.
const (
	// Finished is a request whose answer is complete or as long as it may be.
	Finished Outcome = "finished"
	// Cancelled is a request that was cancelled through engine.PathCancel.
	Cancelled Outcome = "cancelled"
	// Disconnected is a request whose caller vanished.
	Disconnected Outcome = "disconnected"
	// Crashed is a request that was running when the engine crashed.
	Crashed Outcome = "crashed"
	// Refused is a request that did not run.
	Refused Outcome = "refused"
)

// RunEntry is what became of one chat request, as it is logged.
type RunEntry struct {
	// RequestID is the id that the request was sent with.
	RequestID string `json:"request-id"`
	// Model is the model that was asked for.
	Model string `json:"model"`
	// Priority is the priority, lower runs first.
	Priority int `json:"priority"`
	// Arrived is when the request came in.
	Arrived time.Time `json:"arrived"`
	// Ended is when the request ended.
	Ended time.Time `json:"ended"`
	// PromptTokens is the number of prompt tokens that were processed or
	// found in the cache.
	PromptTokens int `json:"prompt-tokens"`
	// CachedTokens is the number of prompt tokens found in the cache.
	CachedTokens int `json:"cached-tokens"`
	// PrefilledTokens is the number of tokens that were processed before
	// generation, again after each preemption.
	PrefilledTokens int `json:"prefilled-tokens"`
	// FirstTokenIndex is the index of the first token that was generated; above 0 in an
	// answer that was resumed.
	FirstTokenIndex int `json:"first"`
	// CompletionTokens is the number of tokens that were generated.
	CompletionTokens int `json:"completion-tokens"`
	// Preemptions is how often the request was preempted.
	Preemptions int `json:"preemptions"`
	// Outcome is how the request ended.
	Outcome Outcome `json:"outcome"`
	// Header is the header that the request came with.
	Header http.Header `json:"header"`
}

// run is a chat request in an engine.
type run struct {
	prompt *prompt
	log    RunEntry // guarded by Engine.mu, but for what is set at the start
	number uint64   // order of arrival
	limit  int      // tokens to generate

	pending int // tokens still to be processed before generation
	take    int // tokens of pending that are processed in this step
	// copied says that prompt and answer so far are in memory already.
	copied bool

	generated atomic.Int64  // tokens that were generated
	progress  chan struct{} // has an element if tokens were generated
	over      chan struct{} // closed when log.Outcome is set
}

// newRun returns the run of a request that may generate at most maxTokens; 0
// means any number.
func newRun(p *prompt, log RunEntry, maxTokens int) *run {
	limit := max(p.length-p.start, 0)
	if maxTokens > 0 {
		limit = min(limit, maxTokens)
	}
	log.FirstTokenIndex = p.start
	return &run{
		prompt:   p,
		log:      log,
		limit:    limit,
		progress: make(chan struct{}, 1),
		over:     make(chan struct{}),
	}
}

// advance does the run's part of a step and reports whether it generated a
// token.
func (r *run) advance() bool {
	r.pending -= r.take
	r.log.PrefilledTokens += r.take
	done := min(max(r.prompt.tokens-r.pending, 0), r.prompt.tokens)
	r.log.PromptTokens = max(r.log.PromptTokens, done)
	if r.pending > 0 || r.complete() {
		return false
	}
	r.generated.Add(1)
	r.log.CompletionTokens++
	select {
	case r.progress <- struct{}{}:
	default:
	}
	return true
}

// memory returns the tokens that the run has in memory.
func (r *run) memory() int {
	return max(r.prompt.tokens+r.log.CompletionTokens-r.pending, 0)
}

// complete reports whether the run has generated all that it is to.
func (r *run) complete() bool { return r.log.CompletionTokens >= r.limit }

// whole reports whether the answer is at its end, rather than at its limit.
func (r *run) whole() bool { return r.prompt.start+r.limit >= r.prompt.length }

// ran returns what has run.
func (r *run) ran() engine.CancelResult {
	return engine.CancelResult{
		Known:            true,
		PromptTokens:     r.log.PromptTokens,
		CompletionTokens: r.log.CompletionTokens,
	}
}

// compareRuns orders runs by priority and then by arrival.
func compareRuns(a, b *run) int {
	return cmp.Or(cmp.Compare(a.log.Priority, b.log.Priority), cmp.Compare(a.number, b.number))
}

// insertRun returns runs, which are in order, with r among them.
func insertRun(runs []*run, r *run) []*run {
	i, _ := slices.BinarySearchFunc(runs, r, compareRuns)
	return slices.Insert(runs, i, r)
}

// removeRun returns runs without r.
func removeRun(runs []*run, r *run) []*run {
	if i := slices.Index(runs, r); i >= 0 {
		return slices.Delete(runs, i, i+1)
	}
	return runs
}
