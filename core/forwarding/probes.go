package forwarding

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Limits of probes.
const (
	// firstProbes is the number of probes with which a suspicion begins. One answer is
	// enough to end it.
	firstProbes = 1
	// laterProbes is the number of pending probes after moreProbesAfter.
	laterProbes     = 6
	moreProbesAfter = 50 * time.Millisecond
	// cutOffProbes is the number of probes in each cutOffProbeInterval while the daemon
	// is cut off.
	cutOffProbes        = 2
	cutOffProbeInterval = 300 * time.Millisecond
	// repeatAfter is the least time between two probes of a backend server during one
	// suspicion.
	repeatAfter = 100 * time.Millisecond
	// tick is the time between two calls of Probes while the own path is suspected.
	tick = 25 * time.Millisecond
	// probeLifetime is the time after which a probe without an outcome is forgotten.
	probeLifetime = 3 * time.Second
)

// probing is the state of the probes.
type probing struct {
	// pending holds the times at which the probes that have no outcome yet began, by
	// address.
	pending map[string]time.Time
	// next is the time of the next round while the daemon is cut off.
	next time.Time
}

// Next returns when Probes is to be called next, or the zero time while the state is
// Direct.
func (r *Reach) Next(now time.Time) time.Time {
	switch r.state {
	case Suspect:
		return now.Add(tick)
	case CutOff:
		return r.probes.next
	case Direct:
	}
	return time.Time{}
}

// Probes returns the backend servers to probe now, whose outcomes must be passed to
// Observe. It ends a suspicion without new signs.
func (r *Reach) Probes(now time.Time, random *rand.Rand) []Target {
	r.decide(now)
	if r.state == Suspect && now.Sub(r.lastSign) > maxDoubt {
		r.dismiss(now)
	}
	for address, began := range r.probes.pending {
		if now.Sub(began) > probeLifetime {
			delete(r.probes.pending, address)
		}
	}
	count := 0
	switch r.state {
	case Suspect:
		count = laterProbes
		if now.Sub(r.firstSign) < moreProbesAfter && len(r.failures) < minFailedServers {
			count = firstProbes
		}
		count -= len(r.probes.pending)
	case CutOff:
		if now.Before(r.probes.next) {
			return nil
		}
		r.probes.next = now.Add(cutOffProbeInterval)
		count = cutOffProbes
	case Direct:
	}
	if count <= 0 {
		return nil
	}
	chosen := r.chooseProbes(count, now, random)
	if r.probes.pending == nil {
		r.probes.pending = make(map[string]time.Time)
	}
	for _, t := range chosen {
		r.probes.pending[t.Address] = now
	}
	return chosen
}

// chooseProbes returns up to count backend servers in random order, of failure domains
// and services with few failures and probes so far first. While the own path is suspected,
// those that have not failed go first.
func (r *Reach) chooseProbes(count int, now time.Time, random *rand.Rand) []Target {
	domains, services := make(map[string]int), make(map[string]int)
	add := func(t Target) {
		domains[t.FailureDomain]++
		services[t.Service]++
	}
	if r.state == Suspect {
		for _, f := range r.failures {
			add(f.target)
		}
	}
	for address := range r.probes.pending {
		add(r.byAddress[address])
	}
	candidates := r.probeCandidates(now)
	random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	var chosen []Target
	for len(chosen) < count && len(candidates) > 0 {
		best := 0
		for i, t := range candidates {
			b := candidates[best]
			if domains[t.FailureDomain]+services[t.Service] < domains[b.FailureDomain]+services[b.Service] {
				best = i
			}
		}
		add(candidates[best])
		chosen = append(chosen, candidates[best])
		candidates = slices.Delete(candidates, best, best+1)
	}
	return chosen
}

// probeCandidates returns the backend servers that may be probed, or while the own path is
// suspected those of them that have not failed, if there are any.
func (r *Reach) probeCandidates(now time.Time) []Target {
	var candidates, failed []Target
	for _, t := range r.targets {
		_, pending := r.probes.pending[t.Address]
		at, answered := r.answered[t.Address]
		f, hasFailed := r.failures[t.Address]
		switch {
		case pending, answered && now.Sub(at) <= restoredWithin:
		case r.state == Suspect && hasFailed:
			if now.Sub(f.at) >= repeatAfter {
				failed = append(failed, t)
			}
		default:
			candidates = append(candidates, t)
		}
	}
	if len(candidates) == 0 {
		return failed
	}
	return candidates
}
