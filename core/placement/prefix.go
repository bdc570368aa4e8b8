package placement

import (
	"time"

	"acaciapath.example/core/rendezvous"
)

// A shared prefix has one home, the server of the lane that caches it, by rendezvous hashing.
// A prefix that much of the traffic shares would overrun it. As its load grows it gets the next
// servers in the order of the hash as further homes, and loses them when its load falls. Each
// daemon infers the load from its own requests. The homes of a prefix have nothing to do with
// the homes of a request (Homes), outside of which it may not run.

// maxPrefixHomes is the largest number of homes of a prefix.
const maxPrefixHomes = 8

// prefixHomes are the servers that should cache a prefix, at most maxPrefixHomes.
type prefixHomes struct {
	servers [maxPrefixHomes]*Server
	n       int
}

// has reports whether a server is among the homes.
func (h *prefixHomes) has(s *Server) bool {
	for _, home := range h.servers[:h.n] {
		if home == s {
			return true
		}
	}
	return false
}

// prefixHomesOf returns the servers that should cache the shared prefix of a prompt, or none if the
// prompt has no shared prefix or the lane has no server. Requests with short pauses have none.
func (p *Pool) prefixHomesOf(requirements Requirements, now time.Time) (h prefixHomes) {
	if requirements.SharedPrefixKey == 0 || requirements.Lane == ShortPauses {
		return h
	}
	n := p.prefixHomeCount(requirements.SharedPrefixKey, now)
	key := rendezvous.Mix(requirements.SharedPrefixKey)
	var weights [maxPrefixHomes]uint64
	for _, s := range p.lanes[requirements.Lane] {
		if !p.accepts(s, requirements) || s.cold.share.rate == 0 && s.IsCold(now) {
			continue // it may not get the request, at least not from this daemon
		}
		weight := rendezvous.Mix(s.nameHash ^ key)
		if h.n == n && weight <= weights[n-1] {
			continue
		}
		if h.n < n {
			h.n++
		}
		i := h.n - 1
		for ; i > 0 && weight > weights[i-1]; i-- {
			h.servers[i], weights[i] = h.servers[i-1], weights[i-1]
		}
		h.servers[i], weights[i] = s, weight
	}
	return h
}

const (
	// prefixWindow is the time over which the requests that share a prefix are counted.
	prefixWindow = 8 * time.Second
	// ownRepeats is the number of requests within prefixWindow that say nothing of other
	// daemons: a caller often repeats a prefix of its own at the same daemon.
	ownRepeats = 3
	// maxCountedPrefixes bounds the number of prefixes that are counted.
	maxCountedPrefixes = 1024
)

// prefixCount is a count of the requests with a prefix that decays within prefixWindow.
type prefixCount struct {
	count float64
	at    time.Time
}

// value returns the count at now.
func (c prefixCount) value(now time.Time) float64 {
	return c.count * max(1-now.Sub(c.at).Seconds()/prefixWindow.Seconds(), 0)
}

// prefixHomeCount returns the number of homes of a prefix. A home is to get as many requests within
// prefixWindow as it has slots.
func (p *Pool) prefixHomeCount(key uint64, now time.Time) int {
	excess := p.prefixCounts[key].value(now) - ownRepeats
	if excess <= 0 || len(p.Servers) == 0 {
		return 1
	}
	slots := max(p.Servers[0].Spec.Slots, 1)
	return min(1+int(excess*float64(max(p.Peers.Daemons, 1))/float64(slots)), maxPrefixHomes)
}

// countPrefix counts a request with a prefix.
func (p *Pool) countPrefix(key uint64, now time.Time) {
	if key == 0 {
		return
	}
	if p.prefixCounts == nil {
		p.prefixCounts = make(map[uint64]prefixCount)
	}
	if len(p.prefixCounts) >= maxCountedPrefixes {
		for other, c := range p.prefixCounts {
			if c.value(now) == 0 {
				delete(p.prefixCounts, other)
			}
		}
		if len(p.prefixCounts) >= maxCountedPrefixes {
			return
		}
	}
	p.prefixCounts[key] = prefixCount{count: p.prefixCounts[key].value(now) + 1, at: now}
}
