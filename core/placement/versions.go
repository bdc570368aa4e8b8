package placement

// VersionCounts returns the numbers of servers of each version that are listed for a lane and do
// not drain, or those of all lanes if it has none. They depend only on the entries of the
// servers, so that all daemons with the same list count the same.
func (p *Pool) VersionCounts(lane Lane) map[string]int {
	drains := func(s *Server) bool { return s.Spec.Draining }
	lanes := make(map[*Server]Lane)
	p.divideLanes(drains, func(s *Server, lane Lane) { lanes[s] = lane })
	all, ofLane := make(map[string]int), make(map[string]int)
	for _, s := range p.Servers {
		if drains(s) {
			continue
		}
		all[s.Spec.Version]++
		if lanes[s] == lane {
			ofLane[s.Spec.Version]++
		}
	}
	if len(ofLane) == 0 {
		return all
	}
	return ofLane
}

// HasVersions reports whether not all listed servers have the same version, those included
// that drain.
func (p *Pool) HasVersions() bool {
	for _, s := range p.Servers {
		if s.Spec.Version != p.Servers[0].Spec.Version {
			return true
		}
	}
	return false
}
