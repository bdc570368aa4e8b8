package directory

import (
	"maps"
	"time"

	"acaciapath.example/core/placement"
)

// SetEvacuated sets the failure domains whose backend servers get no new requests, with the
// time since which this daemon knows that.
func (d *Directory) SetEvacuated(since map[string]time.Time, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evacuatedSince = maps.Clone(since)
	d.evacuated = make(map[string]bool, len(since))
	for domain := range since {
		d.evacuated[domain] = true
	}
	for _, pool := range d.pools {
		pool.SetEvacuated(d.evacuated, now)
	}
}

// Evacuated returns the failure domains that are evacuated. The map must not be changed.
func (d *Directory) Evacuated() map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuated
}

// Barrier returns whether the homes of a request or evacuations keep it from all backend
// servers of a service.
func (d *Directory) Barrier(service string, homes placement.Homes) placement.Barrier {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.barrierLocked(service, homes)
}

// barrierLocked is Barrier. The caller holds d.mu.
func (d *Directory) barrierLocked(service string, homes placement.Homes) placement.Barrier {
	pool := d.pools[service]
	if pool == nil {
		return placement.NoBarrier
	}
	return pool.Barrier(homes)
}

// MayServe reports whether the failure domain of the backend server is neither evacuated nor
// outside the homes of the request. Both may have changed since the reservation.
func (r *Reservation) MayServe(homes placement.Homes) bool {
	r.directory.mu.Lock()
	defer r.directory.mu.Unlock()
	return !r.server.Evacuated && homes.Allow(r.Spec.FailureDomain)
}
