package daemon_test

import (
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// TestConfigurationAfterRestoreIsNotSkipped has a daemon lose the store, which comes back
// from a copy and has passed the daemon's last version again before the daemon reaches it.
func TestConfigurationAfterRestoreIsNotSkipped(t *testing.T) {
	d := newDeployment(t)
	d.writeConfig(3, "k")
	d.registerShop("ready")
	r := d.start("vm-1")
	d.eventually("it serves", func() bool { return r.lookStatus("k") == http.StatusOK })
	backup := d.store.Backup()
	for version := 4; version < 8; version++ {
		d.writeConfig(version, "second")
	}
	d.eventually("the second key is in force", func() bool { return r.lookStatus("second") == http.StatusOK })
	lost := d.store.Version()
	d.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Unavailable })
	d.store.Restore(backup)
	d.writeConfig(8, "third")
	for d.store.Version() <= lost+10 {
		d.store.Write("other", "row", "x")
	}
	d.store.SetFault(nil)
	d.eventually("the third key is in force", func() bool { return r.lookStatus("third") == http.StatusOK })
	d.Assert(r.lookStatus("second"), qt.Equals, http.StatusUnauthorized)
}

// restore has the store fail for a moment and come back from a copy. What the operator
// and the backend servers wrote is written again.
func (d *deployment) restore(backup *platformtest.Backup, configVersion int) {
	d.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Unavailable })
	time.Sleep(300 * time.Millisecond)
	d.store.Restore(backup)
	d.writeConfig(configVersion, "k")
	d.registerShop("ready")
	d.store.SetFault(nil)
}

// usageReports returns the requests of each window that was reported, after checking that
// all reports of a window have the same counts, and that fencing tokens do not go back or
// belong to several holders.
func (d *deployment) usageReports() map[float64]int {
	counts, first := make(map[float64]int), make(map[float64]string)
	holders := make(map[uint64]string)
	fence := uint64(0)
	for _, call := range d.cloud.Calls() {
		if call.Path != "/usage" {
			continue
		}
		id := call.Body["windowId"].(float64)
		report, err := json.Marshal(call.Body["counts"])
		d.Assert(err, qt.IsNil)
		if _, known := first[id]; !known {
			first[id] = string(report)
		}
		d.Assert(string(report), qt.Equals, first[id], qt.Commentf("window %.0f", id))
		counts[id] = 0
		for _, n := range call.Body["counts"].(map[string]any) {
			counts[id] += int(n.(float64))
		}
		d.Assert(call.Fence >= fence, qt.IsTrue, qt.Commentf("%d after %d", call.Fence, fence))
		fence = max(fence, call.Fence)
		if _, known := holders[call.Fence]; !known {
			holders[call.Fence] = call.Holder
		}
		d.Assert(call.Holder, qt.Equals, holders[call.Fence])
	}
	return counts
}

// TestUsageIsReportedOnceAfterRestore restores the store from a copy that lacks windows
// which were reported, while requests run on two daemons. No window may be reported with
// other counts, and each request must be counted.
func TestUsageIsReportedOnceAfterRestore(t *testing.T) {
	d := newDeployment(t)
	d.writeConfig(3, "k")
	d.registerShop("ready")
	daemons := []*runningDaemon{d.start("vm-1"), d.start("vm-2")}
	for _, r := range daemons {
		d.eventually("it serves", func() bool { return r.lookStatus("k") == http.StatusOK })
	}
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for _, r := range daemons {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
					r.lookStatus("k")
				}
			}
		})
	}
	reports := func(n int) func() bool { return func() bool { return len(d.usageReports()) >= n } }
	d.eventually("windows are reported", reports(1))
	backup := d.store.Backup()
	d.eventually("further windows are reported", reports(4))
	d.restore(backup, 4)
	d.eventually("windows are reported after the restoration", reports(9))
	close(stop)
	callers.Wait()
	for _, r := range daemons {
		r.stop()
		d.Assert(<-r.exited, qt.IsNil)
	}
	ran := len(callersRequests(d.shop))
	last := d.start("vm-3")
	d.eventually("all requests are reported", func() bool { return sum(d.usageReports()) >= ran })
	last.stop()
	d.Assert(sum(d.usageReports()), qt.Equals, ran)
}

// sum returns the sum of all counts.
func sum(counts map[float64]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// TestServerThatLeavesIsNotUsedAfterRestore restores the store from a copy in which a server
// is ready that has begun to drain, or was removed, since. It must get no requests.
func TestServerThatLeavesIsNotUsedAfterRestore(t *testing.T) {
	for _, removed := range []bool{false, true} {
		d := newDeployment(t)
		stays := platformtest.NewServer("i-2", 1)
		d.Cleanup(stays.Close)
		d.writeConfig(3, "k")
		d.registerShop("ready")
		d.store.Write("servers", "i-2", stays.Entry("shop", "z", "ready"))
		r := d.start("vm-1")
		d.eventually("both servers are used", func() bool {
			r.lookStatus("k")
			return len(callersRequests(d.shop)) > 0 && len(callersRequests(stays)) > 0
		})
		backup := d.store.Backup()
		if removed {
			d.store.Remove("servers", "i-1")
		} else {
			d.registerShop("draining")
		}
		unused := func() bool {
			before := len(callersRequests(d.shop))
			for range 20 {
				r.lookStatus("k")
			}
			return len(callersRequests(d.shop)) == before
		}
		d.eventually("the server that leaves is not used", unused)
		d.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Unavailable })
		time.Sleep(300 * time.Millisecond)
		d.store.Restore(backup)
		d.store.SetFault(nil)
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			d.Assert(unused(), qt.IsTrue, qt.Commentf("removed %t", removed))
		}
		d.Assert(r.lookStatus("k"), qt.Equals, http.StatusOK)
		r.stop()
	}
}

// TestNoWindowIsReportedTwiceIfAllDaemonsAreNew restores the store while no daemon runs that
// knows which windows were reported. Those that ended before must not be reported again.
func TestNoWindowIsReportedTwiceIfAllDaemonsAreNew(t *testing.T) {
	d := newDeployment(t)
	d.writeConfig(3, "k")
	d.registerShop("ready")
	first := d.start("vm-1")
	d.eventually("it serves", func() bool { return first.lookStatus("k") == http.StatusOK })
	d.eventually("a window is reported", func() bool { return len(d.usageReports()) >= 1 })
	backup := d.store.Backup()
	d.eventually("further windows are reported", func() bool {
		first.lookStatus("k")
		return len(d.usageReports()) >= 4
	})
	first.stop()
	d.Assert(<-first.exited, qt.IsNil)
	reported := len(d.usageReports())
	d.restore(backup, 4)
	second := d.start("vm-2")
	d.eventually("windows are reported again", func() bool {
		second.lookStatus("k")
		return len(d.usageReports()) >= reported+3
	})
}
