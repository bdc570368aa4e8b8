package membership

import (
	"maps"
	"slices"
	"time"

	"acaciapath.example/core/peer"
)

const (
	// maxContacts is the number of contacts kept for each other failure domain.
	maxContacts = 4
	// maxDomains is the number of other failure domains that are kept.
	maxDomains = 64
	// maxContactFailures is the number of consecutive failed probes after which
	// a contact is removed, unless it is the only one of its failure domain.
	maxContactFailures = 3
)

// domain is what is known of another failure domain.
type domain struct {
	// listed is the number of daemons of the failure domain in the platform's
	// last list, without those that are leaving.
	listed int
	// live is the number of its daemons that were not dead at countedAt. It is
	// valid if hasSummary.
	live int
	// revision is the newest revision that a summary reported.
	revision uint64
	// countedAt is when the newest summary was made, on the table's clock.
	// Without a summary, it is when the failure domain was added.
	countedAt  time.Duration
	hasSummary bool
	// contacts has at most maxContacts daemons. probeCount counts the probes of
	// contacts, which are probed in turn.
	contacts   []contact
	probeCount int
}

// contact is a daemon of another failure domain.
type contact struct {
	record Record
	// revision is the newest revision that the daemon reported.
	revision uint64
	// failures is the number of consecutive probes that failed.
	failures int
}

// domainNames returns the names of the other failure domains, sorted.
func (t *Table) domainNames() []string { return slices.Sorted(maps.Keys(t.domains)) }

// domain returns the entry of another failure domain and adds one if there is
// none. It returns nil if the table has maxDomains entries already.
func (t *Table) domain(name string) *domain {
	d := t.domains[name]
	if d == nil && len(t.domains) < maxDomains {
		d = &domain{countedAt: t.time}
		t.domains[name] = d
	}
	return d
}

// addContact adds a contact, or updates the one of the same daemon. If there are
// maxContacts already, the new contact replaces one whose last probe failed; if
// there is none, it is not added.
func (d *domain) addContact(record Record, revision uint64) {
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

// dropContacts removes the contacts for which match returns true.
func (d *domain) dropContacts(match func(contact) bool) {
	d.contacts = slices.DeleteFunc(d.contacts, match)
}

// handleContact handles a message from a daemon of another failure domain.
func (t *Table) handleContact(gossip peer.Gossip) {
	d := t.domain(gossip.From.FailureDomain)
	if d == nil {
		return
	}
	if gossip.From.State == peer.MemberDead || gossip.From.Leaving {
		d.dropContacts(func(c contact) bool { return c.record.MemberID == gossip.From.MemberID })
		return
	}
	d.addContact(gossip.From, gossip.Revision)
}

// handleSummary stores a summary of another failure domain if it is newer than
// the stored one.
func (t *Table) handleSummary(s peer.DomainSummary) {
	if s.FailureDomain == t.self.FailureDomain {
		return
	}
	d := t.domain(s.FailureDomain)
	if d == nil {
		return
	}
	d.revision = max(d.revision, s.Revision)
	if countedAt := t.time - max(s.Age, 0); !d.hasSummary || countedAt > d.countedAt {
		d.live, d.countedAt, d.hasSummary = s.Live, countedAt, true
		d.addContact(s.Contact, 0)
	}
}

// recordContactAnswer resets the failures of a contact that answered a probe.
func (t *Table) recordContactAnswer(to Record) {
	if d := t.domains[to.FailureDomain]; d != nil {
		for i := range d.contacts {
			if d.contacts[i].record.MemberID == to.MemberID {
				d.contacts[i].failures = 0
			}
		}
	}
}

// recordContactFailure counts a failed probe of a contact and removes contacts
// that failed too often.
func (t *Table) recordContactFailure(to Record) {
	d := t.domains[to.FailureDomain]
	if d == nil {
		return
	}
	for i := range d.contacts {
		if d.contacts[i].record.MemberID == to.MemberID {
			d.contacts[i].failures++
		}
	}
	d.dropContacts(func(c contact) bool { return c.failures >= maxContactFailures && len(d.contacts) > 1 })
}

// nextContact returns the contact to probe next, taking the failure domains in
// turn and the contacts of each in turn. It reports false if there is none.
func (t *Table) nextContact() (Record, bool) {
	names := t.domainNames()
	for range names {
		t.contactTurn++
		d := t.domains[names[t.contactTurn%len(names)]]
		if len(d.contacts) > 0 {
			d.probeCount++
			return d.contacts[d.probeCount%len(d.contacts)].record, true
		}
	}
	return Record{}, false
}

// nextSummary returns the summary to relay next to daemons of this daemon's
// failure domain, taking the other failure domains in turn. It returns nil if
// there is none.
func (t *Table) nextSummary() *peer.DomainSummary {
	names := t.domainNames()
	for range names {
		t.summaryTurn++
		name := names[t.summaryTurn%len(names)]
		if d := t.domains[name]; d.hasSummary && len(d.contacts) > 0 {
			return &peer.DomainSummary{
				FailureDomain: name, Live: d.live, Revision: d.revision, Age: t.time - d.countedAt,
				Contact: d.contacts[t.random.IntN(len(d.contacts))].record,
			}
		}
	}
	return nil
}

// ownSummary returns the summary of this daemon's failure domain. Its contact is
// a random live daemon; a daemon that is leaving names itself only if it knows no
// live one.
func (t *Table) ownSummary() *peer.DomainSummary {
	s := &peer.DomainSummary{FailureDomain: t.self.FailureDomain, Revision: t.revision, Contact: t.self}
	for _, m := range t.members {
		s.Revision = max(s.Revision, m.revision)
	}
	s.Live = t.size()
	if t.stopped {
		s.Live--
	}
	candidates := t.randomMembers(1, func(m *member) bool { return m.state() == peer.MemberLive })
	if len(candidates) > 0 && (t.self.Leaving || t.random.IntN(t.size()) > 0) {
		s.Contact = t.members[candidates[0]].record
	}
	return s
}

// expireDomains removes the failure domains without a listed daemon of which no
// newer summary was received for forgetAfter.
func (t *Table) expireDomains() {
	maps.DeleteFunc(t.domains, func(_ string, d *domain) bool {
		return d.listed == 0 && t.time-d.countedAt >= forgetAfter
	})
}
