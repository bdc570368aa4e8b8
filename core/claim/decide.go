package claim

import "time"

// Action is what to do with a call after a look at its claim's row.
type Action int

// The actions.
const (
	// Insert is to insert the claim, again if need be: there is no row.
	Insert Action = iota
	// Send is to send the call: the claim is one's own.
	Send
	// Replay is to answer with the stored outcome.
	Replay
	// RefuseReused is to refuse: the key was used for another request.
	RefuseReused
	// RefuseInProgress is to refuse: the call may still be running.
	RefuseInProgress
	// RefuseUnknown is to refuse: the outcome will not be known.
	RefuseUnknown
)

// Decide returns what to do with the call of the claim own after its row was
// read or its insertion failed. Found is the claim of the row, or nil if there
// is none. A clock that differs from the owner's only changes which of
// RefuseInProgress and RefuseUnknown is returned.
func Decide(own Claim, found *Claim, timeout time.Duration, now time.Time) Action {
	switch {
	case found == nil:
		return Insert
	case found.ID == own.ID:
		return Send
	case found.Fingerprint != own.Fingerprint:
		return RefuseReused
	case found.OutcomeLost, found.Outcome != nil && found.Outcome.Truncated:
		return RefuseUnknown
	case found.Outcome != nil:
		return Replay
	case now.Before(found.CreatedAt.Add(timeout + TimeoutMargin)):
		return RefuseInProgress
	}
	return RefuseUnknown
}

// Releasable reports whether the claim own may be deleted after a call that
// certainly did not run: the row must still hold it without an outcome.
func Releasable(own Claim, found *Claim) bool {
	return found != nil && found.ID == own.ID && !found.OutcomeLost && found.Outcome == nil
}
