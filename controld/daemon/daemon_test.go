package daemon

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"acaciapath.example/core/gen/servers"
	"acaciapath.example/core/lease"
	"acaciapath.example/core/usage"
	"acaciapath.example/standin/fault"
	standin "acaciapath.example/standin/platform"

	qt "github.com/frankban/quicktest"
)

var listAllPayload = &servers.ListPayload{}

// awaitHolder waits until one of the daemons holds a lease and returns that daemon.
func awaitHolder(env *testEnv, leaseOf func(*Daemon) *lease.Keeper, daemons ...*Daemon) *Daemon {
	var holder *Daemon
	env.eventually("a lease is held", func() bool {
		for _, d := range daemons {
			if leaseOf(d).Held() != nil {
				holder = d
			}
		}
		return holder != nil
	})
	return holder
}

func ordersLeaseOf(d *Daemon) *lease.Keeper { return d.ordersLease }

func TestOrdersServersAndReportsUsage(t *testing.T) {
	env := newTestEnv(t)
	writer := usage.NewWriter(env.client("vm-1").Table, "vm-1", "a")
	d, stop := env.start("vm-1")
	env.writeUsage(writer)
	env.writeUsage(writer)
	env.eventually("the pool has its minimum size", func() bool { return env.liveServers() == 2 })
	env.eventually("usage is reported", func() bool { return env.reportedRequests() == 2 })
	env.eventually("the daemon is ready", func() bool { return d.Ready() == nil })
	status := env.peerStatus(d)
	env.c.Assert(status.Revision, qt.Equals, uint64(1))
	env.c.Assert(status.Leases, qt.HasLen, 2)
	env.c.Assert(status.Leases[0].Name, qt.Equals, "orders/quito-a")
	response, err := http.Get("http://" + d.OpsAddress() + "/metrics")
	env.c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	env.c.Assert(err, qt.IsNil)
	_ = response.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	env.c.Assert(string(body), qt.Contains, `acaciapath_control_lease_fence{lease="usage"} 1`)
	stop()
	row, err := env.client("observer").Read(context.Background(), lease.RowKey(lease.UsageReportsName))
	env.c.Assert(err, qt.IsNil)
	parsed, err := lease.ParseRow(row[0].Value)
	env.c.Assert(err, qt.IsNil)
	env.c.Assert(parsed.Holder, qt.Equals, "") // the lease was released
}

// TestHolderPartitionedFromPlatform guards against a partitioned holder that goes on
// sending. The holder of the orders lease is partitioned from the platform, in both
// directions or in one, while backend servers are evicted and usage is written. The
// partition ends after another daemon has acquired the lease.
func TestHolderPartitionedFromPlatform(t *testing.T) {
	for _, direction := range []fault.Direction{fault.Both, fault.Requests, fault.Replies} {
		t.Run("partition "+string(direction), func(t *testing.T) {
			env := newTestEnv(t)
			writer := usage.NewWriter(env.client("vm-0").Table, "vm-0", "a")
			first, _ := env.start("vm-1")
			second, _ := env.start("vm-2")
			holder := awaitHolder(env, ordersLeaseOf, first, second)
			next := first
			if holder == first {
				next = second
			}
			env.eventually("the pool has its minimum size", func() bool { return env.liveServers() == 2 })
			env.writeUsage(writer)
			env.platform.SetFaults(standin.All, fault.Faults{Partitions: []fault.Partition{{Caller: holder.settings.VMName, Direction: direction}}})
			env.platform.EvictCheapServers(domain, 0)
			env.writeUsage(writer)
			env.eventually("the other daemon holds the orders lease", func() bool { return next.ordersLease.Held() != nil })
			env.eventually("the pool is refilled", func() bool { return env.liveServers() == 2 })
			env.platform.SetFaults(standin.All, fault.Faults{})
			env.platform.EvictCheapServers(domain, 0)
			env.eventually("the pool is refilled after the partition", func() bool { return env.liveServers() == 2 })
			env.writeUsage(writer)
			env.eventually("all usage is reported", func() bool { return env.reportedRequests() == 3 })
			env.checkSingleSender(standin.Servers)
			env.checkSingleSender(standin.Usage)
			env.c.Assert(env.liveServers(), qt.Equals, 2)
		})
	}
}

// TestPlatformOutageAndLostReplies guards against duplicate orders and reports. The
// platform is down for longer than a lease, and then requests and replies are lost.
func TestPlatformOutageAndLostReplies(t *testing.T) {
	env := newTestEnv(t)
	writer := usage.NewWriter(env.client("vm-0").Table, "vm-0", "a")
	first, _ := env.start("vm-1")
	second, _ := env.start("vm-2")
	awaitHolder(env, ordersLeaseOf, first, second)
	env.writeUsage(writer)
	env.platform.SetFaults(standin.All, fault.Faults{Down: true})
	env.eventually("no daemon holds a lease", func() bool {
		return first.ordersLease.Held() == nil && second.ordersLease.Held() == nil &&
			first.usageLease.Held() == nil && second.usageLease.Held() == nil
	})
	env.platform.SetFaults(standin.All, fault.Faults{LoseReplies: 5, LoseRequests: 5})
	env.eventually("the pool has its minimum size", func() bool { return env.liveServers() == 2 })
	env.writeUsage(writer)
	env.eventually("all usage is reported", func() bool { return env.reportedRequests() == 2 })
	env.checkSingleSender(standin.Servers)
	env.checkSingleSender(standin.Usage)
	ordered := 0
	for _, e := range env.platform.Log().Entries() {
		if e.Method == "order" && e.Outcome == standin.Done {
			ordered++
		}
	}
	env.c.Assert(ordered, qt.Equals, 2)
}

// TestPoolScalesWithQueuedRequests runs two entry daemons with 11 waiting requests in
// total, which need three backend servers with four slots each.
func TestPoolScalesWithQueuedRequests(t *testing.T) {
	env := newTestEnv(t)
	env.startEntry("vm-8", 5)
	env.startEntry("vm-9", 6)
	env.start("vm-1")
	env.eventually("the queued requests have slots", func() bool { return env.liveServers() == 3 })
	time.Sleep(testLease)
	env.c.Assert(env.liveServers(), qt.Equals, 3)
}

// TestGracefulStopReleasesLease stops the holder gracefully and checks that the other
// daemon acquires the lease with the next fencing token.
func TestGracefulStopReleasesLease(t *testing.T) {
	env := newTestEnv(t)
	first, stop := env.start("vm-1")
	env.eventually("the first daemon holds the orders lease", func() bool { return first.ordersLease.Held() != nil })
	second, _ := env.start("vm-2")
	stop()
	env.eventually("the second daemon holds the orders lease", func() bool { return second.ordersLease.Held() != nil })
	env.c.Assert(second.ordersLease.Held().Fence, qt.Equals, uint64(2))
	env.eventually("the pool has its minimum size", func() bool { return env.liveServers() == 2 })
	env.checkSingleSender(standin.Servers)
}

func TestNotReadyWithoutConfiguration(t *testing.T) {
	c := qt.New(t)
	env := &testEnv{c: c, platform: standin.New(standin.Options{})}
	c.Cleanup(func() { c.Check(env.platform.Close(), qt.IsNil) })
	d, _ := env.start("vm-1")
	time.Sleep(2 * testLease)
	c.Assert(d.Ready(), qt.ErrorIs, ErrNotConfigured)
	c.Assert(env.liveServers(), qt.Equals, 0)
}
