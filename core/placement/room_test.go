package placement_test

import (
	"fmt"
	"testing"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/placement"

	qt "github.com/frankban/quicktest"
)

// members returns the names of n VMs.
func members(n int) []string {
	vms := make([]string, n)
	for i := range vms {
		vms[i] = fmt.Sprintf("vm-%d", i)
	}
	return vms
}

// TestDaemonsBeginAtDifferentServers checks that daemons which run nothing choose each server
// of their failure domain equally often, and the same one each time.
func TestDaemonsBeginAtDifferentServers(t *testing.T) {
	c := qt.New(t)
	requirements := placement.Requirements{FailureDomain: "a", Generates: true, PromptTokens: 1500}
	used := make(map[string]int)
	for _, vm := range members(12) {
		p := newPool(0, fleet(4, config.KindStandard)...)
		p.SetPeers(placement.Peers{VM: vm, FailureDomain: "a", Members: members(12)}, start)
		random := newRandom()
		s := p.Choose(requirements, start, random)
		c.Assert(p.Choose(requirements, start, random), qt.Equals, s)
		used[s.Spec.Name]++
	}
	c.Assert(used, qt.HasLen, 4)
	for name, n := range used {
		c.Assert(n, qt.Equals, 3, qt.Commentf("%s", name))
	}
}

// TestBurstLeavesTheFailureDomain checks that a daemon whose requests exceed its part of the
// slots in its failure domain uses others before the servers there are full.
func TestBurstLeavesTheFailureDomain(t *testing.T) {
	c := qt.New(t)
	p := newPool(0, fleet(4, config.KindStandard)...)
	p.SetPeers(placement.Peers{VM: "vm-0", FailureDomain: "a", Members: members(16)}, start)
	requirements := placement.Requirements{FailureDomain: "a", Generates: true, PromptTokens: 100}
	counts := make(map[string]int)
	for range 4 * 64 / 8 {
		s := p.Choose(requirements, start, newRandom())
		s.BeginRequest(requirements, start)
		s.RecordFirstEvent(requirements)
		counts[s.Spec.FailureDomain]++
	}
	c.Assert(counts["a"] >= 4*64/16, qt.IsTrue, qt.Commentf("%v", counts))
	c.Assert(counts["b"] > 0 && counts["c"] > 0, qt.IsTrue, qt.Commentf("%v", counts))
}

// TestEngineMemoryIsNotExceeded checks that requests are not sent to an engine that this
// daemon's requests alone would fill, while another one has room, and that a shared prefix
// counts once.
func TestEngineMemoryIsNotExceeded(t *testing.T) {
	c := qt.New(t)
	p := newPool(0, fleet(1, config.KindStandard)...)
	p.KVCacheTokens = 100_000
	large := placement.Requirements{FailureDomain: "a", Generates: true, PromptTokens: 39_000, OutputTokens: 1000}
	for range 6 {
		s := p.Choose(large, start, newRandom())
		s.BeginRequest(large, start)
		s.RecordFirstEvent(large)
	}
	for _, s := range p.Servers {
		c.Assert(s.HeldTokens, qt.Equals, 80_000, qt.Commentf("%s", s.Spec.Name))
	}
	s := p.Servers[0]
	shared := placement.Requirements{Generates: true, PromptTokens: 12_000, SharedPrefixKey: 7, SharedPrefixTokens: 10_000}
	first := s.BeginRequest(shared, start)
	second := s.BeginRequest(shared, start)
	c.Assert([]int{first, second}, qt.DeepEquals, []int{12_000, 2000})
	s.FinishRequest(first, start)
	s.FinishRequest(second, start)
	c.Assert(s.HeldTokens, qt.Equals, 80_000)
}

// TestSlowServersGetLess checks that a daemon avoids a server whose events come more slowly
// than those of others while others have room, and tries it again later.
func TestSlowServersGetLess(t *testing.T) {
	c := qt.New(t)
	p := newPool(0, fleet(2, config.KindStandard)...)
	requirements := placement.Requirements{FailureDomain: "a", Generates: true, PromptTokens: 1500}
	slow, fast := p.Servers[0], p.Servers[1]
	for range 5 {
		p.ObserveInterval(slow, placement.Patient, 110*time.Millisecond, start)
		p.ObserveInterval(fast, placement.Patient, 30*time.Millisecond, start)
	}
	c.Assert(p.Pace(slow, start) > 1.2 && p.Pace(fast, start) < 1, qt.IsTrue)
	random := newRandom()
	for range 2 {
		s := p.Choose(requirements, start, random)
		c.Assert(s, qt.Equals, fast)
		s.BeginRequest(requirements, start)
		s.RecordFirstEvent(requirements)
	}
	b := p.Balance(placement.Patient, start)
	c.Assert([]int{b.Servers, b.Slow, b.Crowded}, qt.DeepEquals, []int{6, 1, 0})
	c.Assert(b.BusiestRatio, qt.Equals, 6.0)
	later := start.Add(time.Minute)
	c.Assert(p.Pace(slow, later), qt.Equals, 1.0)
	c.Assert(p.Choose(requirements, later, random), qt.Equals, slow)
}

// TestHotPrefixGetsMoreHomes checks that a prefix which this daemon sees often gets further
// homes when there are many daemons, that a rare one has one, and that it loses them later.
func TestHotPrefixGetsMoreHomes(t *testing.T) {
	c := qt.New(t)
	p := newPool(0, fleet(8, config.KindStandard)...)
	p.SetPeers(placement.Peers{VM: "vm-0", FailureDomain: "a", Members: members(16), Daemons: 86, Domains: 3}, start)
	random := newRandom()
	used := func(key uint64, from time.Time) int {
		servers := make(map[*placement.Server]bool)
		for i := range 8 {
			requirements := placement.Requirements{
				FailureDomain: "a", Generates: true, PromptTokens: 17_000, SharedPrefixKey: key, SharedPrefixTokens: 13_300,
			}
			s := p.Choose(requirements, from.Add(time.Duration(i)*500*time.Millisecond), random)
			s.BeginRequest(requirements, from)
			s.RecordFirstEvent(requirements)
			servers[s] = true
		}
		return len(servers)
	}
	c.Assert(used(7, start) > 2, qt.IsTrue)
	for key := uint64(100); key < 2100; key++ {
		p.Choose(placement.Requirements{Generates: true, SharedPrefixKey: key}, start.Add(4*time.Second), random)
	}
	rare := placement.Requirements{FailureDomain: "a", Generates: true, PromptTokens: 17_000, SharedPrefixKey: 9, SharedPrefixTokens: 13_300}
	home := p.Choose(rare, start.Add(time.Minute), random)
	for i := range 10 {
		c.Assert(p.Choose(rare, start.Add(time.Duration(i+2)*time.Minute), random), qt.Equals, home)
	}
}
