package placement

import (
	"math"
	"time"

	"acaciapath.example/core/rendezvous"
)

// Peers are the daemons among which the limits of backend servers are divided.
type Peers struct {
	// VM and FailureDomain are those of this daemon.
	VM, FailureDomain string
	// Members are the VMs of the failure domain, or nil if they are not known.
	Members []string
	// SettledAt is when the other daemons know this one, at the latest.
	SettledAt time.Time
	// Daemons is the number of daemons in all failure domains, and Domains that of
	// failure domains. Either is 0 if it is not known.
	Daemons, Domains int
	// LimitMemory is how long a limit is remembered without news, or 0 for
	// DefaultLimitMemory.
	LimitMemory time.Duration
}

// DefaultLimitMemory is how long a limit is remembered without news by default.
const DefaultLimitMemory = 10 * time.Minute

// limitMemory returns how long a limit is remembered without news.
func (p Peers) limitMemory() time.Duration {
	if p.LimitMemory > 0 {
		return p.LimitMemory
	}
	return DefaultLimitMemory
}

// memberCount returns the number of daemons in the failure domain, at least 1.
func (p Peers) memberCount() int {
	if len(p.Members) == 0 && p.Domains > 0 {
		return max((p.Daemons+p.Domains-1)/p.Domains, 1)
	}
	return max(len(p.Members), 1)
}

// RateLimit is the limit of a backend server, as one daemon keeps its part of it.
//
// The limit is for all daemons together, which do not see each other's requests. A few of
// them therefore divide it: those of the server's failure domain, and of failure domains
// that have no server of the service. Each has a token bucket. They are few, usersPerUnit
// for each request a second, because each may have saved a token.
type RateLimit struct {
	// PerSecond is the limit that the server named, in requests a second. PerSecond ≥ 0.
	PerSecond float64
	// NamedAt is when it was last named.
	NamedAt time.Time

	bucket
}

const (
	// usersPerUnit is the number of daemons that use a server, for each request a second
	// of its limit.
	usersPerUnit = 2
	// savedRequests is the number of requests that all daemons together may save, in
	// addition to usersPerUnit for each request a second.
	savedRequests = 2
)

// isLimited reports whether the daemon may send no request to a server at present,
// because of its limit.
func (p *Pool) isLimited(s *Server, now time.Time) bool {
	if s.Limit == nil {
		return false
	}
	if now.Sub(s.Limit.NamedAt) > p.Peers.limitMemory() {
		s.Limit = nil
		return false
	}
	s.Limit.refill(now)
	return s.Limit.tokens < 1
}

// EndLimit records that an answer to a request which was sent at sent names no limit. It
// reports whether that ended a limit. An answer to a request from before the limit was
// last named does not.
func (s *Server) EndLimit(sent time.Time) bool {
	if s.Limit == nil || !sent.After(s.Limit.NamedAt) {
		return false
	}
	s.Limit = nil
	return true
}

// SetLimit records the limit of requests a second that a server named. It reports whether
// the limit is new or changed.
func (p *Pool) SetLimit(s *Server, perSecond float64, now time.Time) bool {
	if s.Limit == nil {
		s.Limit = &RateLimit{PerSecond: -1, bucket: bucket{updated: now}}
	}
	s.Limit.NamedAt = now
	if s.Limit.PerSecond == perSecond {
		return false
	}
	s.Limit.PerSecond = perSecond
	p.divideLimit(s, p.servedDomains(), now)
	return true
}

// SetPeers sets the daemons among which limits are divided.
func (p *Pool) SetPeers(peers Peers, now time.Time) {
	p.Peers = peers
	p.ownHash, p.otherHashes = rendezvous.Hash(peers.VM), nil
	for _, vm := range peers.Members {
		if vm != peers.VM {
			p.otherHashes = append(p.otherHashes, rendezvous.Hash(vm))
		}
	}
	p.divideLimits(now)
	p.divideCold(now)
	p.divideBrittle(now)
	p.deal()
}

// servedDomains returns the failure domains that have servers.
func (p *Pool) servedDomains() map[string]bool {
	served := make(map[string]bool)
	for _, s := range p.Servers {
		if !s.isExcluded() {
			served[s.Spec.FailureDomain] = true
		}
	}
	return served
}

// divideLimits sets this daemon's part of each limit.
func (p *Pool) divideLimits(now time.Time) {
	served := p.servedDomains()
	for _, s := range p.Servers {
		if s.Limit != nil {
			p.divideLimit(s, served, now)
		}
	}
}

// divideLimit sets this daemon's part of the limit of a server.
func (p *Pool) divideLimit(s *Server, served map[string]bool, now time.Time) {
	s.Limit.refill(now)
	parts := 1 + max(p.Peers.Domains-len(served), 0)
	perSecond := s.Limit.PerSecond / float64(parts)
	users := min(max(int(math.Ceil(usersPerUnit*perSecond)), 1), p.Peers.memberCount())
	if s.Spec.FailureDomain != p.Peers.FailureDomain && served[p.Peers.FailureDomain] || p.rank(s) >= users {
		users = 0
	}
	s.Limit.divide(perSecond, usersPerUnit*perSecond+savedRequests/float64(parts), users)
}

// rank returns the number of members that come before this daemon at a server, by
// rendezvous hashing, or 0 if the members are not known.
func (p *Pool) rank(s *Server) int {
	own, n := rendezvous.Mix(s.nameHash^p.ownHash), 0
	for _, hash := range p.otherHashes {
		if rendezvous.Mix(s.nameHash^hash) > own {
			n++
		}
	}
	return n
}

// Limited returns the number of servers with a limit.
func (p *Pool) Limited() int {
	n := 0
	for _, s := range p.Servers {
		if s.Limit != nil {
			n++
		}
	}
	return n
}

// maxReturnTime is the longest time after which a caller is told to return because of
// limits, pauses, and cold and brittle servers.
const maxReturnTime = 10 * time.Second

// pausedReturnRate is the rate at which callers are told to return to each server after its
// pause, in requests a second.
const pausedReturnRate = 20

// ReturnTime returns when a caller that is refused now should return because the limits of
// the servers that accept its request are used up, or they are in a pause, cold or brittle, or false if
// that does not explain that there is no server. Callers are told to return one after the other,
// at the rate of the limits.
func (p *Pool) ReturnTime(requirements Requirements, now time.Time) (time.Duration, bool) {
	wait, rate, explained := maxReturnTime, 0.0, false
	for _, s := range p.Servers {
		if !p.accepts(s, requirements) {
			continue
		}
		switch p.Availability(s, now) {
		case Available:
			return 0, false
		case Paused:
			explained = true
			wait, rate = min(wait, s.PausedUntil.Sub(now)), rate+pausedReturnRate
		case Limited:
			explained = true
			if d, ok := s.Limit.nextToken(now); ok {
				wait, rate = min(wait, d), rate+s.Limit.rate
			}
		case Cold:
			explained = true
			wait, rate = min(wait, s.cold.nextRequest(now)), rate+s.cold.share.rate
		case Brittle:
			explained = true
			d, r := p.brittleReturn(s, now)
			wait, rate = min(wait, d), rate+r
		}
	}
	if !explained {
		return 0, false
	}
	at := now.Add(wait)
	if rate > 0 {
		if next := p.returning.Add(time.Duration(float64(time.Second) / rate)); next.After(at) {
			at = next
		}
	}
	at = minTime(at, now.Add(maxReturnTime))
	p.returning = at
	return at.Sub(now), true
}

// minTime returns the earlier of two times.
func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
