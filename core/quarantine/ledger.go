package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Part is what a request may have in common with others: a part of its prompt, or the whole
// request, which may be sent again.
type Part struct {
	// ID identifies the content of the part. That of a whole request is its RequestID.
	ID uint64
	// Depth is its position in the prompt. It is 0 for a whole request.
	Depth int
	// Whole states that it is the whole request.
	Whole bool
}

// Quarantine is a part whose requests are refused.
type Quarantine struct {
	Part uint64
	// Whole states that the part is a whole request.
	Whole bool
	// First is when the first of the engines ended under it, and Crashes their number.
	First   time.Time
	Crashes int
	// Since is when it was quarantined, and Until when it may be tried again.
	Since, Until time.Time
	// Hold is the time from a failed trial to the next one.
	Hold time.Duration
	// Trial is the VM that tries the part, or empty.
	Trial string
}

// Ledger is what a daemon knows about crashes under prompts. It is not safe for concurrent
// use. All times are those of the wall clock.
type Ledger struct {
	settings    Settings
	suspects    map[uint64]*suspect
	sound       *generations[uint64, time.Time]
	quarantined map[uint64]*Quarantine
}

// NewLedger returns an empty ledger.
func NewLedger(settings Settings) *Ledger {
	return &Ledger{
		settings: settings, suspects: make(map[uint64]*suspect), sound: newGenerations[uint64, time.Time](maxSound),
		quarantined: make(map[uint64]*Quarantine),
	}
}

// RecordCrash records that a server ended under a request with the given shared parts. If
// some of them are quarantined, they explain it. It reports whether others should be told.
func (l *Ledger) RecordCrash(parts []Part, server string, now time.Time) bool {
	if l.settings.Crashes == 0 {
		return false
	}
	parts = parts[:min(len(parts), maxParts)]
	if explaining := slices.DeleteFunc(slices.Clone(parts), func(p Part) bool { return l.quarantined[p.ID] == nil }); len(explaining) > 0 {
		parts = explaining
	}
	changed := false
	for _, p := range parts {
		changed = l.accuse(p, Crash{Server: server, At: now, Own: true}, now) || changed
	}
	return changed
}

// accuse adds a crash to a part and reports whether that changes what is known.
func (l *Ledger) accuse(p Part, c Crash, now time.Time) bool {
	if c.At.Before(now.Add(-l.settings.Memory)) {
		return false
	}
	s := l.suspects[p.ID]
	if s == nil {
		l.dropOldestSuspect(p.Whole)
		s = &suspect{depth: p.Depth, whole: p.Whole}
		s.ownSoundAt, _ = l.sound.get(p.ID)
		s.soundAt = s.ownSoundAt
		l.suspects[p.ID] = s
	}
	return s.add(c)
}

// dropOldestSuspect forgets the part, or the whole request, that is not quarantined and was
// accused least recently, if there are maxSuspects of them. Of whole requests, one that was
// accused only once is forgotten first.
func (l *Ledger) dropOldestSuspect(whole bool) {
	if len(l.suspects) < maxSuspects {
		return
	}
	var oldest uint64
	var at time.Time
	repeated, n := true, 0
	for id, s := range l.suspects {
		if s.whole != whole {
			continue
		}
		n++
		last, several := s.crashes[len(s.crashes)-1].At, !whole || len(s.crashes) > 1
		if l.quarantined[id] != nil || several && !repeated {
			continue
		}
		if at.IsZero() || last.Before(at) || repeated && !several {
			oldest, at, repeated = id, last, several
		}
	}
	if n >= maxSuspects {
		delete(l.suspects, oldest)
	}
}

// RecordSound records that a run with the given parts, which began at began, survived its
// beginning. It lifts the quarantines that this disproves, and returns their parts.
// tell reports whether others should be told.
func (l *Ledger) RecordSound(parts []Part, began time.Time) (lifted []uint64, tell bool) {
	if l.settings.Crashes == 0 {
		return nil, false
	}
	for _, p := range parts[:min(len(parts), maxParts)] {
		if p.Whole && l.suspects[p.ID] == nil && l.quarantined[p.ID] == nil {
			continue // nearly all requests are sent once
		}
		if last, _ := l.sound.get(p.ID); began.After(last) {
			l.sound.set(p.ID, began)
		}
		if s := l.suspects[p.ID]; s != nil && began.After(s.ownSoundAt) {
			tell = tell || s.clears(began)
			s.ownSoundAt = began
		}
		if l.clear(p.ID, began) {
			lifted = append(lifted, p.ID)
		}
	}
	return lifted, tell || len(lifted) > 0
}

// clears reports whether a sound run that began at a time disproves a crash that is not
// disproved yet.
func (s *suspect) clears(began time.Time) bool {
	return slices.ContainsFunc(s.crashes, func(c Crash) bool { return c.At.After(s.soundAt) && !c.At.After(began) })
}

// clear applies a sound run that began at a time, and reports whether it lifted a
// quarantine.
func (l *Ledger) clear(part uint64, began time.Time) bool {
	if s := l.suspects[part]; s != nil && began.After(s.soundAt) {
		s.soundAt = began
	}
	if q := l.quarantined[part]; q != nil && began.After(q.First) {
		delete(l.quarantined, part)
		return true
	}
	return false
}

// Evaluate quarantines the parts with sufficient evidence and forgets what is too old. It
// returns the parts that are newly quarantined and those that no longer are.
func (l *Ledger) Evaluate(now time.Time) (added []Quarantine, forgotten []uint64) {
	forgotten = l.expire(now)
	for l.settings.Crashes > 0 && len(l.quarantined) < maxQuarantined {
		part, crashes := l.mostAccused(now)
		if crashes == nil {
			break
		}
		for _, id := range l.accusedAlike(part, crashes) {
			q := &Quarantine{
				Part: id, Whole: l.suspects[id].whole, First: crashes[0].At, Crashes: len(crashes),
				Since: now, Until: now.Add(l.settings.Hold), Hold: l.settings.Hold,
			}
			l.quarantined[id] = q
			added = append(added, *q)
		}
	}
	return added, forgotten
}

// accusedAlike returns a part, and if it is a whole request some of the others under which the
// same servers ended, sorted. Requests that are sent again together cannot be told apart, and
// each may be the one that ends servers.
func (l *Ledger) accusedAlike(part uint64, crashes []Crash) []uint64 {
	alike := []uint64{part}
	if !l.suspects[part].whole {
		return alike
	}
	explained := l.explainedServers()
	for id, s := range l.suspects {
		if id == part || !s.whole || l.quarantined[id] != nil {
			continue
		}
		list := s.accusations(explained)
		same := len(list) == len(crashes) && !slices.ContainsFunc(list, func(c Crash) bool {
			return !slices.ContainsFunc(crashes, func(o Crash) bool { return o.Server == c.Server })
		})
		if same {
			alike = append(alike, id)
		}
	}
	slices.Sort(alike[1:])
	alike = alike[:min(len(alike), maxAlike)]
	slices.Sort(alike)
	return alike
}

// NextEvaluation returns the time until Evaluate may have a different result without
// further news, or 0 if there is none.
func (l *Ledger) NextEvaluation(now time.Time) time.Duration {
	if len(l.suspects)+len(l.quarantined) == 0 {
		return 0
	}
	next := expiryInterval
	for id, s := range l.suspects {
		if l.quarantined[id] == nil && !s.reachedAt.IsZero() {
			next = min(next, max(settleTime-now.Sub(s.reachedAt), time.Millisecond))
		}
	}
	return next
}

// mostAccused returns the part to be quarantined next and its crashes, or none. Parts that
// occur only together are accused alike; the whole request is the most specific of them,
// then the deepest part.
func (l *Ledger) mostAccused(now time.Time) (part uint64, crashes []Crash) {
	explained := l.explainedServers()
	depth, whole := 0, false
	for id, s := range l.suspects {
		if l.quarantined[id] != nil {
			continue
		}
		list := s.accusations(explained)
		if !l.isSufficient(s, list, explained) {
			s.reachedAt = time.Time{}
			continue
		}
		if s.reachedAt.IsZero() || s.reachedAt.After(now) {
			s.reachedAt = now
		}
		if now.Sub(s.reachedAt) < settleTime {
			continue
		}
		order := cmp.Or(cmp.Compare(len(list), len(crashes)), cmp.Compare(s.depth, depth), cmp.Compare(part, id))
		if s.whole != whole {
			order = -1
			if s.whole {
				order = 1
			}
		}
		if order > 0 {
			part, crashes, depth, whole = id, list, s.depth, s.whole
		}
	}
	return part, crashes
}

// isSufficient reports whether the accusations of a part suffice to quarantine it. A part
// under which less than two thirds of the engines ended that ended meanwhile, or shortly
// before, needs more, since in such a time a sound part is accused several times in a row by
// chance. A whole request runs on one server at a time, so that this does not happen to it.
func (l *Ledger) isSufficient(s *suspect, crashes []Crash, explained map[string]bool) bool {
	if s.whole {
		return len(crashes) >= l.settings.RequestCrashes
	}
	moments := countMoments(crashes)
	if moments < l.settings.Crashes {
		return false
	}
	if moments >= l.settings.Crashes+moreCrashes {
		return true
	}
	under := make(map[string]bool)
	for _, c := range s.crashes {
		under[c.Server] = true
	}
	others, since := make(map[string]bool), crashes[0].At.Add(-lookback)
	for _, other := range l.suspects {
		for _, c := range other.crashes {
			if !c.At.Before(since) && !explained[c.Server] && !under[c.Server] {
				others[c.Server] = true
			}
		}
	}
	return len(crashes) >= 2*len(others)
}

// explainedServers returns the servers that ended under quarantined parts.
func (l *Ledger) explainedServers() map[string]bool {
	servers := make(map[string]bool)
	for id := range l.quarantined {
		if s := l.suspects[id]; s != nil {
			for _, c := range s.crashes {
				servers[c.Server] = true
			}
		}
	}
	return servers
}

// expire forgets crashes and quarantines that are too old, and returns the parts of the
// latter.
func (l *Ledger) expire(now time.Time) (forgotten []uint64) {
	for id, s := range l.suspects {
		if s.expire(now.Add(-l.settings.Memory)) {
			delete(l.suspects, id)
		}
	}
	for id, q := range l.quarantined {
		if now.Sub(q.Until) > l.settings.Memory {
			delete(l.quarantined, id)
			forgotten = append(forgotten, id)
		}
	}
	return forgotten
}

// Suspects returns the number of accused parts that are not quarantined.
func (l *Ledger) Suspects() int {
	n := 0
	for id := range l.suspects {
		if l.quarantined[id] == nil {
			n++
		}
	}
	return n
}

// IsQuarantined reports whether a part is quarantined.
func (l *Ledger) IsQuarantined(part uint64) bool { return l.quarantined[part] != nil }

// Quarantined returns the quarantined parts, sorted by part.
func (l *Ledger) Quarantined() []Quarantine {
	list := make([]Quarantine, 0, len(l.quarantined))
	for _, q := range l.quarantined {
		list = append(list, *q)
	}
	slices.SortFunc(list, func(a, b Quarantine) int { return cmp.Compare(a.Part, b.Part) })
	return list
}
