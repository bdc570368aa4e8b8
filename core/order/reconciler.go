package order

import (
	"context"
	"slices"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/gen/servers"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/lease"
	"acaciapath.example/core/platform"

	"github.com/ansel1/merry/v2"
)

const (
	// DrainDelay is how long a drain is known before the backend server is
	// released: entry daemons hear of it within that time.
	DrainDelay = 10 * time.Second
	// capacityPause is how long a pool is not expected to grow after the
	// platform had no capacity.
	capacityPause = time.Minute
)

// LeaseHolder lends out the grant of the lease of backend server orders.
type LeaseHolder interface {
	// Do calls send with the grant and a context that ends with it, or returns
	// an error without calling send.
	Do(ctx context.Context, send func(context.Context, *lease.Grant) error) error
}

var _ LeaseHolder = (*lease.Keeper)(nil)

// PoolState is the state of a pool after a reconciliation.
type PoolState struct {
	// Pool is the pool.
	Pool config.Pool
	// Target is the number of backend servers that it is to have.
	Target int
	// Present is the number that start or run, without those that are drained.
	Present int
	// Pending is the number of orders whose backend server is not in the list.
	Pending int
	// Drained is the number that are to get no more work.
	Drained int
}

// Reconciler orders and releases the backend servers of one failure domain. It
// is not safe for concurrent use.
type Reconciler struct {
	table         table.Service
	servers       servers.Service
	sender        LeaseHolder
	failureDomain string

	// fence is the fencing number that the fields below belong to.
	fence   uint64
	next    int
	scales  map[string]PoolTarget
	drained map[string]time.Time
	scarce  map[string]time.Time
}

// NewReconciler returns a reconciler for a failure domain that sends in the
// name of sender.
func NewReconciler(rows table.Service, port servers.Service, sender LeaseHolder, failureDomain string) *Reconciler {
	return &Reconciler{table: rows, servers: port, sender: sender, failureDomain: failureDomain}
}

// Reconcile settles the orders that are open, orders and drains what is needed,
// and then releases what has been drained. After an error it is called again: every step may be repeated. It returns
// lease.ErrNotHeld or ErrSuperseded if the process is not in charge.
func (r *Reconciler) Reconcile(ctx context.Context, now time.Time, index *config.Index, observed Observation) ([]PoolState, error) {
	s, err := r.read(ctx)
	if err != nil {
		return nil, err
	}
	pools := r.pools(index)
	if err := r.settleIntents(ctx, now, s, pools); err != nil {
		return nil, err
	}
	if err := r.drainOrphans(ctx, s, pools); err != nil {
		return nil, err
	}
	targets := r.targets(now, s, pools, index, observed)
	states := make([]PoolState, len(pools))
	for i, pool := range pools {
		pooled := s.pool(r.failureDomain, pool.Name)
		states[i] = PoolState{
			Pool: pool, Target: targets[i], Present: len(pooled.Servers),
			Pending: pooled.Pending, Drained: len(pooled.Drained),
		}
		plan := NewPlan(pooled, targets[i], observed.Running, observed.Complete)
		if err := r.apply(ctx, now, pool, plan); err != nil {
			return states, err
		}
		s.undrain(plan.Undrain)
	}
	return states, r.settleDrains(ctx, now, s, observed)
}

// read reads the state under the lease, so that no predecessor can add to it.
func (r *Reconciler) read(ctx context.Context) (*state, error) {
	var s *state
	err := r.sender.Do(ctx, func(ctx context.Context, grant *lease.Grant) error {
		if grant.Fence != r.fence {
			r.fence, r.next = grant.Fence, 1
			r.scales = make(map[string]PoolTarget)
			r.drained = make(map[string]time.Time)
			r.scarce = make(map[string]time.Time)
		}
		var err error
		s, err = readState(ctx, r.table, r.servers, r.failureDomain)
		return err
	})
	return s, err
}

// pools returns the pools of the failure domain.
func (r *Reconciler) pools(index *config.Index) []config.Pool {
	var pools []config.Pool
	for _, pool := range index.Config.Pools {
		if pool.FailureDomain == r.failureDomain {
			pools = append(pools, pool)
		}
	}
	return pools
}

// targets returns how many backend servers each pool is to have.
func (r *Reconciler) targets(now time.Time, s *state, pools []config.Pool, index *config.Index, observed Observation) []int {
	targets := make([]int, len(pools))
	for model, members := range byModel(pools) {
		supplies := make([]Supply, len(members))
		for i, member := range members {
			supplies[i] = r.supply(now, s, pools[member])
		}
		standard, cheap := ownPlaces(index.Config, model, r.failureDomain)
		needs := Allocate(supplies, observed.Models[model], standard, cheap)
		for i, member := range members {
			pool := pools[member]
			count := s.pool(r.failureDomain, pool.Name).Count()
			scale := r.scales[pool.Name].Next(pool, needs[i], count, observed.Complete, now)
			r.scales[pool.Name] = scale
			targets[member] = scale.Count
		}
	}
	return targets
}

// supply returns what can be had for a pool.
func (r *Reconciler) supply(now time.Time, s *state, pool config.Pool) Supply {
	since, ok := r.scarce[pool.Name]
	if !ok || now.Sub(since) >= capacityPause {
		return Supply{Pool: pool, Limit: pool.Max}
	}
	return Supply{Pool: pool, Limit: len(s.pool(r.failureDomain, pool.Name).Servers)}
}

// byModel returns the positions of the pools of each model.
func byModel(pools []config.Pool) map[string][]int {
	members := make(map[string][]int)
	for i, pool := range pools {
		members[pool.Model] = append(members[pool.Model], i)
	}
	return members
}

// ownPlaces returns the places of the backend servers of a model and failure
// domain that were not ordered through a pool.
func ownPlaces(c *config.Config, model, failureDomain string) (standard, cheap int) {
	for _, server := range c.BackendServers {
		if server.FailureDomain != failureDomain || !slices.Contains(server.Models, model) {
			continue
		}
		if server.Kind == config.KindCheap {
			cheap += server.Places
		} else {
			standard += server.Places
		}
	}
	return standard, cheap
}

// commit writes rows in the name of the lease.
func (r *Reconciler) commit(ctx context.Context, conditions []*table.Condition, writes []*table.Write) error {
	if len(writes) == 0 {
		return nil
	}
	return r.sender.Do(ctx, func(ctx context.Context, grant *lease.Grant) error {
		if grant.Fence != r.fence {
			return ErrSuperseded
		}
		_, err := r.table.Commit(ctx, &table.CommitPayload{
			Conditions: append(conditions, grant.Condition()),
			Writes:     writes,
		})
		return superseded(err, grant)
	})
}

// superseded returns ErrSuperseded for a conflict with the fence row. Any other
// conflict means that an earlier attempt took effect after all.
func superseded(err error, grant *lease.Grant) error {
	conflict := platform.AsConflict(err)
	if conflict == nil {
		return err
	}
	for _, row := range conflict.Rows {
		if row.Key == grant.Condition().Key {
			return ErrSuperseded
		}
	}
	return merry.Prepend(err, "order: row has changed")
}
