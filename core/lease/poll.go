package lease

import (
	"math/rand/v2"
	"time"
)

// Limits of the polling of one lease row.
const (
	// pollDivisor divides the duration of a lease to get the time between two
	// reads of the row by one candidate.
	pollDivisor = 2
	// minReadSpacing is the minimum mean time between reads of the row by any
	// candidate.
	minReadSpacing = 300 * time.Millisecond
	// pollJitter is the maximum deviation from the interval, as a share of it.
	pollJitter = 0.25
)

// PollInterval returns the time between two reads of a lease row by one of the
// given number of candidates. Each candidate reads the row twice in the duration of
// the lease, or less often, so that all candidates together read it at most about
// three times a second. The interval is jittered with random to spread the reads.
func PollInterval(duration time.Duration, candidates int, random *rand.Rand) time.Duration {
	interval := max(duration/pollDivisor, time.Duration(candidates)*minReadSpacing)
	deviation := (2*random.Float64() - 1) * pollJitter
	return interval + time.Duration(float64(interval)*deviation)
}
