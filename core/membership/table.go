package membership

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"acaciapath.example/core/peer"
)

// Period is the time between two calls of Tick.
const Period = time.Second

// Bounds of what a table does in each period and of what it keeps.
const (
	// maxStep is the most that the table's time advances in one call.
	maxStep = 2 * Period
	// indirectTime is how long indirect probes have.
	indirectTime = 3 * Period / 2
	// indirectProbes is the number of daemons that are asked to probe another.
	indirectProbes = 3
	// suspicionFactor times the decimal logarithm of the number of daemons is
	// the time in periods that a suspected daemon has to refute.
	suspicionFactor = 4
	// sendFactor times the binary logarithm of the number of daemons is the
	// number of messages that carry an update.
	sendFactor = 3
	// maxUpdates is the number of updates in a message.
	maxUpdates = 4
	// domainPeriods is the number of periods between two probes of other
	// failure domains.
	domainPeriods = 4
	// rejoinPeriods is the number of periods between two probes of daemons that
	// are held for dead.
	rejoinPeriods = 5
	// forgetTime is how long a dead daemon that is not listed is remembered.
	forgetTime = 10 * time.Minute
	// maxMembers bounds the daemons of the own failure domain, dead ones
	// included.
	maxMembers = 2048
)

// Table is what one daemon knows of the others. It is not safe for concurrent
// use.
type Table struct {
	self     Record
	revision uint64
	stopped  bool
	random   *rand.Rand

	time  time.Duration
	last  time.Time
	ticks int

	members map[ID]*member
	// ring is the order in which members are probed; next is the index of the
	// next one.
	ring []ID
	next int
	// pending holds the time at which a member that did not answer is
	// suspected, unless an indirect probe reaches it.
	pending map[ID]time.Duration
	updates broadcasts
	// selfLeavingSince is when this daemon announced that it leaves.
	selfLeavingSince time.Duration

	domains map[string]*domain
	// relayed and probed count through the other failure domains.
	relayed, probed int
}

// New returns the table of a daemon that knows no other. Of self, the state and
// the incarnation are set by New: an incarnation is greater than those of
// earlier processes on the VM, unless the clock went back, which the daemon
// refutes when it hears of it.
func New(self Record, random *rand.Rand, now time.Time) *Table {
	self.State = peer.MemberLive
	self.Leaving = false
	self.Incarnation = uint64(max(now.UnixMilli(), 1))
	return &Table{
		self:    self,
		random:  random,
		last:    now,
		ticks:   random.IntN(domainPeriods * rejoinPeriods),
		members: make(map[ID]*member),
		pending: make(map[ID]time.Duration),
		domains: make(map[string]*domain),
	}
}

// SetAddress sets the address that this daemon tells the others.
func (t *Table) SetAddress(address string) { t.self.Address = address }

// HasAddress reports whether this daemon's address is known.
func (t *Table) HasAddress() bool { return t.self.Address != "" }

// SetRevision notes the revision that this daemon has in force. A lower one
// than before changes nothing.
func (t *Table) SetRevision(revision uint64) { t.revision = max(t.revision, revision) }

// Leave announces that this daemon is about to stop.
func (t *Table) Leave(now time.Time) {
	t.advance(now)
	if t.self.Leaving {
		return
	}
	t.self.Leaving = true
	t.selfLeavingSince = t.time
	t.updates.add(t.self)
}

// Stop declares this daemon dead. It returns the probes that tell some others,
// and the table is not used afterwards.
func (t *Table) Stop(now time.Time) []Probe {
	t.advance(now)
	t.stopped = true
	t.self.State = peer.MemberDead
	var probes []Probe
	for _, id := range t.choose(indirectProbes, func(m *member) bool { return !m.dead() }) {
		probes = append(probes, t.probe(t.members[id].record))
	}
	return probes
}

// advance moves the table's time on.
func (t *Table) advance(now time.Time) {
	elapsed := now.Sub(t.last)
	t.last = now
	t.time += min(max(elapsed, 0), maxStep)
}

// ids returns the members for which the function holds, in order.
func (t *Table) ids(holds func(*member) bool) []ID {
	var ids []ID
	for id, m := range t.members {
		if holds(m) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, compareIDs)
	return ids
}

// choose returns up to count random members for which the function holds.
func (t *Table) choose(count int, holds func(*member) bool) []ID {
	ids := t.ids(holds)
	t.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(count, len(ids))]
}

// size returns the number of daemons of the own failure domain that are not
// dead, this one included.
func (t *Table) size() int {
	size := 1
	for _, m := range t.members {
		if !m.dead() {
			size++
		}
	}
	return size
}

// suspicionTime returns how long a suspected daemon has to refute.
func (t *Table) suspicionTime() time.Duration {
	periods := math.Ceil(suspicionFactor * math.Log10(float64(max(10, t.size()))))
	return time.Duration(periods) * Period
}

// sendLimit returns the number of messages that carry an update.
func (t *Table) sendLimit() int {
	return int(math.Ceil(sendFactor * math.Log2(float64(t.size()+1))))
}

// expire suspects the members that no probe reached, declares those dead that
// did not refute a suspicion, and forgets those that have long been dead.
func (t *Table) expire() {
	for _, id := range slices.SortedFunc(maps.Keys(t.pending), compareIDs) {
		if t.time >= t.pending[id] {
			delete(t.pending, id)
			t.suspect(id)
		}
	}
	suspicion := t.suspicionTime()
	for _, id := range t.ids(func(m *member) bool { return m.record.State != peer.MemberLive }) {
		m := t.members[id]
		switch {
		case m.record.State == peer.MemberSuspected && t.time-m.since >= suspicion:
			t.change(m, peer.MemberDead)
		case m.dead() && !m.listed && t.time-m.since >= forgetTime:
			t.forget(id)
		}
	}
}

// suspect begins the suspicion of a member.
func (t *Table) suspect(id ID) {
	if m := t.members[id]; m != nil && m.record.State == peer.MemberLive {
		t.change(m, peer.MemberSuspected)
	}
}

// change sets the state of a member and tells the others.
func (t *Table) change(m *member, state peer.MemberState) {
	m.record.State = state
	m.since = t.time
	t.updates.add(m.record)
}
