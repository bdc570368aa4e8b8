package neighbours_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciapath.example/acaciad/neighbours"
	"acaciapath.example/core/follow"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/memory"
	"acaciapath.example/core/platformapi"
	"acaciapath.example/platform"
	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/loopback"
	"acaciapath.example/standin/relay"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// writers is the number of daemons in the tests of collectors.
const writers = 30

// group is a failure domain whose daemons write through a collector.
type group struct {
	*qt.C
	store *platformtest.Store
	// collectorLink is the link through which the others reach the collector.
	collectorLink *relay.Relay
	tables        []*platform.Table
}

func newGroup(t *testing.T) *group {
	g := &group{C: qt.New(t), store: platformtest.NewStore()}
	g.Cleanup(g.store.Close)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	collector := neighbours.NewCollector()
	collector.Table = &platform.Table{Store: platform.NewStore(g.store.Address(), timeout, platform.NewStoreTransport())}
	collector.Parse, collector.Conflict, collector.Logger = platform.ParseTransaction, platform.EncodeConflict, logger
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); collector.Run(ctx) }()
	g.Cleanup(func() { cancel(); <-done })
	server := loopback.NewServer(&neighbours.Relay{
		Memory:  memory.NewBudget(12 << 20),
		Allowed: platform.IsStoreCall, Headers: []string{platform.HeaderEpoch}, StoreUnreachable: func() bool { return false }, Collector: collector, Logger: logger,
	})
	g.Cleanup(server.Close)
	link, err := relay.New(loopback.IP().String() + ":0")
	g.Assert(err, qt.IsNil)
	g.Cleanup(func() { _ = link.Close() })
	link.SetTarget(strings.TrimPrefix(server.URL, "http://"))
	g.collectorLink = link
	members := []follow.Member{{VM: "collector", Address: link.Address(), Cores: 4}}
	for i := range writers {
		members = append(members, follow.Member{VM: fmt.Sprint("vm-", i), Address: "127.0.0.1:1", Cores: 1})
	}
	for i := range writers {
		transport := neighbours.NewTransport(platform.NewStoreTransport(), "z", neighbours.NewMetrics(prometheus.NewRegistry()), logger, rand.New(rand.NewPCG(1, uint64(i))))
		transport.SetMembers(fmt.Sprint("vm-", i), members)
		g.tables = append(g.tables, &platform.Table{Store: platform.NewStore(g.store.Address(), 2*timeout, transport)})
	}
	return g
}

// part returns the commit that inserts the row of a daemon while the window is open.
func part(i int) *table.CommitPayload {
	key := fmt.Sprint("part-", i)
	return &table.CommitPayload{
		Conditions: []*table.Condition{{Key: "closed"}, {Key: key}},
		Writes:     []*table.Write{{Key: key, Value: []byte("x")}},
	}
}

// commitAll has all daemons insert their rows at the same time, and returns the results.
func (g *group) commitAll() []error {
	errs := make([]error, writers)
	var group sync.WaitGroup
	for i := range writers {
		group.Go(func() { _, errs[i] = g.tables[i].Commit(g.Context(), part(i)) })
	}
	group.Wait()
	return errs
}

// TestWritesAreCollected has all daemons write at the same time. The collector must
// commit their rows with few calls.
func TestWritesAreCollected(t *testing.T) {
	g := newGroup(t)
	for _, err := range g.commitAll() {
		g.Assert(err, qt.IsNil)
	}
	g.Assert(g.store.Rows("acaciapath", "control"), qt.HasLen, writers)
	g.Assert(g.store.Calls("/acaciapath/rows-tx") <= 3, qt.IsTrue)
}

// TestCollectedWritesAreRejectedAlone has one row exist already. Only its writer must be
// told so, with the row.
func TestCollectedWritesAreRejectedAlone(t *testing.T) {
	g := newGroup(t)
	_, err := g.tables[7].Commit(g.Context(), part(7))
	g.Assert(err, qt.IsNil)
	for i, err := range g.commitAll() {
		if i != 7 {
			g.Check(err, qt.IsNil, qt.Commentf("%d", i))
			continue
		}
		conflict := platformapi.AsConflict(err)
		g.Assert(conflict, qt.IsNotNil)
		g.Assert(conflict.Rows, qt.HasLen, 1)
		g.Assert(conflict.Rows[0].Key, qt.Equals, "part-7")
	}
	g.Assert(g.store.Rows("acaciapath", "control"), qt.HasLen, writers)
}

// TestCollectorFails breaks the collector, its link or its calls. Each write must succeed
// within two attempts, and its row be inserted once.
func TestCollectorFails(t *testing.T) {
	for name, fail := range map[string]func(g *group){
		"silent":            func(g *group) { g.collectorLink.SetFaults(relay.Faults{DropToTarget: true, DropFromTarget: true}) },
		"answers are lost":  func(g *group) { g.collectorLink.SetFaults(relay.Faults{DropFromTarget: true}) },
		"gone":              func(g *group) { _ = g.collectorLink.Close() },
		"slow":              func(g *group) { g.collectorLink.SetFaults(relay.Faults{Delay: 500 * time.Millisecond}) },
		"store refuses one": func(g *group) { g.store.SetFault(refuseFirst()) },
		"store answer lost": func(g *group) { g.store.SetFault(loseFirst()) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(t)
			fail(g)
			pending := 0
			for i, err := range g.commitAll() {
				if err == nil || platformapi.AsConflict(err) != nil {
					continue
				}
				pending++
				if _, err := g.tables[i].Commit(g.Context(), part(i)); err != nil {
					g.Check(platformapi.AsConflict(err), qt.IsNotNil, qt.Commentf("%d: %v", i, err))
				}
			}
			g.Logf("%d writes were sent again", pending)
			rows := g.store.Rows("acaciapath", "control")
			g.Assert(rows, qt.HasLen, writers)
		})
	}
}

// refuseFirst returns a fault of the store's first transaction.
func refuseFirst() func(method, path string) platformtest.Fault {
	return faultOnce(platformtest.Unavailable)
}

// loseFirst returns a fault by which the answer to the first transaction is lost.
func loseFirst() func(method, path string) platformtest.Fault {
	return faultOnce(platformtest.ReplyLost)
}

func faultOnce(fault platformtest.Fault) func(method, path string) platformtest.Fault {
	done := false
	return func(method, _ string) platformtest.Fault {
		if done || method != http.MethodPost {
			return platformtest.NoFault
		}
		done = true
		return fault
	}
}

// TestCollectorIsBlamedForStore has the store fail for a moment. Once it answers again, the
// daemons must write through their collector, and not all of them to the store.
func TestCollectorIsBlamedForStore(t *testing.T) {
	for name, fault := range map[string]platformtest.Fault{
		"unavailable":  platformtest.Unavailable,
		"rate limited": platformtest.RateLimited,
		"reset":        platformtest.ConnectionReset,
	} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(t)
			g.store.SetFault(func(string, string) platformtest.Fault { return fault })
			for _, err := range g.commitAll() {
				g.Assert(err, qt.IsNotNil)
			}
			g.store.SetFault(nil)
			before := g.store.Calls("/acaciapath/rows-tx")
			for _, err := range g.commitAll() {
				g.Assert(err, qt.IsNil)
			}
			g.Assert(g.store.Rows("acaciapath", "control"), qt.HasLen, writers)
			calls := g.store.Calls("/acaciapath/rows-tx") - before
			g.Assert(calls <= 3, qt.IsTrue, qt.Commentf("%d calls", calls))
		})
	}
}

// TestEachCollectedWriteIsSentAloneAfterConflict has half of the rows exist already, as after
// a restoration from a copy that has some of them. The others must be committed together.
func TestEachCollectedWriteIsSentAloneAfterConflict(t *testing.T) {
	g := newGroup(t)
	direct := &platform.Table{Store: platform.NewStore(g.store.Address(), 10*time.Second, platform.NewStoreTransport())}
	for i := 0; i < writers; i += 2 {
		_, err := direct.Commit(g.Context(), part(i))
		g.Assert(err, qt.IsNil)
	}
	before := g.store.Calls("/acaciapath/rows-tx")
	for i, err := range g.commitAll() {
		if i%2 != 0 {
			g.Check(err, qt.IsNil, qt.Commentf("%d", i))
			continue
		}
		conflict := platformapi.AsConflict(err)
		g.Assert(conflict, qt.IsNotNil)
		g.Assert(conflict.Rows, qt.HasLen, 1)
		g.Assert(conflict.Rows[0].Key, qt.Equals, fmt.Sprint("part-", i))
	}
	g.Assert(g.store.Rows("acaciapath", "control"), qt.HasLen, writers)
	calls := g.store.Calls("/acaciapath/rows-tx") - before
	g.Assert(calls <= 6, qt.IsTrue, qt.Commentf("%d calls", calls))
}
