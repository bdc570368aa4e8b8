package control_test

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"acaciapath.example/acaciad/control"
	"acaciapath.example/acaciad/directory"
	"acaciapath.example/core/catalog"
	"acaciapath.example/core/lease"
	"acaciapath.example/core/order"
	"acaciapath.example/platform"
	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// TestEvacuatedDomainsGetNoOrders evacuates one of two failure domains and has its servers crash:
// the other gets its servers, and it gets none until the evacuation is taken back.
func TestEvacuatedDomainsGetNoOrders(t *testing.T) {
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
	scaling := &catalog.Scaling{Min: 1, Max: 12, StartupTime: 50 * time.Millisecond}
	d.SetCatalog(catalog.Catalog{Revision: 1, Services: []catalog.Service{{Name: "llm", Scaling: scaling}}}, began)
	near, far := order.ReplicaGroup{Service: "llm", FailureDomain: "z"}, order.ReplicaGroup{Service: "llm", FailureDomain: "y"}
	p := &fakePlatform{counts: map[order.ReplicaGroup]int{near: 4, far: 2}}
	c.Assert(order.StoreBaseline(t.Context(), table, order.Baseline{Counts: map[string]map[string]int{"llm": {"z": 4, "y": 2}}}), qt.IsNil)
	d.SetServers(p.specs(), began)
	d.SetEvacuated(map[string]time.Time{"y": began}, began)
	p.setCount(far, 0)
	autoscaler := &control.Autoscaler{Directory: d, Scaler: p, Keeper: keeper, Table: table, FailureDomains: []string{"y", "z"}, Logger: logger}
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
				c.Fatalf("not within %s: %s (%d near, %d far)", waitLimit, what, p.count(near), p.count(far))
			}
			d.SetServers(p.specs(), time.Now())
		}
	}
	waitFor("the other failure domain takes the servers", func() bool { return p.count(near) == 6 })
	c.Assert(p.count(far), qt.Equals, 0)
	d.SetEvacuated(nil, time.Now())
	waitFor("the servers are where they were deployed", func() bool { return p.count(near) == 4 && p.count(far) == 2 })
}
