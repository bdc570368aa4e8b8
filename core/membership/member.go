package membership

import (
	"cmp"
	"time"

	"acaciapath.example/core/peer"
)

// ID tells daemons apart.
type ID = peer.MemberID

// Record is what daemons tell each other of a daemon.
type Record = peer.MemberRecord

// compareIDs orders daemons by VM and role.
func compareIDs(a, b ID) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Role, b.Role))
}

// member is a daemon of the own failure domain.
type member struct {
	record Record
	// listed says whether the platform's last list has the VM, and
	// listedLeaving whether that says that the VM is about to be taken away.
	listed, listedLeaving bool
	// revision is the newest revision that the daemon said it has in force.
	revision uint64
	// since is when the record's state began, in the table's time.
	since time.Duration
	// leavingSince is when the daemon began to leave, if it does.
	leavingSince time.Duration
}

// isLeaving reports whether the daemon is about to stop.
func (m *member) isLeaving() bool { return m.record.Leaving || m.listedLeaving }

// state returns the state that is shown of the daemon.
func (m *member) state() peer.MemberState {
	if m.record.State == peer.MemberLive && m.isLeaving() {
		return peer.MemberLeaving
	}
	return m.record.State
}

// dead reports whether the daemon has stopped.
func (m *member) dead() bool { return m.record.State == peer.MemberDead }

// join returns what is known after b was heard of a daemon of which a was
// known, and whether that differs from a. It does not depend on the order in
// which records are heard.
func join(a, b Record) (Record, bool) {
	if b.Incarnation != a.Incarnation {
		if b.Incarnation < a.Incarnation {
			return a, false
		}
		return b, true
	}
	joined := a
	joined.Leaving = a.Leaving || b.Leaving
	if rank(b.State) > rank(a.State) {
		joined.State = b.State
	}
	return joined, joined != a
}

// rank orders the states that can be heard of one incarnation.
func rank(s peer.MemberState) int {
	switch s {
	case peer.MemberDead:
		return 2
	case peer.MemberSuspected:
		return 1
	}
	return 0
}
