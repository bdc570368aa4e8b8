package placement

// VersionCounts returns the numbers of servers of each version that are listed and do not drain.
// They depend only on the entries of the servers, so that all daemons with the same list count
// the same.
func (p *Pool) VersionCounts() map[string]int {
	counts := make(map[string]int)
	for _, s := range p.Servers {
		if !s.Spec.Draining {
			counts[s.Spec.Version]++
		}
	}
	return counts
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
