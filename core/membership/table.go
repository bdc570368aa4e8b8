package membership

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"acaciapath.example/core/peer"
)

// Period is the time between two calls of Table.Tick.
const Period = time.Second

const (
	// maxTimeStep is the most by which one call advances the table's clock.
	maxTimeStep = 2 * Period
	// indirectTimeout is how long a member that did not answer can still be
	// reached by indirect probes before it is suspected.
	indirectTimeout = 3 * Period / 2
	// indirectProbes is the number of daemons that are asked to probe a member
	// that did not answer, and the number that Stop informs.
	indirectProbes = 3
	// suspicionFactor times the decimal logarithm of the number of daemons is
	// the number of periods that a suspected daemon has to refute the suspicion.
	suspicionFactor = 4
	// sendFactor times the binary logarithm of the number of daemons is the
	// number of messages that carry an update.
	sendFactor = 3
	// maxUpdates is the number of updates that a message carries.
	maxUpdates = 4
	// contactProbePeriods is the number of periods from one probe of a contact
	// to the next. Without a member to probe, a contact is probed every period.
	contactProbePeriods = 4
	// deadProbePeriods is the number of periods from one probe of a dead member
	// to the next. A dead member that answers rejoins.
	deadProbePeriods = 5
	// forgetAfter is how long a dead member is kept that is not listed. It is
	// also how long a failure domain without a listed daemon is kept after its
	// last summary.
	forgetAfter = 10 * time.Minute
	// maxMembers is the number of other daemons of this daemon's failure domain
	// that are kept, dead ones included.
	maxMembers = 2048
)

// Table holds what one daemon knows about the others. It is not safe for
// concurrent use.
type Table struct {
	self     Record
	revision uint64
	stopped  bool
	random   *rand.Rand

	// time is the table's clock: the time that has passed since New, with
	// steps of at most maxTimeStep. lastNow is the argument of the last call
	// that advanced it.
	time    time.Duration
	lastNow time.Time
	ticks   int

	members map[ID]*member
	// probeOrder is the order in which members are probed in this round, and
	// nextProbe the index of the next one.
	probeOrder []ID
	nextProbe  int
	// suspectAt holds, for each member that did not answer, the time at which
	// it is suspected unless an indirect probe reaches it before.
	suspectAt map[ID]time.Duration
	updates   broadcasts
	// selfLeavingSince is when this daemon announced that it is leaving.
	selfLeavingSince time.Duration

	domains map[string]*domain
	// summaryTurn and contactTurn select, in turn, the failure domain whose
	// summary is relayed next and the one whose contact is probed next.
	summaryTurn, contactTurn int
}

// New returns the table of a daemon that knows no other daemon. It ignores
// State, Leaving and Incarnation of self and sets them. The incarnation is the
// Unix time in milliseconds, so that it is higher than those of earlier
// processes on the VM. If the clock went back and it is lower, the daemon raises
// it when it receives a record of the earlier process.
func New(self Record, random *rand.Rand, now time.Time) *Table {
	self.State = peer.MemberLive
	self.Leaving = false
	self.Incarnation = uint64(max(now.UnixMilli(), 1))
	return &Table{
		self:      self,
		random:    random,
		lastNow:   now,
		ticks:     random.IntN(contactProbePeriods * deadProbePeriods),
		members:   make(map[ID]*member),
		suspectAt: make(map[ID]time.Duration),
		domains:   make(map[string]*domain),
	}
}

// SetAddress sets the address that this daemon reports to the others.
func (t *Table) SetAddress(address string) { t.self.Address = address }

// HasAddress reports whether this daemon's address is set.
func (t *Table) HasAddress() bool { return t.self.Address != "" }

// SetRevision sets the revision that this daemon has in force. It has no effect
// if the revision is lower than the one set before.
func (t *Table) SetRevision(revision uint64) { t.revision = max(t.revision, revision) }

// Leave announces to the others, with the next messages, that this daemon is
// about to stop.
func (t *Table) Leave(now time.Time) {
	t.advance(now)
	if t.self.Leaving {
		return
	}
	t.self.Leaving = true
	t.selfLeavingSince = t.time
	t.updates.add(t.self)
}

// Stop declares this daemon dead. It returns probes that inform a few other
// members. The table must not be used afterwards.
func (t *Table) Stop(now time.Time) []Probe {
	t.advance(now)
	t.stopped = true
	t.self.State = peer.MemberDead
	var probes []Probe
	for _, id := range t.randomMembers(indirectProbes, func(m *member) bool { return !m.isDead() }) {
		probes = append(probes, t.probe(t.members[id].record))
	}
	return probes
}

// advance advances the table's clock to now, by at most maxTimeStep and never
// backwards.
func (t *Table) advance(now time.Time) {
	elapsed := now.Sub(t.lastNow)
	t.lastNow = now
	t.time += min(max(elapsed, 0), maxTimeStep)
}

// matchingIDs returns the members for which match returns true, sorted.
func (t *Table) matchingIDs(match func(*member) bool) []ID {
	var ids []ID
	for id, m := range t.members {
		if match(m) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, compareIDs)
	return ids
}

// randomMembers returns up to count random members for which match returns true.
func (t *Table) randomMembers(count int, match func(*member) bool) []ID {
	ids := t.matchingIDs(match)
	t.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(count, len(ids))]
}

// size returns the number of daemons of this daemon's failure domain that are
// not dead, this daemon included.
func (t *Table) size() int {
	size := 1
	for _, m := range t.members {
		if !m.isDead() {
			size++
		}
	}
	return size
}

// suspicionTimeout returns how long a suspected daemon has to refute the
// suspicion.
func (t *Table) suspicionTimeout() time.Duration {
	periods := math.Ceil(suspicionFactor * math.Log10(float64(max(10, t.size()))))
	return time.Duration(periods) * Period
}

// sendLimit returns the number of messages that carry an update.
func (t *Table) sendLimit() int {
	return int(math.Ceil(sendFactor * math.Log2(float64(t.size()+1))))
}

// expire suspects the members that no probe reached, declares dead those that did
// not refute a suspicion in time, and removes those that have been dead for
// forgetAfter and are not listed.
func (t *Table) expire() {
	for _, id := range slices.SortedFunc(maps.Keys(t.suspectAt), compareIDs) {
		if t.time >= t.suspectAt[id] {
			delete(t.suspectAt, id)
			t.suspect(id)
		}
	}
	suspicion := t.suspicionTimeout()
	for _, id := range t.matchingIDs(func(m *member) bool { return m.record.State != peer.MemberLive }) {
		m := t.members[id]
		switch {
		case m.record.State == peer.MemberSuspected && t.time-m.stateSince >= suspicion:
			t.setState(m, peer.MemberDead)
		case m.isDead() && !m.listed && t.time-m.stateSince >= forgetAfter:
			t.removeMember(id)
		}
	}
}

// suspect marks a live member as suspected.
func (t *Table) suspect(id ID) {
	if m := t.members[id]; m != nil && m.record.State == peer.MemberLive {
		t.setState(m, peer.MemberSuspected)
	}
}

// setState sets the state of a member and queues its record for the others.
func (t *Table) setState(m *member, state peer.MemberState) {
	m.record.State = state
	m.stateSince = t.time
	t.updates.add(m.record)
}
