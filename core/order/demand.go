package order

import (
	"acaciapath.example/core/config"
	"acaciapath.example/core/peer"
)

// Demand is the number of waiting and running requests for one model in a
// failure domain.
type Demand struct {
	// Standard counts the requests that may not run on cheap backend servers.
	Standard int
	// Any counts the requests that may run on any backend server.
	Any int
}

// Observation is the aggregated state that the entry daemons of a failure domain
// reported.
type Observation struct {
	// Complete reports whether every live entry daemon has answered. If not,
	// nothing is scaled down and nothing is released.
	Complete bool
	// Demand is the demand by model.
	Demand map[string]Demand
	// RunningByServer is the number of running requests by backend server.
	RunningByServer map[string]int
}

// Observe aggregates the statuses that entry daemons reported. complete reports
// whether statuses contains all live entry daemons; without any status, the
// observation is never complete.
func Observe(statuses []peer.Status, index *config.Index, complete bool) Observation {
	o := Observation{
		Complete:        complete && len(statuses) > 0,
		Demand:          make(map[string]Demand),
		RunningByServer: make(map[string]int),
	}
	for _, status := range statuses {
		for _, queue := range status.Queues {
			o.addQueue(queue, index)
		}
		for _, server := range status.BackendServers {
			o.RunningByServer[server.Name] += server.Running
		}
	}
	return o
}

func (o Observation) addQueue(queue peer.Queue, index *config.Index) {
	demand := o.Demand[queue.Model]
	requests := queue.Waiting + queue.Running
	if class := index.Class(queue.ServiceClass); class != nil && class.AllowCheapServers {
		demand.Any += requests
	} else {
		demand.Standard += requests
	}
	o.Demand[queue.Model] = demand
}

// Supply is a pool and the number of backend servers available for it.
type Supply struct {
	// Pool is the pool.
	Pool config.Pool
	// Limit is the maximum number of backend servers that the pool can have
	// now: Pool.Max, or fewer while the platform has no capacity.
	Limit int
}

// Allocate returns how many backend servers each of the pools of one model and
// failure domain needs to serve demand, each within its Min and its Limit. Cheap
// pools take as many of the requests that may run on them as they can; standard
// pools take the rest. standardSlots and cheapSlots are the numbers of slots of
// backend servers that were not ordered through a pool; they are used first.
func Allocate(supplies []Supply, demand Demand, standardSlots, cheapSlots int) []int {
	needs := make([]int, len(supplies))
	flexible := max(0, demand.Any-cheapSlots)
	flexible = allocateKind(needs, supplies, config.KindCheap, flexible)
	allocateKind(needs, supplies, config.KindStandard, max(0, demand.Standard+flexible-standardSlots))
	return needs
}

// allocateKind sets the needs of the pools of one kind to serve the given number
// of requests. It returns how many requests remain without a slot.
func allocateKind(needs []int, supplies []Supply, kind config.ServerKind, requests int) int {
	for i, supply := range supplies {
		if supply.Pool.Kind != kind {
			continue
		}
		pool := supply.Pool
		limit := min(pool.Max, max(pool.Min, supply.Limit))
		needs[i] = min(max(pool.Min, (requests+pool.Slots-1)/pool.Slots), limit)
		requests = max(0, requests-needs[i]*pool.Slots)
	}
	return requests
}
