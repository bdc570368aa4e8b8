package directory

import (
	"slices"
	"time"

	"acaciapath.example/core/placement"
	"acaciapath.example/core/replica"
)

// ChooseBackup chooses the backend server that is to keep a copy of a run, without a slot on
// it. It reports false if there is none but those that requirements name as failed.
func (d *Directory) ChooseBackup(service string, requirements placement.Requirements, now time.Time) (replica.Spec, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pool := d.pools[service]
	if pool == nil {
		return replica.Spec{}, false
	}
	s := pool.Choose(requirements, now, d.random)
	if s == nil || slices.Contains(requirements.FailedServers, s.Spec.Name) {
		return replica.Spec{}, false
	}
	return s.Spec, true
}

// ReserveInstance reserves a slot on one instance of a backend server. It returns nil if the
// instance is not listed any more or gets no requests now.
func (d *Directory) ReserveInstance(service, instance string, requirements placement.Requirements, now time.Time) *Reservation {
	d.mu.Lock()
	defer d.mu.Unlock()
	pool := d.pools[service]
	if pool == nil {
		return nil
	}
	for _, s := range pool.Servers {
		if s.Spec.Instance() == instance && pool.Availability(s, now) == placement.Available {
			return d.reserveLocked(service, pool, s, requirements, now)
		}
	}
	return nil
}
