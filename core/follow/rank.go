package follow

import (
	"cmp"
	"slices"

	"acaciapath.example/core/rendezvous"
)

// Member is a daemon of a failure domain.
type Member struct {
	// VM is the name of its VM.
	VM string
	// Address is the IP address and port at which it serves other daemons.
	Address string
	// Cores is the share of a processor core that its VM has.
	Cores float64
}

// coresRatio is the share of the largest VM's cores from which a VM is preferred as a
// reader. Serving followers takes a small VM a few percent of its processor.
const coresRatio = 0.5

// Rank returns the members in the order in which they read a table: those with the
// most cores first, and otherwise by rendezvous hashing, so that different tables are
// read by different members and few orders change when a member joins or leaves.
func Rank(members []Member, table string) []Member {
	largest := 0.0
	for _, m := range members {
		largest = max(largest, m.Cores)
	}
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(
			compareLarge(a.Cores >= coresRatio*largest, b.Cores >= coresRatio*largest),
			cmp.Compare(weight(b.VM, table), weight(a.VM, table)),
			cmp.Compare(a.VM, b.VM))
	})
	return ranked
}

// compareLarge orders true before false.
func compareLarge(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// weight returns the rendezvous hash of a VM and a table.
func weight(vm, table string) uint64 { return rendezvous.Hash(vm + "\x00" + table) }
