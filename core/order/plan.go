package order

import (
	"cmp"
	"slices"

	"acaciapath.example/core/gen/servers"
)

// States of a backend server at the platform.
const (
	stateStarting = "starting"
	stateRunning  = "running"
	stateGone     = "gone"
)

// Plan is what has to change in a pool.
type Plan struct {
	// Orders is the number of backend servers to order.
	Orders int
	// Drain are the names of those that are to get no more work.
	Drain []string
	// Undrain are the names of those that are to get work again.
	Undrain []string
}

// PoolInventory is what a pool has.
type PoolInventory struct {
	// Servers are the backend servers that start or run, without those that
	// are drained.
	Servers []*servers.BackendServer
	// Drained are those that are drained and whose release was not sent.
	Drained []*servers.BackendServer
	// Pending is the number of orders whose backend server is not in the list.
	Pending int
}

// Count returns the number of backend servers that the pool has or will have.
func (p PoolInventory) Count() int { return len(p.Servers) + p.Pending }

// NewPlan returns what brings a pool to target. Drained backend servers are
// taken back before any is ordered. Of those that are too many, the ones that
// still start go first, then those with the least work. Nothing is drained
// while known is false, nor while an order is pending.
func NewPlan(pooled PoolInventory, target int, running map[string]int, known bool) Plan {
	missing := target - pooled.Count()
	switch {
	case missing > 0:
		back := min(missing, len(pooled.Drained))
		return Plan{Orders: missing - back, Undrain: names(pooled.Drained[:back])}
	case missing < 0 && known && pooled.Pending == 0:
		return Plan{Drain: names(leastUseful(pooled.Servers, running)[:-missing])}
	}
	return Plan{}
}

// leastUseful returns backend servers in the order in which they can be spared.
func leastUseful(list []*servers.BackendServer, running map[string]int) []*servers.BackendServer {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b *servers.BackendServer) int {
		return cmp.Or(
			cmp.Compare(rank(a), rank(b)),
			cmp.Compare(running[a.Name], running[b.Name]),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return sorted
}

// rank orders backend servers that still start before those that run.
func rank(s *servers.BackendServer) int {
	if s.State == stateStarting {
		return 0
	}
	return 1
}

func names(list []*servers.BackendServer) []string {
	var names []string
	for _, s := range list {
		names = append(names, s.Name)
	}
	return names
}
