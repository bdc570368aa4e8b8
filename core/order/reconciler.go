package order

import (
	"context"
	"slices"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/gen/servers"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/lease"
	"acaciapath.example/core/platformapi"

	"github.com/ansel1/merry/v2"
)

const (
	// DrainDelay is the minimum time between draining a backend server and
	// releasing it. Entry daemons learn of the drain within that time.
	DrainDelay = 10 * time.Second
	// noCapacityPause is how long a pool is not expected to grow after the
	// platform reported that it has no capacity.
	noCapacityPause = time.Minute
)

// LeaseHolder runs functions under the lease of backend server orders.
type LeaseHolder interface {
	// Do calls send with the grant and a context that ends when the grant does.
	// It returns an error without calling send if the lease is not held.
	Do(ctx context.Context, send func(context.Context, *lease.Grant) error) error
}

var _ LeaseHolder = (*lease.Keeper)(nil)

// PoolState is the state of a pool after a reconciliation.
type PoolState struct {
	// Pool is the pool.
	Pool config.Pool
	// Target is the number of backend servers that the pool should have.
	Target int
	// Present is the number of backend servers that are starting or running and
	// are not draining.
	Present int
	// Pending is the number of orders whose backend server the platform does not
	// list yet.
	Pending int
	// Draining is the number of draining backend servers whose release was not
	// sent yet.
	Draining int
}

// Reconciler orders and releases the backend servers of one failure domain. It
// is not safe for concurrent use.
type Reconciler struct {
	table         table.Service
	servers       servers.Service
	holder        LeaseHolder
	failureDomain string

	// fence is the fencing token that the fields below belong to; they are reset
	// when it changes.
	fence uint64
	// nextIntent is the n of the next intentNumber.
	nextIntent int
	// poolTargets holds the target of each pool by name.
	poolTargets map[string]PoolTarget
	// drainingSince is when each draining backend server was first seen, by name.
	drainingSince map[string]time.Time
	// noCapacitySince is when the platform last had no capacity, by pool.
	noCapacitySince map[string]time.Time
}

// NewReconciler returns a Reconciler for a failure domain. It reads, writes and
// orders under the lease of holder.
func NewReconciler(rows table.Service, api servers.Service, holder LeaseHolder, failureDomain string) *Reconciler {
	return &Reconciler{table: rows, servers: api, holder: holder, failureDomain: failureDomain}
}

// Reconcile completes open orders, orders and drains backend servers to reach the
// targets of the pools, and releases draining backend servers that are idle. Every
// step can be repeated: after an error, call Reconcile again. It returns
// lease.ErrNotHeld or ErrSuperseded if the process does not hold the lease.
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
		inventory := s.inventory(r.failureDomain, pool.Name)
		states[i] = PoolState{
			Pool: pool, Target: targets[i], Present: len(inventory.Servers),
			Pending: inventory.Pending, Draining: len(inventory.Draining),
		}
		plan := NewPlan(inventory, targets[i], observed.RunningByServer, observed.Complete)
		if err := r.apply(ctx, now, pool, plan); err != nil {
			return states, err
		}
		s.removeDrains(plan.Undrain)
	}
	return states, r.settleDrains(ctx, now, s, observed)
}

// read reads the state under the lease, so that no previous lease holder can add
// to it afterwards.
func (r *Reconciler) read(ctx context.Context) (*state, error) {
	var s *state
	err := r.holder.Do(ctx, func(ctx context.Context, grant *lease.Grant) error {
		if grant.Fence != r.fence {
			r.fence, r.nextIntent = grant.Fence, 1
			r.poolTargets = make(map[string]PoolTarget)
			r.drainingSince = make(map[string]time.Time)
			r.noCapacitySince = make(map[string]time.Time)
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

// targets returns how many backend servers each pool should have, in the order of
// pools.
func (r *Reconciler) targets(now time.Time, s *state, pools []config.Pool, index *config.Index, observed Observation) []int {
	targets := make([]int, len(pools))
	for model, positions := range poolsByModel(pools) {
		supplies := make([]Supply, len(positions))
		for i, position := range positions {
			supplies[i] = r.supply(now, s, pools[position])
		}
		standard, cheap := unpooledSlots(index.Config, model, r.failureDomain)
		needs := Allocate(supplies, observed.Demand[model], standard, cheap)
		for i, position := range positions {
			pool := pools[position]
			count := s.inventory(r.failureDomain, pool.Name).Count()
			target := r.poolTargets[pool.Name].Next(pool, needs[i], count, observed.Complete, now)
			r.poolTargets[pool.Name] = target
			targets[position] = target.Count
		}
	}
	return targets
}

// supply returns the supply of a pool. The limit is the current number of backend
// servers if the platform had no capacity within noCapacityPause.
func (r *Reconciler) supply(now time.Time, s *state, pool config.Pool) Supply {
	since, ok := r.noCapacitySince[pool.Name]
	if !ok || now.Sub(since) >= noCapacityPause {
		return Supply{Pool: pool, Limit: pool.Max}
	}
	return Supply{Pool: pool, Limit: len(s.inventory(r.failureDomain, pool.Name).Servers)}
}

// poolsByModel returns the indexes into pools for each model.
func poolsByModel(pools []config.Pool) map[string][]int {
	positions := make(map[string][]int)
	for i, pool := range pools {
		positions[pool.Model] = append(positions[pool.Model], i)
	}
	return positions
}

// unpooledSlots returns the number of slots of the configured backend servers of
// a model and failure domain, which were not ordered through a pool.
func unpooledSlots(c *config.Config, model, failureDomain string) (standard, cheap int) {
	for _, server := range c.BackendServers {
		if server.FailureDomain != failureDomain || !slices.Contains(server.Models, model) {
			continue
		}
		if server.Kind == config.KindCheap {
			cheap += server.Slots
		} else {
			standard += server.Slots
		}
	}
	return standard, cheap
}

// commit writes rows under the lease. The write is rejected if the lease has
// changed hands.
func (r *Reconciler) commit(ctx context.Context, conditions []*table.Condition, writes []*table.Write) error {
	if len(writes) == 0 {
		return nil
	}
	return r.holder.Do(ctx, func(ctx context.Context, grant *lease.Grant) error {
		if grant.Fence != r.fence {
			return ErrSuperseded
		}
		_, err := r.table.Commit(ctx, &table.CommitPayload{
			Conditions: append(conditions, grant.Condition()),
			Writes:     writes,
		})
		return asSuperseded(err, grant)
	})
}

// asSuperseded returns ErrSuperseded if err is a conflict on the fence row. A
// conflict on any other row means that an earlier attempt of the same write took
// effect; it is returned as an error, so that the next call reads the rows again.
func asSuperseded(err error, grant *lease.Grant) error {
	conflict := platformapi.AsConflict(err)
	if conflict == nil {
		return err
	}
	for _, row := range conflict.Rows {
		if row.Key == grant.Condition().Key {
			return ErrSuperseded
		}
	}
	return merry.Prepend(err, "order: row was changed by an earlier write")
}
