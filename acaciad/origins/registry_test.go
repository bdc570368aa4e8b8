package origins_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciapath.example/acaciad/origins"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/origin"
	"acaciapath.example/platform"
	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// fixture is a store with daemons that exchange the origins of streams.
type fixture struct {
	*qt.C
	store *platformtest.Store
	table *platform.Table
	log   *logBuffer
}

// logBuffer is an output of several loggers.
type logBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(p)
}

// String returns what was logged.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.String()
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{C: qt.New(t), store: platformtest.NewStore(), log: &logBuffer{}}
	f.Cleanup(f.store.Close)
	f.table = &platform.Table{Store: platform.NewStore(f.store.Address(), time.Second, platform.NewStoreTransport())}
	return f
}

// service is the service of all streams of the tests.
const service = "llm"

// listed returns the given numbers of servers of versions.
func listed(servers map[string]int) map[string]origin.Servers {
	return map[string]origin.Servers{service: {Plan: origin.NewPlan(servers), Mixed: len(servers) > 1}}
}

// both has two versions with equal shares.
var both = map[string]int{"v1": 4, "v2": 4}

// start starts a registry with a plan for both versions, and returns a function that ends it.
func (f *fixture) start(vm string) (*origins.Registry, func()) { return f.startWith(vm, f.table) }

// startWith is like start, with another table.
func (f *fixture) startWith(vm string, rows table.Service) (*origins.Registry, func()) {
	return f.startListing(vm, rows, both)
}

// startListing is like startWith, with the servers that are listed.
func (f *fixture) startListing(vm string, rows table.Service, servers map[string]int) (*origins.Registry, func()) {
	logger := logrus.New()
	logger.SetOutput(f.log)
	r := origins.NewRegistry()
	r.VM, r.Table, r.Logger = vm, rows, logger
	r.Epoch = f.table.Store.Epochs.Current
	r.Metrics = origins.NewMetrics(prometheus.NewRegistry())
	ctx, stop := context.WithCancel(f.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	f.Cleanup(stop)
	r.SetListed(listed(servers), time.Now())
	return r, func() { stop(); <-done }
}

// stream returns the id of a stream.
func stream(id string) origin.Stream { return origin.StreamID("account-a", id) }

// version returns the version that a registry finds for a stream, or an empty string.
func (f *fixture) version(r *origins.Registry, id string) string {
	found, _, _ := r.Lookup(f.Context(), stream(id), service, time.Now().Add(-origin.Memory))
	return found.Version
}

// waitForRow waits for the row of a VM.
func (f *fixture) waitForRow(r *origins.Registry) {
	f.eventually(func() bool {
		rows, err := f.table.Get(f.Context(), &table.GetPayload{Keys: []string{"stream-origins/" + r.VM}})
		return err == nil && len(rows) == 1
	})
	time.Sleep(50 * time.Millisecond) // the registry has the answer as well
}

// begin begins a stream at the version that the plan tells.
func (f *fixture) begin(r *origins.Registry, id string) string {
	version, ok := r.Choose(context.Background(), service, stream(id))
	f.Assert(ok, qt.IsTrue)
	r.Begin(stream(id), service, origin.Origin{Service: "llm", Version: version}, time.Now())
	return version
}

// TestStreamOfAnotherDaemon has streams that begin where the plan tells, and others.
func TestStreamOfAnotherDaemon(t *testing.T) {
	f := newFixture(t)
	one, _ := f.start("vm-1")
	two, _ := f.start("vm-2")
	f.waitForRow(one)
	f.waitForRow(two)
	versions := make(map[string]string)
	for i := range 20 {
		id := fmt.Sprint(i)
		versions[id] = f.begin(one, id)
	}
	one.Begin(stream("other"), service, origin.Origin{Service: "llm", Version: "v0"}, time.Now())
	one.Begin(stream("moved"), service, origin.Origin{Service: "llm-2", Version: "v1"}, time.Now())
	versions["other"], versions["moved"] = "v0", "v1"
	time.Sleep(500 * time.Millisecond)
	for id, version := range versions {
		f.Check(f.version(two, id), qt.Equals, version, qt.Commentf("stream %s", id))
	}
	found, _, _ := two.Lookup(f.Context(), stream("moved"), service, time.Now().Add(-origin.Memory))
	f.Check(found.Service, qt.Equals, "llm-2")
}

// TestStreamsThatBeganJustBeforeAllWereKilled ends all daemons at once, right after streams
// began, and starts them again with other plans.
func TestStreamsThatBeganJustBeforeAllWereKilled(t *testing.T) {
	f := newFixture(t)
	one, stopOne := f.start("vm-1")
	two, stopTwo := f.start("vm-2")
	f.waitForRow(one)
	f.waitForRow(two)
	stopOne()
	stopTwo()
	versions := make(map[string]string)
	for i := range 40 {
		id := fmt.Sprint(i)
		versions[id] = f.begin(one, id) // the daemons write nothing any more
	}
	one, _ = f.start("vm-1")
	two, _ = f.start("vm-2")
	for id, version := range versions {
		f.Check(f.version(two, id), qt.Equals, version)
	}
	for _, r := range []*origins.Registry{one, two} {
		r.SetListed(listed(map[string]int{"v2": 6, "v3": 2}), time.Now())
	}
	f.eventually(func() bool {
		for i := range 100 {
			for _, r := range []*origins.Registry{one, two} {
				if version, _ := r.Choose(context.Background(), service, stream(fmt.Sprint(i))); version == "v1" {
					return false
				}
			}
		}
		return true
	})
	began := time.Now()
	for id, version := range versions {
		if found := f.version(two, id); found != "" {
			f.Check(found, qt.Equals, version)
		}
		if time.Since(began) > 5*time.Second {
			break // each that is unknown takes a second
		}
	}
}

// TestPlansThatTheCopyLacks restores the store from a copy that lacks the latest plans, and ends
// all daemons, or all but one. No stream may be taken for one of another version, and those
// where the copy and the daemon that lives agree are known.
func TestPlansThatTheCopyLacks(t *testing.T) {
	for _, lives := range []bool{false, true} {
		t.Run(fmt.Sprintf("one lives=%v", lives), func(t *testing.T) {
			f := newFixture(t)
			one, stopOne := f.start("vm-1")
			two, stopTwo := f.start("vm-2")
			uses := func(version string) func() bool {
				return func() bool {
					for i := range 40 {
						for _, r := range []*origins.Registry{one, two} {
							if v, _ := r.Choose(context.Background(), service, stream(fmt.Sprint(i))); v == version {
								return true
							}
						}
					}
					return false
				}
			}
			for _, r := range []*origins.Registry{one, two} {
				r.SetListed(listed(map[string]int{"v1": 4}), time.Now())
			}
			f.eventually(func() bool { return !uses("v2")() })
			f.waitForRow(one)
			f.waitForRow(two)
			backup := f.store.Backup()
			for _, r := range []*origins.Registry{one, two} {
				r.SetListed(listed(both), time.Now())
			}
			f.eventually(uses("v2"))
			time.Sleep(500 * time.Millisecond) // both use it
			versions := make(map[string]string)
			for i := range 12 {
				id := fmt.Sprint(i)
				versions[id] = f.begin(two, id)
			}
			stopTwo()
			if !lives {
				stopOne()
			}
			f.store.Restore(backup)
			f.Assert(f.table.Store.Ping(f.Context()), qt.IsNil)
			if lives {
				one.HandleRestore()
			} else {
				one, _ = f.start("vm-1")
			}
			two, _ = f.start("vm-2")
			f.waitForRow(two)
			for id, version := range versions {
				found := f.version(two, id)
				if found != "" || lives && version == "v1" {
					f.Check(found, qt.Equals, version)
				}
			}
		})
	}
}

// TestCutOffDaemonVouchesForNoPlans restores the store from a copy that lacks the plans by which
// streams began, while only a daemon lives that was cut off when they were written. It vouched for
// its old plan, so that streams were taken for those of another version (ORDER).
func TestCutOffDaemonVouchesForNoPlans(t *testing.T) {
	f := newFixture(t)
	one, _ := f.start("vm-1")
	two, stopTwo := f.start("vm-2")
	plansFor := func(r *origins.Registry, servers map[string]int, uses string) {
		r.SetListed(listed(servers), time.Now())
		f.eventually(func() bool {
			versions := make(map[string]bool)
			for i := range 40 {
				version, _ := r.Choose(f.Context(), service, stream(fmt.Sprint(i)))
				versions[version] = true
			}
			return versions[uses] && len(versions) == len(servers)
		})
	}
	for _, r := range []*origins.Registry{one, two} {
		plansFor(r, map[string]int{"v1": 4}, "v1")
	}
	time.Sleep(500 * time.Millisecond) // nothing is left to write
	backup := f.store.Backup()
	one.ListAge = func(time.Time) time.Duration { return 10 * time.Second }
	plansFor(two, both, "v2")
	versions := make(map[string]string)
	for i := range 12 {
		id := fmt.Sprint(i)
		versions[id] = f.begin(two, id)
	}
	stopTwo()
	f.store.Restore(backup)
	f.Assert(f.table.Store.Ping(f.Context()), qt.IsNil)
	one.HandleRestore()
	time.Sleep(time.Second) // its row is written
	check := func(r *origins.Registry) {
		for id, version := range versions {
			if found := f.version(r, id); found != "" {
				f.Check(found, qt.Equals, version)
			}
		}
	}
	check(one)
	three, _ := f.start("vm-3")
	f.waitForRow(three)
	check(three)
}

// slowTable is a table whose answers to commits are late.
type slowTable struct {
	*platform.Table
	delay time.Duration
}

func (t *slowTable) Commit(ctx context.Context, p *table.CommitPayload) ([]*table.Row, error) {
	rows, err := t.Table.Commit(ctx, p)
	time.Sleep(t.delay)
	return rows, err
}

// TestStreamsThatBeginWhilePlanIsWritten ends a daemon after the store has its new plan, and
// before the daemon knows that. Streams that began meanwhile must not be taken for others.
func TestStreamsThatBeginWhilePlanIsWritten(t *testing.T) {
	f := newFixture(t)
	r, stop := f.start("vm-1")
	r.SetListed(listed(map[string]int{"v1": 4}), time.Now())
	f.eventually(func() bool {
		version, _ := r.Choose(f.Context(), service, stream("a"))
		return version == "v1"
	})
	time.Sleep(300 * time.Millisecond) // nothing is left to write
	stop()
	slow, stopSlow := f.startWith("vm-1", &slowTable{Table: f.table, delay: 150 * time.Millisecond})
	slow.SetListed(listed(map[string]int{"v1": 4}), time.Now())
	time.Sleep(3500 * time.Millisecond) // the first write after a restart is late
	slow.SetListed(listed(map[string]int{"v2": 4}), time.Now())
	f.eventually(func() bool {
		rows, err := f.table.Get(f.Context(), &table.GetPayload{Keys: []string{"stream-origins/vm-1"}})
		return err == nil && len(rows) == 1 && strings.Contains(string(rows[0].Value), `"plan":[{"version":"v2"`)
	})
	version := f.begin(slow, "b")
	stopSlow()
	other, _ := f.start("vm-2")
	other.SetListed(listed(map[string]int{"v2": 4}), time.Now())
	f.waitForRow(other)
	found, known, _ := other.Lookup(f.Context(), stream("b"), service, time.Now())
	f.Check(known, qt.IsTrue)
	f.Check(found.Version, qt.Equals, version)
}

// eventually waits until a condition holds.
func (f *fixture) eventually(condition func() bool) {
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		f.Assert(time.Now().Before(end), qt.IsTrue)
	}
}

// TestLookupWithoutStore makes the store unavailable. What the daemon knows itself is found, and
// what follows from a plan that has been in use for long enough; all else is unknown within a
// bounded time.
func TestLookupWithoutStore(t *testing.T) {
	f := newFixture(t)
	r, _ := f.start("vm-1")
	f.waitForRow(r)
	r.Begin(stream("a"), service, origin.Origin{Service: "llm", Version: "v9"}, time.Now())
	time.Sleep(500 * time.Millisecond)
	f.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Unavailable })
	f.Check(f.version(r, "a"), qt.Equals, "v9")
	began := time.Now()
	f.Check(f.version(r, "b"), qt.Equals, "")
	f.Check(time.Since(began) < 5*time.Second, qt.IsTrue)
	expected, _ := r.Choose(context.Background(), service, stream("b"))
	found, _, _ := r.Lookup(f.Context(), stream("b"), service, time.Now().Add(11*time.Second))
	f.Check(found.Version, qt.Equals, expected)
	r.ListAge = func(time.Time) time.Duration { return time.Minute }
	_, known, err := r.Lookup(f.Context(), stream("b"), service, time.Now().Add(11*time.Second))
	f.Check(known, qt.IsFalse, qt.Commentf("the list of servers is out of date"))
	f.Check(err, qt.IsNotNil)
}

// TestListFromBeforeNewVersion has a daemon whose list of servers is two seconds old and has one
// version for long, while another daemon begins streams at a new one.
func TestListFromBeforeNewVersion(t *testing.T) {
	f := newFixture(t)
	one, _ := f.start("vm-1")
	one.SetListed(listed(map[string]int{"v1": 4}), time.Now())
	f.waitForRow(one)
	f.eventually(func() bool {
		version, _ := one.Choose(context.Background(), service, stream("b"))
		return version == "v1"
	})
	two, _ := f.start("vm-2")
	two.SetListed(listed(map[string]int{"v2": 4}), time.Now())
	f.waitForRow(two)
	f.eventually(func() bool {
		version, _ := two.Choose(context.Background(), service, stream("b"))
		return version == "v2"
	})
	since := time.Now().Add(11 * time.Second)
	found, _, _ := one.Lookup(f.Context(), stream("b"), service, since)
	f.Assert(found.Version, qt.Equals, "v1")
	one.ListAge = func(time.Time) time.Duration { return 2 * time.Second }
	_, known, err := one.Lookup(f.Context(), stream("b"), service, since)
	f.Check(known, qt.IsFalse)
	f.Check(err, qt.IsNil)
	f.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Unavailable })
	_, known, err = one.Lookup(f.Context(), stream("b"), service, since)
	f.Check(known, qt.IsFalse)
	f.Check(err, qt.IsNotNil)
}

// TestRowOfEarlierBuild has a VM with a daemon of an earlier build, which has a plan for each
// lane. Only streams at which all plans have the same version are known.
func TestRowOfEarlierBuild(t *testing.T) {
	f := newFixture(t)
	row := fmt.Sprintf(`{"at-ms":%d,"groups":[{"service":"llm","lane":"patient","plan":[{"version":"v1","weight":4},{"version":"v2","weight":4}]},`+
		`{"service":"llm","lane":"urgent","plan":[{"version":"v2","weight":1}]}]}`, time.Now().UnixMilli())
	_, err := f.table.Commit(f.Context(), &table.CommitPayload{Writes: []*table.Write{{Key: "stream-origins/vm-0", Value: []byte(row)}}})
	f.Assert(err, qt.IsNil)
	r, _ := f.start("vm-1")
	f.waitForRow(r)
	planned := make(map[string]bool)
	for i := range 12 {
		version, _ := r.Choose(f.Context(), service, stream(fmt.Sprint(i)))
		planned[version] = true
		if version == "v1" {
			version = ""
		}
		f.Check(f.version(r, fmt.Sprint(i)), qt.Equals, version)
	}
	f.Check(planned, qt.HasLen, 2)
}

// TestInvalidRows has rows that cannot be read. They are logged with their key, and the
// others are read.
func TestInvalidRows(t *testing.T) {
	f := newFixture(t)
	invalid := map[string]string{
		"cut":    `{"at-ms":1,"groups":[{"service":"llm","la`,
		"nested": `{"groups":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + "}",
		"range":  `{"at-ms":1e400,"groups":[]}`,
		"weight": `{"at-ms":1,"groups":[{"service":"llm","lane":"urgent","plan":[{"version":"v1","weight":1000000000}]}]}`,
		"bytes":  `{"at-ms":1,"exceptions":[{"service":"llm","version":"v1","streams":"AAAA"}]}`,
		"type":   `{"at-ms":1,"groups":{}}`,
		"empty":  ``,
	}
	for key, value := range invalid {
		_, err := f.table.Commit(f.Context(), &table.CommitPayload{Writes: []*table.Write{{Key: "stream-origins/" + key, Value: []byte(value)}}})
		f.Assert(err, qt.IsNil)
	}
	one, _ := f.start("vm-1")
	f.waitForRow(one)
	expected := f.begin(one, "a")
	two, stop := f.start("vm-2")
	f.waitForRow(two)
	f.Check(f.version(two, "a"), qt.Equals, expected)
	f.Check(f.version(two, "b"), qt.Not(qt.Equals), "")
	stop()
	for key := range invalid {
		f.Check(strings.Count(f.log.String(), "stream-origins/"+key), qt.Equals, 1, qt.Commentf("%s", key))
	}
}
