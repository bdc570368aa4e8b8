package engine

import (
	"time"

	"acaciapath.example/standin/fault"
)

// Values of options that are not given.
const (
	defaultPlaces      = 8
	defaultStepTime    = 20 * time.Millisecond
	defaultCacheTokens = 100_000
	defaultMeanTokens  = 100
	defaultMaxTokens   = 1000
)

// Options say how an Engine behaves. Fields that are 0 have the values that
// their comments give.
type Options struct {
	// Name is the name of the engine in its logs.
	Name string
	// Models are the models that are loaded from the start.
	Models []string
	// Slots is the number of requests in the batch; 8.
	Slots int
	// QueueLimit is the number of requests that may wait; no limit.
	QueueLimit int
	// Preempts says whether a waiting request takes the place of a running one
	// of lower priority.
	Preempts bool
	// StepTime is the time of a step with one request; 20 ms.
	StepTime time.Duration
	// StepTimePerRequest is added for each further request in the batch.
	StepTimePerRequest time.Duration
	// PrefillTimePerToken is added for each prompt token that is processed in a step.
	PrefillTimePerToken time.Duration
	// CacheTokens is the size of the prefix cache; 100,000. Below 0 there is
	// none.
	CacheTokens int
	// MemoryTokens is the memory that running requests and the prefix cache
	// share: the cache gets what the requests leave, and if they have more than
	// it, the newest of the least urgent is preempted; 0 means that only the
	// cache is bounded, by CacheTokens.
	MemoryTokens int
	// ContextTokens is the size of the context window; no limit.
	ContextTokens int
	// MeanAnswerTokens is about the mean length of an answer; 100. A prompt that has
	// [tokens=N] in its last message gets an answer of N tokens.
	MeanAnswerTokens int
	// MaxAnswerTokens bounds the length of an answer that the prompt does not say;
	// 1000.
	MaxAnswerTokens int
	// Seed is the seed of the texts. Engines with the same seed give the same
	// answers.
	Seed uint64
	// LoadLag is how old the load is that the engine publishes.
	LoadLag time.Duration
	// CacheEventLag is how late cache events are published.
	CacheEventLag time.Duration
	// DropEveryNthCacheEvent is such that every DropEveryNthCacheEvent-th cache event is lost;
	// none.
	DropEveryNthCacheEvent int
	// ChecksFencing says whether orders with old fencing numbers are refused.
	ChecksFencing bool
	// LogLimit is the number of entries that each log keeps; see record.New.
	LogLimit int
	// Faults are the faults from the start.
	Faults Faults
}

// withDefaults returns the options with the values of those not given.
func (o Options) withDefaults() Options {
	o.Slots = orDefault(o.Slots, defaultPlaces)
	o.StepTime = orDefault(o.StepTime, defaultStepTime)
	o.CacheTokens = orDefault(o.CacheTokens, defaultCacheTokens)
	o.MeanAnswerTokens = orDefault(o.MeanAnswerTokens, defaultMeanTokens)
	o.MaxAnswerTokens = orDefault(o.MaxAnswerTokens, defaultMaxTokens)
	return o
}

// orDefault returns value, or other if value is the zero value.
func orDefault[T comparable](value, other T) T {
	var zero T
	if value == zero {
		return other
	}
	return value
}

// Faults are the faults of an engine. The zero value has none. An engine that
// is down answers 503 as one that has not started; one that is frozen stops
// stepping as well.
type Faults struct {
	fault.Faults
	// SlowFactor multiplies the time of each step; 0 means 1.
	SlowFactor float64 `json:"slow-factor,omitempty"`
	// CrashAfterTokens crashes the engine after it generated this many more
	// tokens; 0 means never.
	CrashAfterTokens int `json:"crash-after-tokens,omitempty"`
	// Draining refuses new requests and lets the others end.
	Draining bool `json:"drain,omitempty"`
}
