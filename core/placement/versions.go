package placement

// VersionCounts returns the numbers of servers of each version that are listed, do not drain
// and are not evacuated, unless all are evacuated. They depend only on the entries of the
// servers and on evacuations, so that all daemons with the same news count the same.
func (p *Pool) VersionCounts() map[string]int {
	counts, evacuated := make(map[string]int), make(map[string]int)
	for _, s := range p.Servers {
		switch {
		case s.Spec.Draining:
		case s.Evacuated:
			evacuated[s.Spec.Version]++
		default:
			counts[s.Spec.Version]++
		}
	}
	if len(counts) == 0 {
		return evacuated
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
