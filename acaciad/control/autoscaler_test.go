package control_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"acaciapath.example/acaciad/control"
	"acaciapath.example/acaciad/directory"
	"acaciapath.example/core/catalog"
	"acaciapath.example/core/config"
	"acaciapath.example/core/lease"
	"acaciapath.example/core/order"
	"acaciapath.example/core/replica"
	"acaciapath.example/platform"
	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// waitLimit is long enough for every condition in these tests on a busy machine.
const waitLimit = 20 * time.Second

// fakePlatform is a platform that carries out each order at once, unless cheap
// servers are ordered and unavailable.
type fakePlatform struct {
	mu               sync.Mutex
	counts           map[order.ReplicaGroup]int
	cheapUnavailable bool
	calls            int
}

// Scale implements control.Scaler.
func (p *fakePlatform) Scale(_ context.Context, _ uint64, service, domain string, cheap bool, count int) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if cheap && p.cheapUnavailable {
		return false, nil
	}
	p.counts[order.ReplicaGroup{Service: service, FailureDomain: domain, Cheap: cheap}] = count
	return true, nil
}

// specs returns the backend servers that are present.
func (p *fakePlatform) specs() []replica.Spec {
	p.mu.Lock()
	defer p.mu.Unlock()
	var specs []replica.Spec
	for group, n := range p.counts {
		kind := config.KindStandard
		if group.Cheap {
			kind = config.KindCheap
		}
		for i := range n {
			specs = append(specs, replica.Spec{
				Name: fmt.Sprintf("%s-%s-%d", group.FailureDomain, kind, i), Address: "10.0.0.1:1",
				FailureDomain: group.FailureDomain, Serves: []string{group.Service}, Kind: kind, Slots: 8,
			})
		}
	}
	return specs
}

// setCount changes the number of servers in a group without an order, as when the
// platform evicts them.
func (p *fakePlatform) setCount(group order.ReplicaGroup, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts[group] = n
}

// count returns the number of servers in a group.
func (p *fakePlatform) count(group order.ReplicaGroup) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts[group]
}

// TestAutoscaler starts with six standard servers. The autoscaler replaces most of
// them by cheap ones, and orders standard ones again when the platform evicts the cheap
// ones and has no others.
func TestAutoscaler(t *testing.T) {
	c := qt.New(t)
	store := platformtest.NewStore()
	c.Cleanup(store.Close)
	table := &platform.Table{Store: platform.NewStore(store.Address(), time.Second, platform.NewStoreTransport())}
	began := time.Now()
	keeper := lease.NewKeeper(table, lease.Terms{Name: lease.UsageReportsName, Holder: "a", Duration: time.Second},
		300*time.Millisecond, func() lease.Instant {
			now := time.Now()
			return lease.Instant{Monotonic: now.Sub(began), Wall: now}
		})
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	d := directory.New("z", time.Second, rand.New(rand.NewPCG(1, 2)))
	scaling := &catalog.Scaling{Min: 1, Max: 12, StartupTime: 50 * time.Millisecond, CheapPriceRatio: 0.22}
	d.SetCatalog(catalog.Catalog{Revision: 1, Services: []catalog.Service{{Name: "llm", Scaling: scaling}}}, began)
	standard := order.ReplicaGroup{Service: "llm", FailureDomain: "z"}
	cheap := order.ReplicaGroup{Service: "llm", FailureDomain: "z", Cheap: true}
	p := &fakePlatform{counts: map[order.ReplicaGroup]int{standard: 6}}
	autoscaler := &control.Autoscaler{Directory: d, Scaler: p, Keeper: keeper, Table: table, FailureDomains: []string{"z"}, Logger: logger}

	ctx, stop := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { keeper.Run(ctx, func(error) {}) })
	loops.Go(func() { autoscaler.Run(ctx) })
	c.Cleanup(loops.Wait)
	c.Cleanup(stop)
	waitFor := func(what string, condition func() bool) {
		c.Helper()
		for end := time.Now().Add(waitLimit); !condition(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				c.Fatalf("not within %s: %s (%v)", waitLimit, what, p.counts)
			}
			d.SetServers(p.specs(), time.Now())
		}
	}
	d.SetServers(nil, began)
	time.Sleep(700 * time.Millisecond)
	c.Assert(p.count(standard), qt.Equals, 6)
	waitFor("cheap servers replace standard ones", func() bool { return p.count(standard) == 1 && p.count(cheap) == 11 })
	p.mu.Lock()
	p.cheapUnavailable = true
	p.mu.Unlock()
	p.setCount(cheap, 0)
	waitFor("standard servers are ordered again", func() bool { return p.count(standard) == 9 })
	p.mu.Lock()
	p.cheapUnavailable = false
	p.mu.Unlock()
	waitFor("cheap servers replace standard ones again", func() bool { return p.count(standard) == 1 && p.count(cheap) == 11 })
	p.mu.Lock()
	calls := p.calls
	p.mu.Unlock()
	time.Sleep(1200 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	c.Assert(p.calls, qt.Equals, calls)

	baseline, err := order.LoadBaseline(t.Context(), table)
	c.Assert(err, qt.IsNil)
	c.Assert(baseline.Count("llm", "z"), qt.Equals, 6)
	c.Assert(order.StoreBaseline(t.Context(), table, order.Baseline{}), qt.IsNil)
	baseline, err = order.LoadBaseline(t.Context(), table)
	c.Assert(err, qt.IsNil)
	c.Assert(baseline.Count("llm", "z"), qt.Equals, 6)
	c.Assert(baseline.Count("llm", "y"), qt.Equals, 0)
}
