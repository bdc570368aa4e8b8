package membership

import (
	"maps"
	"slices"
	"time"

	"acaciapath.example/core/peer"
)

// Bounds of what is kept of other failure domains.
const (
	// maxContacts is the number of daemons that are known of each.
	maxContacts = 4
	// maxDomains is the number of other failure domains.
	maxDomains = 64
	// maxFailures is the number of probes in a row after which a contact is
	// dropped, unless it is the last one.
	maxFailures = 3
)

// domain is what is known of another failure domain.
type domain struct {
	// listed is the number of daemons in the platform's last list that are not
	// leaving.
	listed int
	// live and revision were counted at counted, in the table's time, if heard.
	live     int
	revision uint64
	counted  time.Duration
	heard    bool
	// contacts has at most maxContacts daemons.
	contacts []contact
	next     int
}

// contact is a daemon of another failure domain.
type contact struct {
	record   Record
	revision uint64
	failures int
}

// domainNames returns the other failure domains in order.
func (t *Table) domainNames() []string { return slices.Sorted(maps.Keys(t.domains)) }

// domain returns what is known of another failure domain, or nil if too many
// are known.
func (t *Table) domain(name string) *domain {
	d := t.domains[name]
	if d == nil && len(t.domains) < maxDomains {
		d = &domain{counted: t.time}
		t.domains[name] = d
	}
	return d
}

// meet adds a contact or renews it. Among too many, one that failed gives way.
func (d *domain) meet(record Record, revision uint64) {
	i := slices.IndexFunc(d.contacts, func(c contact) bool { return c.record.MemberID == record.MemberID })
	if i >= 0 {
		c := &d.contacts[i]
		if record.Incarnation >= c.record.Incarnation {
			c.record = record
		}
		c.revision = max(c.revision, revision)
		return
	}
	if len(d.contacts) < maxContacts {
		d.contacts = append(d.contacts, contact{record: record, revision: revision})
		return
	}
	i = slices.IndexFunc(d.contacts, func(c contact) bool { return c.failures > 0 })
	if i >= 0 {
		d.contacts[i] = contact{record: record, revision: revision}
	}
}

// drop removes the contacts for which the function holds.
func (d *domain) drop(holds func(contact) bool) { d.contacts = slices.DeleteFunc(d.contacts, holds) }

// hearContact takes in a message from another failure domain.
func (t *Table) hearContact(gossip peer.Gossip) {
	d := t.domain(gossip.From.FailureDomain)
	if d == nil {
		return
	}
	if gossip.From.State == peer.MemberDead || gossip.From.Leaving {
		d.drop(func(c contact) bool { return c.record.MemberID == gossip.From.MemberID })
		return
	}
	d.meet(gossip.From, gossip.Revision)
}

// hearSummary takes in a summary if it is newer than the one that is known.
func (t *Table) hearSummary(s peer.DomainSummary) {
	if s.FailureDomain == t.self.FailureDomain {
		return
	}
	d := t.domain(s.FailureDomain)
	if d == nil {
		return
	}
	d.revision = max(d.revision, s.Revision)
	if counted := t.time - max(s.Age, 0); !d.heard || counted > d.counted {
		d.live, d.counted, d.heard = s.Live, counted, true
		d.meet(s.Contact, 0)
	}
}

// contactAnswered notes that a contact answered a probe.
func (t *Table) contactAnswered(to Record) {
	if d := t.domains[to.FailureDomain]; d != nil {
		for i := range d.contacts {
			if d.contacts[i].record.MemberID == to.MemberID {
				d.contacts[i].failures = 0
			}
		}
	}
}

// contactFailed notes that a contact did not answer a probe.
func (t *Table) contactFailed(to Record) {
	d := t.domains[to.FailureDomain]
	if d == nil {
		return
	}
	for i := range d.contacts {
		if d.contacts[i].record.MemberID == to.MemberID {
			d.contacts[i].failures++
		}
	}
	d.drop(func(c contact) bool { return c.failures >= maxFailures && len(d.contacts) > 1 })
}

// nextContact returns a contact of the failure domain whose turn it is.
func (t *Table) nextContact() (Record, bool) {
	names := t.domainNames()
	for range names {
		t.probed++
		d := t.domains[names[t.probed%len(names)]]
		if len(d.contacts) > 0 {
			d.next++
			return d.contacts[d.next%len(d.contacts)].record, true
		}
	}
	return Record{}, false
}

// nextSummary returns what was heard of the failure domain whose turn it is to
// be told to the own one.
func (t *Table) nextSummary() *peer.DomainSummary {
	names := t.domainNames()
	for range names {
		t.relayed++
		name := names[t.relayed%len(names)]
		if d := t.domains[name]; d.heard && len(d.contacts) > 0 {
			return &peer.DomainSummary{
				FailureDomain: name, Live: d.live, Revision: d.revision, Age: t.time - d.counted,
				Contact: d.contacts[t.random.IntN(len(d.contacts))].record,
			}
		}
	}
	return nil
}

// ownSummary returns the summary of the own failure domain.
func (t *Table) ownSummary() *peer.DomainSummary {
	s := &peer.DomainSummary{FailureDomain: t.self.FailureDomain, Revision: t.revision, Contact: t.self}
	for _, m := range t.members {
		s.Revision = max(s.Revision, m.revision)
	}
	s.Live = t.size()
	if t.stopped {
		s.Live--
	}
	steady := t.choose(1, func(m *member) bool { return m.state() == peer.MemberLive })
	if len(steady) > 0 && (t.self.Leaving || t.random.IntN(t.size()) > 0) {
		s.Contact = t.members[steady[0]].record
	}
	return s
}

// expireDomains forgets failure domains that are neither listed nor heard of.
func (t *Table) expireDomains() {
	maps.DeleteFunc(t.domains, func(_ string, d *domain) bool {
		return d.listed == 0 && t.time-d.counted >= forgetTime
	})
}
