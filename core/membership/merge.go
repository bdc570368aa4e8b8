package membership

import (
	"cmp"
	"slices"

	"acaciapath.example/core/peer"
)

// handleGossip applies the gossip of a heartbeat or of an answer.
func (t *Table) handleGossip(gossip peer.Gossip) {
	t.mergeUpdate(gossip.From)
	if m := t.members[gossip.From.MemberID]; m != nil {
		m.revision = max(m.revision, gossip.Revision)
	}
	if gossip.From.FailureDomain != t.self.FailureDomain {
		t.handleContact(gossip)
	}
	for _, update := range gossip.Updates {
		t.mergeUpdate(update)
	}
	if gossip.Summary != nil {
		t.handleSummary(*gossip.Summary)
	}
}

// mergeUpdate applies a record about this daemon or another one of its failure
// domain. It ignores records of other failure domains.
func (t *Table) mergeUpdate(update Record) {
	if update.MemberID == t.self.MemberID {
		t.refute(update)
		return
	}
	if update.FailureDomain != t.self.FailureDomain {
		return
	}
	m := t.members[update.MemberID]
	if m == nil {
		if update.State != peer.MemberDead {
			t.addAndBroadcast(update)
		}
		return
	}
	merged, changed := mergeRecords(m.record, update)
	if !changed {
		return
	}
	t.setRecord(m, merged)
	t.updates.add(merged)
}

// setRecord replaces the record of a member and updates the times that depend on
// it. If the new state is live, the member will not be suspected because of an
// earlier probe without an answer.
func (t *Table) setRecord(m *member, record Record) {
	if record.State != m.record.State || record.Incarnation != m.record.Incarnation {
		m.stateSince = t.time
	}
	if record.Leaving && !m.isLeaving() {
		m.leavingSince = t.time
	}
	if stateRank(record.State) == 0 {
		delete(t.suspectAt, record.MemberID)
	}
	m.record = record
}

// addAndBroadcast adds a member from an update and queues its record for the
// others.
func (t *Table) addAndBroadcast(record Record) {
	if t.addMember(record) != nil {
		t.updates.add(record)
	}
}

// addMember adds a member and returns it. If there are maxMembers already, it
// replaces one that is dead, or returns nil if none is. The member gets a random
// position among those that are still to be probed in this round.
func (t *Table) addMember(record Record) *member {
	if len(t.members) >= maxMembers && !t.removeOldestDead() {
		return nil
	}
	m := &member{record: record, stateSince: t.time, leavingSince: t.time}
	t.members[record.MemberID] = m
	t.probeOrder = append(t.probeOrder, record.MemberID)
	i := t.nextProbe + t.random.IntN(len(t.probeOrder)-t.nextProbe)
	last := len(t.probeOrder) - 1
	t.probeOrder[i], t.probeOrder[last] = t.probeOrder[last], t.probeOrder[i]
	return m
}

// removeOldestDead removes the member that has been dead for the longest time. It
// reports false if none is dead.
func (t *Table) removeOldestDead() bool {
	dead := t.matchingIDs((*member).isDead)
	if len(dead) == 0 {
		return false
	}
	t.removeMember(slices.MinFunc(dead, func(a, b ID) int {
		return cmp.Compare(t.members[a].stateSince, t.members[b].stateSince)
	}))
	return true
}

// removeMember removes a member. nextMember skips its entry in probeOrder.
func (t *Table) removeMember(id ID) {
	delete(t.members, id)
	delete(t.suspectAt, id)
	t.updates.remove(id)
}

// refute handles a record about this daemon that another daemon sent. If the
// record is false, or has a higher incarnation than this daemon, this daemon's
// record is queued for the others. If the received record would override it, the
// incarnation of this daemon is first raised above that of the received record.
func (t *Table) refute(update Record) {
	if t.stopped {
		return
	}
	isTrue := update.State == peer.MemberLive && (t.self.Leaving || !update.Leaving)
	if update.Incarnation > t.self.Incarnation || (update.Incarnation == t.self.Incarnation && !isTrue) {
		t.self.Incarnation = update.Incarnation + 1
		t.updates.add(t.self)
		return
	}
	if !isTrue {
		t.updates.add(t.self)
	}
}
