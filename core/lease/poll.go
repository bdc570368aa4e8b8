package lease

import (
	"math/rand/v2"
	"time"
)

// Limits of the polling of one lease row.
const (
	// pollPart is the share of a lease's duration, as a divisor, after which a
	// candidate reads the row.
	pollPart = 2
	// pollSpacing is the mean time between the reads of all candidates
	// together, at least.
	pollSpacing = 100 * time.Millisecond
	// pollJitter is the greatest deviation from the interval, as a share of it.
	pollJitter = 0.25
)

// PollInterval returns how often one of the given number of candidates reads
// the row of a lease: twice in its duration, but all candidates together not
// more often than ten times a second. Random spreads the candidates.
func PollInterval(duration time.Duration, candidates int, random *rand.Rand) time.Duration {
	interval := max(duration/pollPart, time.Duration(candidates)*pollSpacing)
	deviation := (2*random.Float64() - 1) * pollJitter
	return interval + time.Duration(float64(interval)*deviation)
}
