package platform_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"acaciapath.example/core/gen/objects"
	"acaciapath.example/core/gen/servers"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/gen/usage"
	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/platformapi"
	"acaciapath.example/standin/fault"
	"acaciapath.example/standin/platform"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

// callTimeout is the timeout of calls that are expected to hang.
const callTimeout = 100 * time.Millisecond

func start(c *qt.C, options platform.Options) *platform.Server {
	s := platform.New(options)
	c.Assert(s.Start("127.0.0.1:0"), qt.IsNil)
	c.Cleanup(func() { _ = s.Close() })
	return s
}

// forEachClient runs a test with an HTTP client and with an in-process client.
func forEachClient(t *testing.T, options platform.Options, test func(c *qt.C, s *platform.Server, client *platformapi.Client)) {
	c := qt.New(t)
	c.Run("http", func(c *qt.C) {
		s := start(c, options)
		address, err := s.StartFor("caller", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		test(c, s, platformapi.New(address, 10*time.Second))
	})
	c.Run("in process", func(c *qt.C) {
		s := start(c, options)
		test(c, s, s.Client("caller"))
	})
}

func putCommit(key, value string, version uint64) *table.CommitPayload {
	return &table.CommitPayload{
		Conditions: []*table.Condition{{Key: key, Version: version}},
		Writes:     []*table.Write{{Key: key, Value: []byte(value)}},
	}
}

func TestTable(t *testing.T) {
	ctx := context.Background()
	forEachClient(t, platform.Options{}, func(c *qt.C, s *platform.Server, client *platformapi.Client) {
		rows, err := client.Table.Commit(ctx, putCommit("a/1", "x", 0))
		c.Assert(err, qt.IsNil)
		c.Assert(rows, qt.HasLen, 1)

		_, err = client.Table.Commit(ctx, putCommit("a/1", "y", 0))
		conflict := platformapi.AsConflict(err)
		c.Assert(conflict, qt.IsNotNil)
		c.Assert(conflict.Rows, qt.DeepEquals, rows)

		newer, err := client.Table.Commit(ctx, putCommit("a/1", "y", rows[0].Version))
		c.Assert(err, qt.IsNil)
		c.Assert(newer[0].Version > rows[0].Version, qt.IsTrue)
		read, err := client.Read(ctx, "a/1", "a/2")
		c.Assert(err, qt.IsNil)
		c.Assert(string(read[0].Value), qt.Equals, "y")
		c.Assert(read[1].Version, qt.Equals, uint64(0))

		_, err = client.Table.Commit(ctx, &table.CommitPayload{
			Conditions: []*table.Condition{},
			Writes:     []*table.Write{{Key: "a/1", Delete: true}, {Key: "a/0", Value: []byte("z")}},
		})
		c.Assert(err, qt.IsNil)
		again, err := client.Table.Commit(ctx, putCommit("a/1", "again", 0))
		c.Assert(err, qt.IsNil)
		c.Assert(again[0].Version > newer[0].Version, qt.IsTrue)

		entries := s.Log().Entries()
		c.Assert(entries[0].Outcome, qt.Equals, platform.Done)
		c.Assert(entries[0].Caller, qt.Equals, "caller")
		c.Assert(entries[0].Rows, qt.DeepEquals, []platform.Row{platform.Row(*rows[0])})
		c.Assert(entries[1].Outcome, qt.Equals, platform.Conflict)
	})
}

func TestTableList(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	client := start(c, platform.Options{}).Client("caller")
	const n = 3000
	all := &table.CommitPayload{Writes: []*table.Write{{Key: "k"}, {Key: "l"}}}
	for i := range n {
		key := fmt.Sprintf("k/%04d", i*7919%n) // not in key order
		all.Writes = append(all.Writes, &table.Write{Key: key})
	}
	_, err := client.Table.Commit(ctx, all)
	c.Assert(err, qt.IsNil)
	_, err = client.Table.Commit(ctx, &table.CommitPayload{Writes: []*table.Write{{Key: "k/0000", Delete: true}}})
	c.Assert(err, qt.IsNil)
	after, listed := "", 0
	for {
		rows, err := client.Table.List(ctx, &table.ListPayload{Prefix: "k/", After: after, Limit: 700})
		c.Assert(err, qt.IsNil)
		if len(rows) == 0 {
			break
		}
		for _, row := range rows {
			listed++
			c.Assert(row.Key, qt.Equals, fmt.Sprintf("k/%04d", listed))
			after = row.Key
		}
	}
	c.Assert(listed, qt.Equals, n-1)
}

func TestObjects(t *testing.T) {
	ctx := context.Background()
	forEachClient(t, platform.Options{}, func(c *qt.C, _ *platform.Server, client *platformapi.Client) {
		c.Assert(client.Objects.Put(ctx, &objects.PutPayload{Name: "o", Data: []byte("1")}), qt.IsNil)
		c.Assert(client.Objects.Put(ctx, &objects.PutPayload{Name: "o", Data: []byte("1")}), qt.IsNil)
		c.Assert(client.Objects.Put(ctx, &objects.PutPayload{Name: "o", Data: []byte("2")}), qt.IsNotNil)
		data, err := client.Objects.Get(ctx, &objects.GetPayload{Name: "o"})
		c.Assert(err, qt.IsNil)
		c.Assert(string(data), qt.Equals, "1")
		_, err = client.Objects.Get(ctx, &objects.GetPayload{Name: "p"})
		c.Assert(platformapi.IsNotFound(err), qt.IsTrue)
	})
}

func TestVMListLag(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := platform.New(platform.Options{
		Now:       func() time.Time { return now },
		VMListLag: 10 * time.Second,
		VMs:       []*vms.VM{{Name: "b"}},
	})
	c.Cleanup(func() { _ = s.Close() })
	names := func() (list string) {
		found, err := s.Client("").VMs.List(context.Background())
		c.Assert(err, qt.IsNil)
		for _, vm := range found {
			list += vm.Name
			if vm.Leaving {
				list += "!"
			}
		}
		return list
	}
	s.AddVM(vms.VM{Name: "a"})
	now = now.Add(5 * time.Second)
	s.MarkLeaving("b")
	now = now.Add(2 * time.Second)
	s.RemoveVM("b")
	c.Assert(names(), qt.Equals, "b")
	now = now.Add(3 * time.Second)
	c.Assert(names(), qt.Equals, "ab")
	now = now.Add(5 * time.Second)
	c.Assert(names(), qt.Equals, "ab!")
	now = now.Add(2 * time.Second)
	c.Assert(names(), qt.Equals, "a")
}

func TestUsage(t *testing.T) {
	ctx := context.Background()
	forEachClient(t, platform.Options{}, func(c *qt.C, s *platform.Server, client *platformapi.Client) {
		p := &usage.ReportPayload{
			Window: "2026-01-01T00:00:00Z",
			Fence:  7,
			Holder: "h",
			Lines:  []*usage.UsageLine{{ClientAccount: "a", Requests: 1}},
		}
		c.Assert(client.Usage.Report(ctx, p), qt.IsNil)
		c.Assert(client.Usage.Report(ctx, p), qt.IsNil)
		reports := s.UsageReports()
		c.Assert(reports, qt.HasLen, 2)
		c.Assert(reports[1].Lines, qt.DeepEquals, []platform.UsageLine{platform.UsageLine(*p.Lines[0])})
		c.Assert(reports[1].Fence, qt.Equals, uint64(7))
	})
}

func TestFaults(t *testing.T) {
	for _, test := range []struct {
		name            string
		faults          fault.Faults
		hangs           bool // until the context of the caller ends
		reportsNoEffect bool // the error tells the caller that the call had no effect
		takesEffect     bool
	}{
		{name: "down", faults: fault.Faults{Down: true}, reportsNoEffect: true},
		{name: "request lost", faults: fault.Faults{LoseRequests: 1}},
		{name: "reply lost", faults: fault.Faults{LoseReplies: 1}, takesEffect: true},
		{name: "crashed", faults: fault.Faults{Crashed: true}},
		{name: "partitioned", faults: fault.Faults{Partitions: []fault.Partition{{Caller: "caller"}}}, hangs: true},
		{name: "replies dropped", faults: fault.Faults{Partitions: []fault.Partition{{Caller: "caller", Direction: fault.Replies}}}, hangs: true, takesEffect: true},
		{name: "frozen", faults: fault.Faults{Frozen: true}, hangs: true, takesEffect: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			forEachClient(t, platform.Options{}, func(c *qt.C, s *platform.Server, client *platformapi.Client) {
				ctx := context.Background()
				if test.hangs {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, callTimeout)
					defer cancel()
				}
				s.SetFaults(platform.Table, test.faults)
				_, err := client.Table.Commit(ctx, putCommit("k", "v", 0))
				c.Assert(err, qt.IsNotNil)
				c.Assert(errors.Is(err, context.DeadlineExceeded), qt.Equals, test.hangs)
				c.Assert(platformapi.HadNoEffect(err), qt.Equals, test.reportsNoEffect)

				s.SetFaults(platform.All, fault.Faults{})
				entry := awaitEntry(c, s)
				c.Assert(entry.Outcome == platform.Done, qt.Equals, test.takesEffect)
				rows, err := client.Read(context.Background(), "k")
				c.Assert(err, qt.IsNil)
				c.Assert(rows[0].Version > 0, qt.Equals, test.takesEffect)
			})
		})
	}
}

// awaitEntry waits for the first entry of the log and returns it.
func awaitEntry(c *qt.C, s *platform.Server) platform.LogEntry {
	for range 1000 {
		if entries := s.Log().Entries(); len(entries) > 0 {
			return entries[0]
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatal("no entry in the log")
	return platform.LogEntry{}
}

func TestFaultsAffectOnlyTheirInterfaceAndCaller(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	s := start(c, platform.Options{})
	s.SetFaults(platform.Table, fault.Faults{Partitions: []fault.Partition{{Caller: "other"}}})
	s.SetFaults(platform.Usage, fault.Faults{Down: true})
	_, err := s.Client("caller").Table.Commit(ctx, putCommit("k", "v", 0))
	c.Assert(err, qt.IsNil)
	_, err = s.Client("other").VMs.List(ctx)
	c.Assert(err, qt.IsNil)
}

func TestRateLimit(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := platform.New(platform.Options{Now: func() time.Time { return now }, WritesPerSecond: 20})
	c.Cleanup(func() { _ = s.Close() })
	commit := func() error {
		_, err := s.Client("").Table.Commit(context.Background(), &table.CommitPayload{})
		return err
	}
	c.Assert(commit(), qt.IsNil)
	c.Assert(commit(), qt.IsNil)
	c.Assert(platformapi.HadNoEffect(commit()), qt.IsTrue)
	now = now.Add(50 * time.Millisecond)
	c.Assert(commit(), qt.IsNil)
}

func order(id string, fence uint64) *servers.OrderPayload {
	return &servers.OrderPayload{
		OrderID: id, Fence: fence, Holder: "h", FailureDomain: "quito-a", Kind: "cheap", Model: "m",
	}
}

// awaitState waits until the only backend server has the state and returns it.
func awaitState(c *qt.C, client *platformapi.Client, state string) *servers.BackendServer {
	for range 1000 {
		list, err := client.Servers.List(context.Background(), &servers.ListPayload{FailureDomain: "quito-a"})
		c.Assert(err, qt.IsNil)
		if len(list) == 1 && list[0].State == state {
			return list[0]
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("the backend server is not %s", state)
	return nil
}

func TestOrders(t *testing.T) {
	ctx := context.Background()
	group := platform.ServerGroup{FailureDomain: "quito-a", Kind: "cheap"}
	options := platform.Options{ChecksFencing: true, Capacity: map[platform.ServerGroup]int{group: 1}}
	forEachClient(t, options, func(c *qt.C, s *platform.Server, client *platformapi.Client) {
		s.SetFaults(platform.Servers, fault.Faults{LoseReplies: 1})
		_, err := client.Servers.Order(ctx, order("o1", 5))
		c.Assert(err, qt.IsNotNil)
		again, err := client.Servers.Order(ctx, order("o1", 5))
		c.Assert(err, qt.IsNil)
		running := awaitState(c, client, "running")
		c.Assert(running.Name, qt.Equals, again.Name)
		c.Assert(running.Address, qt.Not(qt.Equals), "")

		_, err = client.Servers.Order(ctx, order("o2", 5))
		c.Assert(platformapi.IsNoCapacity(err), qt.IsTrue)
		_, err = client.Servers.Order(ctx, order("o3", 4))
		c.Assert(platformapi.IsStaleFence(err), qt.IsTrue)
		release := &servers.ReleasePayload{Name: running.Name, Fence: 4, Holder: "h"}
		c.Assert(platformapi.IsStaleFence(client.Servers.Release(ctx, release)), qt.IsTrue)
		release.Fence = 6
		c.Assert(client.Servers.Release(ctx, release), qt.IsNil)
		c.Assert(client.Servers.Release(ctx, release), qt.IsNil)
		awaitState(c, client, "gone")

		var outcomes []platform.Outcome
		for _, e := range s.Log().Entries() {
			if e.Interface == platform.Servers && e.Method != "list" {
				outcomes = append(outcomes, e.Outcome)
			}
		}
		c.Assert(outcomes, qt.DeepEquals, []platform.Outcome{
			platform.Done, platform.Repeated, platform.NoCapacity,
			platform.StaleFence, platform.StaleFence, platform.Done, platform.Repeated,
		})
	})
}

func TestOrdersWithoutFencingCheck(t *testing.T) {
	c := qt.New(t)
	client := start(c, platform.Options{}).Client("")
	for fence := uint64(2); fence > 0; fence-- {
		_, err := client.Servers.Order(context.Background(), order(fmt.Sprint(fence), fence))
		c.Assert(err, qt.IsNil)
	}
}

func TestEviction(t *testing.T) {
	forEachClient(t, platform.Options{}, func(c *qt.C, s *platform.Server, client *platformapi.Client) {
		_, err := client.Servers.Order(context.Background(), order("o1", 1))
		c.Assert(err, qt.IsNil)
		awaitState(c, client, "running")
		c.Assert(s.EvictCheapServers("brest-a", 0), qt.Equals, 0)
		c.Assert(s.EvictCheapServers("quito-a", callTimeout), qt.Equals, 1)
		leaving := awaitState(c, client, "leaving")
		c.Assert(leaving.LeavesAt, qt.IsNotNil)
		awaitState(c, client, "gone")
	})
}

func TestCloseReleasesBlockedCalls(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	c := qt.New(t)
	s := platform.New(platform.Options{StartDelay: time.Hour})
	client := s.Client("")
	_, err := client.Servers.Order(context.Background(), order("o1", 1))
	c.Assert(err, qt.IsNil)
	s.SetFaults(platform.All, fault.Faults{Frozen: true})
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err = client.VMs.List(ctx)
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	c.Assert(s.Close(), qt.IsNil)
}
