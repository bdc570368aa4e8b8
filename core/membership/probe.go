package membership

import (
	"time"

	"acaciapath.example/core/peer"
)

// Probe is a heartbeat that is to be sent.
type Probe struct {
	// To is the daemon that it is sent to.
	To Record
	// Request is the heartbeat. If it has a target, the receiver passes it on.
	Request peer.Heartbeat
	// Relayed says whether it was asked for by another daemon. Its failure
	// causes no indirect probes, which would ask for probes without end.
	Relayed bool
}

// Tick begins a period. It returns the probes that are to be sent; Answered or
// Failed is called for each of them.
func (t *Table) Tick(now time.Time) []Probe {
	t.advance(now)
	t.ticks++
	t.expire()
	t.expireDomains()
	var probes []Probe
	own, ok := t.nextMember()
	if ok {
		probes = append(probes, t.probe(own))
	}
	if contact, found := t.nextContact(); found && (!ok || t.ticks%domainPeriods == 0) {
		probes = append(probes, t.probe(contact))
	}
	if t.ticks%rejoinPeriods == 0 {
		for _, id := range t.choose(1, (*member).dead) {
			probes = append(probes, t.probe(t.members[id].record))
		}
	}
	return probes
}

// nextMember returns the member whose turn it is, if there is one. All members
// have their turn before one has it again.
func (t *Table) nextMember() (Record, bool) {
	for range 2 {
		for t.next < len(t.ring) {
			m := t.members[t.ring[t.next]]
			t.next++
			if m != nil && !m.dead() {
				return m.record, true
			}
		}
		t.ring = t.choose(len(t.members), func(m *member) bool { return !m.dead() })
		t.next = 0
	}
	return Record{}, false
}

// probe returns a heartbeat to a daemon.
func (t *Table) probe(to Record) Probe {
	return Probe{To: to, Request: peer.Heartbeat{Gossip: t.gossip(to)}}
}

// RelayProbe returns the probe that a heartbeat asks for. The heartbeat has a
// target.
func (t *Table) RelayProbe(request peer.Heartbeat, now time.Time) Probe {
	t.advance(now)
	probe := t.probe(*request.Target)
	probe.Relayed = true
	return probe
}

// HandleHeartbeat takes in a heartbeat and returns its answer, in which it is not said
// whether a target was reached.
func (t *Table) HandleHeartbeat(request peer.Heartbeat, now time.Time) peer.HeartbeatAnswer {
	t.advance(now)
	t.hear(request.Gossip)
	return peer.HeartbeatAnswer{Gossip: t.gossip(request.From)}
}

// HandleAnswer takes in the answer to a probe. It reports whether the daemon that
// was meant answered: the address of a VM that was replaced may have become
// another's, and then the probe has failed.
func (t *Table) HandleAnswer(probe Probe, answer peer.HeartbeatAnswer, now time.Time) bool {
	t.advance(now)
	t.hear(answer.Gossip)
	if answer.From.MemberID != probe.To.MemberID {
		return false
	}
	delete(t.pending, probe.To.MemberID)
	t.contactAnswered(probe.To)
	if probe.Request.Target != nil && answer.TargetReached {
		delete(t.pending, probe.Request.Target.MemberID)
	}
	return true
}

// HandleFailure takes in that a probe had no answer. It returns the indirect probes
// that are to be sent.
func (t *Table) HandleFailure(probe Probe, now time.Time) []Probe {
	t.advance(now)
	if probe.Request.Target != nil || probe.Relayed {
		return nil
	}
	if probe.To.FailureDomain != t.self.FailureDomain {
		t.contactFailed(probe.To)
		return nil
	}
	target := t.members[probe.To.MemberID]
	if target == nil || target.dead() || target.record.Incarnation > probe.To.Incarnation {
		return nil
	}
	if _, ok := t.pending[probe.To.MemberID]; ok {
		return nil
	}
	t.pending[probe.To.MemberID] = t.time + indirectTime
	helpers := t.choose(indirectProbes, func(m *member) bool { return m != target && !m.dead() })
	probes := make([]Probe, len(helpers))
	for i, id := range helpers {
		probes[i] = t.probe(t.members[id].record)
		probes[i].Request.Target = &target.record
	}
	return probes
}

// gossip returns what a message to a daemon carries. If the daemon is not held
// for live, it is told so first, so that it can refute.
func (t *Table) gossip(to Record) peer.Gossip {
	gossip := peer.Gossip{From: t.self, Revision: t.revision}
	if to.FailureDomain != t.self.FailureDomain {
		gossip.Summary = t.ownSummary()
		return gossip
	}
	if m := t.members[to.MemberID]; m != nil && rank(m.record.State) > 0 {
		gossip.Updates = append(gossip.Updates, m.record)
	}
	if len(t.updates) > 0 {
		gossip.Updates = append(gossip.Updates, t.updates.take(maxUpdates-len(gossip.Updates), t.sendLimit())...)
	}
	gossip.Summary = t.nextSummary()
	return gossip
}
