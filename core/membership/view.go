package membership

import (
	"cmp"
	"slices"
	"time"

	"acaciapath.example/core/peer"

	"github.com/cespare/xxhash/v2"
)

// leavingGrace is how long a leaving daemon still counts for the sharing of
// limits, because it still accepts requests for a short time.
const leavingGrace = 10 * time.Second

// View is a snapshot of a table. It does not change and is safe for concurrent
// reading.
type View struct {
	// Members are the daemons of this daemon's failure domain, this daemon and
	// dead ones included, sorted by VM and role.
	Members []peer.Member
	// Domains are the other failure domains, sorted by name.
	Domains []peer.Domain
	// LimitShare is the fraction of a client account's limits that each entry
	// daemon of the failure domain may grant. 0 < LimitShare ≤ 1.
	LimitShare float64
	// homes are the entry daemons that can be the home of a key, sorted by VM.
	homes []Home
}

// Home is the home of a key: the one entry daemon of the failure domain that is
// responsible for the key.
type Home struct {
	// VM is the name of its VM; it is empty if there is no home.
	VM string
	// Address is the IP address and port on which it serves its peers.
	Address string
}

// View returns a snapshot of the table at now.
func (t *Table) View(now time.Time) *View {
	t.advance(now)
	return &View{
		Members:    t.viewMembers(),
		Domains:    t.viewDomains(),
		LimitShare: 1 / float64(max(1, t.limitSharers())),
		homes:      t.homes(),
	}
}

// Members returns the daemons of this daemon's failure domain, this daemon and
// dead ones included.
func (t *Table) Members(now time.Time) []peer.Member { return t.View(now).Members }

// Live returns the daemons of this daemon's failure domain that are not dead: the
// live, suspected and leaving ones.
func (t *Table) Live(now time.Time) []peer.Member { return t.View(now).Live() }

// LimitShare returns the fraction of a client account's limits that each entry
// daemon of this daemon's failure domain may grant. Suspected daemons count until
// they are dead, and leaving ones for leavingGrace.
func (t *Table) LimitShare(now time.Time) float64 { return t.View(now).LimitShare }

// Domains returns the other failure domains.
func (t *Table) Domains(now time.Time) []peer.Domain { return t.View(now).Domains }

// Home returns the entry daemon that is the home of a key. See View.Home.
func (t *Table) Home(key string, now time.Time) Home { return t.View(now).Home(key) }

// Live returns the daemons of this daemon's failure domain that are not dead: the
// live, suspected and leaving ones.
func (v *View) Live() []peer.Member {
	return slices.DeleteFunc(slices.Clone(v.Members), func(m peer.Member) bool {
		return m.State == peer.MemberDead
	})
}

// Home returns the entry daemon that is the home of a key, or the zero Home if
// the failure domain has none. It uses rendezvous hashing (Thaler, Ravishankar:
// Using name-based mappings to increase hit rates, IEEE/ACM Transactions on
// Networking 1998). Leaving entry daemons cannot be a home; suspected ones can
// until they are dead. When an entry daemon joins or leaves, only the keys whose
// home it becomes or was are moved.
func (v *View) Home(key string) Home {
	var home Home
	greatest := uint64(0)
	for _, candidate := range v.homes {
		if weight := rendezvousWeight(candidate.VM, key); home.VM == "" || weight > greatest {
			home, greatest = candidate, weight
		}
	}
	return home
}

// rendezvousWeight returns the weight of a VM for a key, which is the hash of
// both. The home of a key is on the VM with the greatest weight.
func rendezvousWeight(vm, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(vm)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

func (t *Table) viewMembers() []peer.Member {
	own := member{record: t.self, revision: t.revision}
	members := []peer.Member{memberView(&own)}
	for _, m := range t.members {
		members = append(members, memberView(m))
	}
	slices.SortFunc(members, func(a, b peer.Member) int {
		return compareIDs(ID{VM: a.VM, Role: a.Role}, ID{VM: b.VM, Role: b.Role})
	})
	return members
}

func memberView(m *member) peer.Member {
	return peer.Member{
		VM: m.record.VM, Role: m.record.Role, Address: m.record.Address,
		State: m.state(), Revision: m.revision,
	}
}

func (t *Table) viewDomains() []peer.Domain {
	domains := make([]peer.Domain, 0, len(t.domains))
	for _, name := range t.domainNames() {
		d := t.domains[name]
		view := peer.Domain{FailureDomain: name, Live: d.listed, Revision: d.revision, HasSummary: d.hasSummary}
		if d.hasSummary {
			view.Live, view.Age = d.live, t.time-d.countedAt
		}
		domains = append(domains, view)
	}
	return domains
}

// limitSharers returns the number of entry daemons among which the limits are
// shared.
func (t *Table) limitSharers() int {
	count := 0
	if t.self.Role == peer.RoleEntry {
		count++
	}
	for _, m := range t.members {
		hasLeft := m.isLeaving() && t.time-m.leavingSince >= leavingGrace
		if m.record.Role == peer.RoleEntry && !m.isDead() && !hasLeft {
			count++
		}
	}
	return count
}

// homes returns the entry daemons that can be a home, sorted by VM.
func (t *Table) homes() []Home {
	var homes []Home
	if t.self.Role == peer.RoleEntry && !t.self.Leaving && !t.stopped {
		homes = append(homes, Home{VM: t.self.VM, Address: t.self.Address})
	}
	for _, m := range t.members {
		if m.record.Role == peer.RoleEntry && !m.isDead() && !m.isLeaving() {
			homes = append(homes, Home{VM: m.record.VM, Address: m.record.Address})
		}
	}
	slices.SortFunc(homes, func(a, b Home) int { return cmp.Compare(a.VM, b.VM) })
	return homes
}

// DaemonsAhead returns up to count daemons that have a newer revision in
// force than the given one. Daemons of this daemon's failure domain come before
// those of others, and within each group those with the newest revision come
// first.
func (t *Table) DaemonsAhead(revision uint64, count int) []Record {
	type candidate struct {
		record      Record
		revision    uint64
		otherDomain int // 1 for a daemon of another failure domain, otherwise 0
	}
	var found []candidate
	for _, m := range t.members {
		if m.revision > revision && !m.isDead() {
			found = append(found, candidate{record: m.record, revision: m.revision})
		}
	}
	for _, d := range t.domains {
		for _, c := range d.contacts {
			if c.revision > revision {
				found = append(found, candidate{record: c.record, revision: c.revision, otherDomain: 1})
			}
		}
	}
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.otherDomain, b.otherDomain), cmp.Compare(b.revision, a.revision),
			compareIDs(a.record.MemberID, b.record.MemberID))
	})
	records := make([]Record, min(count, len(found)))
	for i := range records {
		records[i] = found[i].record
	}
	return records
}
