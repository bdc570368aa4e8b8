package quarantine

import "time"

// Adopt takes over a quarantine that another daemon decided or extended. It reports
// whether the part was not quarantined before.
func (l *Ledger) Adopt(q Quarantine, now time.Time) bool {
	if l.settings.Crashes == 0 || now.Sub(q.Until) > l.settings.Memory || l.Disproved(q) {
		return false
	}
	known := l.quarantined[q.Part]
	if known != nil && known.Until.After(q.Until) {
		return false
	}
	if known == nil && len(l.quarantined) >= maxQuarantined {
		return false
	}
	l.quarantined[q.Part] = &q
	return known == nil
}

// Disproved reports whether a sound run began after the first crash of a quarantine.
func (l *Ledger) Disproved(q Quarantine) bool {
	if s := l.suspects[q.Part]; s != nil {
		return s.soundAt.After(q.First)
	}
	began, _ := l.sound.get(q.Part)
	return began.After(q.First)
}

// Lift ends a quarantine because another daemon ended it. The crashes so far no longer
// count. It reports whether there was one.
func (l *Ledger) Lift(part uint64) bool {
	if l.quarantined[part] == nil {
		return false
	}
	delete(l.quarantined, part)
	if s := l.suspects[part]; s != nil && len(s.crashes) > 0 {
		if last := s.crashes[len(s.crashes)-1].At; last.After(s.soundAt) {
			s.soundAt = last
		}
	}
	return true
}

// NextTrial returns the quarantine with vm as the one that tries the part, if a trial is
// due.
func (l *Ledger) NextTrial(part uint64, vm string, now time.Time) (Quarantine, bool) {
	q := l.quarantined[part]
	if q == nil || now.Before(q.Until) {
		return Quarantine{}, false
	}
	next := *q
	next.Trial, next.Until = vm, now.Add(trialTime)
	return next, true
}

// FailTrial returns the quarantine after a trial of vm in which the engine ended, with a
// longer hold, and reports whether there was such a trial.
func (l *Ledger) FailTrial(part uint64, vm string, now time.Time) (Quarantine, bool) {
	q := l.quarantined[part]
	if q == nil || q.Trial != vm || vm == "" {
		return Quarantine{}, false
	}
	q.Trial, q.Hold = "", min(2*q.Hold, l.settings.MaxHold)
	q.Until = now.Add(q.Hold)
	q.Crashes++
	return *q, true
}
