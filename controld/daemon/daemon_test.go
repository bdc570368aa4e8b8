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

var listAll = &servers.ListPayload{}

// holderOf returns the daemon that holds a lease.
func holderOf(w *world, keeper func(*Daemon) *lease.Keeper, daemons ...*Daemon) *Daemon {
	var holder *Daemon
	w.eventually("a lease is held", func() bool {
		for _, d := range daemons {
			if keeper(d).Held() != nil {
				holder = d
			}
		}
		return holder != nil
	})
	return holder
}

func ordersOf(d *Daemon) *lease.Keeper { return d.orders }

func TestDaemonOrdersAndReports(t *testing.T) {
	w := newWorld(t)
	writer := usage.NewWriter(w.client("vm-1").Table, "vm-1", "a")
	d, stop := w.start("vm-1")
	w.use(writer)
	w.use(writer)
	w.eventually("the pool has its least size", func() bool { return w.alive() == 2 })
	w.eventually("usage is reported", func() bool { return w.reported() == 2 })
	w.eventually("ready", func() bool { return d.Ready() == nil })
	status := w.ask(d)
	w.c.Assert(status.Revision, qt.Equals, uint64(1))
	w.c.Assert(status.Leases, qt.HasLen, 2)
	w.c.Assert(status.Leases[0].Name, qt.Equals, "orders/quito-a")
	response, err := http.Get("http://" + d.OpsAddress() + "/metrics")
	w.c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	w.c.Assert(err, qt.IsNil)
	_ = response.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	w.c.Assert(string(body), qt.Contains, `acaciapath_control_lease_fence{lease="usage"} 1`)
	stop()
	row, err := w.client("judge").Read(context.Background(), lease.RowKey(lease.UsageName))
	w.c.Assert(err, qt.IsNil)
	parsed, err := lease.ParseRow(row[0].Value)
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(parsed.Holder, qt.Equals, "") // given back
}

// TestDaemonCutOff cuts the holder off from the platform, in both directions or
// only in one, evicts its backend servers, and lifts the cut after a succession.
func TestDaemonCutOff(t *testing.T) {
	for _, direction := range []fault.Direction{fault.Both, fault.Requests, fault.Replies} {
		t.Run("cut "+string(direction), func(t *testing.T) {
			w := newWorld(t)
			writer := usage.NewWriter(w.client("vm-0").Table, "vm-0", "a")
			first, _ := w.start("vm-1")
			second, _ := w.start("vm-2")
			old := holderOf(w, ordersOf, first, second)
			next := first
			if old == first {
				next = second
			}
			w.eventually("the pool has its least size", func() bool { return w.alive() == 2 })
			w.use(writer)
			w.platform.SetFaults(standin.All, fault.Faults{Partitions: []fault.Partition{{Caller: old.settings.VMName, Direction: direction}}})
			w.platform.EvictCheapServers(domain, 0)
			w.use(writer)
			w.eventually("the other one is in charge", func() bool { return next.orders.Held() != nil })
			w.eventually("the pool is filled again", func() bool { return w.alive() == 2 })
			w.platform.SetFaults(standin.All, fault.Faults{})
			w.platform.EvictCheapServers(domain, 0)
			w.eventually("the pool is filled once more", func() bool { return w.alive() == 2 })
			w.use(writer)
			w.eventually("all usage is reported", func() bool { return w.reported() == 3 })
			w.checkOneInCharge(standin.Servers)
			w.checkOneInCharge(standin.Usage)
			w.c.Assert(w.alive(), qt.Equals, 2)
		})
	}
}

// TestDaemonOutageAndLostReplies takes the platform down for longer than a
// lease and then loses replies.
func TestDaemonOutageAndLostReplies(t *testing.T) {
	w := newWorld(t)
	writer := usage.NewWriter(w.client("vm-0").Table, "vm-0", "a")
	first, _ := w.start("vm-1")
	second, _ := w.start("vm-2")
	holderOf(w, ordersOf, first, second)
	w.use(writer)
	w.platform.SetFaults(standin.All, fault.Faults{Down: true})
	w.eventually("nobody may send", func() bool {
		return first.orders.Held() == nil && second.orders.Held() == nil &&
			first.usage.Held() == nil && second.usage.Held() == nil
	})
	w.platform.SetFaults(standin.All, fault.Faults{LoseReplies: 5, LoseRequests: 5})
	w.eventually("the pool has its least size", func() bool { return w.alive() == 2 })
	w.use(writer)
	w.eventually("all usage is reported", func() bool { return w.reported() == 2 })
	w.checkOneInCharge(standin.Servers)
	w.checkOneInCharge(standin.Usage)
	ordered := 0
	for _, e := range w.platform.Log().Entries() {
		if e.Method == "order" && e.Outcome == standin.Done {
			ordered++
		}
	}
	w.c.Assert(ordered, qt.Equals, 2)
}

// TestDaemonFollowsTheWork has two entry daemons whose work together needs three
// backend servers with four places each.
func TestDaemonFollowsTheWork(t *testing.T) {
	w := newWorld(t)
	w.startEntry("vm-8", 5)
	w.startEntry("vm-9", 6)
	w.start("vm-1")
	w.eventually("the work has places", func() bool { return w.alive() == 3 })
	time.Sleep(testLease)
	w.c.Assert(w.alive(), qt.Equals, 3)
}

// TestDaemonHandsOver stops the holder gracefully: the next one takes over
// without waiting for the lease to expire.
func TestDaemonHandsOver(t *testing.T) {
	w := newWorld(t)
	first, stop := w.start("vm-1")
	w.eventually("in charge", func() bool { return first.orders.Held() != nil })
	second, _ := w.start("vm-2")
	stop()
	w.eventually("handed over", func() bool { return second.orders.Held() != nil })
	w.c.Assert(second.orders.Held().Fence, qt.Equals, uint64(2))
	w.eventually("the pool has its least size", func() bool { return w.alive() == 2 })
	w.checkOneInCharge(standin.Servers)
}

func TestDaemonWithoutConfigurationIsNotReady(t *testing.T) {
	c := qt.New(t)
	w := &world{c: c, platform: standin.New(standin.Options{})}
	c.Cleanup(func() { c.Check(w.platform.Close(), qt.IsNil) })
	d, _ := w.start("vm-1")
	time.Sleep(2 * testLease)
	c.Assert(d.Ready(), qt.ErrorIs, ErrNotConfigured)
	c.Assert(w.alive(), qt.Equals, 0)
}
