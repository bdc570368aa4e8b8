package placement

import "slices"

// Domains is a set of failure domains. The nil set has all of them.
type Domains map[string]bool

// DomainsIn returns the failure domains in the regions homes, or nil if homes is empty. regions
// maps failure domains to their regions.
func DomainsIn(homes []string, regions map[string]string) Domains {
	if len(homes) == 0 {
		return nil
	}
	domains := make(Domains)
	for domain, region := range regions {
		if slices.Contains(homes, region) {
			domains[domain] = true
		}
	}
	return domains
}

// UnknownRegions returns the homes that are not a region of any failure domain, sorted.
func UnknownRegions(homes []string, regions map[string]string) []string {
	known := make(map[string]bool, len(regions))
	for _, region := range regions {
		known[region] = true
	}
	var unknown []string
	for _, home := range homes {
		if !known[home] {
			unknown = append(unknown, home)
		}
	}
	slices.Sort(unknown)
	return slices.Compact(unknown)
}

// Homes are the failure domains in which a request may be executed. Both sets bind.
type Homes struct {
	// Route and Account are those of the request's route and client account.
	Route, Account Domains
}

// Allow reports whether the request may be executed in a failure domain.
func (h Homes) Allow(domain string) bool {
	return (h.Route == nil || h.Route[domain]) && (h.Account == nil || h.Account[domain])
}

// Restricted reports whether the request may not be executed in all failure domains.
func (h Homes) Restricted() bool { return h.Route != nil || h.Account != nil }

// Barrier tells why none of the servers of a pool may get a request.
type Barrier int

// Barriers.
const (
	// NoBarrier means that a server may get the request, or that it is not homes or an
	// evacuation that prevent that.
	NoBarrier Barrier = iota
	// OutsideHomes means that there are servers, but none in the homes of the request.
	OutsideHomes
	// EvacuatedHomes means that the failure domains of all servers that may run the request
	// are evacuated.
	EvacuatedHomes
)

// Barrier returns whether the homes of a request or evacuations keep it from all servers that
// would otherwise stay in service.
func (p *Pool) Barrier(homes Homes) Barrier {
	barrier := NoBarrier
	for _, s := range p.Servers {
		switch {
		case s.leaves() || s.Misdirected:
		case !homes.Allow(s.Spec.FailureDomain):
			barrier = max(barrier, OutsideHomes)
		case s.Evacuated:
			barrier = EvacuatedHomes
		default:
			return NoBarrier
		}
	}
	return barrier
}
