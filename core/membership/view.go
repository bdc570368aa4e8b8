package membership

import (
	"cmp"
	"slices"
	"time"

	"acaciapath.example/core/peer"

	"github.com/cespare/xxhash/v2"
)

// leavingGrace is how long a daemon that leaves still counts for limits: it
// accepts requests a little longer.
const leavingGrace = 10 * time.Second

// View is what a table knows at one time. It does not change, so that several
// threads may read it.
type View struct {
	// Members are the daemons of the own failure domain, this one included, by
	// VM and role.
	Members []peer.Member
	// Domains are the other failure domains, by name.
	Domains []peer.Domain
	// LimitShare is the part of a client account's limits that each entry daemon of
	// the failure domain may give out. 0 < LimitShare ≤ 1.
	LimitShare float64
	// homes are the entry daemons that can be a home, by VM.
	homes []Home
}

// Home is an entry daemon that can be the home of a key.
type Home struct {
	// VM is the name of its VM; empty for none.
	VM string
	// Address is the IP number and port of its peers' port.
	Address string
}

// View returns what the table knows at now.
func (t *Table) View(now time.Time) *View {
	t.advance(now)
	return &View{
		Members:    t.viewMembers(),
		Domains:    t.viewDomains(),
		LimitShare: 1 / float64(max(1, t.sharers())),
		homes:      t.homes(),
	}
}

// Members returns the daemons of the own failure domain, this one included.
func (t *Table) Members(now time.Time) []peer.Member { return t.View(now).Members }

// Live returns the daemons of the own failure domain that are not dead.
func (t *Table) Live(now time.Time) []peer.Member { return t.View(now).Live() }

// LimitShare returns the part of a client account's limits that each entry daemon
// of the own failure domain may give out. Suspected ones count until they are
// dead, and leaving ones for a while.
func (t *Table) LimitShare(now time.Time) float64 { return t.View(now).LimitShare }

// Domains returns the other failure domains.
func (t *Table) Domains(now time.Time) []peer.Domain { return t.View(now).Domains }

// Home returns the entry daemon that is the home of a key. See View.Home.
func (t *Table) Home(key string, now time.Time) Home { return t.View(now).Home(key) }

// Live returns the daemons of the own failure domain that are not dead.
func (v *View) Live() []peer.Member {
	return slices.DeleteFunc(slices.Clone(v.Members), func(m peer.Member) bool {
		return m.State == peer.MemberDead
	})
}

// Home returns the entry daemon that is the home of a key, or the zero Home if
// the failure domain has none, by rendezvous hashing (Thaler, Ravishankar: Using
// name-based mappings to increase hit rates, IEEE/ACM Transactions on
// Networking 1998). Entry daemons that leave are no homes; suspected ones are
// until they are dead. When an entry daemon comes or goes, only the keys whose
// home it becomes or was move.
func (v *View) Home(key string) Home {
	var home Home
	highest := uint64(0)
	for _, candidate := range v.homes {
		if score := weigh(candidate.VM, key); home.VM == "" || score > highest {
			home, highest = candidate, score
		}
	}
	return home
}

// weigh returns the weight of a VM for a key.
func weigh(vm, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(vm)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

func (t *Table) viewMembers() []peer.Member {
	own := member{record: t.self, revision: t.revision}
	members := []peer.Member{show(&own)}
	for _, m := range t.members {
		members = append(members, show(m))
	}
	slices.SortFunc(members, func(a, b peer.Member) int {
		return compareIDs(ID{VM: a.VM, Role: a.Role}, ID{VM: b.VM, Role: b.Role})
	})
	return members
}

func show(m *member) peer.Member {
	return peer.Member{
		VM: m.record.VM, Role: m.record.Role, Address: m.record.Address,
		State: m.state(), Revision: m.revision,
	}
}

func (t *Table) viewDomains() []peer.Domain {
	domains := make([]peer.Domain, 0, len(t.domains))
	for _, name := range t.domainNames() {
		d := t.domains[name]
		shown := peer.Domain{FailureDomain: name, Live: d.listed, Revision: d.revision, HasSummary: d.heard}
		if d.heard {
			shown.Live, shown.Age = d.live, t.time-d.counted
		}
		domains = append(domains, shown)
	}
	return domains
}

// sharers returns the number of entry daemons that count for limits.
func (t *Table) sharers() int {
	count := 0
	if t.self.Role == peer.RoleEntry {
		count++
	}
	for _, m := range t.members {
		left := m.isLeaving() && t.time-m.leavingSince >= leavingGrace
		if m.record.Role == peer.RoleEntry && !m.dead() && !left {
			count++
		}
	}
	return count
}

// homes returns the entry daemons that can be a home.
func (t *Table) homes() []Home {
	var homes []Home
	if t.self.Role == peer.RoleEntry && !t.self.Leaving && !t.stopped {
		homes = append(homes, Home{VM: t.self.VM, Address: t.self.Address})
	}
	for _, m := range t.members {
		if m.record.Role == peer.RoleEntry && !m.dead() && !m.isLeaving() {
			homes = append(homes, Home{VM: m.record.VM, Address: m.record.Address})
		}
	}
	slices.SortFunc(homes, func(a, b Home) int { return cmp.Compare(a.VM, b.VM) })
	return homes
}

// NewerRevisionHolders returns up to count daemons that have a newer revision in force than
// the given one, those with the newest first and those of the own failure
// domain before others.
func (t *Table) NewerRevisionHolders(revision uint64, count int) []Record {
	type candidate struct {
		record   Record
		revision uint64
		other    int
	}
	var found []candidate
	for _, m := range t.members {
		if m.revision > revision && !m.dead() {
			found = append(found, candidate{record: m.record, revision: m.revision})
		}
	}
	for _, d := range t.domains {
		for _, c := range d.contacts {
			if c.revision > revision {
				found = append(found, candidate{record: c.record, revision: c.revision, other: 1})
			}
		}
	}
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.other, b.other), cmp.Compare(b.revision, a.revision),
			compareIDs(a.record.MemberID, b.record.MemberID))
	})
	records := make([]Record, min(count, len(found)))
	for i := range records {
		records[i] = found[i].record
	}
	return records
}
