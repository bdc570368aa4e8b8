package replica

import "time"

// Limits of a EntryHistory.
const (
	// restoredEntryHold is how long after a restoration entries are compared with those
	// from before it. Servers write their entries again within seconds, and entries of
	// servers that are gone expire.
	restoredEntryHold = 10 * time.Second
	// departedMemory is how long servers that are gone are remembered. It exceeds the age
	// of a backup from which a store is expected to be restored.
	departedMemory = 5 * time.Minute
)

// EntryHistory remembers the latest entry of each backend server, so that entries of a store
// that was restored from a backup do not bring back servers that have left. The zero value
// is empty. It is not safe for concurrent use.
type EntryHistory struct {
	latest map[string]lastEntry
	// holdUntil is when entries are no longer compared, or zero.
	holdUntil time.Time
}

// lastEntry is the latest known entry of a backend server.
type lastEntry struct {
	startedAt time.Time
	sequence  uint64
	draining  bool
	// departedAt is when the entry was removed, or zero.
	departedAt time.Time
}

// HandleRestore records that the store was restored from a backup, and returns how long
// entries are compared.
func (h *EntryHistory) HandleRestore(now time.Time) time.Duration {
	h.holdUntil = now.Add(restoredEntryHold)
	return restoredEntryHold
}

// Admit records an entry and reports whether it may be used. Just after a restoration it
// refuses an entry that is older than the latest known one of the same server, and one that
// says of a server that is draining or gone that it is ready, unless the entry is newer.
func (h *EntryHistory) Admit(spec Spec, now time.Time) bool {
	last, known := h.latest[spec.Name]
	if known && now.Before(h.holdUntil) && last.outdates(spec) {
		return false
	}
	if h.latest == nil {
		h.latest = make(map[string]lastEntry)
	}
	h.latest[spec.Name] = lastEntry{startedAt: spec.StartedAt, sequence: spec.Sequence, draining: spec.Draining}
	return true
}

// outdates reports whether an entry is older than l.
func (l lastEntry) outdates(spec Spec) bool {
	switch {
	case !spec.StartedAt.Equal(l.startedAt):
		return spec.StartedAt.Before(l.startedAt)
	case spec.Sequence != l.sequence:
		return spec.Sequence < l.sequence
	}
	return !l.departedAt.IsZero() || l.draining && !spec.Draining
}

// Remove records that the entry of a server was removed.
func (h *EntryHistory) Remove(name string, now time.Time) {
	if last, known := h.latest[name]; known && last.departedAt.IsZero() {
		last.departedAt = now
		h.latest[name] = last
	}
	for name, last := range h.latest {
		if !last.departedAt.IsZero() && now.Sub(last.departedAt) > departedMemory {
			delete(h.latest, name)
		}
	}
}
