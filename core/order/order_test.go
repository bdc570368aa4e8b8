package order_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/order"
	"acaciapath.example/core/peer"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const domain = "quito-a"

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	pool  = config.Pool{Name: "chat", Model: "m", FailureDomain: domain, Kind: config.KindStandard, Min: 2, Max: 5, Slots: 4}
	cheap = config.Pool{Name: "cheap", Model: "m", FailureDomain: domain, Kind: config.KindCheap, Min: 0, Max: 3, Slots: 4}
	empty = order.Observation{Complete: true}
)

// indexOf returns the index of a configuration with the given pools.
func indexOf(pools ...config.Pool) *config.Index {
	return config.NewIndex(&config.Config{Pools: pools}, 1)
}

// standardDemand returns a complete observation of requests that may not run on cheap
// backend servers.
func standardDemand(requests int) order.Observation {
	return order.Observation{Complete: true, Demand: map[string]order.Demand{"m": {Standard: requests}}}
}

func TestAllocate(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name            string
		demand          order.Demand
		limit           int // of the cheap pool
		standard, cheap int
		want            []int
	}{
		{name: "no demand", limit: 3, want: []int{2, 0}},
		{name: "flexible requests on cheap", demand: order.Demand{Standard: 4, Any: 9}, limit: 3, want: []int{2, 3}},
		{name: "overflow to standard", demand: order.Demand{Standard: 4, Any: 24}, limit: 3, want: []int{4, 3}},
		{name: "no cheap capacity", demand: order.Demand{Standard: 4, Any: 12}, limit: 0, want: []int{4, 0}},
		{name: "demand beyond all pools", demand: order.Demand{Standard: 100, Any: 100}, limit: 3, want: []int{5, 3}},
		{name: "unpooled slots first", demand: order.Demand{Standard: 12, Any: 4}, standard: 8, cheap: 4, limit: 3, want: []int{2, 0}},
	} {
		c.Run(test.name, func(c *qt.C) {
			supplies := []order.Supply{{Pool: pool, Limit: 5}, {Pool: cheap, Limit: test.limit}}
			c.Assert(order.Allocate(supplies, test.demand, test.standard, test.cheap), qt.DeepEquals, test.want)
		})
	}
}

func TestObserve(t *testing.T) {
	c := qt.New(t)
	index := config.NewIndex(&config.Config{Classes: []config.ServiceClass{
		{Name: "chat"}, {Name: "letters", AllowCheapServers: true},
	}}, 1)
	statuses := []peer.Status{
		{
			Queues: []peer.Queue{
				{Model: "m", ServiceClass: "chat", Waiting: 1, Running: 2},
				{Model: "m", ServiceClass: "letters", Waiting: 4},
			},
			BackendServers: []peer.BackendServer{{Name: "s-1", Running: 2}},
		},
		{
			Queues:         []peer.Queue{{Model: "m", ServiceClass: "letters", Running: 8}},
			BackendServers: []peer.BackendServer{{Name: "s-1", Running: 8}},
		},
	}
	c.Assert(order.Observe(statuses, index, true), qt.DeepEquals, order.Observation{
		Complete: true, Demand: map[string]order.Demand{"m": {Standard: 3, Any: 12}}, RunningByServer: map[string]int{"s-1": 10},
	})
	c.Assert(order.Observe(nil, index, true).Complete, qt.IsFalse)
}

func TestPoolTarget(t *testing.T) {
	c := qt.New(t)
	var s order.PoolTarget
	for _, step := range []struct {
		minute, need, present int
		complete              bool
		want                  int
	}{
		{minute: 0, complete: false, present: 0, want: 2}, // no complete observation: Min
		{minute: 1, complete: true, need: 4, want: 4},     // up immediately
		{minute: 2, complete: true, need: 1, want: 4},
		{minute: 4, complete: true, need: 3, want: 4},
		{minute: 6, complete: true, need: 1, want: 4},
		{minute: 7, complete: true, need: 1, want: 3}, // down to the peak need of five minutes
		{minute: 8, complete: true, need: 1, want: 3},
		{minute: 9, complete: false, want: 3}, // incomplete: keep the target and restart the delay
		{minute: 14, complete: true, need: 1, want: 3},
		{minute: 19, complete: true, need: 1, want: 2},
		{minute: 20, complete: true, need: 99, want: 5},
	} {
		s = s.Next(pool, step.need, step.present, step.complete, start.Add(time.Duration(step.minute)*time.Minute))
		c.Assert(s.Count, qt.Equals, step.want, qt.Commentf("minute %d", step.minute))
	}
	// A new lease holder starts from the present backend servers.
	c.Assert(order.PoolTarget{}.Next(pool, 1, 4, true, start).Count, qt.Equals, 4)
}

func TestReconcilePoolLifecycle(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	p := newFakePlatform()
	r := order.NewReconciler(fakeTable{p}, fakeServers{p}, p.acquireLease(domain), domain)
	now := start
	reconcile := func(after time.Duration, o order.Observation) order.PoolState {
		now = now.Add(after)
		states, err := r.Reconcile(ctx, now, indexOf(pool), o)
		c.Assert(err, qt.IsNil)
		return states[0]
	}
	reconcile(0, order.Observation{})
	c.Assert(p.servers, qt.HasLen, 2) // Min, as the observation is not complete
	reconcile(time.Second, standardDemand(13))
	c.Assert(p.servers, qt.HasLen, 4)
	for _, s := range p.servers {
		s.State = "running"
	}
	busy := order.Observation{Complete: true, RunningByServer: map[string]int{"s-1": 3, "s-2": 1, "s-3": 2}}
	reconcile(time.Second, busy)
	reconcile(order.ScaleDownDelay, busy)
	drains, err := order.DrainingServers(ctx, fakeTable{p}, domain)
	c.Assert(err, qt.IsNil)
	c.Assert(drains, qt.DeepEquals, []string{"s-2", "s-4"}) // the fewest running requests
	reconcile(time.Second, busy)
	reconcile(order.DrainDelay, busy)
	c.Assert(p.releases, qt.DeepEquals, []string{"s-4"}) // s-2 still runs a request
	reconcile(time.Second, order.Observation{})
	c.Assert(p.releases, qt.DeepEquals, []string{"s-4"}) // an incomplete observation releases nothing
	state := reconcile(time.Second, standardDemand(12))
	c.Assert(state.Draining, qt.Equals, 1)
	c.Assert(p.servers, qt.HasLen, 4) // s-2 is put back into use
	state = reconcile(time.Second, standardDemand(12))
	c.Assert(state.Present, qt.Equals, 3)
	p.servers[0].State = "gone" // evicted
	reconcile(time.Second, standardDemand(12))
	c.Assert(p.servers, qt.HasLen, 5)
}

func TestReconcileDrainsOrphans(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	p := newFakePlatform()
	r := order.NewReconciler(fakeTable{p}, fakeServers{p}, p.acquireLease(domain), domain)
	_, err := r.Reconcile(ctx, start, indexOf(pool), empty)
	c.Assert(err, qt.IsNil)
	for i := range 3 {
		_, err = r.Reconcile(ctx, start.Add(time.Duration(i)*order.DrainDelay), indexOf(), empty)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(p.releases, qt.DeepEquals, []string{"s-1", "s-2"})
}

func TestReconcileWithoutCapacity(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	p := newFakePlatform()
	p.capacity = 1
	r := order.NewReconciler(fakeTable{p}, fakeServers{p}, p.acquireLease(domain), domain)
	for range 3 {
		_, err := r.Reconcile(ctx, start, indexOf(pool), empty)
		c.Assert(err, qt.IsNil)
	}
	p.capacity = 9
	for range 3 {
		_, err := r.Reconcile(ctx, start.Add(time.Hour), indexOf(pool), empty)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(p.servers, qt.HasLen, pool.Min)
}

func TestReconcileOrdersMoreAfterLostReply(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	p := newFakePlatform()
	r := order.NewReconciler(fakeTable{p}, fakeServers{p}, p.acquireLease(domain), domain)
	p.nextFault = func(write bool) fault {
		if write {
			return faultLostReply
		}
		return faultNone
	}
	_, err := r.Reconcile(ctx, start, indexOf(pool), empty)
	c.Assert(err, qt.ErrorIs, errNoReply)
	p.nextFault = nil
	for range 3 {
		_, err = r.Reconcile(ctx, start, indexOf(pool), standardDemand(16))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(p.servers, qt.HasLen, 4)
}

// TestNothingIsOrderedTwice interleaves the calls of the lease holder and of its
// predecessors, with lost, delayed and failed calls and a list of backend servers
// that lags behind. The pool needs Min backend servers all the time, so any further
// one was ordered twice.
func TestNothingIsOrderedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFakePlatform()
		p.hideNew = true
		p.nextFault = func(write bool) fault {
			choices := []fault{faultNone, faultNone, faultNone, faultUnavailable, faultLostReply}
			if write {
				choices = append(choices, faultDelayed)
			}
			return rapid.SampledFrom(choices).Draw(t, "fault")
		}
		now := start
		var all []*order.Reconciler
		busy := make(map[*order.Reconciler]bool)
		acquireLease := func(*rapid.T) {
			all = append(all, order.NewReconciler(fakeTable{p}, fakeServers{p}, p.acquireLease(domain), domain))
		}
		acquireLease(t)
		reconcile := func(t *rapid.T) {
			r := rapid.SampledFrom(all).Draw(t, "process")
			if busy[r] {
				return
			}
			busy[r] = true
			defer delete(busy, r)
			_, _ = r.Reconcile(context.Background(), now, indexOf(pool, cheap), order.Observation{})
		}
		p.beforeCall = func() {
			if len(busy) < 3 && rapid.IntRange(0, 3).Draw(t, "interrupt") == 0 {
				reconcile(t)
			}
		}
		showServers := func(*rapid.T) { clear(p.hidden) }
		t.Repeat(map[string]func(*rapid.T){
			"reconcile":  reconcile,
			"reconcile2": reconcile,
			"late":       func(*rapid.T) { p.applyDelayed() },
			"show":       showServers,
			"time":       func(*rapid.T) { now = now.Add(20 * time.Second) },
			"succeed":    acquireLease,
			"": func(t *rapid.T) {
				if len(p.servers) > pool.Min {
					t.Fatalf("%d backend servers were ordered", len(p.servers))
				}
			},
		})
		p.nextFault, p.beforeCall = nil, nil
		p.applyDelayed()
		showServers(t)
		for range 3 {
			_, err := all[len(all)-1].Reconcile(context.Background(), now, indexOf(pool, cheap), empty)
			if err != nil && !errors.Is(err, order.ErrSuperseded) {
				continue // conflict with a delayed write; the next round reads it
			}
		}
		if len(p.servers) != pool.Min {
			t.Fatalf("%d backend servers were ordered, want %d", len(p.servers), pool.Min)
		}
	})
}
