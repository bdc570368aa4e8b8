package daemon

import "time"

// reachability tells when the daemon last had contact with the sources from
// which it learns that a key was withdrawn.
type reachability struct {
	// Limit is how long the daemon may have no contact before it counts as
	// isolated; 0 means that it never does.
	Limit time.Duration
	// PlatformReachedAt is when the platform last confirmed the configuration
	// in force, and NeighbourReachedAt is when a daemon of another VM last
	// answered. Both are zero if that has not happened.
	PlatformReachedAt, NeighbourReachedAt time.Time
	// HasNeighbours is true if the daemon has learned of daemons on other VMs.
	HasNeighbours bool
}

// lastReachedAt returns when the daemon last reached the platform or a
// neighbour.
func (i reachability) lastReachedAt() time.Time {
	if i.NeighbourReachedAt.After(i.PlatformReachedAt) {
		return i.NeighbourReachedAt
	}
	return i.PlatformReachedAt
}

// isolated reports whether the daemon has reached neither the platform nor a
// neighbour for longer than the limit. A daemon that never had a neighbour
// cannot distinguish its own isolation from an outage of the platform, during
// which it must continue to serve; it never counts as isolated.
func (i reachability) isolated(now time.Time) bool {
	return i.Limit > 0 && i.HasNeighbours && now.Sub(i.lastReachedAt()) > i.Limit
}
