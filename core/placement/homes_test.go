package placement_test

import (
	"testing"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/placement"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// regions are those of the failure domains of fleet, and of one without servers.
var regions = map[string]string{"a": "north", "b": "north", "c": "south", "d": "west"}

// TestDomainsIn checks which failure domains homes stand for, and that those of an unknown
// region are none.
func TestDomainsIn(t *testing.T) {
	c := qt.New(t)
	c.Assert(placement.DomainsIn(nil, regions), qt.IsNil)
	c.Assert(placement.DomainsIn([]string{"north", "west"}, regions), qt.DeepEquals, placement.Domains{"a": true, "b": true, "d": true})
	unknown := placement.DomainsIn([]string{"east"}, regions)
	c.Assert(unknown, qt.IsNotNil)
	c.Assert(placement.Homes{Route: unknown}.Allow("a"), qt.IsFalse)
	c.Assert(placement.UnknownRegions([]string{"up", "north", "east", "up"}, regions), qt.DeepEquals, []string{"east", "up"})
}

// TestRequestsStayInTheirHomes has requests of all kinds with random homes, while failure domains
// are evacuated: none may be placed elsewhere, however busy the servers there are, and each must
// be placed if a server may serve it.
func TestRequestsStayInTheirHomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(0.3, fleet(3, config.KindStandard)...)
		subset := func(label string) placement.Domains {
			domains := make(placement.Domains)
			for _, domain := range rapid.SliceOf(rapid.SampledFrom([]string{"a", "b", "c", "d"})).Draw(t, label) {
				domains[domain] = true
			}
			return domains
		}
		evacuated := subset("evacuated")
		p.SetEvacuated(evacuated, start)
		random := newRandom()
		for range 50 {
			r := placement.Requirements{
				FailureDomain: "a", Generates: rapid.Bool().Draw(t, "generates"), PromptTokens: 3000,
				Lane:            rapid.SampledFrom([]placement.Lane{placement.Patient, placement.ShortPauses}).Draw(t, "lane"),
				SharedPrefixKey: rapid.Uint64Range(0, 5).Draw(t, "prefix"), SharedPrefixTokens: 2000,
			}
			if rapid.Bool().Draw(t, "route") {
				r.Homes.Route = subset("route homes")
			}
			if rapid.Bool().Draw(t, "account") {
				r.Homes.Account = subset("account homes")
			}
			served := false
			for _, domain := range []string{"a", "b", "c"} {
				served = served || !evacuated[domain] && r.Homes.Allow(domain)
			}
			s := p.Choose(r, start, random)
			if served != (s != nil) {
				t.Fatalf("server %v with homes %v, evacuated %v", s, r.Homes, evacuated)
			}
			if s == nil {
				if p.Barrier(r.Homes) == placement.NoBarrier {
					t.Fatalf("no barrier with homes %v, evacuated %v", r.Homes, evacuated)
				}
				continue
			}
			if !r.Homes.Allow(s.Spec.FailureDomain) || evacuated[s.Spec.FailureDomain] {
				t.Fatalf("placed in %s with homes %v, evacuated %v", s.Spec.FailureDomain, r.Homes, evacuated)
			}
			s.BeginRequest(r, start)
		}
	})
}

// TestPrefixIsCachedInTheHomes checks that requests that share a prefix and have the same homes
// meet at one server there, although the prefix is cached elsewhere for others.
func TestPrefixIsCachedInTheHomes(t *testing.T) {
	c := qt.New(t)
	p := newPool(0, fleet(4, config.KindStandard)...)
	random := newRandom()
	for key := range uint64(50) {
		r := placement.Requirements{
			FailureDomain: "a", Generates: true, PromptTokens: 17000, SharedPrefixKey: key + 1, SharedPrefixTokens: 13300,
			Homes: placement.Homes{Route: placement.Domains{"b": true, "c": true}, Account: placement.Domains{"a": true, "c": true}},
		}
		first := p.Choose(r, start, random)
		c.Assert(first.Spec.FailureDomain, qt.Equals, "c")
		c.Assert(p.Choose(r, start, random), qt.Equals, first)
	}
}

// TestEvacuationMovesLanes checks that each lane keeps servers when a failure domain is evacuated,
// and that all is as before once that is taken back.
func TestEvacuationMovesLanes(t *testing.T) {
	c := qt.New(t)
	p := newPool(0.3, fleet(6, config.KindStandard)...)
	lanes := func() map[string]placement.Lane {
		all := make(map[string]placement.Lane)
		for _, s := range p.Servers {
			all[s.Spec.Name] = s.Lane
		}
		return all
	}
	before := lanes()
	p.SetEvacuated(map[string]bool{"b": true}, start)
	p.Update(fleet(6, config.KindStandard), start) // the list is read again meanwhile
	for _, s := range p.Servers {
		c.Assert(p.Availability(s, start) == placement.Evacuated, qt.Equals, s.Spec.FailureDomain == "b")
		if s.Spec.FailureDomain != "b" {
			c.Assert(s.Lane, qt.Equals, before[s.Spec.Name])
		}
	}
	p.SetEvacuated(nil, start)
	c.Assert(lanes(), qt.DeepEquals, before)
}

// TestBarrierTellsWhyNoServerIsLeft checks that homes and evacuations are named as the reason only
// if they are.
func TestBarrierTellsWhyNoServerIsLeft(t *testing.T) {
	c := qt.New(t)
	p := newPool(0, fleet(1, config.KindStandard)...)
	south, west := placement.Homes{Route: placement.Domains{"c": true}}, placement.Homes{Account: placement.Domains{"d": true}}
	c.Assert(p.Barrier(south), qt.Equals, placement.NoBarrier)
	c.Assert(p.Barrier(west), qt.Equals, placement.OutsideHomes)
	p.SetEvacuated(map[string]bool{"c": true}, start)
	c.Assert(p.Barrier(south), qt.Equals, placement.EvacuatedHomes)
	c.Assert(p.Barrier(placement.Homes{}), qt.Equals, placement.NoBarrier)
	p.Update(nil, start.Add(time.Second))
	c.Assert(p.Barrier(west), qt.Equals, placement.NoBarrier)
}

// TestStreamsBeginAtServersThatMayServe checks that evacuated servers do not count for the versions
// at which streams begin, unless there are no others.
func TestStreamsBeginAtServersThatMayServe(t *testing.T) {
	c := qt.New(t)
	specs := fleet(2, config.KindStandard)
	for i := range specs {
		specs[i].Version = map[string]string{"a": "v1", "b": "v2", "c": "v2"}[specs[i].FailureDomain]
	}
	p := newPool(0, specs...)
	c.Assert(p.VersionCounts(), qt.DeepEquals, map[string]int{"v1": 2, "v2": 4})
	p.SetEvacuated(map[string]bool{"a": true}, start)
	c.Assert(p.VersionCounts(), qt.DeepEquals, map[string]int{"v2": 4})
	p.SetEvacuated(map[string]bool{"a": true, "b": true, "c": true}, start)
	c.Assert(p.VersionCounts(), qt.DeepEquals, map[string]int{"v1": 2, "v2": 4})
}

// TestEvacuatedServersHaveNoPart checks that requests that share a prefix meet at another server
// when theirs is evacuated, and that daemons of an evacuated failure domain get a part of the limits
// of servers elsewhere.
func TestEvacuatedServersHaveNoPart(t *testing.T) {
	c := qt.New(t)
	p := newPool(0, fleet(4, config.KindStandard)...)
	p.SetPeers(placement.Peers{VM: "vm-1", FailureDomain: "a", Members: []string{"vm-1"}, Domains: 3}, start)
	limited := p.Servers[len(p.Servers)-1]
	c.Assert(limited.Spec.FailureDomain, qt.Equals, "c")
	p.SetLimit(limited, 10, start)
	later := start.Add(5 * time.Second)
	c.Assert(p.Availability(limited, later), qt.Equals, placement.Limited)
	p.SetEvacuated(map[string]bool{"a": true}, later)
	c.Assert(p.Availability(limited, later.Add(5*time.Second)), qt.Equals, placement.Available)
	random := newRandom()
	for key := range uint64(50) {
		r := placement.Requirements{FailureDomain: "a", Generates: true, PromptTokens: 17000, SharedPrefixKey: key + 1, SharedPrefixTokens: 13300}
		first := p.Choose(r, later, random)
		c.Assert(first.Spec.FailureDomain, qt.Not(qt.Equals), "a")
		c.Assert(p.Choose(r, later, random), qt.Equals, first)
	}
}
