package directory

import (
	"slices"
	"time"

	"acaciapath.example/core/placement"
)

// coldLimit returns what the backend servers of a service tolerate while they are cold, or
// nil if they are never cold.
func (d *Directory) coldLimit(service string) *placement.ColdLimit {
	view := d.view.Load()
	if view == nil {
		return nil
	}
	s := view.Index.Service(service)
	if s == nil || s.Cold == nil {
		return nil
	}
	return &placement.ColdLimit{
		Duration: s.Cold.Duration, PerSecond: s.Cold.PerSecond,
		Most: s.Cold.PerSecond*max(d.ColdOvershoot, 1) + max(d.ColdSlack, 0),
	}
}

// HasCold reports whether a backend server of a service may be cold.
func (d *Directory) HasCold(service string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	pool := d.pools[service]
	return pool != nil && len(pool.ColdServers(now)) > 0
}

// hearColdLocked records that an answer of an instance says how long it stays cold. The
// caller holds d.mu.
func (d *Directory) hearColdLocked(instance string, coldFor time.Duration, now time.Time) {
	for _, pool := range d.pools {
		for _, s := range pool.Servers {
			if s.Spec.Instance() == instance {
				pool.HearCold(s, coldFor, now)
			}
		}
	}
}

// setCold sets the servers that may be cold now and were not before, from those known before
// and those known now.
func (c *Change) setCold(before, now map[string]time.Duration) {
	for name, left := range now {
		if _, known := before[name]; !known {
			c.Cold, c.LongestCold = append(c.Cold, name), max(c.LongestCold, left)
		}
	}
	slices.Sort(c.Cold)
}
