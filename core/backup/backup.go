package backup

import "time"

const (
	// maxMemoryShare is the largest share of an engine's KV cache that the copies of another
	// engine's whole batch may take. They displace cached prompts, and an engine has to have
	// room for its own batch.
	maxMemoryShare = 0.25
	// maxLinkTime is the longest time that the copies of a whole batch may occupy a link
	// between engines. Runs that leave an engine which is about to stop, at a notice of some
	// seconds, need the same link.
	maxLinkTime = 500 * time.Millisecond
)

// Engine describes the engines of a service.
type Engine struct {
	// Slots is the maximum number of requests in a batch. Slots ≥ 1.
	Slots int
	// KVCacheTokens is the size of the KV cache, in tokens, or 0 if it is not known.
	KVCacheTokens int
	// KVBytesPerToken is the size of one token in the KV cache, in bytes.
	KVBytesPerToken float64
	// BytesPerSecond is the bandwidth between engines, or 0 if it is not known.
	BytesPerSecond float64
}

// Run describes a request before it is sent to an engine.
type Run struct {
	// Repeatable states that another engine may run the request again, which needs no copy.
	Repeatable bool
	// Tokens is the number of tokens of the prompt and of the longest answer.
	Tokens int
}

// IsWorthwhile reports whether a second engine keeps a copy of a run. The copies of a batch of
// such runs must be small against the KV cache and the link of the engine that keeps them.
func IsWorthwhile(r Run, e Engine) bool {
	if r.Repeatable || r.Tokens <= 0 || e.KVCacheTokens <= 0 {
		return false
	}
	batch := float64(e.Slots) * float64(r.Tokens)
	if batch > maxMemoryShare*float64(e.KVCacheTokens) {
		return false
	}
	return e.BytesPerSecond <= 0 || batch*e.KVBytesPerToken <= maxLinkTime.Seconds()*e.BytesPerSecond
}

// Break describes how a run broke off.
type Break struct {
	// Kept states that a second engine was to keep a copy.
	Kept bool
	// ReceivedEvents is the number of events of this run that arrived.
	ReceivedEvents int
	// EngineGone states that nothing accepts connections at the engine's address. An engine
	// that is merely out of reach may still generate, and the request must not run twice.
	EngineGone bool
	// CallerWaits states that the caller is connected and its deadline has not passed.
	CallerWaits bool
}

// minEvents is the number of events from which a run goes on elsewhere. A run that breaks off
// earlier may itself have crashed its engine, and would crash the next.
const minEvents = 8

// GoesOn reports whether a run that broke off goes on at the engine that keeps its copy.
func GoesOn(b Break) bool {
	return b.Kept && b.EngineGone && b.CallerWaits && b.ReceivedEvents >= minEvents
}
