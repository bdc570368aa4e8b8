package origins_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
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
	log   *bytes.Buffer
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{C: qt.New(t), store: platformtest.NewStore(), log: &bytes.Buffer{}}
	f.Cleanup(f.store.Close)
	f.table = &platform.Table{Store: platform.NewStore(f.store.Address(), time.Second, platform.NewStoreTransport())}
	return f
}

// start starts a registry that knows the versions v1 and v2, and returns a function that
// ends it.
func (f *fixture) start(vm string) (*origins.Registry, func()) {
	logger := logrus.New()
	logger.SetOutput(f.log)
	r := origins.NewRegistry()
	r.VM, r.Table, r.Logger = vm, f.table, logger
	r.Metrics = origins.NewMetrics(prometheus.NewRegistry())
	ctx, stop := context.WithCancel(f.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	f.Cleanup(stop)
	r.SetListed(map[string][]origin.Version{"llm": {{Name: "v1", Open: true}, {Name: "v2", Open: true}}}, time.Now())
	return r, func() { stop(); <-done }
}

// stream returns the id of a stream.
func stream(id string) origin.Stream { return origin.StreamID("account-a", id) }

// version returns the version that a registry finds for a stream, or an empty string.
func (f *fixture) version(r *origins.Registry, id string) string {
	found, _ := r.Lookup(f.Context(), stream(id), "llm")
	return found.Version
}

func TestStreamOfAnotherDaemon(t *testing.T) {
	f := newFixture(t)
	one, _ := f.start("vm-1")
	two, _ := f.start("vm-2")
	for i := range 20 {
		one.Begin(stream(fmt.Sprint(i)), origin.Origin{Service: "llm", Version: fmt.Sprint("v", 1+i%2)}, time.Now())
		one.End(stream(fmt.Sprint(i)), false, time.Now())
	}
	for i := range 20 {
		f.Check(f.version(two, fmt.Sprint(i)), qt.Equals, fmt.Sprint("v", 1+i%2))
	}
	f.Check(f.version(two, "unknown"), qt.Equals, "")
	found, known := two.Lookup(f.Context(), origin.StreamID("account-b", "1"), "llm")
	f.Check(known, qt.IsFalse, qt.Commentf("a stream of another account: %v", found))
}

// TestStreamsAreRememberedAfterAllRestarted restarts all daemons, which begin other streams
// at once.
func TestStreamsAreRememberedAfterAllRestarted(t *testing.T) {
	f := newFixture(t)
	one, stopOne := f.start("vm-1")
	_, stopTwo := f.start("vm-2")
	one.Begin(stream("a"), origin.Origin{Service: "llm", Version: "v2"}, time.Now())
	f.waitForRow("vm-1")
	stopOne()
	stopTwo()
	one, _ = f.start("vm-1")
	one.Begin(stream("b"), origin.Origin{Service: "llm", Version: "v1"}, time.Now())
	two, _ := f.start("vm-2")
	f.Check(f.version(two, "a"), qt.Equals, "v2")
	f.Check(f.version(two, "b"), qt.Equals, "v1")
	f.Check(f.version(one, "a"), qt.Equals, "v2")
}

// waitForRow waits for the row of a VM.
func (f *fixture) waitForRow(vm string) {
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		rows, err := f.table.Get(f.Context(), &table.GetPayload{Keys: []string{"stream-origins/" + vm}})
		if err == nil && len(rows) == 1 {
			return
		}
		f.Assert(time.Now().Before(end), qt.IsTrue)
	}
}

// TestLookupWithoutStore makes the store unavailable: what the daemon knows itself is found,
// and all else is unknown within a bounded time.
func TestLookupWithoutStore(t *testing.T) {
	f := newFixture(t)
	r, _ := f.start("vm-1")
	r.Begin(stream("a"), origin.Origin{Service: "llm", Version: "v2"}, time.Now())
	f.waitForRow("vm-1")
	f.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Unavailable })
	f.Check(f.version(r, "a"), qt.Equals, "v2")
	began := time.Now()
	f.Check(f.version(r, "b"), qt.Equals, "")
	f.Check(time.Since(began) < 5*time.Second, qt.IsTrue)
}

// TestInvalidRows has rows that cannot be read. They are logged with their key, and the
// others are read.
func TestInvalidRows(t *testing.T) {
	f := newFixture(t)
	for key, value := range map[string]string{
		"cut":    `{"at-ms":1,"services":{"llm":{"v1":{"open":true,"stre`,
		"nested": strings.Repeat(`{"services":`, 15_000) + strings.Repeat("}", 15_000),
		"range":  `{"at-ms":1e400,"services":{}}`,
		"bytes":  `{"at-ms":1,"services":{"llm":{"v1":{"streams":"AAAA"}}}}`,
		"type":   `{"at-ms":1,"services":[]}`,
		"empty":  ``,
	} {
		_, err := f.table.Commit(f.Context(), &table.CommitPayload{Writes: []*table.Write{{Key: "stream-origins/" + key, Value: []byte(value)}}})
		f.Assert(err, qt.IsNil)
	}
	one, _ := f.start("vm-1")
	one.Begin(stream("a"), origin.Origin{Service: "llm", Version: "v2"}, time.Now())
	two, stop := f.start("vm-2")
	f.Check(f.version(two, "a"), qt.Equals, "v2")
	stop()
	for _, key := range []string{"cut", "nested", "range", "bytes", "type", "empty"} {
		f.Check(strings.Contains(f.log.String(), "stream-origins/"+key), qt.IsTrue, qt.Commentf("%s", key))
	}
}
