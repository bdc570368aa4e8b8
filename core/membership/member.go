package membership

import (
	"cmp"
	"time"

	"acaciapath.example/core/peer"
)

// ID identifies a daemon.
type ID = peer.MemberID

// Record is what daemons tell each other about one daemon.
type Record = peer.MemberRecord

// compareIDs orders daemons by VM and role.
func compareIDs(a, b ID) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Role, b.Role))
}

// member is another daemon of this daemon's failure domain.
type member struct {
	record Record
	// listed says whether the platform's last list contains the VM.
	// listedLeaving says whether that list marks the VM as about to be removed.
	listed, listedLeaving bool
	// revision is the newest revision that the daemon reported to have in force.
	revision uint64
	// stateSince is when the state or the incarnation last changed, on the
	// table's clock.
	stateSince time.Duration
	// leavingSince is when the daemon began to leave, on the table's clock. It
	// is valid if the daemon is leaving.
	leavingSince time.Duration
}

// isLeaving reports whether the daemon is about to stop, by its own
// announcement or by the platform's list.
func (m *member) isLeaving() bool { return m.record.Leaving || m.listedLeaving }

// state returns the state that a View shows for the daemon.
func (m *member) state() peer.MemberState {
	if m.record.State == peer.MemberLive && m.isLeaving() {
		return peer.MemberLeaving
	}
	return m.record.State
}

// isDead reports whether the daemon was declared dead.
func (m *member) isDead() bool { return m.record.State == peer.MemberDead }

// mergeRecords merges a received record into the known record of the same
// daemon, and reports whether the result differs from the known record. The
// record of the higher incarnation wins. For equal incarnations, the result has
// the state of higher rank, and is leaving if one of the records is. The order
// in which records are merged does not matter.
func mergeRecords(known, received Record) (Record, bool) {
	if received.Incarnation != known.Incarnation {
		if received.Incarnation < known.Incarnation {
			return known, false
		}
		return received, true
	}
	merged := known
	merged.Leaving = known.Leaving || received.Leaving
	if stateRank(received.State) > stateRank(known.State) {
		merged.State = received.State
	}
	return merged, merged != known
}

// stateRank orders the states that one incarnation can have: a higher rank
// overrides a lower one.
func stateRank(s peer.MemberState) int {
	switch s {
	case peer.MemberDead:
		return 2
	case peer.MemberSuspected:
		return 1
	}
	return 0
}
