package placement

import "time"

// SetEvacuated sets the failure domains whose servers get no new requests. Their servers leave
// the lanes and the division of limits, and those of other failure domains take their place.
func (p *Pool) SetEvacuated(domains map[string]bool, now time.Time) {
	p.evacuated = domains
	for _, s := range p.Servers {
		if s.Evacuated && !domains[s.Spec.FailureDomain] {
			p.suspect(s, entryDelay, now)
		}
	}
	p.markEvacuated()
	p.assignLanes()
	p.divideLimits(now)
	p.divideBrittle(now)
}

// markEvacuated sets Evacuated of all servers.
func (p *Pool) markEvacuated() {
	for _, s := range p.Servers {
		s.Evacuated = p.evacuated[s.Spec.FailureDomain]
	}
}
