package limitreports_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"acaciapath.example/acaciad/limitreports"
	"acaciapath.example/platform"
	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// waitLimit is long enough for every condition in these tests on a busy machine.
const waitLimit = 20 * time.Second

// sharer is a sharer that runs and follows the table, with the limits that it learned.
type sharer struct {
	*limitreports.Sharer
	mu     sync.Mutex
	limits map[string]float64
}

// start starts a sharer.
func start(c *qt.C, store *platformtest.Store) *sharer {
	ctx, stop := context.WithCancel(c.Context())
	c.Cleanup(stop)
	client := platform.NewStore(store.Address(), time.Second, platform.NewStoreTransport())
	s := &sharer{Sharer: limitreports.NewSharer(), limits: make(map[string]float64)}
	s.Table = &platform.Table{Store: client, Name: platform.TableReports}
	s.Memory, s.Daemons, s.Logger = 10*time.Minute, func() int { return 2 }, logrus.New()
	s.Logger.SetOutput(io.Discard)
	s.Learn = func(instance string, perSecond float64, _ time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.limits[instance] = perSecond
	}
	s.Forget = func(instance string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.limits, instance)
	}
	go s.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			if rows, err := client.Snapshot(ctx, platform.TableReports); err == nil {
				s.Apply(rows.Rows, true, rows.Version)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return s
}

// knows reports whether the sharer knows the limit of a server, or none if perSecond is
// negative.
func (s *sharer) knows(instance string, perSecond float64) func() bool {
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		limit, ok := s.limits[instance]
		return ok && limit == perSecond || !ok && perSecond < 0
	}
}

// eventually waits until condition holds, and fails the test after waitLimit.
func eventually(c *qt.C, condition func() bool) {
	c.Helper()
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.Fatalf("condition does not hold within %s", waitLimit)
		}
	}
}

// TestLimitsAreShared has one daemon report limits and their ends, also while the store is
// unavailable for a while. Another one must learn both.
func TestLimitsAreShared(t *testing.T) {
	c := qt.New(t)
	store := platformtest.NewStore()
	c.Cleanup(store.Close)
	one, two := start(c, store), start(c, store)
	for range 100 {
		one.Record("i-1@1000", 1.5, time.Now())
	}
	eventually(c, two.knows("i-1@1000", 1.5))
	one.Record("i-1@1000", 2.5, time.Now())
	eventually(c, two.knows("i-1@1000", 2.5))
	calls := store.Calls("/acaciapath/rows-tx")
	for range 100 {
		one.Record("i-1@1000", 2.5, time.Now())
		two.Record("i-1@1000", 2.5, time.Now())
	}
	time.Sleep(400 * time.Millisecond)
	c.Assert(store.Calls("/acaciapath/rows-tx"), qt.Equals, calls) // both know that it is written
	store.SetFault(func(string, string) platformtest.Fault { return platformtest.Unavailable })
	two.End("i-1@1000", time.Now())
	two.Record("i-2@1000", 1, time.Now())
	time.Sleep(500 * time.Millisecond)
	store.SetFault(nil)
	eventually(c, one.knows("i-1@1000", -1))
	eventually(c, one.knows("i-2@1000", 1))
	eventually(c, two.knows("i-1@1000", -1))
}

// TestInvalidAndOldRows writes a row that cannot be read and one that is too old. Neither
// may be learned, and the old one must be deleted.
func TestInvalidAndOldRows(t *testing.T) {
	c := qt.New(t)
	store := platformtest.NewStore()
	c.Cleanup(store.Close)
	store.WriteBytes(platform.TableReports, "limit/i-1@1", []byte("{"))
	store.Write(platform.TableReports, "limit/i-2@1", map[string]any{"per-second": 1, "named-ms": time.Now().Add(-time.Hour).UnixMilli()})
	store.Write(platform.TableReports, "limit/i-3@1", map[string]any{"per-second": 1, "named-ms": time.Now().Add(time.Hour).UnixMilli()})
	s := start(c, store)
	eventually(c, s.knows("i-3@1", 1))
	c.Assert(s.knows("i-1@1", -1)(), qt.IsTrue)
	c.Assert(s.knows("i-2@1", -1)(), qt.IsTrue)
	eventually(c, func() bool { return len(store.Rows(platform.TableReports, "")) == 2 })
}
