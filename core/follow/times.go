package follow

import "time"

// Shares of the time within which a daemon must follow a change. Their sum leaves
// time to read the store itself after a reader fell silent.
const (
	// readerGapRatio is the time from a change to the reader's next call of the store.
	// Changes in the meantime are read together.
	readerGapRatio = 0.15
	// readerHoldRatio is how long the store holds a reader's call while nothing
	// changes.
	readerHoldRatio = 0.2
	// silenceRatio is how long a reader may be silent. It exceeds the sum of the two
	// above, since a reader passes on each answer of the store, also an empty one.
	silenceRatio = 0.45
)

// Times are the intervals of a reader and its followers.
type Times struct {
	// Gap is the time from a change to the reader's next call of the store.
	Gap time.Duration
	// Hold is how long the store holds a reader's call while nothing changes.
	Hold time.Duration
	// Silence is how long a follower waits for news from its reader before it reads
	// the store itself.
	Silence time.Duration
}

// NewTimes returns the intervals for daemons that must follow a change within bound.
func NewTimes(bound time.Duration) Times {
	share := func(ratio float64) time.Duration { return time.Duration(ratio * float64(bound)) }
	return Times{Gap: share(readerGapRatio), Hold: share(readerHoldRatio), Silence: share(silenceRatio)}
}
