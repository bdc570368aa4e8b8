package directory

import (
	"acaciapath.example/core/origin"
)

// StreamServers returns the servers of all services with streams that callers can take up
// again, by service.
func (d *Directory) StreamServers() map[string]origin.Servers {
	d.mu.Lock()
	defer d.mu.Unlock()
	servers := make(map[string]origin.Servers)
	view := d.view.Load()
	if view == nil {
		return servers
	}
	for i := range view.Index.Catalog.Routes {
		r := &view.Index.Catalog.Routes[i]
		if !r.Resumable {
			continue
		}
		for _, split := range r.Splits {
			pool := d.pools[split.Service]
			if _, done := servers[split.Service]; pool == nil || done {
				continue
			}
			servers[split.Service] = origin.Servers{Plan: origin.NewPlan(pool.VersionCounts()), Mixed: pool.HasVersions()}
		}
	}
	return servers
}
