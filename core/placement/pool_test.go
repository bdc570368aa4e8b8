package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"acaciapath.example/core/catalog"
	"acaciapath.example/core/config"
	"acaciapath.example/core/placement"
	"acaciapath.example/core/replica"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet returns n servers of the given kind in each of the failure domains a, b
// and c.
func fleet(n int, kind config.ServerKind) []replica.Spec {
	var specs []replica.Spec
	for _, domain := range []string{"a", "b", "c"} {
		for i := range n {
			name := fmt.Sprintf("%s-%s-%d", domain, kind, i)
			specs = append(specs, replica.Spec{
				Name: name, Address: "10.0.0.1:1", FailureDomain: domain, Kind: kind, Slots: 64,
			})
		}
	}
	return specs
}

func newPool(shortPauses float64, specs ...replica.Spec) *placement.Pool {
	p := &placement.Pool{Shares: placement.Shares{ShortPauses: shortPauses}}
	p.Update(specs, time.Time{})
	return p
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// TestShortPausesAreIsolatedFromLongPrompts checks that no long prompt is
// placed on a server with chats, which would delay their tokens, while each
// lane has servers of its own.
func TestShortPausesAreIsolatedFromLongPrompts(t *testing.T) {
	c := qt.New(t)
	p := newPool(0.3, fleet(6, config.KindStandard)...)
	random := newRandom()
	for i := range 2000 {
		chat := placement.Requirements{FailureDomain: "a", Generates: true, Lane: placement.ShortPauses, PromptTokens: 1500}
		s := p.Choose(chat, start, random)
		c.Assert(s.Lane, qt.Equals, placement.ShortPauses)
		letter := placement.Requirements{
			FailureDomain: "a", Generates: true, PromptTokens: 17000,
			SharedPrefixKey: uint64(i%200 + 1), SharedPrefixTokens: 13300,
		}
		s = p.Choose(letter, start, random)
		c.Assert(s.Lane, qt.Equals, placement.Patient)
	}
}

// TestUrgentPromptsAreIsolated checks that urgent prompts are not placed on the
// servers of patient ones during a burst of patient prompts.
func TestUrgentPromptsAreIsolated(t *testing.T) {
	c := qt.New(t)
	p := newPool(0, fleet(6, config.KindStandard)...)
	p.SetShares(placement.Shares{ShortPauses: 0.2, Urgent: 0.2})
	random := newRandom()
	for i := range 2000 {
		requirements := placement.Requirements{
			FailureDomain: "a", Generates: true, PromptTokens: 9000, Lane: placement.Urgent,
			SharedPrefixKey: uint64(i%100 + 1), SharedPrefixTokens: 6300,
		}
		c.Assert(p.Choose(requirements, start, random).Lane, qt.Equals, placement.Urgent)
		requirements.Lane = placement.Patient
		s := p.Choose(requirements, start, random)
		c.Assert(s.Lane, qt.Equals, placement.Patient)
		if i < 100 {
			s.BeginRequest(requirements, start)
		}
	}
}

// TestMovedRunsStayInTheirLane has a failure domain lose its cheap servers, so that only
// servers for short pauses are left there. Letters that are moved must go to patient
// servers of other failure domains, and stay where they are if there are none.
func TestMovedRunsStayInTheirLane(t *testing.T) {
	c := qt.New(t)
	specs := append(fleet(2, config.KindStandard), fleet(10, config.KindCheap)...)
	for i := range specs {
		specs[i].Draining = specs[i].Kind == config.KindCheap && specs[i].FailureDomain == "a"
	}
	p := newPool(0.2, specs...)
	random := newRandom()
	letter := placement.Requirements{FailureDomain: "a", Generates: true, CopiedKVTokens: 17000}
	for range 500 {
		s := p.Choose(letter, start, random)
		c.Assert(s.Lane, qt.Equals, placement.Patient)
		s.BeginRequest(letter, start)
	}
	for i := range specs {
		specs[i].Draining = specs[i].Kind == config.KindCheap
	}
	p.Update(specs, time.Time{})
	for _, s := range p.Servers {
		if s.Spec.Kind == config.KindStandard {
			s.Lane = placement.ShortPauses
		}
	}
	c.Assert(p.Choose(letter, start, random), qt.IsNil)
	letter.CopiedKVTokens = 0
	c.Assert(p.Choose(letter, start, random), qt.IsNotNil)
	p.SetShares(placement.Shares{})
	letter.CopiedKVTokens, letter.Lane = 17000, placement.ShortPauses
	c.Assert(p.Choose(letter, start, random), qt.IsNotNil)
}

// TestOnlyServerServesAllLanes checks that requests of every lane are served if
// only one server is left.
func TestOnlyServerServesAllLanes(t *testing.T) {
	c := qt.New(t)
	p := newPool(0.3, fleet(1, config.KindStandard)[0])
	for _, lane := range []placement.Lane{placement.Patient, placement.Urgent, placement.ShortPauses} {
		requirements := placement.Requirements{FailureDomain: "b", Generates: true, Lane: lane}
		c.Assert(p.Choose(requirements, start, newRandom()), qt.IsNotNil)
	}
}

// TestDaemonsChooseTheSameServerForAPrefix checks that daemons in different
// failure domains place the same prompt on the same server while it is not
// busy, so that the shared prefix is processed only once.
func TestDaemonsChooseTheSameServerForAPrefix(t *testing.T) {
	c := qt.New(t)
	specs := fleet(6, config.KindStandard)
	one, two := newPool(0.3, specs...), newPool(0.3, specs...)
	for key := uint64(1); key < 300; key++ {
		requirements := placement.Requirements{FailureDomain: "a", Generates: true, PromptTokens: 17000, SharedPrefixKey: key, SharedPrefixTokens: 13300}
		other := requirements
		other.FailureDomain = "c"
		c.Assert(one.Choose(requirements, start, newRandom()).Spec.Name, qt.Equals, two.Choose(other, start, newRandom()).Spec.Name)
	}
}

// TestAddedServerTakesOnlyItsShareOfPrefixes checks that adding a server moves
// only the prompts that the new server takes over.
func TestAddedServerTakesOnlyItsShareOfPrefixes(t *testing.T) {
	c := qt.New(t)
	specs := fleet(6, config.KindStandard)
	before, after := newPool(0, specs[1:]...), newPool(0, specs...)
	moved := 0
	const keys = 1000
	for key := uint64(1); key <= keys; key++ {
		requirements := placement.Requirements{FailureDomain: "a", Generates: true, SharedPrefixKey: key, SharedPrefixTokens: 13300}
		old, now := before.Choose(requirements, start, newRandom()), after.Choose(requirements, start, newRandom())
		if old.Spec.Name != now.Spec.Name {
			moved++
			c.Assert(now.Spec.Name, qt.Equals, specs[0].Name)
		}
	}
	c.Assert(moved > 0 && moved < 2*keys/len(specs), qt.IsTrue, qt.Commentf("%d moved", moved))
}

// TestBusyPrefixServerIsBypassed checks that requests with a very frequent
// prefix are not all placed on one server: other servers are used once the
// queue of that server costs more than processing the prefix again.
func TestBusyPrefixServerIsBypassed(t *testing.T) {
	c := qt.New(t)
	p := newPool(0, fleet(6, config.KindStandard)...)
	random := newRandom()
	requirements := placement.Requirements{FailureDomain: "a", Generates: true, PromptTokens: 17000, SharedPrefixKey: 7, SharedPrefixTokens: 13300}
	used := make(map[string]int)
	for range 60 {
		s := p.Choose(requirements, start, random)
		s.BeginRequest(requirements, start)
		used[s.Spec.Name]++
	}
	c.Assert(len(used) >= 10, qt.IsTrue, qt.Commentf("%v", used))
	for name, n := range used {
		c.Assert(n <= 6, qt.IsTrue, qt.Commentf("%s got %d", name, n))
	}
}

// TestStandardServersAreKeptForShortPauses checks that streams that often
// cannot be resumed are placed on standard servers, which the platform does not
// evict.
func TestStandardServersAreKeptForShortPauses(t *testing.T) {
	c := qt.New(t)
	p := newPool(0.3, append(fleet(8, config.KindCheap), fleet(1, config.KindStandard)...)...)
	shortPauses := 0
	for _, s := range p.Servers {
		if s.Lane == placement.ShortPauses {
			shortPauses++
		} else {
			c.Assert(s.Spec.Kind, qt.Equals, config.KindCheap)
		}
	}
	c.Assert(shortPauses, qt.Equals, 9)
}

// TestLanesHaveAllVersions checks that streams which are bound to a version find servers of it
// in their lane.
func TestLanesHaveAllVersions(t *testing.T) {
	c := qt.New(t)
	specs := fleet(6, config.KindStandard)
	for i := range specs {
		specs[i].Version = []string{"v1", "v2"}[i%2]
	}
	p := &placement.Pool{Shares: placement.Shares{ShortPauses: 0.2, Urgent: 0.2}}
	p.Update(specs, start)
	counts := make(map[placement.Lane]map[string]int)
	for _, s := range p.Servers {
		if counts[s.Lane] == nil {
			counts[s.Lane] = make(map[string]int)
		}
		counts[s.Lane][s.Spec.Version]++
	}
	for _, lane := range []placement.Lane{placement.Patient, placement.Urgent, placement.ShortPauses} {
		c.Check(counts[lane], qt.HasLen, 2, qt.Commentf("%s: %v", lane, counts[lane]))
	}
}

func TestExcludedServersAreNotChosen(t *testing.T) {
	c := qt.New(t)
	specs := fleet(2, config.KindStandard)
	for i := range specs[:3] {
		specs[i].Draining = true
	}
	p := newPool(0, specs...)
	p.SetMisdirected(p.Servers[3])
	p.Servers[4].RecordFailure(start)
	requirements := placement.Requirements{FailureDomain: "a"}
	c.Assert(p.Choose(requirements, start, newRandom()), qt.Equals, p.Servers[5])
	requirements.FailedServers = []string{p.Servers[5].Spec.Name}
	c.Assert(p.Choose(requirements, start, newRandom()), qt.Equals, p.Servers[4])
	p.SetMisdirected(p.Servers[4])
	p.SetMisdirected(p.Servers[5])
	c.Assert(p.Choose(requirements, start, newRandom()), qt.IsNil)
}

// TestUpdateKeepsState checks that Update keeps the state of servers that
// remain, and treats a server that restarted or whose address changed as new.
func TestUpdateKeepsState(t *testing.T) {
	c := qt.New(t)
	specs := fleet(1, config.KindStandard)
	p := newPool(0, specs...)
	for _, s := range p.Servers {
		s.BeginRequest(placement.Requirements{PromptTokens: 5}, start)
	}
	specs[1].StartedAt = start
	specs[2].Address = "10.0.0.2:1"
	added, removed := p.Update(append(specs[:3:3], replica.Spec{Name: "new"}), time.Time{})
	c.Assert(added, qt.DeepEquals, []string{specs[1].Name, specs[2].Name, "new"})
	c.Assert(removed, qt.HasLen, 0)
	c.Assert(p.Servers[0].Running, qt.Equals, 1)
	c.Assert(p.Servers[1].Running, qt.Equals, 0)
	c.Assert(p.Servers[2].PendingPromptTokens, qt.Equals, 0)
	_, removed = p.Update(nil, time.Time{})
	c.Assert(removed, qt.HasLen, 4)
}

// TestChooseProperties checks over random servers that Choose always finds a
// usable server if there is one, and never returns a draining one.
func TestChooseProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		specs := fleet(rapid.IntRange(1, 5).Draw(t, "n"), config.KindStandard)
		usable := 0
		for i := range specs {
			specs[i].Draining = rapid.Bool().Draw(t, "draining")
			if !specs[i].Draining {
				usable++
			}
		}
		p := newPool(rapid.Float64Range(0, 0.9).Draw(t, "share"), specs...)
		for _, s := range p.Servers {
			if rapid.Bool().Draw(t, "failed") {
				s.RecordFailure(start)
			}
		}
		requirements := placement.Requirements{
			FailureDomain:   "b",
			Generates:       rapid.Bool().Draw(t, "generates"),
			Lane:            placement.Lane(rapid.IntRange(0, 2).Draw(t, "lane")),
			SharedPrefixKey: rapid.Uint64Range(0, 5).Draw(t, "key"),
		}
		s := p.Choose(requirements, start, newRandom())
		if (s != nil) != (usable > 0) || s != nil && s.Spec.Draining {
			t.Fatalf("chose %v of %d usable", s, usable)
		}
	})
}

func TestLanes(t *testing.T) {
	c := qt.New(t)
	service := &catalog.Service{Name: "llm", Engine: &catalog.Engine{EventTokens: 3}}
	chat := catalog.Route{Generates: true, GapTarget: 150 * time.Millisecond, Splits: []catalog.Split{{Service: "llm"}}}
	reply := chat
	reply.GapTarget = 250 * time.Millisecond
	c.Assert(placement.NeedsShortPauses(&chat, service), qt.IsTrue)
	c.Assert(placement.NeedsShortPauses(&reply, service), qt.IsFalse)
	c.Assert(placement.NeedsShortPauses(&chat, &catalog.Service{}), qt.IsFalse)
	services := []catalog.Service{*service}
	reply.LatencyTarget, chat.LatencyTarget = 800*time.Millisecond, 500*time.Millisecond
	letter := reply
	letter.LatencyTarget = 2 * time.Second
	all := catalog.NewIndex(catalog.Catalog{Routes: []catalog.Route{chat, reply, letter}, Services: services})
	c.Assert(placement.LaneOf(all, &chat, service), qt.Equals, placement.ShortPauses)
	c.Assert(placement.LaneOf(all, &reply, service), qt.Equals, placement.Urgent)
	c.Assert(placement.LaneOf(all, &letter, service), qt.Equals, placement.Patient)
	shares := placement.SharesOf(all, "llm")
	c.Assert(shares.ShortPauses > 0 && shares.Urgent > 0 && shares.ShortPauses+shares.Urgent < 1, qt.IsTrue)
	both := catalog.NewIndex(catalog.Catalog{Routes: []catalog.Route{chat, reply}, Services: services})
	c.Assert(placement.LaneOf(both, &reply, service), qt.Equals, placement.Patient)
	c.Assert(placement.SharesOf(both, "llm").Urgent, qt.Equals, 0.0)
	one := catalog.NewIndex(catalog.Catalog{Routes: []catalog.Route{chat}, Services: services})
	c.Assert(placement.SharesOf(one, "llm"), qt.Equals, placement.Shares{})
}

// TestLongerPausesHaveAnotherLane checks that requests which allow longer pauses than chats do
// not share their servers, although both need shorter pauses than the longest prompts cause.
func TestLongerPausesHaveAnotherLane(t *testing.T) {
	c := qt.New(t)
	service := &catalog.Service{Name: "llm", Engine: &catalog.Engine{EventTokens: 4}}
	route := func(pause, latency time.Duration) catalog.Route {
		return catalog.Route{Generates: true, GapTarget: pause, LatencyTarget: latency, Splits: []catalog.Split{{Service: "llm"}}}
	}
	chat := route(120*time.Millisecond, 400*time.Millisecond)
	like := route(180*time.Millisecond, 500*time.Millisecond)
	plan := route(200*time.Millisecond, 600*time.Millisecond)
	letter := route(500*time.Millisecond, 2*time.Second)
	index := catalog.NewIndex(catalog.Catalog{
		Routes: []catalog.Route{chat, like, plan, letter}, Services: []catalog.Service{*service},
	})
	c.Assert(placement.LaneOf(index, &chat, service), qt.Equals, placement.ShortPauses)
	c.Assert(placement.LaneOf(index, &like, service), qt.Equals, placement.ShortPauses)
	c.Assert(placement.LaneOf(index, &plan, service), qt.Equals, placement.Urgent)
	c.Assert(placement.LaneOf(index, &letter, service), qt.Equals, placement.Patient)
	c.Assert(placement.SharesOf(index, "llm").Urgent > 0, qt.IsTrue)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{6, 48, 240} {
		p := newPool(0.3, fleet(n, config.KindStandard)...)
		random := newRandom()
		requirements := placement.Requirements{FailureDomain: "a", Generates: true, SharedPrefixKey: 7, SharedPrefixTokens: 13300}
		b.Run(fmt.Sprintf("servers=%d", 3*n), func(b *testing.B) {
			for b.Loop() {
				p.Choose(requirements, start, random)
			}
		})
	}
}
