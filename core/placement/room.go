package placement

import (
	"cmp"
	"math"
	"slices"

	"acaciapath.example/core/rendezvous"
)

// A daemon knows only its own requests at a server. What the other daemons of its failure
// domain have there is bounded by dealing out the servers: each has its turn at the servers of
// a lane, so that daemons with equal counts choose different ones, and each uses only its part
// of a server's room before it prefers another server.

// deal lists the servers of each lane and sets the turn of this daemon at each. The servers of a
// lane in a failure domain form a circle, on which the daemons of this failure domain begin at
// evenly spaced places. The result depends only on the servers and the members.
func (p *Pool) deal() {
	type group struct {
		domain string
		lane   Lane
	}
	groups := make(map[group][]*Server)
	p.lanes = [ShortPauses + 1][]*Server{}
	for _, s := range p.Servers {
		s.turn = 0
		if !s.isExcluded() {
			p.lanes[s.Lane] = append(p.lanes[s.Lane], s)
			g := group{domain: s.Spec.FailureDomain, lane: s.Lane}
			groups[g] = append(groups[g], s)
		}
	}
	if p.dealt = len(p.Peers.Members) > 1; !p.dealt {
		return
	}
	before := 0
	for _, hash := range p.otherHashes {
		if hash < p.ownHash {
			before++
		}
	}
	part := float64(before) / float64(len(p.otherHashes)+1)
	for g, servers := range groups {
		slices.SortFunc(servers, func(a, b *Server) int { return cmp.Compare(a.nameHash, b.nameHash) })
		n := len(servers)
		first := int(part * float64(n))
		// Circles of different failure domains follow one another in an order of each VM.
		order := float64(rendezvous.Mix(p.ownHash^rendezvous.Hash(g.domain))) / math.MaxUint64
		for i, s := range servers {
			s.turn = (float64((i-first+n)%n) + order) / float64(n)
		}
	}
}

// minRoom is the least number of requests that a daemon sends to a server before it counts as
// crowded. Daemons have uneven load, so that a part below it would say little.
const minRoom = 2

// room returns this daemon's part of a server's slots, in requests.
func (p *Pool) room(s *Server) float64 {
	return max(float64(s.Spec.Slots)/float64(p.Peers.memberCount()), minRoom)
}

// memoryRoom returns this daemon's part of the memory of an engine, in tokens, or 0 if the
// memory is not known.
func (p *Pool) memoryRoom() float64 {
	return float64(p.KVCacheTokens) / float64(p.Peers.memberCount())
}

// Terms of the cost of a server that has less room than a request needs, in prompt tokens.
const (
	// crowdedTokens is the cost of each request beyond this daemon's part of the slots, or
	// of the same part of the memory.
	crowdedTokens = 3000
	// noMemoryTokens is the cost of an engine whose memory the requests of this daemon
	// alone exceed. It crashes if they do not fit.
	noMemoryTokens = 5_000_000
)

// crowding returns the cost of the room that a request lacks at a server, in prompt tokens.
// cached states that it has the shared prefix of the request.
func (p *Pool) crowding(s *Server, requirements Requirements, cached bool) float64 {
	c := crowdedTokens * max(float64(s.Running+1)-p.room(s), 0)
	if p.KVCacheTokens <= 0 || s.Running == 0 {
		return c
	}
	held := float64(s.HeldTokens + requirements.heldTokens(cached))
	c += crowdedTokens * max(held/p.memoryRoom()-1, 0)
	if held > float64(p.KVCacheTokens) {
		c += noMemoryTokens
	}
	return c
}

// heldTokens returns the number of tokens that a request adds to what this daemon's requests
// hold at a server. A shared prefix that the server has cached is held once.
func (r Requirements) heldTokens(cached bool) int {
	tokens := r.PromptTokens + r.CopiedKVTokens + r.OutputTokens
	if cached {
		tokens -= r.SharedPrefixTokens
	}
	return max(tokens, 0)
}
