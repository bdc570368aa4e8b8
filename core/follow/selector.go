package follow

import (
	"slices"
	"time"
)

// Limits of the choice of a reader.
const (
	// MinMembers is the number of daemons in a failure domain from which one of them
	// reads for the others. A reader reads more often than a daemon that reads for
	// itself alone, which pays off only with several followers.
	MinMembers = 8
	// maxReaders is the number of members, in the order of Rank, that may be readers.
	// If none of them can be used, every daemon reads for itself.
	maxReaders = 3
	// minCooldown and maxCooldown bound the time for which a reader is not used after a
	// failure. It doubles with each failure in a row, but not when the reader refuses.
	minCooldown = 2 * time.Second
	maxCooldown = 5 * time.Minute
)

// Role is how a daemon learns the changes of a table.
type Role int

const (
	// Alone means that the daemon reads the store for itself.
	Alone Role = iota
	// Reads means that it reads the store for itself and for followers.
	Reads
	// Follows means that it follows a reader.
	Follows
)

// String returns the name of the role in logs and metrics.
func (r Role) String() string { return [...]string{"alone", "reads", "follows"}[r] }

// Selector selects the reader of one table. The zero value has no members: its role
// is Alone. It is not safe for concurrent use.
type Selector struct {
	// VM is the name of this daemon's VM.
	VM string
	// Table is the name of the table.
	Table string

	// readers are the first members of the ranking, at most maxReaders, or none if
	// there are fewer than MinMembers.
	readers   []Member
	cooldowns map[string]cooldown
}

// cooldown is the time for which a reader is not used.
type cooldown struct {
	until    time.Time
	duration time.Duration
}

// SetMembers replaces the members of the failure domain. This daemon need not be among
// them; it is then not a reader.
func (s *Selector) SetMembers(members []Member) {
	s.readers = nil
	if len(members) >= MinMembers {
		s.readers = Rank(members, s.Table)[:maxReaders]
	}
	cooldowns := make(map[string]cooldown)
	for _, m := range s.readers {
		if c, ok := s.cooldowns[m.Address]; ok {
			cooldowns[m.Address] = c
		}
	}
	s.cooldowns = cooldowns
}

// Choose returns the role of the daemon and, if it follows a reader, the address of
// that reader.
func (s *Selector) Choose(now time.Time) (role Role, address string) {
	for _, m := range s.readers {
		if m.VM == s.VM {
			return Reads, ""
		}
		if !now.Before(s.cooldowns[m.Address].until) {
			return Follows, m.Address
		}
	}
	return Alone, ""
}

// HasReaders reports whether the failure domain has readers.
func (s *Selector) HasReaders() bool { return len(s.readers) > 0 }

// IsReader reports whether this daemon is among the readers, even if it follows
// another one at present.
func (s *Selector) IsReader() bool {
	return slices.ContainsFunc(s.readers, func(m Member) bool { return m.VM == s.VM })
}

// Exhausted reports whether there are readers, but none that can be used. The list of
// members may then be outdated.
func (s *Selector) Exhausted(now time.Time) bool {
	role, _ := s.Choose(now)
	return role == Alone && s.HasReaders()
}

// Refused records that a reader answered that it cannot be followed at present, for
// example because the store does not answer it.
func (s *Selector) Refused(address string, now time.Time) {
	if s.cooldowns == nil {
		s.cooldowns = make(map[string]cooldown)
	}
	c := s.cooldowns[address]
	c.until = now.Add(minCooldown)
	s.cooldowns[address] = c
}

// Failed records that a reader could not be reached, was silent for too long or sent no
// news.
func (s *Selector) Failed(address string, now time.Time) {
	if s.cooldowns == nil {
		s.cooldowns = make(map[string]cooldown)
	}
	c := s.cooldowns[address]
	c.duration = min(max(2*c.duration, minCooldown), maxCooldown)
	c.until = now.Add(c.duration)
	s.cooldowns[address] = c
}

// Succeeded records that a reader has sent news for long enough to be trusted again.
func (s *Selector) Succeeded(address string) { delete(s.cooldowns, address) }
