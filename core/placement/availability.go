package placement

import "time"

// Availability tells whether a server may get a request now, and if not, why.
type Availability int

// Availabilities of servers.
const (
	// Available means that the server may get a request.
	Available Availability = iota
	// Leaving means that the server drains, by its entry or its own word.
	Leaving
	// Misdirected means that a different server answers at its address.
	Misdirected
	// Paused means that the server asked for a pause that has not ended.
	Paused
	// Limited means that this daemon's part of the server's limit is used up.
	Limited
	// Cold means that this daemon's part of what the cold server tolerates is used up.
	Cold
	// Evacuated means that the operator evacuates the failure domain of the server.
	Evacuated
	// Brittle means that this daemon's part of the brittle server is used up.
	Brittle
)

// String returns the name of the availability in logs and metrics.
func (a Availability) String() string {
	return [...]string{"available", "leaving", "misdirected", "paused", "limited", "cold", "evacuated", "brittle"}[a]
}

// Availability returns whether a server may get a request at now.
func (p *Pool) Availability(s *Server, now time.Time) Availability {
	switch {
	case s.leaves():
		return Leaving
	case s.Misdirected:
		return Misdirected
	case s.Evacuated:
		return Evacuated
	case now.Before(s.PausedUntil):
		return Paused
	case p.isLimited(s, now):
		return Limited
	case s.IsCold(now) && s.cold.nextRequest(now) > 0:
		return Cold
	case p.IsBrittle(s, now) && p.nextBrittle(s, now) == sendNone:
		return Brittle
	}
	return Available
}

// leaves reports whether the server drains, by its entry or its own word.
func (s *Server) leaves() bool { return s.Spec.Draining || s.SaysLeaving }

// isExcluded reports whether the server gets no new requests any more. A pause or a limit
// does not exclude it.
func (s *Server) isExcluded() bool { return s.leaves() || s.Misdirected || s.Evacuated }

// MaxPause is the longest pause that a server can ask for. A longer one is cut to it, so that
// a faulty value does not keep a server out of service: after it, a few requests try.
const MaxPause = time.Minute

// statementMemory is how long the word of a server is remembered without its entry.
const statementMemory = 10 * time.Minute

// Statements remembers what instances of backend servers say of themselves in answers,
// whatever becomes of their entries. The zero value is empty. It is not safe for concurrent
// use.
type Statements struct {
	instances map[string]*statement
}

// statement is what an instance said of itself.
type statement struct {
	leaving     bool
	pausedUntil time.Time
	// at is when it said so last.
	at time.Time
}

// of returns the statement of an instance and creates it if necessary. Others that are old
// are forgotten.
func (s *Statements) of(instance string, now time.Time) *statement {
	if known := s.instances[instance]; known != nil {
		known.at = now
		return known
	}
	for other, known := range s.instances {
		if now.Sub(known.at) > statementMemory {
			delete(s.instances, other)
		}
	}
	if s.instances == nil {
		s.instances = make(map[string]*statement)
	}
	known := &statement{at: now}
	s.instances[instance] = known
	return known
}

// SetLeaving records that an instance says that it leaves. It reports whether that is new.
func (s *Statements) SetLeaving(instance string, now time.Time) bool {
	known := s.of(instance, now)
	changed := !known.leaving
	known.leaving = true
	return changed
}

// SetPause records that an instance asks for a pause, which ends at until at the earliest. It
// reports whether it was not in a pause before.
func (s *Statements) SetPause(instance string, until, now time.Time) bool {
	known := s.of(instance, now)
	changed := !now.Before(known.pausedUntil)
	if until.After(known.pausedUntil) {
		known.pausedUntil = until
	}
	return changed
}

// IsPaused reports whether an instance is in a pause that it asked for.
func (s *Statements) IsPaused(instance string, now time.Time) bool {
	known := s.instances[instance]
	return known != nil && now.Before(known.pausedUntil)
}

// Apply applies the statements to the servers of a pool.
func (s *Statements) Apply(p *Pool, now time.Time) {
	changed := false
	for _, server := range p.Servers {
		known := s.instances[server.instance]
		if known == nil {
			continue
		}
		known.at = now
		changed = changed || known.leaving && !server.SaysLeaving
		server.SaysLeaving, server.PausedUntil = known.leaving, known.pausedUntil
	}
	if changed {
		p.assignLanes()
	}
}
