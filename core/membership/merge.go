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

// mergeUpdate applies a record about this daemon or another one of the own
// failure domain. It ignores records of other failure domains.
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
			t.insert(update)
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
// it. A member that is live again is no longer about to be suspected.
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

// insert adds a member from an update and queues its record for the others.
func (t *Table) insert(record Record) {
	if t.add(record) != nil {
		t.updates.add(record)
	}
}

// add adds a member and returns it, or nil if there are maxMembers and none of
// them is dead. The member gets a random position among those that are still to
// be probed in this round.
func (t *Table) add(record Record) *member {
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

// removeMember removes a member.
func (t *Table) removeMember(id ID) {
	delete(t.members, id)
	delete(t.suspectAt, id)
	t.updates.remove(id)
}

// refute handles a record about this daemon that another daemon sent. If the
// record is false or its incarnation is higher than the own one, the own record
// is queued for the others. The own incarnation is raised above that of the
// record if the record would otherwise override the own one.
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
