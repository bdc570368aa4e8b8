package detour

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Direct is the path to the store that does not go through a neighbour.
const Direct = ""

// Neighbour is another daemon that forwards calls to the store.
type Neighbour struct {
	// Address is the IP address and port at which it accepts calls to forward.
	Address string
	// FailureDomain is the failure domain of the daemon.
	FailureDomain string
}

// ProbeInterval is the time between probes of the direct path while it fails. Other
// calls are not used as probes, because a long poll that the store holds open would
// show only at its end whether the path works.
const ProbeInterval = 1500 * time.Millisecond

// neighbourCooldown is how long a neighbour is not used after a call through it
// failed.
const neighbourCooldown = 2 * time.Second

// Selector selects the path of each call to the store: Direct, or the address of a
// neighbour. It is not safe for concurrent use.
type Selector struct {
	// FailureDomain is the failure domain of this daemon. Neighbours in it are
	// preferred, because traffic to other failure domains is slow and expensive.
	FailureDomain string

	neighbours []Neighbour
	// failing reports whether the last call over the direct path failed.
	failing bool
	// cooldownUntil holds the ends of the cooldowns of neighbours, by address.
	cooldownUntil map[string]time.Time
}

// SetNeighbours replaces the list of neighbours. Neighbours that stay in the list keep
// their cooldown.
func (s *Selector) SetNeighbours(neighbours []Neighbour) {
	s.neighbours = neighbours
	cooldownUntil := make(map[string]time.Time, len(neighbours))
	for _, n := range neighbours {
		if until, ok := s.cooldownUntil[n.Address]; ok {
			cooldownUntil[n.Address] = until
		}
	}
	s.cooldownUntil = cooldownUntil
}

// DirectFailing reports whether the direct path is failing.
func (s *Selector) DirectFailing() bool { return s.failing }

// Choose returns the path for a call: Direct, or the address of a neighbour while the
// direct path is failing.
func (s *Selector) Choose(now time.Time, random *rand.Rand) string {
	if !s.failing {
		return Direct
	}
	return s.PickNeighbour(now, random)
}

// PickNeighbour returns the address of a random neighbour that is not in cooldown, or
// Direct if there is none. It prefers neighbours in the failure domain of
// this daemon.
func (s *Selector) PickNeighbour(now time.Time, random *rand.Rand) string {
	var sameDomain, otherDomains []string
	for _, n := range s.neighbours {
		switch {
		case now.Before(s.cooldownUntil[n.Address]):
		case n.FailureDomain == s.FailureDomain:
			sameDomain = append(sameDomain, n.Address)
		default:
			otherDomains = append(otherDomains, n.Address)
		}
	}
	switch {
	case len(sameDomain) > 0:
		return sameDomain[random.IntN(len(sameDomain))]
	case len(otherDomains) > 0:
		return otherDomains[random.IntN(len(otherDomains))]
	}
	return Direct
}

// ShuffledNeighbours returns the addresses of all neighbours in random order, those in
// the failure domain of this daemon first. It includes neighbours whose calls failed
// recently: a daemon that cannot reach the store can still take over pending writes.
func (s *Selector) ShuffledNeighbours(random *rand.Rand) []string {
	shuffled := slices.Clone(s.neighbours)
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	var sameDomain, otherDomains []string
	for _, n := range shuffled {
		if n.FailureDomain == s.FailureDomain {
			sameDomain = append(sameDomain, n.Address)
		} else {
			otherDomains = append(otherDomains, n.Address)
		}
	}
	return append(sameDomain, otherDomains...)
}

// Succeeded records that a call over a path was answered. It reports whether the direct
// path has recovered by this.
func (s *Selector) Succeeded(path string) bool {
	if path != Direct {
		delete(s.cooldownUntil, path)
		return false
	}
	recovered := s.failing
	s.failing = false
	return recovered
}

// Failed records that a call over a path was not answered or was rejected. It
// reports whether the direct path has started to fail with this call.
func (s *Selector) Failed(path string, now time.Time) bool {
	if path == Direct {
		startedFailing := !s.failing
		s.failing = true
		return startedFailing
	}
	if slices.ContainsFunc(s.neighbours, func(n Neighbour) bool { return n.Address == path }) {
		if s.cooldownUntil == nil {
			s.cooldownUntil = make(map[string]time.Time)
		}
		s.cooldownUntil[path] = now.Add(neighbourCooldown)
	}
	return false
}
