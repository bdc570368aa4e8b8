package placement

import (
	"maps"
	"math"
	"slices"
	"time"

	"acaciapath.example/core/rendezvous"
	"acaciapath.example/core/replica"
)

// ColdLimit is what the servers of a service tolerate while they are cold.
type ColdLimit struct {
	// Duration is how long a server is cold after its start. Duration > 0.
	Duration time.Duration
	// PerSecond is the number of requests a second from all daemons together.
	// PerSecond > 0.
	PerSecond float64
	// Most is the largest number of requests that may reach a server within any second.
	Most float64
}

const (
	// coldMostRatio is the share of ColdLimit.Most that is dealt out. The rest is for
	// daemons that do not know yet that the server is cold, and for daemons that others do
	// not know yet.
	coldMostRatio = 0.8
	// coldDomainRatio is the share of the users of a cold server that may be in other
	// failure domains, one in each.
	coldDomainRatio = 0.5
	// maxColdRate is the rate at which a user's requests are more than a second apart, in
	// requests a second.
	maxColdRate = 0.95
	// domainLosses is the number of servers of a failure domain that are lost, without an
	// answer of another one, from which all may have crashed. They may have if requests run on
	// others, once none has answered for domainSilence.
	domainLosses  = 2
	domainSilence = 500 * time.Millisecond
	// entryLapse is the time after which the entry of a server that crashed has changed or
	// lapsed, and this has been read.
	entryLapse = 5 * time.Second
	// maxColdTime is the longest time for which a server is believed to be cold without
	// further news, so that a faulty value has no lasting effect.
	maxColdTime = time.Minute
	// entryDelay is the time from the write of an entry until it has been read.
	entryDelay = 2500 * time.Millisecond
)

// coldUsers are the numbers of daemons that may send requests to a cold server. Each sends
// at most one in a second, whichever other daemons it knows.
type coldUsers struct {
	// Local is the number in the server's failure domain, and Domains that of other failure
	// domains that have one.
	Local, Domains int
}

// users returns the users of a server before daemons in a number of failure domains, at
// least 1.
func (l *ColdLimit) users(domains int) coldUsers {
	all := max(int(coldMostRatio*l.Most), 1)
	others := min(max(domains-1, 0), int(coldDomainRatio*float64(all)))
	return coldUsers{Local: all - others, Domains: others}
}

// localRate returns the rate of each of n users in the server's failure domain, 0 < n ≤
// u.Local, in requests a second. A few users may send more than one in a second, as many as
// u.Local would.
func (l *ColdLimit) localRate(u coldUsers, n int) float64 {
	perSecond := l.PerSecond * float64(u.Local) / float64(u.Local+u.Domains)
	return min(perSecond/float64(n), max(float64(u.Local)/float64(n)-1, maxColdRate))
}

// domainRate returns the rate of a user in another failure domain, in requests a second.
func (l *ColdLimit) domainRate(u coldUsers) float64 {
	return min(l.PerSecond/float64(u.Local+u.Domains), maxColdRate)
}

// coldState is what a daemon believes of how cold a server is, and its part of what the
// server tolerates meanwhile.
type coldState struct {
	// entryUntil is until when the server is cold by its entry or its own word.
	entryUntil time.Time
	// suspectUntil is until when the server may be cold because it has started, its entry
	// was missing, a connection to it was lost or its evacuation ended.
	suspectUntil time.Time
	// lostAt is when a connection was lost last, or the evacuation ended.
	lostAt time.Time
	// share is this daemon's part. It counts the requests to warm servers too, so that one
	// that becomes cold does not get another at once.
	share bucket
	// fresh states that no daemon can have sent requests to the server yet.
	fresh bool
}

// beginRequest records that a request is sent.
func (c *coldState) beginRequest(now time.Time) {
	c.share.refill(now)
	c.share.take()
}

// nextRequest returns the time until the daemon may send a request to the server while it
// is cold.
func (c *coldState) nextRequest(now time.Time) time.Duration {
	if wait, ok := c.share.nextToken(now); ok {
		return wait
	}
	return maxReturnTime
}

// IsCold reports whether the server may be cold.
func (s *Server) IsCold(now time.Time) bool { return now.Before(s.ColdUntil()) }

// ColdUntil returns until when the server may be cold, or a time in the past.
func (s *Server) ColdUntil() time.Time {
	if s.cold.suspectUntil.After(s.cold.entryUntil) {
		return s.cold.suspectUntil
	}
	return s.cold.entryUntil
}

// SetCold sets what the servers tolerate while they are cold, or nil if they are never cold.
func (p *Pool) SetCold(limit *ColdLimit, now time.Time) {
	known := p.Cold != nil
	p.Cold = limit
	for _, s := range p.Servers {
		switch {
		case limit == nil:
			s.cold = coldState{}
		case !known && s.Spec.ColdFor > 0:
			s.cold.entryUntil = now.Add(min(s.Spec.ColdFor, maxColdTime))
		}
	}
	p.divideCold(now)
}

// HearCold records that an answer of the server says how long it stays cold.
func (p *Pool) HearCold(s *Server, coldFor time.Duration, now time.Time) {
	if until := now.Add(min(coldFor, maxColdTime)); p.Cold != nil && until.After(s.cold.entryUntil) {
		s.cold.entryUntil = until
	}
}

// LoseContact records that a connection to the server failed or was lost. The server may
// have crashed, and come back cold before its entry says so, and so may all servers of its
// failure domain. It returns the number of servers that were not believed to be cold before.
func (p *Pool) LoseContact(s *Server, now time.Time) int {
	if p.IsBrittle(s, now) {
		s.brittle.loseBrittle(s.Running, now)
	}
	if p.Cold == nil {
		return 0
	}
	n := p.suspect(s, entryLapse, now)
	if !p.isDomainLost(s, now) {
		return n
	}
	for _, other := range p.Servers {
		if other != s && other.Spec.FailureDomain == s.Spec.FailureDomain {
			n += p.suspect(other, entryLapse, now)
		}
	}
	return n
}

// isDomainLost records that the server was lost, and reports whether all servers of its
// failure domain may have crashed: several are lost, and nothing runs on the others, or none
// has answered for some time.
func (p *Pool) isDomainLost(s *Server, now time.Time) bool {
	domain := s.Spec.FailureDomain
	lost := p.lost[domain]
	maps.DeleteFunc(lost, func(_ string, at time.Time) bool { return now.Sub(at) > entryLapse })
	if lost == nil {
		lost = make(map[string]time.Time)
		if p.lost == nil {
			p.lost = make(map[string]map[string]time.Time)
		}
		p.lost[domain] = lost
	}
	if _, known := lost[s.Spec.Name]; !known {
		lost[s.Spec.Name] = now
	}
	if len(lost) < domainLosses {
		return false
	}
	for _, at := range lost {
		if now.Sub(at) >= domainSilence {
			return true
		}
	}
	return !slices.ContainsFunc(p.Servers, func(other *Server) bool {
		_, isLost := lost[other.Spec.Name]
		return other.Spec.FailureDomain == domain && other.Running > 0 && !isLost
	})
}

// suspect records that the server may become cold without news of it within a time. It
// returns 1 if it was not believed to be cold before, or else 0.
func (p *Pool) suspect(s *Server, within time.Duration, now time.Time) int {
	if p.Cold == nil {
		return 0
	}
	cold := s.IsCold(now)
	s.cold.lostAt, s.cold.suspectUntil = now, now.Add(within+p.Cold.Duration)
	if cold {
		return 0
	}
	return 1
}

// RecordSuccess records that the server answered a request. If it had crashed, it has
// started by now.
func (p *Pool) RecordSuccess(s *Server, now time.Time) {
	s.Replica.RecordSuccess()
	if p.Cold == nil {
		return
	}
	p.RecordAnswer(s)
	if until := now.Add(p.Cold.Duration); until.Before(s.cold.suspectUntil) {
		s.cold.suspectUntil = until
	}
}

// RecordAnswer records that the server has begun to answer a request.
func (p *Pool) RecordAnswer(s *Server) { delete(p.lost, s.Spec.FailureDomain) }

// updateCold applies the entry spec of s. old is the server that the pool has under the same
// name, which is s itself if it is the same instance, or nil if there is none.
func (p *Pool) updateCold(s, old *Server, spec replica.Spec, now time.Time) {
	if old != nil && old != s {
		s.cold.share, s.cold.lostAt = old.cold.share, old.cold.lostAt
	}
	if p.Cold == nil {
		return
	}
	changed := old != s || spec.Sequence != s.Spec.Sequence || spec.ColdFor != s.Spec.ColdFor
	if !changed {
		return
	}
	s.cold.entryUntil = time.Time{}
	if spec.ColdFor > 0 {
		s.cold.entryUntil = now.Add(min(spec.ColdFor, maxColdTime))
	}
	switch {
	case old == s:
		if now.Sub(s.cold.lostAt) >= entryDelay {
			s.cold.suspectUntil = time.Time{} // the entry was written after the loss
		}
	case p.listed:
		s.cold.fresh = old == nil
		s.cold.suspectUntil = now.Add(p.Cold.Duration)
	}
}

// divideCold sets this daemon's part of what each server tolerates while it is cold.
func (p *Pool) divideCold(now time.Time) {
	if p.Cold == nil {
		return
	}
	users := p.Cold.users(p.Peers.Domains)
	for _, s := range p.Servers {
		share := &s.cold.share
		share.refill(now)
		share.rate = p.coldRate(s, users, now)
		share.capacity = 0
		if share.rate > 0 {
			share.capacity = 1
		}
		share.tokens = min(share.tokens, share.capacity)
		if s.cold.fresh {
			share.tokens, s.cold.fresh = share.capacity, false
		}
	}
}

// coldRate returns the rate at which this daemon may send requests to a cold server, in
// requests a second, or 0 if it may send none.
func (p *Pool) coldRate(s *Server, users coldUsers, now time.Time) float64 {
	rank, members := p.rank(s), p.Peers.memberCount()
	if len(p.Peers.Members) == 0 && members > 1 {
		return 0 // it cannot be told which of them are users
	}
	unknown := now.Before(p.Peers.SettledAt)
	if s.Spec.FailureDomain == p.Peers.FailureDomain {
		n := min(users.Local, members)
		if rank >= n || unknown && 2*rank >= n {
			return 0
		}
		return p.Cold.localRate(users, n)
	}
	if rank > 0 || unknown && rendezvous.Mix(s.nameHash^p.ownHash)%2 == 0 || !p.isUserDomain(s, users) {
		return 0
	}
	return p.Cold.domainRate(users)
}

// isUserDomain reports whether this daemon's failure domain has a user of a server in
// another one. If not all have one, each has one by chance, by its name.
func (p *Pool) isUserDomain(s *Server, users coldUsers) bool {
	others := p.Peers.Domains - 1
	if users.Domains >= others {
		return users.Domains > 0
	}
	part := float64(rendezvous.Mix(s.nameHash^rendezvous.Hash(p.Peers.FailureDomain))) / math.MaxUint64
	return part < float64(users.Domains)/float64(others)
}

// ColdServers returns for how much longer servers may be cold, by name, or nil if none is.
func (p *Pool) ColdServers(now time.Time) map[string]time.Duration {
	var cold map[string]time.Duration
	for _, s := range p.Servers {
		if left := s.ColdUntil().Sub(now); left > 0 {
			if cold == nil {
				cold = make(map[string]time.Duration)
			}
			cold[s.Spec.Name] = left
		}
	}
	return cold
}

// coldServerTokens is the cost of a server that may be cold, which is slow for some seconds
// after its start. It is less than that of another failure domain, so that servers warm up.
const coldServerTokens = 500
