package quarantine

import (
	"slices"
	"time"
)

// Crash is the end of an engine under a request.
type Crash struct {
	// Server identifies the engine and its start.
	Server string
	// At is when the request broke off, by the wall clock of the VM that saw it first.
	At time.Time
	// Own states that this daemon saw it.
	Own bool
}

// suspect is a part, or a whole request, that was accused.
type suspect struct {
	// depth is the position of the part in the prompt, and whole states that it is a whole
	// request.
	depth int
	whole bool
	// crashes are sorted by time, with one for each server.
	crashes []Crash
	// soundAt is the latest begin of a sound run with the part that is known, and
	// ownSoundAt that of a run of this daemon.
	soundAt, ownSoundAt time.Time
	// reachedAt is when the evidence was first sufficient, or zero.
	reachedAt time.Time
}

// add adds a crash and reports whether that changes what is known.
func (s *suspect) add(c Crash) bool {
	if i := slices.IndexFunc(s.crashes, func(o Crash) bool { return o.Server == c.Server }); i >= 0 {
		known := &s.crashes[i]
		if !c.At.Before(known.At) && (known.Own || !c.Own) {
			return false
		}
		known.Own = known.Own || c.Own
		if c.At.Before(known.At) {
			known.At = c.At
		}
	} else {
		s.crashes = append(s.crashes, c)
	}
	slices.SortStableFunc(s.crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	if n := len(s.crashes); n > maxCrashes {
		s.crashes = slices.Delete(s.crashes, 0, n-maxCrashes)
	}
	return true
}

// expire removes the crashes before a time and reports whether none is left.
func (s *suspect) expire(before time.Time) bool {
	s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool { return c.At.Before(before) })
	return len(s.crashes) == 0
}

// accusations returns the crashes since the latest sound run, without those of the given
// servers.
func (s *suspect) accusations(explained map[string]bool) []Crash {
	var list []Crash
	for _, c := range s.crashes {
		if c.At.After(s.soundAt) && !explained[c.Server] {
			list = append(list, c)
		}
	}
	return list
}

// countMoments returns the number of crashes that are crashSpacing apart. The crashes
// are sorted by time.
func countMoments(crashes []Crash) int {
	n := 0
	var last time.Time
	for _, c := range crashes {
		if n == 0 || c.At.Sub(last) >= crashSpacing {
			n, last = n+1, c.At
		}
	}
	return n
}
