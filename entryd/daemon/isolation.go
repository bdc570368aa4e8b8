package daemon

import "time"

// isolation is what a daemon knows of its way to those who tell it of withdrawn
// keys.
type isolation struct {
	// Limit is how long the daemon may reach nobody; 0 means for ever.
	Limit time.Duration
	// Platform and Neighbour are when the platform confirmed the configuration
	// in force and when a daemon of another VM answered, or zero.
	Platform, Neighbour time.Time
	// HasNeighbours says that the daemon has heard of daemons of other VMs.
	HasNeighbours bool
}

// last returns when the daemon last reached anybody.
func (i isolation) last() time.Time {
	if i.Neighbour.After(i.Platform) {
		return i.Neighbour
	}
	return i.Platform
}

// isolated reports whether the daemon has reached nobody for too long. One that
// never had a neighbour cannot tell its own isolation from an outage of the
// platform, in which it serves on.
func (i isolation) isolated(now time.Time) bool {
	return i.Limit > 0 && i.HasNeighbours && now.Sub(i.last()) > i.Limit
}
