package membership

import (
	"time"

	"acaciapath.example/core/peer"
)

// Probe is a heartbeat that the caller has to send.
type Probe struct {
	// To is the daemon to send the heartbeat to.
	To Record
	// Request is the heartbeat. If it has a target, the receiver probes the
	// target.
	Request peer.Heartbeat
	// Relayed says whether another daemon asked for the probe. If a relayed
	// probe fails, no indirect probes follow; otherwise daemons would ask each
	// other for probes without end.
	Relayed bool
}

// Tick begins a period; it must be called once every Period. It returns the probes
// to send. For each of them the caller calls HandleAnswer with the answer, and
// HandleFailure if there is none or HandleAnswer returns false.
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
	if contact, found := t.nextContact(); found && (!ok || t.ticks%contactProbePeriods == 0) {
		probes = append(probes, t.probe(contact))
	}
	if t.ticks%deadProbePeriods == 0 {
		for _, id := range t.randomMembers(1, (*member).isDead) {
			probes = append(probes, t.probe(t.members[id].record))
		}
	}
	return probes
}

// nextMember returns the member to probe next. Each member that is not dead is
// returned once, in random order, before any is returned again. It reports false
// if there is none.
func (t *Table) nextMember() (Record, bool) {
	for range 2 {
		for t.nextProbe < len(t.probeOrder) {
			m := t.members[t.probeOrder[t.nextProbe]]
			t.nextProbe++
			if m != nil && !m.isDead() {
				return m.record, true
			}
		}
		t.probeOrder = t.randomMembers(len(t.members), func(m *member) bool { return !m.isDead() })
		t.nextProbe = 0
	}
	return Record{}, false
}

// probe returns a probe of a daemon.
func (t *Table) probe(to Record) Probe {
	return Probe{To: to, Request: peer.Heartbeat{Gossip: t.gossip(to)}}
}

// RelayProbe returns the probe of the target of a heartbeat. The heartbeat must have
// a target.
func (t *Table) RelayProbe(request peer.Heartbeat, now time.Time) Probe {
	t.advance(now)
	probe := t.probe(*request.Target)
	probe.Relayed = true
	return probe
}

// HandleHeartbeat applies a heartbeat of another daemon and returns the answer. If
// the heartbeat has a target, the caller sets TargetReached.
func (t *Table) HandleHeartbeat(request peer.Heartbeat, now time.Time) peer.HeartbeatAnswer {
	t.advance(now)
	t.handleGossip(request.Gossip)
	return peer.HeartbeatAnswer{Gossip: t.gossip(request.From)}
}

// HandleAnswer applies the answer to a probe. It reports whether the daemon that the
// probe was for has answered. The address of a replaced VM may belong to another
// VM now; if another daemon answers, HandleAnswer returns false and the probe has
// failed.
func (t *Table) HandleAnswer(probe Probe, answer peer.HeartbeatAnswer, now time.Time) bool {
	t.advance(now)
	t.handleGossip(answer.Gossip)
	if answer.From.MemberID != probe.To.MemberID {
		return false
	}
	delete(t.suspectAt, probe.To.MemberID)
	t.recordContactAnswer(probe.To)
	if probe.Request.Target != nil && answer.TargetReached {
		delete(t.suspectAt, probe.Request.Target.MemberID)
	}
	return true
}

// HandleFailure records that a probe was not answered, or was answered by another
// daemon than the probed one. It returns the indirect probes to send.
func (t *Table) HandleFailure(probe Probe, now time.Time) []Probe {
	t.advance(now)
	if probe.Request.Target != nil || probe.Relayed {
		return nil
	}
	if probe.To.FailureDomain != t.self.FailureDomain {
		t.recordContactFailure(probe.To)
		return nil
	}
	target := t.members[probe.To.MemberID]
	if target == nil || target.isDead() || target.record.Incarnation > probe.To.Incarnation {
		return nil
	}
	if _, ok := t.suspectAt[probe.To.MemberID]; ok {
		return nil
	}
	t.suspectAt[probe.To.MemberID] = t.time + indirectTimeout
	helpers := t.randomMembers(indirectProbes, func(m *member) bool { return m != target && !m.isDead() })
	probes := make([]Probe, len(helpers))
	sent := target.record // probes are sent while the table goes on changing
	for i, id := range helpers {
		probes[i] = t.probe(t.members[id].record)
		probes[i].Request.Target = &sent
	}
	return probes
}

// gossip returns the gossip of a message to a daemon. If the receiver is a member
// that is suspected or dead here, its record is the first update, so that it can
// refute it.
func (t *Table) gossip(to Record) peer.Gossip {
	gossip := peer.Gossip{From: t.self, Revision: t.revision}
	if to.FailureDomain != t.self.FailureDomain {
		gossip.Summary = t.ownSummary()
		return gossip
	}
	if m := t.members[to.MemberID]; m != nil && stateRank(m.record.State) > 0 {
		gossip.Updates = append(gossip.Updates, m.record)
	}
	if len(t.updates) > 0 {
		gossip.Updates = append(gossip.Updates, t.updates.take(maxUpdates-len(gossip.Updates), t.sendLimit())...)
	}
	gossip.Summary = t.nextSummary()
	return gossip
}
