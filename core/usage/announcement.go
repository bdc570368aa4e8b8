package usage

import "time"

// Announcement is what a process tells the others before it reports a window.
type Announcement struct {
	// First is the start of the first window that was ever announced, or zero if it is not
	// known.
	First time.Time
	// Window is the start of the last window that was announced, or zero if none was.
	Window time.Time
	// Totals is the digest of the totals that are about to be reported (Window.Digest). These
	// are of Window, or of First if that was announced last. It is empty if they are not known.
	Totals string
}

// Extend returns what is known once next is announced after a.
func (a Announcement) Extend(next Announcement) Announcement {
	merged := a.Merge(next)
	merged.Totals = next.Totals
	return merged
}

// Merge returns what is known from both a and b.
func (a Announcement) Merge(b Announcement) Announcement {
	if a.Window.IsZero() {
		return b
	}
	if b.Window.IsZero() {
		return a
	}
	first := a.First
	if b.First.Before(first) {
		first = b.First
	}
	if b.Window.After(a.Window) || b.Window.Equal(a.Window) && b.First.Before(a.First) {
		a = b
	}
	a.First = first
	return a
}

// Covers reports whether the window that starts at start may have been announced. It is true
// for each window up to the last one if the first is not known.
func (a Announcement) Covers(start time.Time) bool {
	return !start.Before(a.First) && !start.After(a.Window)
}
