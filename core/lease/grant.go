package lease

import (
	"time"

	"acaciapath.example/core/gen/table"
)

// Grant allows a process to act as the holder of a lease for a limited time. It is
// read-only.
type Grant struct {
	// Name is the name of the lease.
	Name string
	// Holder is the name of the process that holds the lease.
	Holder string
	// Fence is the fencing token.
	Fence uint64
	// FenceVersion is the version of the fence row.
	FenceVersion uint64
	// RenewedAt is when the renewal that the grant is based on was sent.
	RenewedAt Instant
	// ValidFor is how long after RenewedAt the process may send.
	ValidFor time.Duration
}

// MaySend reports whether the process may still send requests to the platform and
// to backend servers as the lease holder. It is false for a nil Grant.
func (g *Grant) MaySend(now Instant) bool { return g.Remaining(now) > 0 }

// Remaining returns how long the process may still send, or 0 for a nil Grant. A
// send that is still in flight after that time has to be cancelled.
func (g *Grant) Remaining(now Instant) time.Duration {
	if g == nil {
		return 0
	}
	return max(0, g.ValidFor-now.maxElapsed(g.RenewedAt))
}

// IsExclusive reports whether no other process can have acquired the lease yet. That is longer
// than MaySend by margin (Terms.Margin). It is false for a nil Grant.
func (g *Grant) IsExclusive(now Instant, margin time.Duration) bool {
	return g != nil && now.maxElapsed(g.RenewedAt) < g.ValidFor+margin
}

// Condition returns the condition to add to writes to the table that only the
// lease holder may make. It is satisfied until the lease changes hands.
func (g *Grant) Condition() *table.Condition {
	return &table.Condition{Key: FenceKey(g.Name), Version: g.FenceVersion}
}
