package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/membership"
	"acaciapath.example/core/peer"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// newTable returns the table of the entry daemon on vm-000.
func newTable() *membership.Table {
	self := membership.Record{
		MemberID: membership.ID{VM: "vm-000", Role: peer.RoleEntry}, FailureDomain: "a", Address: "10.0.0.1:1",
	}
	return membership.New(self, rand.New(rand.NewPCG(1, 1)), start)
}

// vmList returns count VMs with an entry and a control daemon each.
func vmList(count int) []*vms.VM {
	list := make([]*vms.VM, count)
	for i := range list {
		list[i] = &vms.VM{Name: fmt.Sprintf("vm-%03d", i), FailureDomain: "a", Address: "10.0.0.1", PeerPort: 1, ControlPort: 2}
	}
	return list
}

// TestHomeMoves checks that only the keys of a leaving member get another home.
func TestHomeMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable()
		list := vmList(rapid.IntRange(2, 30).Draw(t, "vms"))
		table.SetVMs(list, start)
		keys := rapid.SliceOfN(rapid.String(), 1, 50).Draw(t, "keys")
		before := make([]string, len(keys))
		for i, key := range keys {
			before[i] = table.Home(key, start).VM
		}
		leaving := rapid.SampledFrom(list[1:]).Draw(t, "leaving")
		leaving.Leaving = true
		table.SetVMs(list, start)
		for i, key := range keys {
			after := table.Home(key, start).VM
			if after == leaving.Name || (after != before[i] && before[i] != leaving.Name) {
				t.Fatalf("%q moved from %s to %s when %s left", key, before[i], after, leaving.Name)
			}
		}
	})
}

// TestProbeOrder checks that every member is probed once before one is probed
// again.
func TestProbeOrder(t *testing.T) {
	c := qt.New(t)
	const others = 2*20 - 1 // all daemons but this one
	table := newTable()
	now := start
	table.SetVMs(vmList(20), now)
	for range 3 {
		probed := map[membership.ID]bool{}
		for range others {
			now = now.Add(membership.Period)
			for _, probe := range table.Tick(now) {
				probed[probe.To.MemberID] = true
			}
		}
		c.Check(probed, qt.HasLen, others)
	}
}

// TestLimitShare checks which daemons count for the sharing of limits.
func TestLimitShare(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	c.Check(table.LimitShare(start), qt.Equals, 1.0)
	list := vmList(4)
	table.SetVMs(list, start)
	c.Check(table.LimitShare(start), qt.Equals, 0.25)
	list[3].Leaving = true
	table.SetVMs(list, start)
	c.Check(table.LimitShare(start), qt.Equals, 0.25)
	now := start
	for range 12 {
		now = now.Add(membership.Period)
		table.View(now)
	}
	c.Check(table.LimitShare(now), qt.Equals, 1.0/3)
	c.Check(table.LimitShare(now.Add(time.Hour)), qt.Equals, 1.0/3)
}

// TestPauseDoesNotExpireSuspicion checks that a daemon that was paused does not
// declare a suspected member dead when it resumes: the member still has its time
// to refute the suspicion.
func TestPauseDoesNotExpireSuspicion(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	list := vmList(2)
	list[1].ControlPort = 0
	list[0].ControlPort = 0
	table.SetVMs(list, start)
	now := start
	state := func() peer.MemberState { return table.Members(now)[1].State }
	for state() == peer.MemberLive {
		now = now.Add(membership.Period)
		for _, probe := range table.Tick(now) {
			table.HandleFailure(probe, now)
		}
	}
	c.Assert(state(), qt.Equals, peer.MemberSuspected)
	now = now.Add(time.Hour)
	table.Tick(now)
	c.Check(state(), qt.Equals, peer.MemberSuspected)
	c.Check(table.LimitShare(now), qt.Equals, 0.5)
}

// TestMergeOrder checks that the order in which a daemon receives updates does not
// matter.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := rapid.Custom(func(t *rapid.T) membership.Record {
			return membership.Record{
				MemberID: membership.ID{VM: "vm-001", Role: peer.RoleEntry}, FailureDomain: "a", Address: "10.0.0.1:1",
				Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
				State:       rapid.SampledFrom([]peer.MemberState{peer.MemberLive, peer.MemberSuspected, peer.MemberDead}).Draw(t, "state"),
				Leaving:     rapid.Bool().Draw(t, "leaving"),
			}
		})
		updates := rapid.SliceOfN(record, 1, 6).Draw(t, "updates")
		shuffled := rapid.Permutation(updates).Draw(t, "shuffled")
		if a, b := membersAfter(updates), membersAfter(shuffled); !slices.Equal(a, b) {
			t.Fatalf("members depend on the order of the updates: %v and %v", a, b)
		}
	})
}

// membersAfter returns the members of a table that received the updates one after
// the other.
func membersAfter(updates []membership.Record) []peer.Member {
	table := newTable()
	table.SetVMs(vmList(2), start)
	from := membership.Record{MemberID: membership.ID{VM: "vm-001", Role: peer.RoleControl}, FailureDomain: "a", State: peer.MemberLive}
	for _, update := range updates {
		table.HandleHeartbeat(peer.Heartbeat{Gossip: peer.Gossip{From: from, Updates: []membership.Record{update}}}, start)
	}
	return table.Members(start)
}

// TestProbeChangesWhileItIsSent has news of a target arrive between the decision on indirect
// probes and their sending, which is done without the table's lock.
func TestProbeChangesWhileItIsSent(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	table.SetVMs(vmList(5), start)
	probes := table.Tick(start.Add(membership.Period))
	c.Assert(probes, qt.Not(qt.HasLen), 0)
	target := probes[0].To
	indirect := table.HandleFailure(probes[0], start.Add(membership.Period))
	c.Assert(indirect, qt.Not(qt.HasLen), 0)
	news := target
	news.Incarnation, news.Leaving = target.Incarnation+1, true
	from := membership.Record{MemberID: membership.ID{VM: "vm-004", Role: peer.RoleControl}, FailureDomain: "a", State: peer.MemberLive}
	table.HandleHeartbeat(peer.Heartbeat{Gossip: peer.Gossip{From: from, Updates: []membership.Record{news}}}, start.Add(membership.Period))
	for _, probe := range indirect {
		c.Assert(*probe.Request.Target, qt.DeepEquals, target)
	}
}
