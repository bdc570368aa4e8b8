package engine

import (
	"time"

	"acaciapath.example/standin/fault"
)

// Default values of options.
const (
	defaultSlots            = 8
	defaultStepTime         = 20 * time.Millisecond
	defaultCacheTokens      = 100_000
	defaultMeanAnswerTokens = 100
	defaultMaxAnswerTokens  = 1000
)

// Options configure an Engine. Fields that are 0 take the default given in
// their comments.
type Options struct {
	// Name is the name of the engine in its logs.
	Name string
	// Models are the models that are loaded at startup.
	Models []string
	// Slots is the maximum number of requests in the batch. The default is 8.
	Slots int
	// QueueLimit is the maximum number of waiting requests. The default is no
	// limit.
	QueueLimit int
	// Preempts reports whether a waiting request preempts a running request of
	// lower priority when the batch is full.
	Preempts bool
	// StepTime is the duration of a step with one request. The default is 20 ms.
	StepTime time.Duration
	// StepTimePerRequest is added to a step for each request after the first.
	StepTimePerRequest time.Duration
	// PrefillTimePerToken is added to a step for each prompt token that it
	// processes.
	PrefillTimePerToken time.Duration
	// CacheTokens is the size of the prefix cache in tokens. The default is
	// 100,000; a negative value disables the cache.
	CacheTokens int
	// MemoryTokens is the size in tokens of the memory that running requests and
	// the prefix cache share. The cache gets what the requests do not use. If
	// the requests exceed the memory, the newest request of the lowest priority
	// is preempted. 0 means that only the cache is limited, by CacheTokens.
	MemoryTokens int
	// ContextTokens is the size of the context window in tokens. The default is
	// no limit.
	ContextTokens int
	// MeanAnswerTokens is the approximate mean length of an answer. The default
	// is 100. A prompt with [tokens=N] in its last message gets an answer of N
	// tokens instead.
	MeanAnswerTokens int
	// MaxAnswerTokens is the maximum length of an answer whose length is not set
	// by the prompt. The default is 1000.
	MaxAnswerTokens int
	// Seed is the seed of the generated texts. Engines with the same seed
	// generate the same answers.
	Seed uint64
	// LoadLag is the age of the load that the engine publishes.
	LoadLag time.Duration
	// CacheEventLag is the delay with which cache events are published.
	CacheEventLag time.Duration
	// DropEveryNthCacheEvent is the interval of lost cache events: with N, every
	// N-th event is lost. The default is that none is lost.
	DropEveryNthCacheEvent int
	// ChecksFencing reports whether orders with fencing tokens lower than the
	// highest one seen are rejected.
	ChecksFencing bool
	// LogLimit is the maximum number of entries in each log; see record.New.
	LogLimit int
	// Faults are the initial faults.
	Faults Faults
}

// withDefaults returns the options with default values for fields that are 0.
func (o Options) withDefaults() Options {
	o.Slots = orDefault(o.Slots, defaultSlots)
	o.StepTime = orDefault(o.StepTime, defaultStepTime)
	o.CacheTokens = orDefault(o.CacheTokens, defaultCacheTokens)
	o.MeanAnswerTokens = orDefault(o.MeanAnswerTokens, defaultMeanAnswerTokens)
	o.MaxAnswerTokens = orDefault(o.MaxAnswerTokens, defaultMaxAnswerTokens)
	return o
}

// orDefault returns value, or fallback if value is the zero value.
func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Faults are the faults of an engine. The zero value has none. An engine that
// is down responds with status 503, like one that has not started. An engine
// that is frozen also stops executing steps.
type Faults struct {
	fault.Faults
	// SlowFactor multiplies the duration of each step. 0 means 1.
	SlowFactor float64 `json:"slow-factor,omitempty"`
	// CrashAfterTokens makes the engine crash after it has generated this many
	// more tokens. 0 means never.
	CrashAfterTokens int `json:"crash-after-tokens,omitempty"`
	// Draining makes the engine refuse new requests. Accepted requests continue.
	Draining bool `json:"drain,omitempty"`
}
