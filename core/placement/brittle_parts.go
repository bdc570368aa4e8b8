package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// borrowRatio is the share of the rejections that a server bears which is for requests beyond
	// the parts of their daemons.
	borrowRatio = 0.3
	// maxRejectionRate is the rate at which a daemon's rejections are more than a second apart, in
	// rejections a second.
	maxRejectionRate = 0.95
	// rejectionBurstRatio is the share of its rejections in a second that a daemon may cause at
	// once, if there are several.
	rejectionBurstRatio = 0.5
)

// divideBrittle sets this daemon's part of each server of a brittle service.
func (p *Pool) divideBrittle(now time.Time) {
	if p.brittle == nil {
		return
	}
	served := p.servedDomains()
	groups := 1 + max(p.Peers.Domains-len(served), 0)
	divided := make(map[string]map[*Server]slotPart)
	for _, s := range p.Servers {
		b := &s.brittle
		fresh, room := !b.divided, b.room
		b.within.refill(now)
		b.beyond.refill(now)
		b.bears = p.bears(s)
		domain := s.Spec.FailureDomain
		if domain != p.Peers.FailureDomain && served[p.Peers.FailureDomain] {
			p.divideOther(s)
		} else {
			if divided[domain] == nil {
				divided[domain] = p.divideSlots(domain, groups)
			}
			part, ok := divided[domain][s]
			if !ok {
				part.index = -1 // the server is excluded
			}
			p.divideLocal(s, part, groups)
		}
		switch {
		case fresh:
			b.divided, b.borrowAt = true, p.brittle.since.Add(borrowDelay)
			b.proven, b.provenAt = b.room, now
			b.within.tokens, b.beyond.tokens = b.within.capacity, b.beyond.capacity
		case b.bears < 1 && (b.proven == room || b.proven > b.room):
			b.proven = b.room
		}
	}
}

// bears returns the number of rejections in a second that a server bears, by its own word or else by
// that of others.
func (p *Pool) bears(s *Server) float64 {
	if s.brittle.namedAt.IsZero() {
		return p.brittle.rejections
	}
	return s.brittle.named
}

// divideLocal sets the part of this daemon at a server that has as many groups of owners as groups.
func (p *Pool) divideLocal(s *Server, part slotPart, groups int) {
	b := &s.brittle
	b.room = part.room
	others := otherBorrowers(b.bears, p.Peers.Domains)
	b.bears /= float64(groups)
	borrowers := max(min(int(borrowRatio*b.bears), int(b.bears)-part.owners)-others, 0)
	within := b.bears - float64(borrowers+others)
	b.within.divideRejections(within, part.owners, part.index)
	switch {
	case part.index >= 0 && part.room == 0: // all that this daemon sends is beyond its part
		b.beyond.divideRejections(within, part.owners, part.index)
	case part.index < borrowers:
		b.beyond.divideRejections(float64(borrowers), min(borrowers, part.owners), part.index)
	default:
		b.beyond.divideRejections(0, 1, -1)
	}
}

// divideOther sets the part of this daemon at a server of another failure domain. It has no slots
// and may only try, if it is the one of its failure domain and that one has a part.
func (p *Pool) divideOther(s *Server) {
	b := &s.brittle
	b.room = 0
	users := coldUsers{Domains: otherBorrowers(b.bears, p.Peers.Domains)}
	index := 0
	if p.rank(s) > 0 || len(p.Peers.Members) == 0 && p.Peers.memberCount() > 1 || !p.isUserDomain(s, users) {
		index = -1
	}
	b.within.divideRejections(0, 1, index)
	b.beyond.divideRejections(1, 1, index)
}

// otherBorrowers returns the number of borrowers that a server has in other failure domains.
func otherBorrowers(bears float64, domains int) int {
	return min(max(domains-1, 0), int(borrowRatio*bears/2))
}

// divideRejections sets the part of one of n daemons which may together cause a number of rejections
// in a second, or none if index is negative or that is less than one.
func (b *bucket) divideRejections(perSecond float64, n, index int) {
	b.rate, b.capacity = 0, 0
	if index >= 0 && perSecond >= 1 {
		part := perSecond / float64(n)
		b.capacity = max(math.Floor(rejectionBurstRatio*part), 1)
		b.rate = max(min(part, 1)*maxRejectionRate, part*maxRejectionRate-b.capacity)
	}
	b.tokens = min(b.tokens, b.capacity)
}

// slotPart is the part of a daemon of the slots of a server.
type slotPart struct {
	// room is the number of slots, owners that of the daemons with a part, and index the place of
	// this daemon among them, or -1 if it has no part.
	room, owners, index int
}

// divideSlots divides the slots of the servers of a failure domain among the members, and returns
// the parts of this daemon. Each server has as many groups of owners as groups. The result depends
// only on the servers and the members. The slots of all servers lie in a row, of which each member
// has the same length, so that a server has few owners. If there are no more members than
// rejections within their parts, all have a part of each server.
func (p *Pool) divideSlots(domain string, groups int) map[*Server]slotPart {
	parts := make(map[*Server]slotPart)
	var servers []*Server
	total, least := 0, math.Inf(1)
	for _, s := range p.Servers {
		if !s.isExcluded() && s.Spec.FailureDomain == domain {
			servers = append(servers, s)
			total += s.Spec.Slots / groups
			least = min(least, p.bears(s)/float64(groups))
		}
	}
	members := p.Peers.memberCount()
	if len(p.Peers.Members) == 0 || float64(members) <= least-math.Floor(borrowRatio*least) {
		for _, s := range servers {
			parts[s] = p.equalPart(s, groups, members)
		}
		return parts
	}
	slices.SortFunc(servers, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(a.Lane, b.Lane), cmp.Compare(a.nameHash, b.nameHash))
	})
	own := 0
	for _, hash := range p.otherHashes {
		if hash < p.ownHash {
			own++
		}
	}
	from := 0
	for _, s := range servers {
		to := from + s.Spec.Slots/groups
		part := slotPart{index: -1}
		for i := from * members / max(total, 1); i < members && i*total < to*members; i++ {
			// The member i has the slots from i*total/members to (i+1)*total/members.
			begin, end := max(i*total/members, from), min((i+1)*total/members, to)
			if begin >= end && (end-begin < 0 || (i+1)*total/members > i*total/members) {
				continue
			}
			if i == own {
				part.index, part.room = part.owners, max(end-begin, 0)
			}
			part.owners++
		}
		parts[s] = part
		from = to
	}
	return parts
}

// equalPart returns the part of this daemon of a server that all members own. If the members are not
// known, this daemon comes last.
func (p *Pool) equalPart(s *Server, groups, members int) slotPart {
	part := slotPart{owners: members, index: p.rank(s)}
	if len(p.Peers.Members) == 0 {
		part.index = members - 1
	}
	slots := s.Spec.Slots / groups
	part.room = slots / members
	if part.index < slots%members {
		part.room++
	}
	return part
}
