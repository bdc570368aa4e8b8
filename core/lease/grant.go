package lease

import (
	"time"

	"acaciapath.example/core/gen/table"
)

// Grant is what a process may do under a lease that it holds. It is read-only.
type Grant struct {
	// Name is the name of the lease.
	Name string
	// Holder is the process.
	Holder string
	// Fence is the fencing number.
	Fence uint64
	// FenceVersion is the version of the fence row.
	FenceVersion uint64
	// RenewedAt is when the renewal that the grant rests on was sent.
	RenewedAt Instant
	// ValidFor is how long after Since the process may send.
	ValidFor time.Duration
}

// MaySend reports whether the process may send to the platform and to backend
// servers in the name of the lease. A nil grant allows nothing.
func (g *Grant) MaySend(now Instant) bool { return g.Remaining(now) > 0 }

// Remaining returns how long the process may go on sending. A send that is in
// flight then has to be cancelled.
func (g *Grant) Remaining(now Instant) time.Duration {
	if g == nil {
		return 0
	}
	return max(0, g.ValidFor-now.atMost(g.RenewedAt))
}

// Condition returns the condition for writes of the table in the name of the
// lease. It holds until the lease changes hands.
func (g *Grant) Condition() *table.Condition {
	return &table.Condition{Key: FenceKey(g.Name), Version: g.FenceVersion}
}
