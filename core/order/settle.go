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
)

// settleIntents resends each order whose backend server is not listed yet, and
// deletes the intents that are settled: those whose backend server is listed or
// gone, those that found no capacity, and those of pools that no longer exist. A
// backend server that still arrives for such a pool is drained as an orphan.
func (r *Reconciler) settleIntents(ctx context.Context, now time.Time, s *state, pools []config.Pool) error {
	var open []Intent
	var writes []*table.Write
	for _, intent := range s.intents {
		r.skipNumber(intent)
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

// skipNumber advances nextIntent past the number of an intent written under the
// current fencing token, so that the number is not reused.
func (r *Reconciler) skipNumber(intent Intent) {
	for intentNumber(r.fence, r.nextIntent) <= intent.Number && intent.Number < intentNumber(r.fence+1, 0) {
		r.nextIntent++
	}
}

// settleIntent reports whether an intent is settled, after resending its order if
// needed.
func (r *Reconciler) settleIntent(ctx context.Context, now time.Time, s *state, intent Intent, pools []config.Pool) (bool, error) {
	poolExists := slices.ContainsFunc(pools, func(p config.Pool) bool { return p.Name == intent.Pool })
	if !poolExists || s.serverByOrderID(intent.OrderID()) != nil {
		return true, nil
	}
	server, err := r.send(ctx, intent)
	if platformapi.IsNoCapacity(err) {
		r.noCapacitySince[intent.Pool] = now
		return true, nil
	}
	if err != nil {
		return false, err
	}
	return server.State == stateGone, nil
}

// send orders the backend server of an intent.
func (r *Reconciler) send(ctx context.Context, intent Intent) (*servers.BackendServer, error) {
	var server *servers.BackendServer
	err := r.holder.Do(ctx, func(ctx context.Context, grant *lease.Grant) error {
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

// settleDrains releases draining backend servers that are idle, resends releases
// that may have been sent before, and deletes the drains of backend servers that
// are leaving or gone.
func (r *Reconciler) settleDrains(ctx context.Context, now time.Time, s *state, observed Observation) error {
	var writes []*table.Write
	for i := range s.drains {
		drain := &s.drains[i]
		server := s.serverByName(drain.Server)
		if server == nil || !startingOrRunning(server) {
			delete(r.drainingSince, drain.Server)
			writes = append(writes, &table.Write{Key: drainKeyPrefix(r.failureDomain) + drain.Server, Delete: true})
			continue
		}
		waited := elapsedSinceFirstCall(r.drainingSince, drain.Server, now, DrainDelay)
		idle := waited && observed.Complete && observed.RunningByServer[drain.Server] == 0
		if !drain.Released && !idle {
			continue
		}
		if err := r.release(ctx, drain); err != nil {
			return err
		}
	}
	return r.commit(ctx, nil, writes)
}

// release records that the release of a backend server may have been sent, then
// sends it.
func (r *Reconciler) release(ctx context.Context, drain *Drain) error {
	if !drain.Released {
		drain.Released = true
		if err := r.commit(ctx, nil, []*table.Write{r.drainWrite(*drain)}); err != nil {
			return err
		}
	}
	return r.holder.Do(ctx, func(ctx context.Context, grant *lease.Grant) error {
		if grant.Fence != r.fence {
			return ErrSuperseded
		}
		return r.servers.Release(ctx, &servers.ReleasePayload{
			Name: drain.Server, Fence: grant.Fence, Holder: grant.Holder,
		})
	})
}

// drainOrphans drains the backend servers of pools that no longer exist.
func (r *Reconciler) drainOrphans(ctx context.Context, s *state, pools []config.Pool) error {
	var writes []*table.Write
	for _, server := range s.servers {
		name, ours := poolOf(server.OrderID, r.failureDomain)
		poolExists := slices.ContainsFunc(pools, func(p config.Pool) bool { return p.Name == name })
		if ours && !poolExists && startingOrRunning(server) && s.drainOf(server.Name) == nil {
			writes = append(writes, r.drainWrite(Drain{Server: server.Name}))
		}
	}
	return r.commit(ctx, nil, writes)
}

// apply records the intents and drains of a plan, then sends the orders.
func (r *Reconciler) apply(ctx context.Context, now time.Time, pool config.Pool, plan Plan) error {
	intents, conditions, writes := r.newIntents(pool, plan.Orders)
	for _, name := range plan.Drain {
		writes = append(writes, r.drainWrite(Drain{Server: name}))
	}
	for _, name := range plan.Undrain {
		delete(r.drainingSince, name)
		writes = append(writes, &table.Write{Key: drainKeyPrefix(r.failureDomain) + name, Delete: true})
	}
	if err := r.commit(ctx, conditions, writes); err != nil {
		return err
	}
	r.nextIntent += len(intents)
	for _, intent := range intents {
		_, err := r.send(ctx, intent)
		if platformapi.IsNoCapacity(err) {
			r.noCapacitySince[pool.Name] = now
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// newIntents returns count new intents for a pool, with the conditions and writes
// that insert them.
func (r *Reconciler) newIntents(pool config.Pool, count int) ([]Intent, []*table.Condition, []*table.Write) {
	var intents []Intent
	var conditions []*table.Condition
	var writes []*table.Write
	for i := range count {
		intent := Intent{
			Number: intentNumber(r.fence, r.nextIntent+i), Pool: pool.Name, FailureDomain: r.failureDomain,
			Kind: pool.Kind, Model: pool.Model,
		}
		intents = append(intents, intent)
		conditions = append(conditions, &table.Condition{Key: intent.key()})
		writes = append(writes, &table.Write{Key: intent.key(), Value: encode(intent)})
	}
	return intents, conditions, writes
}

func (r *Reconciler) drainWrite(drain Drain) *table.Write {
	return &table.Write{Key: drainKeyPrefix(r.failureDomain) + drain.Server, Value: encode(drain)}
}
