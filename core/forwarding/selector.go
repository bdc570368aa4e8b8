package forwarding

import (
	"math/rand/v2"
	"slices"
	"time"

	"acaciapath.example/core/detour"
)

// Failure is how a neighbour failed a request that it was asked to forward.
type Failure int

// Failures of neighbours.
const (
	// Busy means that it takes on no more requests at present.
	Busy Failure = iota
	// AlsoCutOff means that it does not reach backend servers itself, or not those that others
	// reach.
	AlsoCutOff
	// ShuttingDown means that it is about to stop.
	ShuttingDown
	// Unreached means that the connection to it could not be opened, or broke off.
	Unreached
	// ServerUnreached means that it could not connect to the backend server, whose own fault
	// that may be.
	ServerUnreached
)

// Times for which a neighbour is not asked.
const (
	busyCooldown         = 300 * time.Millisecond
	cutOffCooldown       = time.Second
	unreachedCooldown    = 2 * time.Second
	shuttingDownCooldown = 30 * time.Second
)

const (
	// otherDomainRequests is the disadvantage of a neighbour in another failure domain, in
	// requests in progress. What crosses failure domains is priced.
	otherDomainRequests = 32
	// suspectDomainRequests is the disadvantage of the neighbours in a failure domain in which
	// one is cut off. Often the whole failure domain is.
	suspectDomainRequests = 1 << 16
	// maxServersUnreached is the number of requests in a row whose backend servers a neighbour
	// did not reach, from which it is not asked for a while.
	maxServersUnreached = 3
)

// neighbourState is what is known of a neighbour.
type neighbourState struct {
	// inProgress is the number of requests of this daemon that the neighbour forwards.
	// inProgress ≥ 0.
	inProgress int
	// cooldownUntil is the time until which it is not asked.
	cooldownUntil time.Time
	// serversUnreached is the number of ServerUnreached since it last reached one.
	serversUnreached int
}

// Selector selects the neighbour that is asked to forward a request. It is not safe for
// concurrent use.
type Selector struct {
	// FailureDomain is the failure domain of this daemon, whose neighbours are preferred.
	FailureDomain string

	neighbours []detour.Neighbour
	states     map[string]*neighbourState
	// suspectUntil is the time until which neighbours of other failure domains are preferred
	// to those of a failure domain.
	suspectUntil map[string]time.Time
}

// NewSelector returns a selector of a daemon in a failure domain that knows no neighbours yet.
func NewSelector(failureDomain string) *Selector {
	return &Selector{FailureDomain: failureDomain, states: make(map[string]*neighbourState), suspectUntil: make(map[string]time.Time)}
}

// SetNeighbours replaces the neighbours. What is known of those that stay is kept, and of others
// while they forward requests.
func (s *Selector) SetNeighbours(neighbours []detour.Neighbour) {
	s.neighbours = neighbours
	states := make(map[string]*neighbourState, len(neighbours))
	for _, n := range neighbours {
		states[n.Address] = s.stateOf(n.Address)
	}
	for address, state := range s.states {
		if state.inProgress > 0 {
			states[address] = state
		}
	}
	s.states = states
}

// HasNeighbours reports whether there are any neighbours.
func (s *Selector) HasNeighbours() bool { return len(s.neighbours) > 0 }

// stateOf returns what is known of a neighbour.
func (s *Selector) stateOf(address string) *neighbourState {
	state := s.states[address]
	if state == nil {
		state = &neighbourState{}
		s.states[address] = state
	}
	return state
}

// Begin selects the neighbour with the fewest requests in progress that is neither in cooldown nor
// among those already asked for the same request, and counts a request there. It prefers failure
// domains of which none was asked. It reports false if there is none.
func (s *Selector) Begin(asked []string, now time.Time, random *rand.Rand) (address string, ok bool) {
	var askedDomains []string
	for _, n := range s.neighbours {
		if slices.Contains(asked, n.Address) {
			askedDomains = append(askedDomains, n.FailureDomain)
		}
	}
	best, bestCost, ties := "", 0, 0
	for _, n := range s.neighbours {
		state := s.stateOf(n.Address)
		if now.Before(state.cooldownUntil) || slices.Contains(asked, n.Address) {
			continue
		}
		cost := state.inProgress
		if n.FailureDomain != s.FailureDomain {
			cost += otherDomainRequests
		}
		if now.Before(s.suspectUntil[n.FailureDomain]) || slices.Contains(askedDomains, n.FailureDomain) {
			cost += suspectDomainRequests
		}
		switch {
		case ties == 0 || cost < bestCost:
			best, bestCost, ties = n.Address, cost, 1
		case cost == bestCost:
			if ties++; random.IntN(ties) == 0 {
				best = n.Address
			}
		}
	}
	if ties == 0 {
		return "", false
	}
	s.stateOf(best).inProgress++
	return best, true
}

// End counts the end of a request that Begin has counted.
func (s *Selector) End(address string) {
	state := s.stateOf(address)
	state.inProgress = max(state.inProgress-1, 0)
}

// InProgress returns the number of requests that neighbours forward for this daemon.
func (s *Selector) InProgress() int {
	n := 0
	for _, state := range s.states {
		n += state.inProgress
	}
	return n
}

// Answered records that a neighbour reached a backend server.
func (s *Selector) Answered(address string) { s.stateOf(address).serversUnreached = 0 }

// Failed records that a neighbour failed a request.
func (s *Selector) Failed(address string, failure Failure, now time.Time) {
	state := s.stateOf(address)
	switch failure {
	case Busy:
		state.cooldownUntil = now.Add(busyCooldown)
	case AlsoCutOff:
		state.cooldownUntil = now.Add(cutOffCooldown)
		for _, n := range s.neighbours {
			if n.Address == address {
				s.suspectUntil[n.FailureDomain] = now.Add(cutOffCooldown)
			}
		}
	case ShuttingDown:
		state.cooldownUntil = now.Add(shuttingDownCooldown)
	case Unreached:
		state.cooldownUntil = now.Add(unreachedCooldown)
	case ServerUnreached:
		if state.serversUnreached++; state.serversUnreached >= maxServersUnreached {
			state.serversUnreached = 0
			state.cooldownUntil = now.Add(cutOffCooldown)
		}
	}
}
