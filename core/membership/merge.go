package membership

import (
	"cmp"
	"slices"

	"acaciapath.example/core/peer"
)

// hear takes in what a message carries.
func (t *Table) hear(gossip peer.Gossip) {
	t.merge(gossip.From)
	if m := t.members[gossip.From.MemberID]; m != nil {
		m.revision = max(m.revision, gossip.Revision)
	}
	if gossip.From.FailureDomain != t.self.FailureDomain {
		t.hearContact(gossip)
	}
	for _, update := range gossip.Updates {
		t.merge(update)
	}
	if gossip.Summary != nil {
		t.hearSummary(*gossip.Summary)
	}
}

// merge takes in what was said of a daemon of the own failure domain.
func (t *Table) merge(update Record) {
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
	joined, changed := join(m.record, update)
	if !changed {
		return
	}
	t.replace(m, joined)
	t.updates.add(joined)
}

// replace sets the record of a member.
func (t *Table) replace(m *member, record Record) {
	if record.State != m.record.State || record.Incarnation != m.record.Incarnation {
		m.since = t.time
	}
	if record.Leaving && !m.isLeaving() {
		m.leavingSince = t.time
	}
	if rank(record.State) == 0 {
		delete(t.pending, record.MemberID)
	}
	m.record = record
}

// insert adds a member that was heard of. It is told on.
func (t *Table) insert(record Record) {
	if t.add(record) != nil {
		t.updates.add(record)
	}
}

// add adds a member and returns it, or nil if there are too many. It is probed
// at a random place among those that still wait for their turn.
func (t *Table) add(record Record) *member {
	if len(t.members) >= maxMembers && !t.forgetOldest() {
		return nil
	}
	m := &member{record: record, since: t.time, leavingSince: t.time}
	t.members[record.MemberID] = m
	t.ring = append(t.ring, record.MemberID)
	i := t.next + t.random.IntN(len(t.ring)-t.next)
	last := len(t.ring) - 1
	t.ring[i], t.ring[last] = t.ring[last], t.ring[i]
	return m
}

// forgetOldest forgets the member that has been dead for the longest. It reports
// false if none is dead.
func (t *Table) forgetOldest() bool {
	dead := t.ids((*member).dead)
	if len(dead) == 0 {
		return false
	}
	t.forget(slices.MinFunc(dead, func(a, b ID) int {
		return cmp.Compare(t.members[a].since, t.members[b].since)
	}))
	return true
}

// forget removes a member.
func (t *Table) forget(id ID) {
	delete(t.members, id)
	delete(t.pending, id)
	t.updates.remove(id)
}

// refute answers what was said of this daemon if it does not hold.
func (t *Table) refute(update Record) {
	if t.stopped {
		return
	}
	holds := update.State == peer.MemberLive && (t.self.Leaving || !update.Leaving)
	if update.Incarnation > t.self.Incarnation || (update.Incarnation == t.self.Incarnation && !holds) {
		t.self.Incarnation = update.Incarnation + 1
		t.updates.add(t.self)
		return
	}
	if !holds {
		t.updates.add(t.self)
	}
}
