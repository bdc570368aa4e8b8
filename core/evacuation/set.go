package evacuation

import (
	"slices"
	"time"
)

// restoredHold is how long after a restoration of the store a missing row does not end an
// evacuation. The operator writes its rows again within seconds.
const restoredHold = 10 * time.Second

// Set is the set of evacuated failure domains. The zero value is empty. It is not safe for
// concurrent use.
type Set struct {
	domains map[string]*evacuation
	// epoch is that of the latest news, if known is set.
	epoch uint64
	known bool
	// holdUntil is until when missing rows do not end evacuations, or zero.
	holdUntil time.Time
}

// evacuation is the evacuation of one failure domain.
type evacuation struct {
	// since is when it was first read.
	since time.Time
	// missing states that its row was missing from a restored store.
	missing bool
}

// Change describes how news changed a Set. All lists are sorted.
type Change struct {
	// Begun and Ended are the failure domains whose evacuation began or ended.
	Begun, Ended []string
	// Held are those whose rows are missing from the restored store, and that stay evacuated
	// for the time being.
	Held []string
}

// Empty reports whether nothing changed.
func (c Change) Empty() bool { return len(c.Begun)+len(c.Ended)+len(c.Held) == 0 }

// Update applies changed rows: the failure domains whose rows were written and those whose rows
// were deleted, in an epoch of the store.
func (s *Set) Update(written, deleted []string, epoch uint64, now time.Time) Change {
	s.observe(epoch, now)
	var c Change
	for _, domain := range written {
		if s.begin(domain, now) {
			c.Begun = append(c.Begun, domain)
		}
	}
	for _, domain := range deleted {
		if s.domains[domain] != nil {
			delete(s.domains, domain)
			c.Ended = append(c.Ended, domain)
		}
	}
	slices.Sort(c.Begun)
	slices.Sort(c.Ended)
	return c
}

// Replace applies the list of all rows in an epoch of the store. Just after a restoration,
// failure domains whose rows are missing stay evacuated, and Expire must be called at HoldUntil.
func (s *Set) Replace(written []string, epoch uint64, now time.Time) Change {
	s.observe(epoch, now)
	c := s.Update(written, nil, epoch, now)
	for domain, e := range s.domains {
		switch {
		case slices.Contains(written, domain):
		case now.Before(s.holdUntil):
			if !e.missing {
				c.Held = append(c.Held, domain)
			}
			e.missing = true
		default:
			delete(s.domains, domain)
			c.Ended = append(c.Ended, domain)
		}
	}
	slices.Sort(c.Held)
	slices.Sort(c.Ended)
	return c
}

// Expire ends the evacuations whose rows are still missing at HoldUntil.
func (s *Set) Expire(now time.Time) Change {
	var c Change
	if now.Before(s.holdUntil) {
		return c
	}
	for domain, e := range s.domains {
		if e.missing {
			delete(s.domains, domain)
			c.Ended = append(c.Ended, domain)
		}
	}
	slices.Sort(c.Ended)
	return c
}

// HoldUntil returns until when evacuations whose rows are missing are held, or the zero time if
// the store was never restored.
func (s *Set) HoldUntil() time.Time { return s.holdUntil }

// Since returns the evacuated failure domains, and when the evacuation of each was first read.
func (s *Set) Since() map[string]time.Time {
	since := make(map[string]time.Time, len(s.domains))
	for domain, e := range s.domains {
		since[domain] = e.since
	}
	return since
}

// observe records the epoch of news.
func (s *Set) observe(epoch uint64, now time.Time) {
	if s.known && epoch > s.epoch {
		s.holdUntil = now.Add(restoredHold)
	}
	s.known, s.epoch = true, max(s.epoch, epoch)
}

// begin records the row of a failure domain and reports whether its evacuation is new.
func (s *Set) begin(domain string, now time.Time) bool {
	if e := s.domains[domain]; e != nil {
		e.missing = false
		return false
	}
	if s.domains == nil {
		s.domains = make(map[string]*evacuation)
	}
	s.domains[domain] = &evacuation{since: now}
	return true
}
