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
	"acaciapath.example/platform/standin"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// limit is far more than anything in these tests takes on a busy machine.
const limit = 20 * time.Second

// market stands for the platform's supply of backend servers: an order is
// carried out at once, as far as there is supply.
type market struct {
	mu     sync.Mutex
	counts map[order.ReplicaGroup]int
	dry    bool
	calls  int
}

// Scale carries out an order.
func (m *market) Scale(_ context.Context, _ uint64, service, domain string, cheap bool, count int) (bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if cheap && m.dry {
		return false, nil
	}
	m.counts[order.ReplicaGroup{Service: service, FailureDomain: domain, Cheap: cheap}] = count
	return true, nil
}

// specs returns the backend servers that there are.
func (m *market) specs() []replica.Spec {
	m.mu.Lock()
	defer m.mu.Unlock()
	var specs []replica.Spec
	for subject, n := range m.counts {
		kind := config.KindStandard
		if subject.Cheap {
			kind = config.KindCheap
		}
		for i := range n {
			specs = append(specs, replica.Spec{
				Name: fmt.Sprintf("%s-%s-%d", subject.FailureDomain, kind, i), Address: "10.0.0.1:1",
				FailureDomain: subject.FailureDomain, Serves: []string{subject.Service}, Kind: kind, Slots: 8,
			})
		}
	}
	return specs
}

// set changes what there is, as the platform does when it takes servers away.
func (m *market) set(subject order.ReplicaGroup, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[subject] = n
}

func (m *market) count(subject order.ReplicaGroup) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts[subject]
}

// TestOrders starts with six standard servers, swaps most of them for cheap ones,
// and gets the standard ones back when the platform takes the cheap ones away.
func TestOrders(t *testing.T) {
	c := qt.New(t)
	store := standin.NewStore()
	c.Cleanup(store.Close)
	table := &platform.Table{Store: platform.NewStore(store.Address(), time.Second, platform.NewStoreTransport())}
	began := time.Now()
	keeper := lease.NewKeeper(table, lease.Terms{Name: lease.UsageName, Holder: "a", Duration: time.Second},
		300*time.Millisecond, func() lease.Instant {
			now := time.Now()
			return lease.Instant{Monotonic: now.Sub(began), Wall: now}
		})
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	d := directory.New("z", time.Second, rand.New(rand.NewPCG(1, 2)))
	scaling := &catalog.Scaling{Min: 1, Max: 12, Boot: 50 * time.Millisecond, CheapPriceRatio: 0.22}
	d.SetCatalog(catalog.Catalog{Revision: 1, Services: []catalog.Service{{Name: "llm", Scaling: scaling}}}, began)
	standard := order.ReplicaGroup{Service: "llm", FailureDomain: "z"}
	cheap := order.ReplicaGroup{Service: "llm", FailureDomain: "z", Cheap: true}
	m := &market{counts: map[order.ReplicaGroup]int{standard: 6}}
	orders := &control.Autoscaler{Directory: d, Scaler: m, Keeper: keeper, Table: table, FailureDomains: []string{"z"}, Logger: logger}

	ctx, stop := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	workers.Go(func() { keeper.Run(ctx, func(error) {}) })
	workers.Go(func() { orders.Run(ctx) })
	c.Cleanup(workers.Wait)
	c.Cleanup(stop)
	follow := func(what string, condition func() bool) {
		c.Helper()
		for end := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				c.Fatalf("not within %s: %s (%v)", limit, what, m.counts)
			}
			d.SetServers(m.specs(), time.Now())
		}
	}
	d.SetServers(nil, began)
	time.Sleep(700 * time.Millisecond)
	c.Assert(m.count(standard), qt.Equals, 6)
	follow("cheap servers have taken over", func() bool { return m.count(standard) == 1 && m.count(cheap) == 11 })
	m.mu.Lock()
	m.dry = true
	m.mu.Unlock()
	m.set(cheap, 0)
	follow("standard servers are back", func() bool { return m.count(standard) == 9 })
	m.mu.Lock()
	m.dry = false
	m.mu.Unlock()
	follow("cheap servers have taken over again", func() bool { return m.count(standard) == 1 && m.count(cheap) == 11 })
	m.mu.Lock()
	calls := m.calls
	m.mu.Unlock()
	time.Sleep(1200 * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	c.Assert(m.calls, qt.Equals, calls)

	base, err := order.LoadBaseline(t.Context(), table)
	c.Assert(err, qt.IsNil)
	c.Assert(base.Count("llm", "z"), qt.Equals, 6)
	c.Assert(order.StoreBaseline(t.Context(), table, order.Baseline{}), qt.IsNil)
	base, err = order.LoadBaseline(t.Context(), table)
	c.Assert(err, qt.IsNil)
	c.Assert(base.Count("llm", "z"), qt.Equals, 6)
	c.Assert(base.Count("llm", "y"), qt.Equals, 0)
}
