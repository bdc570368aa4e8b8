package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/placement"
	"acaciapath.example/core/replica"

	qt "github.com/frankban/quicktest"
)

// load is a load that daemons which do not see each other's requests put on servers.
type load struct {
	daemons, servers, domains, slots int
	// running is the mean number of running requests of a server.
	running float64
	// burst multiplies the rate between 4 s and 6 s.
	burst float64
	// slow is the share of the servers that take twice as long.
	slow float64
	// cut is the share of the daemons that know only themselves.
	cut float64
	// replaced is the share of the servers that are replaced at 4 s.
	replaced float64
	// lostDomain states that the servers of a failure domain end at 4 s.
	lostDomain bool
	// hot is the share of the requests with one prefix of 13,300 tokens, or 0. The others then
	// have one of 1,000 such prefixes.
	hot float64
}

// end is the end of a request.
type end struct {
	at     time.Time
	pool   *placement.Pool
	server *placement.Server
	held   int
	// interval is the time between the events of the stream.
	interval time.Duration
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (l load) specs(generation string) []replica.Spec {
	var specs []replica.Spec
	for i := range l.servers {
		specs = append(specs, replica.Spec{
			Name: fmt.Sprintf("server-%s-%d", generation, i), Address: "10.0.0.1:1",
			FailureDomain: fmt.Sprintf("domain-%d", i%l.domains), Kind: config.KindStandard, Slots: l.slots,
		})
	}
	return specs
}

// evenness replays the load for 12 s and returns the 95th percentile of the running requests of
// servers, and those of the busiest one, divided by their mean, from 2 s on.
func (l load) evenness(seed uint64) (percentile, busiest float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	specs := l.specs("a")
	members := make(map[string][]string)
	for i := range l.daemons {
		domain := fmt.Sprintf("domain-%d", i%l.domains)
		members[domain] = append(members[domain], fmt.Sprintf("vm-%d", i))
	}
	pools := make([]*placement.Pool, l.daemons)
	for i := range pools {
		pools[i] = &placement.Pool{}
		peers := placement.Peers{VM: fmt.Sprintf("vm-%d", i), FailureDomain: fmt.Sprintf("domain-%d", i%l.domains), Daemons: l.daemons, Domains: l.domains}
		peers.Members = members[peers.FailureDomain]
		if float64(i) < l.cut*float64(l.daemons) {
			peers.Members = nil
		}
		pools[i].Update(specs, start)
		pools[i].SetPeers(peers, start)
	}
	const work = 1500 * time.Millisecond
	running := make(map[string]int)
	var open ends
	samples := 0.0
	changed, nextSample := false, start.Add(2*time.Second)
	for now := start; now.Before(start.Add(12 * time.Second)); {
		rate := l.running * float64(l.servers) / work.Seconds()
		if at := now.Sub(start); at >= 4*time.Second && at < 6*time.Second && l.burst > 0 {
			rate *= l.burst
		}
		now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		for len(open) > 0 && !open[0].at.After(now) {
			e := heap.Pop(&open).(end)
			e.server.FinishRequest(e.held, now)
			e.pool.ObserveInterval(e.server, placement.Patient, e.interval, now)
			running[e.server.Spec.Name]--
		}
		if !changed && now.Sub(start) >= 4*time.Second {
			changed = true
			specs = l.changed(specs)
			for _, p := range pools {
				p.Update(specs, now)
			}
		}
		if now.After(nextSample) {
			nextSample = now.Add(100 * time.Millisecond)
			counts, sum := make([]float64, len(specs)), 0.0
			for i, spec := range specs {
				counts[i] = float64(running[spec.Name])
				sum += counts[i]
			}
			slices.Sort(counts)
			samples++
			percentile += counts[len(counts)*95/100] * float64(len(counts)) / sum
			busiest += counts[len(counts)-1] * float64(len(counts)) / sum
		}
		i := random.IntN(l.daemons)
		requirements := placement.Requirements{FailureDomain: fmt.Sprintf("domain-%d", i%l.domains), Generates: true, PromptTokens: 1500, OutputTokens: 170}
		if l.hot > 0 {
			requirements.SharedPrefixKey, requirements.SharedPrefixTokens, requirements.PromptTokens = 1+random.Uint64N(1000), 13_300, 17_000
			if random.Float64() < l.hot {
				requirements.SharedPrefixKey = 7
			}
		}
		s := pools[i].Choose(requirements, now, random)
		held := s.BeginRequest(requirements, now)
		s.RecordFirstEvent(requirements)
		running[s.Spec.Name]++
		duration := work
		if l.slow > 0 && float64(slices.IndexFunc(specs, func(spec replica.Spec) bool { return spec.Name == s.Spec.Name })) < l.slow*float64(len(specs)) {
			duration *= 2
		}
		events := 15 + random.IntN(31)
		interval := duration / 30
		heap.Push(&open, end{at: now.Add(time.Duration(events) * interval), pool: pools[i], server: s, held: held, interval: interval})
	}
	return percentile / samples, busiest / samples
}

// changed returns the servers from 4 s on.
func (l load) changed(specs []replica.Spec) []replica.Spec {
	changed := slices.Clone(specs)
	for i, spec := range l.specs("b") {
		if float64(i) < l.replaced*float64(len(specs)) {
			changed[i] = spec
		}
	}
	if l.lostDomain {
		changed = slices.DeleteFunc(changed, func(s replica.Spec) bool { return s.FailureDomain == "domain-0" })
	}
	return changed
}

var loads = []struct {
	name string
	load load
}{
	{"73 daemons", load{daemons: 73, servers: 28, domains: 6, slots: 16, running: 5}},
	{"86 daemons", load{daemons: 86, servers: 12, domains: 6, slots: 48, running: 12}},
	{"200 daemons", load{daemons: 200, servers: 60, domains: 6, slots: 24, running: 8}},
	{"370 daemons", load{daemons: 370, servers: 120, domains: 6, slots: 24, running: 8}},
	{"burst", load{daemons: 86, servers: 12, domains: 6, slots: 48, running: 12, burst: 2.5}},
	{"hot prefix", load{daemons: 86, servers: 36, domains: 6, slots: 48, running: 8, hot: 0.28}},
	{"slow servers", load{daemons: 86, servers: 12, domains: 6, slots: 48, running: 12, slow: 0.5}},
	{"daemons cut off", load{daemons: 86, servers: 12, domains: 6, slots: 48, running: 12, cut: 0.33}},
	{"servers replaced", load{daemons: 86, servers: 36, domains: 6, slots: 48, running: 12, replaced: 0.5}},
	{"failure domain lost", load{daemons: 86, servers: 36, domains: 6, slots: 48, running: 12, lostDomain: true}},
}

// TestLoadIsEven replays loads of daemons that do not see each other's requests.
func TestLoadIsEven(t *testing.T) {
	const bound = 1.3
	for _, test := range loads {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			percentile, busiest := test.load.evenness(1)
			t.Logf("95th percentile %.2f times the mean, busiest server %.2f times", percentile, busiest)
			c.Check(percentile <= bound, qt.IsTrue, qt.Commentf("%.2f times the mean", percentile))
		})
	}
}
