package origins_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"acaciapath.example/acaciad/origins"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/origin"
	"acaciapath.example/platform"
	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// unansweredTable is a table whose calls are not answered while the flags are set.
type unansweredTable struct {
	*platform.Table
	reads, writes atomic.Bool
	// pending are the commits to be performed late.
	mu      sync.Mutex
	pending []*table.CommitPayload
}

// unanswered waits for the end of ctx.
func unanswered(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func (t *unansweredTable) Get(ctx context.Context, p *table.GetPayload) ([]*table.Row, error) {
	if t.reads.Load() {
		return nil, unanswered(ctx)
	}
	return t.Table.Get(ctx, p)
}

func (t *unansweredTable) List(ctx context.Context, p *table.ListPayload) ([]*table.Row, error) {
	if t.reads.Load() {
		return nil, unanswered(ctx)
	}
	return t.Table.List(ctx, p)
}

func (t *unansweredTable) Commit(ctx context.Context, p *table.CommitPayload) ([]*table.Row, error) {
	if t.writes.Load() {
		t.mu.Lock()
		t.pending = append(t.pending, p)
		t.mu.Unlock()
		return nil, unanswered(ctx)
	}
	return t.Table.Commit(ctx, p)
}

// applyLate performs the commits that were not answered, those whose conditions still hold.
func (t *unansweredTable) applyLate(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pending {
		_, _ = t.Table.Commit(ctx, p) // conflicts are part of the test
	}
	t.pending = nil
}

// released has servers of a second version join, which is not urgent.
var released = map[string]int{"v1": 6, "v2": 2}

// startReleasing starts two registries whose plans have v1 only, as before a release.
func (f *fixture) startReleasing() (others []*origins.Registry) {
	only := map[string]int{"v1": 8}
	for _, vm := range []string{"vm-1", "vm-2"} {
		r, _ := f.start(vm)
		r.SetListed(listed(only), time.Now())
		f.eventually(func() bool { return usesOnly(f, r, only) })
		others = append(others, r)
	}
	time.Sleep(300 * time.Millisecond) // nothing is left to write
	return others
}

// beginAll begins n streams at once and returns their versions.
func (f *fixture) beginAll(r *origins.Registry, n int) map[string]string {
	versions := make(map[string]string)
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			id := fmt.Sprint(i)
			version := f.begin(r, id)
			mu.Lock()
			defer mu.Unlock()
			versions[id] = version
		})
	}
	group.Wait()
	return versions
}

// checkNotMistaken checks that no stream is taken for one of another version, and that at least
// least of them are known.
func (f *fixture) checkNotMistaken(r *origins.Registry, versions map[string]string, least int) {
	time.Sleep(300 * time.Millisecond) // earlier reads are not used any more
	known, mistaken := 0, 0
	var mu sync.Mutex
	var group sync.WaitGroup
	for id, version := range versions {
		group.Go(func() {
			found := f.version(r, id)
			mu.Lock()
			defer mu.Unlock()
			if found != "" {
				known++
			}
			if found != "" && found != version {
				mistaken++
			}
		})
	}
	group.Wait()
	f.Check(mistaken, qt.Equals, 0, qt.Commentf("streams taken for another version, of %d", len(versions)))
	f.Check(known >= least, qt.IsTrue, qt.Commentf("%d of %d streams are known, at least %d must be", known, len(versions), least))
}

// TestVMWithoutPlanInTheStore has a VM begin streams during a release before the others can read its
// plan, and end. The streams were taken for those of the plans of the others (review/11, ORDER).
func TestVMWithoutPlanInTheStore(t *testing.T) {
	for name, test := range map[string]struct {
		// before prepares the store and the calls of the VM that begins the streams.
		before func(f *fixture, calls *unansweredTable)
		// during is called while streams begin.
		during func(f *fixture, calls *unansweredTable)
	}{
		"new":                           {},
		"new, first write not answered": {before: func(_ *fixture, calls *unansweredTable) { calls.writes.Store(true) }},
		"new, first write performed late": {
			before: func(_ *fixture, calls *unansweredTable) { calls.writes.Store(true) },
			during: func(f *fixture, calls *unansweredTable) {
				time.Sleep(2 * time.Second)
				calls.writes.Store(false)
				calls.applyLate(f.Context())
			},
		},
		"new, one write not answered": {
			before: func(_ *fixture, calls *unansweredTable) { calls.writes.Store(true) },
			during: func(_ *fixture, calls *unansweredTable) {
				time.Sleep(500 * time.Millisecond)
				calls.writes.Store(false)
			},
		},
		"ended in order and started": {before: func(f *fixture, _ *unansweredTable) {
			r, stop := f.start("vm-3")
			f.waitForRow(r)
			stop()
			r.Finish(f.Context(), time.Now())
		}},
		"ended in order and started, first write not answered": {before: func(f *fixture, calls *unansweredTable) {
			r, stop := f.start("vm-3")
			r.SetListed(listed(map[string]int{"v1": 8}), time.Now())
			f.waitForRow(r)
			stop()
			r.Finish(f.Context(), time.Now())
			calls.writes.Store(true)
		}},
		"killed and started": {before: func(f *fixture, _ *unansweredTable) {
			r, stop := f.start("vm-3")
			r.SetListed(listed(map[string]int{"v1": 8}), time.Now())
			f.eventually(func() bool { return usesOnly(f, r, map[string]int{"v1": 8}) })
			stop()
		}},
		"killed and started, own row read late": {
			before: func(f *fixture, calls *unansweredTable) {
				r, stop := f.start("vm-3")
				r.SetListed(listed(map[string]int{"v1": 8}), time.Now())
				f.eventually(func() bool { return usesOnly(f, r, map[string]int{"v1": 8}) })
				stop()
				calls.reads.Store(true)
			},
			during: func(_ *fixture, calls *unansweredTable) {
				time.Sleep(500 * time.Millisecond)
				calls.reads.Store(false)
			},
		},
		"row of an earlier build that ended": {before: func(f *fixture, calls *unansweredTable) {
			now := time.Now()
			row := fmt.Sprintf(`{"at-ms":%d,"ended-ms":%d,"groups":[{"service":"llm","plan":[{"version":"v1","weight":1}],"since-ms":%d}]}`,
				now.UnixMilli(), now.UnixMilli(), now.Add(-time.Minute).UnixMilli())
			_, err := f.table.Commit(f.Context(), &table.CommitPayload{Writes: []*table.Write{{Key: "stream-origins/vm-3", Value: []byte(row)}}})
			f.Assert(err, qt.IsNil)
			calls.writes.Store(true)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			others := f.startReleasing()
			calls := &unansweredTable{Table: f.table}
			if test.before != nil {
				test.before(f, calls)
			}
			three, stop := f.startListing("vm-3", calls, released)
			if test.during != nil {
				go test.during(f, calls)
			}
			versions := f.beginAll(three, 40)
			stop()
			calls.writes.Store(true)
			f.checkNotMistaken(others[0], versions, len(versions)/2)
		})
	}
}

// TestStreamsBeginWithoutStore has a VM start whose calls of the store are not answered, or refused.
// Callers get their version within a bounded time, and at once when the store has been away for a
// while.
func TestStreamsBeginWithoutStore(t *testing.T) {
	for _, refused := range []bool{false, true} {
		t.Run(fmt.Sprintf("refused=%v", refused), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			calls := &unansweredTable{Table: f.table}
			calls.reads.Store(!refused)
			calls.writes.Store(!refused)
			if refused {
				f.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Unavailable })
			}
			r, _ := f.startListing("vm-1", calls, released)
			began := time.Now()
			f.beginAll(r, 20)
			f.Check(time.Since(began) < 3*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
			time.Sleep(3 * time.Second)
			began = time.Now()
			f.beginAll(r, 20)
			f.Check(time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
		})
	}
}

// TestPlannedElsewhereMeanwhile has the plan change between the choice of a version and the begin of
// the stream. Others take it for one of the new plan until they can read otherwise.
func TestPlannedElsewhereMeanwhile(t *testing.T) {
	f := newFixture(t)
	r, _ := f.start("vm-1")
	only := map[string]int{"v1": 8}
	r.SetListed(listed(only), time.Now())
	f.eventually(func() bool { return usesOnly(f, r, only) })
	version, ok := r.Choose(f.Context(), service, stream("a"))
	f.Assert(ok, qt.IsTrue)
	f.Check(r.PlansOther(service, stream("a"), version), qt.IsFalse)
	r.SetListed(listed(map[string]int{"v2": 8}), time.Now())
	f.eventually(func() bool { return usesOnly(f, r, map[string]int{"v2": 8}) })
	f.Check(r.PlansOther(service, stream("a"), version), qt.IsTrue)
	f.Check(r.PlansOther("other", stream("a"), version), qt.IsFalse)
	r.Begin(stream("a"), service, origin.Origin{Service: service, Version: version}, time.Now())
	f.Check(r.AwaitReport(f.Context(), time.Now()), qt.IsTrue)
	two, _ := f.start("vm-2")
	f.waitForRow(two)
	f.Check(f.version(two, "a"), qt.Equals, version)
}

// TestPlanLostAtRestoreFromEraZero restores a store whose eras begin with 0 from a copy that lacks the plans by
// which streams began, and kills all daemons. Streams of both versions count as possible then.
func TestPlanLostAtRestoreFromEraZero(t *testing.T) {
	f := newFixture(t)
	f.store.SetEra(0)
	only := map[string]int{"v1": 4}
	one, stop := f.startListing("vm-1", f.table, only)
	f.eventually(func() bool { return usesOnly(f, one, only) })
	time.Sleep(300 * time.Millisecond) // nothing is left to write
	backup := f.store.Backup()
	one.SetListed(listed(both), time.Now())
	f.eventually(func() bool { return usesOnly(f, one, both) })
	versions := f.beginAll(one, 24)
	stop()
	f.store.Restore(backup)
	f.Assert(f.table.Store.Ping(f.Context()), qt.IsNil)
	two, _ := f.startListing("vm-1", f.table, both)
	time.Sleep(500 * time.Millisecond) // it has read its row
	f.checkNotMistaken(two, versions, 0)
}
