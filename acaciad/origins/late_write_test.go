package origins_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"acaciapath.example/acaciad/origins"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// usesOnly reports whether the streams of a registry begin at all of the given versions, and at no
// others.
func usesOnly(f *fixture, r *origins.Registry, versions map[string]int) bool {
	used := make(map[string]bool)
	for i := range 60 {
		version, _ := r.Choose(f.Context(), service, stream(fmt.Sprint(i)))
		used[version] = true
	}
	for version := range versions {
		if !used[version] {
			return false
		}
	}
	return len(used) == len(versions)
}

// storedPlan returns the part of the row of a VM that has the plan.
func (f *fixture) storedPlan(vm string) string {
	rows, err := f.table.Get(f.Context(), &table.GetPayload{Keys: []string{"stream-origins/" + vm}})
	f.Assert(err, qt.IsNil)
	f.Assert(rows, qt.HasLen, 1)
	_, plan, _ := strings.Cut(string(rows[0].Value), `"plan":`)
	plan, _, _ = strings.Cut(plan, "]")
	return plan
}

// TestLateWriteReplacesNoNewerPlans has the answer of a write lost, which the store performs after the
// next change of plans. It replaced the newer row, so that streams that broke off went on at
// another software version (review/7, ORDER).
func TestLateWriteReplacesNoNewerPlans(t *testing.T) {
	f := newFixture(t)
	delays := f.store.DelayWrites()
	one, stop := f.start("vm-1")
	two, _ := f.start("vm-2")
	f.waitForRow(one)
	f.waitForRow(two)
	only := map[string]int{"v1": 4}
	delays.Store(true)
	for _, r := range []*origins.Registry{one, two} {
		r.SetListed(listed(only), time.Now())
	}
	f.eventually(func() bool { return f.store.Late() >= 2 }) // one of each daemon
	delays.Store(false)
	for _, r := range []*origins.Registry{one, two} {
		f.eventually(func() bool { return usesOnly(f, r, only) })
		r.SetListed(listed(both), time.Now())
	}
	for _, r := range []*origins.Registry{one, two} {
		f.eventually(func() bool { return usesOnly(f, r, both) })
	}
	time.Sleep(500 * time.Millisecond) // nothing is left to write
	versions := make(map[string]string)
	for i := range 24 {
		id := fmt.Sprint(i)
		versions[id] = f.begin(one, id)
	}
	plan := f.storedPlan("vm-1")
	f.store.ApplyLate()
	f.Check(f.storedPlan("vm-1"), qt.Equals, plan)
	stop()
	time.Sleep(300 * time.Millisecond) // earlier reads are not used any more
	for id, version := range versions {
		f.Check(f.version(two, id), qt.Equals, version, qt.Commentf("stream %s", id))
	}
}

// TestLateWriteOfEarlierProcess has a write of a daemon that was killed performed after the daemon
// that replaced it has written its row. It took back the plans and streams of the new one. Writes of
// earlier builds have no condition, so that the row is looked at for a while.
func TestLateWriteOfEarlierProcess(t *testing.T) {
	for _, conditional := range []bool{true, false} {
		t.Run(fmt.Sprintf("conditional=%v", conditional), func(t *testing.T) {
			f := newFixture(t)
			delays := f.store.DelayWrites()
			_, stop := f.start("vm-1")
			f.eventually(func() bool { return len(f.store.Rows("acaciapath", "control")) == 1 })
			delays.Store(true)
			one, stopSecond := f.start("vm-1") // its first write is delayed
			one.SetListed(listed(map[string]int{"v0": 4}), time.Now())
			f.eventually(func() bool { return f.store.Late() > 0 })
			stopSecond()
			stop()
			delays.Store(false)
			one, _ = f.start("vm-1")
			f.eventually(func() bool { return usesOnly(f, one, both) })
			time.Sleep(3 * time.Second) // the plans of others have been read
			plan := f.storedPlan("vm-1")
			if conditional {
				f.store.ApplyLate()
			} else {
				rows := f.store.Rows("acaciapath", "control")
				old := strings.Replace(string(rows[0].Data), "v2", "v0", 1)
				_, err := f.table.Commit(f.Context(), &table.CommitPayload{Writes: []*table.Write{{Key: rows[0].Key, Value: []byte(old)}}})
				f.Assert(err, qt.IsNil)
				f.Assert(f.storedPlan("vm-1"), qt.Not(qt.Equals), plan)
			}
			f.eventually(func() bool { return f.storedPlan("vm-1") == plan })
		})
	}
}

// TestKilledBeforePlansAreKnownToBeWritten ends daemons after the store has performed the write of a
// change of plans and before they hear of that, so that they go on by the old plans. Their streams
// were taken for those of the new plans (ORDER).
func TestKilledBeforePlansAreKnownToBeWritten(t *testing.T) {
	f := newFixture(t)
	one, stopOne := f.start("vm-1")
	two, stopTwo := f.start("vm-2")
	only := map[string]int{"v1": 4}
	for _, r := range []*origins.Registry{one, two} {
		r.SetListed(listed(only), time.Now())
	}
	for _, r := range []*origins.Registry{one, two} {
		f.eventually(func() bool { return usesOnly(f, r, only) })
	}
	time.Sleep(500 * time.Millisecond) // nothing is left to write
	f.store.SetFault(func(method, _ string) platformtest.Fault {
		if method == "POST" {
			return platformtest.ReplyLost
		}
		return platformtest.NoFault
	})
	for _, r := range []*origins.Registry{one, two} {
		r.SetListed(listed(both), time.Now())
		f.eventually(func() bool { return strings.Contains(f.storedPlan(r.VM), "v2") })
	}
	time.Sleep(400 * time.Millisecond) // streams no longer wait for the write
	versions := make(map[string]string)
	for i := range 24 {
		id := fmt.Sprint(i)
		versions[id] = f.begin(one, id)
	}
	stopOne()
	stopTwo()
	f.store.SetFault(nil)
	three, _ := f.start("vm-3")
	f.waitForRow(three)
	known := 0
	for id, version := range versions {
		if found := f.version(three, id); found != "" {
			known++
			f.Check(found, qt.Equals, version, qt.Commentf("stream %s", id))
		}
	}
	f.Check(known > len(versions)/4, qt.IsTrue, qt.Commentf("%d of %d streams are known", known, len(versions)))
}
