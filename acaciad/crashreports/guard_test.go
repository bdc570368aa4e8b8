package crashreports_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"acaciapath.example/acaciad/crashreports"
	tablegen "acaciapath.example/core/gen/table"
	"acaciapath.example/core/quarantine"
	"acaciapath.example/platform"
	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// waitLimit is long enough for every condition in these tests on a busy machine.
const waitLimit = 20 * time.Second

// table is the store that guards exchange reports through.
type table struct {
	*qt.C
	store    *platformtest.Store
	settings quarantine.Settings
	// wrap wraps the table of a guard, unless it is nil.
	wrap func(*platform.Table) tablegen.Service
}

func newTable(t *testing.T) *table {
	c := qt.New(t)
	s := &table{C: c, store: platformtest.NewStore(), settings: quarantine.DefaultSettings()}
	c.Cleanup(s.store.Close)
	return s
}

// guard is a guard that runs, and follows the table while it does.
type guard struct {
	*crashreports.Guard
	stop context.CancelFunc
}

// start starts a guard of a VM.
func (s *table) start(vm string) *guard {
	ctx, stop := context.WithCancel(s.Context())
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	registry := prometheus.NewRegistry()
	store := platform.NewStore(s.store.Address(), time.Second, platform.NewStoreTransport())
	g := &guard{Guard: crashreports.NewGuard(s.settings, registry), stop: stop}
	g.VM, g.Logger, g.Metrics = vm, logger, crashreports.NewMetrics(registry)
	inner := &platform.Table{Store: store, Name: platform.TableReports}
	g.Table = inner
	if s.wrap != nil {
		g.Table = s.wrap(inner)
	}
	go g.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			if rows, err := store.Snapshot(ctx, platform.TableReports); err == nil {
				g.Apply(rows.Rows, true, rows.Version)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	s.Cleanup(stop)
	return g
}

// prompt returns the shared parts of a prompt.
func prompt(ids ...uint64) []quarantine.Part {
	parts := make([]quarantine.Part, len(ids))
	for i, id := range ids {
		parts[i] = quarantine.Part{ID: id, Depth: i}
	}
	return parts
}

// refuses reports whether a guard refuses a part.
func (g *guard) refuses(part uint64) bool {
	_, refuses := g.Refuses(prompt(part), time.Now())
	return refuses
}

// crash records a crash of another server each time, and waits so that it counts.
func (g *guard) crash(server int, parts ...uint64) {
	g.RecordCrash("id-1", prompt(parts...), fmt.Sprint("engine-", server), time.Now())
	time.Sleep(120 * time.Millisecond)
}

// eventually waits until condition holds, and fails the test after waitLimit.
func (s *table) eventually(what string, condition func() bool) {
	s.Helper()
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			s.Fatalf("not within %s: %s", waitLimit, what)
		}
	}
}

// TestEachSeesOneCrash has four daemons see one crash each. All of them, and one that
// starts later, must refuse the part, and only it.
func TestEachSeesOneCrash(t *testing.T) {
	s := newTable(t)
	var guards []*guard
	for i := range 4 {
		guards = append(guards, s.start(fmt.Sprint("vm-", i)))
	}
	for i, g := range guards {
		g.crash(i, uint64(1+i%2), 7)
	}
	for _, g := range guards {
		s.eventually("a daemon refuses the part", func() bool { return g.refuses(7) })
		s.Assert(g.refuses(1), qt.IsFalse)
	}
	s.eventually("the row is written", func() bool { return len(s.store.Rows(platform.TableReports, "")) == 5 })
	later := s.start("vm-later")
	s.eventually("a daemon that starts later refuses the part", func() bool { return later.refuses(7) })
}

// TestWithoutStore makes the store unavailable. A daemon must decide by what it sees
// itself, and tell the others once the store is back.
func TestWithoutStore(t *testing.T) {
	s := newTable(t)
	one, two := s.start("vm-1"), s.start("vm-2")
	s.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Unavailable })
	for i := range 4 {
		one.crash(i, 1, 7)
		two.RecordSound(prompt(1), time.Now())
	}
	s.eventually("it refuses the part", func() bool { return one.refuses(7) })
	s.Assert(two.refuses(7), qt.IsFalse)
	s.store.SetFault(nil)
	s.eventually("the other one refuses it", func() bool { return two.refuses(7) })
	s.Assert(two.refuses(1), qt.IsFalse)
}

// TestReportsSurviveRestart restarts a daemon between the crashes that it sees.
func TestReportsSurviveRestart(t *testing.T) {
	s := newTable(t)
	g := s.start("vm-1")
	g.crash(0, 7)
	g.crash(1, 7)
	s.eventually("the report is written", func() bool { return len(s.store.Rows(platform.TableReports, "")) == 1 })
	time.Sleep(400 * time.Millisecond) // the second crash may be written later
	g.stop()
	g = s.start("vm-1")
	g.crash(2, 7)
	g.crash(3, 7)
	s.eventually("it refuses the part", func() bool { return g.refuses(7) })
}

// TestSoundRunElsewhere has one daemon see crashes under a part, and another one see that a
// run which began later survives. Both must send its requests again.
func TestSoundRunElsewhere(t *testing.T) {
	s := newTable(t)
	one, two := s.start("vm-1"), s.start("vm-2")
	for i := range 4 {
		one.crash(i, 7)
	}
	s.eventually("both refuse the part", func() bool { return one.refuses(7) && two.refuses(7) })
	two.RecordSound(prompt(7), time.Now())
	s.eventually("both send it again", func() bool { return !one.refuses(7) && !two.refuses(7) })
	s.eventually("its row is deleted", func() bool {
		for _, row := range s.store.Rows(platform.TableReports, "") {
			if row.Key == "quarantine/7" {
				return false
			}
		}
		return true
	})
	time.Sleep(time.Second)
	s.Assert(one.refuses(7) || two.refuses(7), qt.IsFalse)
}

// TestLateNewsLiftNoQuarantine has a daemon that wrote the row of a quarantine receive the
// table as it was before, and an older deletion of the row. It must go on to refuse the part.
func TestLateNewsLiftNoQuarantine(t *testing.T) {
	s := newTable(t)
	client := platform.NewStore(s.store.Address(), time.Second, platform.NewStoreTransport())
	s.store.Write(platform.TableReports, "quarantine/7", map[string]any{})
	s.store.Remove(platform.TableReports, "quarantine/7")
	before, err := client.Snapshot(s.Context(), platform.TableReports)
	s.Assert(err, qt.IsNil)
	g := s.start("vm-1")
	for i := range 4 {
		g.crash(i, 7)
	}
	s.eventually("the row is written", func() bool {
		for _, row := range s.store.Rows(platform.TableReports, "") {
			if row.Key == "quarantine/7" {
				return true
			}
		}
		return false
	})
	for range 20 {
		g.Apply(before.Rows, true, before.Version)
		g.Apply([]platform.Row{{Key: "quarantine/7", Version: before.Version, Deleted: true}}, false, before.Version)
		s.Assert(g.refuses(7), qt.IsTrue)
		time.Sleep(5 * time.Millisecond)
	}
}

// slowTable is a table whose answers to writes of a row wait until answer is closed.
type slowTable struct {
	*platform.Table
	committed chan struct{}
	answer    chan struct{}
}

func (t *slowTable) Commit(ctx context.Context, p *tablegen.CommitPayload) ([]*tablegen.Row, error) {
	rows, err := t.Table.Commit(ctx, p)
	for _, w := range p.Writes {
		if w.Key == "quarantine/7" {
			select {
			case t.committed <- struct{}{}:
			default:
			}
			<-t.answer
		}
	}
	return rows, err
}

// TestOldDeletionWhileRowIsWritten has a daemon receive an older deletion of the row that it
// has written, before the answer of the store to its write. It must go on to refuse the part.
func TestOldDeletionWhileRowIsWritten(t *testing.T) {
	s := newTable(t)
	var slow *slowTable
	s.wrap = func(inner *platform.Table) tablegen.Service {
		slow = &slowTable{Table: inner, committed: make(chan struct{}, 1), answer: make(chan struct{})}
		return slow
	}
	g := s.start("vm-1")
	for i := range 4 {
		g.crash(i, 7)
	}
	select {
	case <-slow.committed:
	case <-time.After(waitLimit):
		s.Fatal("the row is not written")
	}
	g.Apply([]platform.Row{{Key: "quarantine/7", Version: 1, Deleted: true}}, false, 1)
	s.Check(g.refuses(7), qt.IsTrue)
	close(slow.answer)
	time.Sleep(200 * time.Millisecond) // several reads of the table
	s.Check(g.refuses(7), qt.IsTrue)
}

// TestOneTrialOfAllDaemons lets a quarantine run out while several daemons get requests
// with the part. One request of all may be sent, and if its engine ends as well, no other
// one for twice as long.
func TestOneTrialOfAllDaemons(t *testing.T) {
	s := newTable(t)
	s.settings.Hold = 1500 * time.Millisecond
	var guards []*guard
	for i := range 3 {
		guards = append(guards, s.start(fmt.Sprint("vm-", i)))
	}
	for i := range 4 {
		guards[i%3].crash(i, 7)
	}
	for _, g := range guards {
		s.eventually("a daemon refuses the part", func() bool { return g.refuses(7) })
	}
	var sent *guard
	count := func() (n int) {
		for _, g := range guards {
			if !g.refuses(7) {
				sent, n = g, n+1
			}
		}
		return n
	}
	s.eventually("a request is sent", func() bool { return count() > 0 })
	for range 20 {
		s.Assert(count(), qt.Equals, 0)
		time.Sleep(10 * time.Millisecond)
	}
	sent.crash(100, 7)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s.Assert(count(), qt.Equals, 0)
	}
	s.eventually("another request is sent", func() bool { return count() > 0 })
	sent.RecordSound(prompt(7), time.Now())
	s.eventually("all send it again", func() bool { return count() == 3 })
}

// TestInvalidRows writes rows that cannot be read. They must be ignored.
func TestInvalidRows(t *testing.T) {
	s := newTable(t)
	for key, value := range map[string]string{
		"report/vm-9": "{", "quarantine/7": `{"hold-ms":0}`, "quarantine/x": "{}", "else": "1",
		"report/vm-8": `{"crashes":[{"part":"z","server":"a"}]}`,
	} {
		s.store.WriteBytes(platform.TableReports, key, []byte(value))
	}
	g := s.start("vm-1")
	for i := range 4 {
		g.crash(i, 8)
	}
	s.eventually("it refuses the part", func() bool { return g.refuses(8) })
	s.Assert(g.refuses(7), qt.IsFalse)
}
