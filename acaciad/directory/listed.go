package directory

import (
	"time"

	"acaciapath.example/core/placement"
	"acaciapath.example/core/replica"
)

// Listed returns the backend server that is listed under a name and an address, and whether it may
// get a request. It reports false if there is none.
func (d *Directory) Listed(name, address string, now time.Time) (replica.Spec, placement.Availability, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, pool := range d.pools {
		for _, s := range pool.Servers {
			if s.Spec.Name == name && s.Spec.Address == address {
				return s.Spec, pool.Availability(s, now), true
			}
		}
	}
	return replica.Spec{}, placement.Available, false
}

// All returns the listed backend servers.
func (d *Directory) All() []replica.Spec {
	d.mu.Lock()
	defer d.mu.Unlock()
	var specs []replica.Spec
	for _, pool := range d.pools {
		for _, s := range pool.Servers {
			specs = append(specs, s.Spec)
		}
	}
	return specs
}
