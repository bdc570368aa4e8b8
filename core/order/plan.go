package order

import (
	"cmp"
	"slices"

	"acaciapath.example/core/gen/servers"
)

// States of a backend server as the platform reports them.
const (
	stateStarting = "starting"
	stateRunning  = "running"
	stateGone     = "gone"
)

// Plan lists the changes that bring a pool to its target.
type Plan struct {
	// Orders is the number of backend servers to order.
	Orders int
	// Drain lists the names of the backend servers to drain.
	Drain []string
	// Undrain lists the names of draining backend servers to put back into use.
	Undrain []string
}

// PoolInventory lists the backend servers of a pool and counts its open orders.
type PoolInventory struct {
	// Servers are the backend servers that are starting or running and are not
	// draining.
	Servers []*servers.BackendServer
	// Draining are the draining backend servers whose release was not sent yet.
	Draining []*servers.BackendServer
	// Pending is the number of orders whose backend server the platform does not
	// list yet.
	Pending int
}

// Count returns the number of backend servers that the pool has or will have.
func (p PoolInventory) Count() int { return len(p.Servers) + p.Pending }

// NewPlan returns the changes that bring a pool to target. Draining backend
// servers are put back into use before new ones are ordered. If there are too
// many backend servers, those still starting are drained first, then those with
// the fewest running requests. Nothing is drained while complete is false or an
// order is pending.
func NewPlan(inventory PoolInventory, target int, running map[string]int, complete bool) Plan {
	missing := target - inventory.Count()
	switch {
	case missing > 0:
		reused := min(missing, len(inventory.Draining))
		return Plan{Orders: missing - reused, Undrain: serverNames(inventory.Draining[:reused])}
	case missing < 0 && complete && inventory.Pending == 0:
		return Plan{Drain: serverNames(removalOrder(inventory.Servers, running)[:-missing])}
	}
	return Plan{}
}

// removalOrder returns the backend servers sorted by which to remove first: those
// still starting, then those with the fewest running requests.
func removalOrder(list []*servers.BackendServer, running map[string]int) []*servers.BackendServer {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b *servers.BackendServer) int {
		return cmp.Or(
			cmp.Compare(stateRank(a), stateRank(b)),
			cmp.Compare(running[a.Name], running[b.Name]),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return sorted
}

// stateRank sorts backend servers that are starting before those that run.
func stateRank(s *servers.BackendServer) int {
	if s.State == stateStarting {
		return 0
	}
	return 1
}

func serverNames(list []*servers.BackendServer) []string {
	var names []string
	for _, s := range list {
		names = append(names, s.Name)
	}
	return names
}
