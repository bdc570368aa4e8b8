package directory

import (
	"acaciapath.example/core/catalog"
	"acaciapath.example/core/origin"
	"acaciapath.example/core/placement"
)

// StreamGroup returns the group of the streams of a route at a service.
func StreamGroup(index *catalog.Index, r *catalog.Route, service string) origin.Group {
	lane := placement.LaneOf(index, r, index.Service(service))
	return origin.Group{Service: service, Lane: lane.String()}
}

// StreamServers returns the servers for the groups of all streams that callers can take up
// again.
func (d *Directory) StreamServers() map[origin.Group]origin.Servers {
	d.mu.Lock()
	defer d.mu.Unlock()
	servers := make(map[origin.Group]origin.Servers)
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
			pool, group := d.pools[split.Service], StreamGroup(view.Index, r, split.Service)
			if _, done := servers[group]; pool == nil || done {
				continue
			}
			counts := pool.VersionCounts(placement.LaneOf(view.Index, r, view.Index.Service(split.Service)))
			servers[group] = origin.Servers{Plan: origin.NewPlan(counts), Mixed: pool.HasVersions()}
		}
	}
	return servers
}
