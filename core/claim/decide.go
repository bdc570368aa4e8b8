package claim

import "time"

// Action is what to do with a call, given the row of its claim.
type Action int

const (
	// Insert means to insert the claim, again if needed, because there is no row.
	Insert Action = iota
	// Send means to send the call, because the row holds its own claim.
	Send
	// Replay means to respond with the stored outcome.
	Replay
	// RefuseReused means to reject the call, because its idempotency key was used
	// for a different request.
	RefuseReused
	// RefuseInProgress means to reject the call, because the call that holds the
	// claim may still be running.
	RefuseInProgress
	// RefuseUnknown means to reject the call, because the outcome of the call that
	// holds the claim will never be known or was too large to be stored.
	RefuseUnknown
)

// Decide returns what to do with the call whose claim is own, after the row was
// read or the insertion of own failed. found is the claim in the row, or nil if
// there is no row. A difference between the local clock and that of the owner of
// found only affects the choice between RefuseInProgress and RefuseUnknown.
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

// Releasable reports whether the claim own may be deleted after its call is known
// not to have run. found is the claim in the row, or nil; it must be own, without
// an outcome and without OutcomeLost.
func Releasable(own Claim, found *Claim) bool {
	return found != nil && found.ID == own.ID && !found.OutcomeLost && found.Outcome == nil
}
