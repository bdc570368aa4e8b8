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
)

// settleIntents sends each order again whose backend server is not in the
// list, and deletes the intents that are settled: those whose backend server is
// in the list or is gone, and those of pools that do not exist any more. What
// the latter may still bring is an orphan.
func (r *Reconciler) settleIntents(ctx context.Context, now time.Time, s *state, pools []config.Pool) error {
	var open []Intent
	var writes []*table.Write
	for _, intent := range s.intents {
		r.skip(intent)
		settled, err := r.settleIntent(ctx, now, s, intent, pools)
		if err != nil {
			return err
		}
		if settled {
			writes = append(writes, &table.Write{Key: intent.key(), Delete: true})
		} else {
			open = append(open, intent)
		}
	}
	s.intents = open
	return r.commit(ctx, nil, writes)
}

// skip keeps the number of an intent from being used again.
func (r *Reconciler) skip(intent Intent) {
	for intentNumber(r.fence, r.next) <= intent.Number && intent.Number < intentNumber(r.fence+1, 0) {
		r.next++
	}
}

func (r *Reconciler) settleIntent(ctx context.Context, now time.Time, s *state, intent Intent, pools []config.Pool) (bool, error) {
	wanted := slices.ContainsFunc(pools, func(p config.Pool) bool { return p.Name == intent.Pool })
	if !wanted || s.byOrder(intent.OrderID()) != nil {
		return true, nil
	}
	server, err := r.send(ctx, intent)
	if platform.IsNoCapacity(err) {
		r.scarce[intent.Pool] = now
		return true, nil
	}
	if err != nil {
		return false, err
	}
	return server.State == stateGone, nil
}

// send sends the order of an intent.
func (r *Reconciler) send(ctx context.Context, intent Intent) (*servers.BackendServer, error) {
	var server *servers.BackendServer
	err := r.sender.Do(ctx, func(ctx context.Context, grant *lease.Grant) error {
		if grant.Fence != r.fence {
			return ErrSuperseded
		}
		var err error
		server, err = r.servers.Order(ctx, &servers.OrderPayload{
			OrderID:       intent.OrderID(),
			Fence:         grant.Fence,
			Holder:        grant.Holder,
			FailureDomain: intent.FailureDomain,
			Kind:          string(intent.Kind),
			Model:         intent.Model,
		})
		return err
	})
	return server, err
}

// settleDrains releases drained backend servers that have no work left, again
// if the release may have been sent before, and deletes the drains of those
// that are leaving or gone.
func (r *Reconciler) settleDrains(ctx context.Context, now time.Time, s *state, observed Observation) error {
	var writes []*table.Write
	for i := range s.drains {
		drain := &s.drains[i]
		server := s.byName(drain.Server)
		if server == nil || !present(server) {
			delete(r.drained, drain.Server)
			writes = append(writes, &table.Write{Key: drainKeyPrefix(r.failureDomain) + drain.Server, Delete: true})
			continue
		}
		waited := elapsed(r.drained, drain.Server, now, DrainDelay)
		idle := waited && observed.Complete && observed.Running[drain.Server] == 0
		if !drain.Released && !idle {
			continue
		}
		if err := r.release(ctx, drain); err != nil {
			return err
		}
	}
	return r.commit(ctx, nil, writes)
}

// release records that a release may be sent, and sends it.
func (r *Reconciler) release(ctx context.Context, drain *Drain) error {
	if !drain.Released {
		drain.Released = true
		if err := r.commit(ctx, nil, []*table.Write{r.drainRow(*drain)}); err != nil {
			return err
		}
	}
	return r.sender.Do(ctx, func(ctx context.Context, grant *lease.Grant) error {
		if grant.Fence != r.fence {
			return ErrSuperseded
		}
		return r.servers.Release(ctx, &servers.ReleasePayload{
			Name: drain.Server, Fence: grant.Fence, Holder: grant.Holder,
		})
	})
}

// drainOrphans drains the backend servers of pools that do not exist any more.
func (r *Reconciler) drainOrphans(ctx context.Context, s *state, pools []config.Pool) error {
	var writes []*table.Write
	for _, server := range s.servers {
		name, ours := poolOf(server.OrderID, r.failureDomain)
		wanted := slices.ContainsFunc(pools, func(p config.Pool) bool { return p.Name == name })
		if ours && !wanted && present(server) && s.drain(server.Name) == nil {
			writes = append(writes, r.drainRow(Drain{Server: server.Name}))
		}
	}
	return r.commit(ctx, nil, writes)
}

// apply records the intents and drains of a plan, then sends the orders.
func (r *Reconciler) apply(ctx context.Context, now time.Time, pool config.Pool, plan Plan) error {
	intents, conditions, writes := r.intents(pool, plan.Orders)
	for _, name := range plan.Drain {
		writes = append(writes, r.drainRow(Drain{Server: name}))
	}
	for _, name := range plan.Undrain {
		delete(r.drained, name)
		writes = append(writes, &table.Write{Key: drainKeyPrefix(r.failureDomain) + name, Delete: true})
	}
	if err := r.commit(ctx, conditions, writes); err != nil {
		return err
	}
	r.next += len(intents)
	for _, intent := range intents {
		_, err := r.send(ctx, intent)
		if platform.IsNoCapacity(err) {
			r.scarce[pool.Name] = now
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// intents returns new intents, and the writes that insert them.
func (r *Reconciler) intents(pool config.Pool, count int) ([]Intent, []*table.Condition, []*table.Write) {
	var intents []Intent
	var conditions []*table.Condition
	var writes []*table.Write
	for i := range count {
		intent := Intent{
			Number: intentNumber(r.fence, r.next+i), Pool: pool.Name, FailureDomain: r.failureDomain,
			Kind: pool.Kind, Model: pool.Model,
		}
		intents = append(intents, intent)
		conditions = append(conditions, &table.Condition{Key: intent.key()})
		writes = append(writes, &table.Write{Key: intent.key(), Value: encode(intent)})
	}
	return intents, conditions, writes
}

func (r *Reconciler) drainRow(drain Drain) *table.Write {
	return &table.Write{Key: drainKeyPrefix(r.failureDomain) + drain.Server, Value: encode(drain)}
}
