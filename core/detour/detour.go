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

// failedPause is how long a neighbour is not used after a call through it failed.
const failedPause = 2 * time.Second

// Selector selects the path of each call to the store: Direct, or the address of a
// neighbour. It is not safe for concurrent use.
type Selector struct {
	// FailureDomain is the failure domain of this daemon. Neighbours in it are
	// preferred, because traffic to other failure domains is slow and expensive.
	FailureDomain string

	neighbours []Neighbour
	// failing reports whether the last call over the direct path failed.
	failing bool
	// unusedUntil holds the times until which neighbours are not used, by address.
	unusedUntil map[string]time.Time
}

// SetNeighbours replaces the list of neighbours. Neighbours that stay in the list keep
// the time until which they are not used.
func (s *Selector) SetNeighbours(neighbours []Neighbour) {
	s.neighbours = neighbours
	unusedUntil := make(map[string]time.Time, len(neighbours))
	for _, n := range neighbours {
		if until, ok := s.unusedUntil[n.Address]; ok {
			unusedUntil[n.Address] = until
		}
	}
	s.unusedUntil = unusedUntil
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

// PickNeighbour returns the address of a random neighbour whose last call did not fail
// recently, or Direct if there is none. It prefers neighbours in the failure domain of
// this daemon.
func (s *Selector) PickNeighbour(now time.Time, random *rand.Rand) string {
	var sameDomain, otherDomains []string
	for _, n := range s.neighbours {
		switch {
		case now.Before(s.unusedUntil[n.Address]):
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
		delete(s.unusedUntil, path)
		return false
	}
	back := s.failing
	s.failing = false
	return back
}

// Failed records that a call over a path was not answered or was rejected. It
// reports whether the direct path has started to fail with this call.
func (s *Selector) Failed(path string, now time.Time) bool {
	if path == Direct {
		lost := !s.failing
		s.failing = true
		return lost
	}
	if slices.ContainsFunc(s.neighbours, func(n Neighbour) bool { return n.Address == path }) {
		if s.unusedUntil == nil {
			s.unusedUntil = make(map[string]time.Time)
		}
		s.unusedUntil[path] = now.Add(failedPause)
	}
	return false
}
