package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Accusation is a crash under a part, in a report.
type Accusation struct {
	Part   Part
	Server string
	At     time.Time
}

// SoundRun is the latest begin of a sound run with a part, in a report.
type SoundRun struct {
	Part  uint64
	Began time.Time
}

// Report is what one daemon has seen itself. It replaces its earlier reports.
type Report struct {
	Accusations []Accusation
	SoundRuns   []SoundRun
}

// IsEmpty reports whether there is nothing to tell.
func (r Report) IsEmpty() bool { return len(r.Accusations)+len(r.SoundRuns) == 0 }

// Newest returns the latest time in the report.
func (r Report) Newest() time.Time {
	var newest time.Time
	for _, a := range r.Accusations {
		if a.At.After(newest) {
			newest = a.At
		}
	}
	for _, s := range r.SoundRuns {
		if s.Began.After(newest) {
			newest = s.Began
		}
	}
	return newest
}

// Report returns what this daemon has seen and others need: the crashes that its sound
// runs do not disprove, and the sound runs that disprove a crash. Beyond maxReported of a
// kind, the latest are kept, but those of requests with several crashes before others.
func (l *Ledger) Report() Report {
	var r Report
	var ofRequests []Accusation
	repeated := make(map[uint64]bool)
	for id, s := range l.suspects {
		repeated[id] = len(s.crashes) > 1
		list := &r.Accusations
		if s.whole {
			list = &ofRequests
		}
		for _, c := range s.crashes {
			if c.Own && c.At.After(s.soundAt) {
				*list = append(*list, Accusation{Part: Part{ID: id, Depth: s.depth, Whole: s.whole}, Server: c.Server, At: c.At})
			}
		}
		if len(s.crashes) > 0 && !s.ownSoundAt.Before(s.crashes[0].At) {
			r.SoundRuns = append(r.SoundRuns, SoundRun{Part: id, Began: s.ownSoundAt})
		}
	}
	latest := func(a, b Accusation) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Part.ID, b.Part.ID), cmp.Compare(a.Server, b.Server))
	}
	slices.SortFunc(r.Accusations, latest)
	slices.SortFunc(ofRequests, func(a, b Accusation) int {
		if repeated[a.Part.ID] != repeated[b.Part.ID] {
			if repeated[a.Part.ID] {
				return -1
			}
			return 1
		}
		return latest(a, b)
	})
	slices.SortFunc(r.SoundRuns, func(a, b SoundRun) int {
		return cmp.Or(b.Began.Compare(a.Began), cmp.Compare(a.Part, b.Part))
	})
	r.Accusations = append(r.Accusations[:min(len(r.Accusations), maxReported)], ofRequests[:min(len(ofRequests), maxReported)]...)
	r.SoundRuns = r.SoundRuns[:min(len(r.SoundRuns), maxReported)]
	return r
}

// Merge adds a report of another daemon, or with own the one of this VM from before a
// restart. It lifts the quarantines that the report disproves, and returns their parts.
// tell reports whether this daemon's own report changes.
func (l *Ledger) Merge(r Report, own bool, now time.Time) (lifted []uint64, tell bool) {
	if l.settings.Crashes == 0 {
		return nil, false
	}
	for _, a := range r.Accusations[:min(len(r.Accusations), 2*maxReported)] {
		l.accuse(a.Part, Crash{Server: a.Server, At: present(a.At, now), Own: own}, now)
		if s := l.suspects[a.Part.ID]; s != nil && !s.ownSoundAt.Before(a.At) {
			tell = true
		}
	}
	for _, s := range r.SoundRuns[:min(len(r.SoundRuns), maxReported)] {
		if l.clear(s.Part, present(s.Began, now)) {
			lifted = append(lifted, s.Part)
		}
	}
	return lifted, tell
}

// Outdated reports whether nothing in a report with the given newest time counts any more,
// whatever the clock of its VM.
func (l *Ledger) Outdated(newest, now time.Time) bool {
	return now.Sub(newest) > 2*l.settings.Memory
}

// present returns t, or now if t is so far ahead that the clock of its VM is wrong.
func present(t, now time.Time) time.Time {
	if t.Sub(now) > maxClockError {
		return now
	}
	return t
}
