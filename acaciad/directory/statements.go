package directory

import (
	"time"

	"acaciapath.example/core/placement"
	"acaciapath.example/core/replica"
	"acaciapath.example/platform"
)

// pauseJitterRatio is the range of the random time by which a pause is prolonged, as a share
// of it. Daemons that were told to pause at once return one after the other.
const pauseJitterRatio = 0.1

// Heard tells what changed by the statement of a backend server.
type Heard struct {
	// Leaves states that the server is now known to leave, and Pauses that it is in a pause
	// now, which ends at Until.
	Leaves, Pauses bool
	Until          time.Time
}

// Hear records what a backend server says of itself in an answer. It holds for the instance,
// whatever its entry says later.
func (d *Directory) Hear(instance string, s platform.Statement, now time.Time) Heard {
	if s == (platform.Statement{}) {
		return Heard{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var heard Heard
	if s.ColdFor > 0 {
		d.hearColdLocked(instance, s.ColdFor, now)
	}
	if s.Pause > 0 {
		pause := min(s.Pause, placement.MaxPause)
		heard.Until = now.Add(pause + time.Duration(pauseJitterRatio*d.random.Float64()*float64(pause)))
		heard.Pauses = d.statements.SetPause(instance, heard.Until, now)
	}
	if s.Leaving {
		heard.Leaves = d.statements.SetLeaving(instance, now)
	}
	d.applyStatementsLocked(now)
	return heard
}

// At returns the backend server that is listed at an address, and whether there is one.
func (d *Directory) At(address string) (replica.Spec, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, pool := range d.pools {
		for _, s := range pool.Servers {
			if s.Spec.Address == address {
				return s.Spec, true
			}
		}
	}
	return replica.Spec{}, false
}

// applyStatementsLocked applies the statements to all servers, and starts the drain of those
// that leave. The caller holds d.mu.
func (d *Directory) applyStatementsLocked(now time.Time) {
	for _, pool := range d.pools {
		d.statements.Apply(pool, now)
		for _, s := range pool.Servers {
			if s.SaysLeaving {
				d.drainStates.of(s).markDraining(s.Spec, d.defaultDrainTime, now)
			}
		}
	}
}

// IsPaused reports whether an instance of a backend server is in a pause that it asked for.
func (d *Directory) IsPaused(instance string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.statements.IsPaused(instance, now)
}
