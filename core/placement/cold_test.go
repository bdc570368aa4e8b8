package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"acaciapath.example/core/placement"
	"acaciapath.example/core/replica"

	qt "github.com/frankban/quicktest"
)

// coldPlay is a service before many daemons, of which the servers of one failure domain crash
// and come back cold. Times are from its start.
type coldPlay struct {
	// domains and vms are the numbers of failure domains and of daemons in each.
	domains, vms int
	// servers is the number of servers in each of the first servedDomains. Those of the
	// first domain crash.
	servers, servedDomains int
	// down is how long they are down.
	down time.Duration
	// dark states that the requests that run at the crash are not known to be lost.
	dark bool
	// sameInstance states that they come back with the instance that they had.
	sameInstance bool
	// requestRate is that of all callers, in requests a second.
	requestRate float64
	// cutOff is the share of the daemons that get no news, and gone that of those that are
	// killed at the crash.
	cutOff, gone float64
	// unknown is the number of other daemons of its failure domain that each does not know.
	unknown int
	// withoutLimit states that the daemons do not know that servers can be cold.
	withoutLimit bool
}

const (
	coldStep     = 10 * time.Millisecond
	coldCrash    = 3 * time.Second
	coldEnd      = 16 * time.Second
	coldRunTime  = 700 * time.Millisecond
	coldDuration = 3 * time.Second
	coldBeat     = 1200 * time.Millisecond
)

var coldLimit = placement.ColdLimit{Duration: coldDuration, PerSecond: 5.9, Most: 13.85}

// coldDaemon is a daemon with its pool and the news that it has not read yet.
type coldDaemon struct {
	*placement.Pool
	domain string
	cutOff bool
	gone   bool
	// readLag is the time from the write of an entry until it is read.
	readLag time.Duration
}

// play returns for each server the times at which requests reached it, and the number of
// requests that no server took.
func (f coldPlay) play() (arrivals map[string][]time.Duration, refused int) {
	start := time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)
	random := rand.New(rand.NewPCG(3, uint64(f.domains*f.vms)))
	daemons := f.daemons(start, random)
	arrivals = make(map[string][]time.Duration)
	type run struct {
		daemon       *coldDaemon
		server       *placement.Server
		requirements placement.Requirements
		end          time.Duration
	}
	var runs []run
	back := coldCrash + f.down
	for now := time.Duration(0); now < coldEnd; now += coldStep {
		at := start.Add(now)
		crashed := now >= coldCrash && now < back
		runs = slices.DeleteFunc(runs, func(r run) bool {
			lost := crashed && r.server.Spec.FailureDomain == "z0"
			if !lost && r.end > now || lost && f.dark {
				return false
			}
			r.server.EndRequest(at)
			r.server.RecordFirstEvent(r.requirements)
			if lost {
				r.daemon.LoseContact(r.server, at)
			} else {
				r.daemon.RecordSuccess(r.server, at)
			}
			return true
		})
		for _, d := range daemons {
			if !d.cutOff {
				f.news(d, start, now)
			}
		}
		for n := f.requestRate * coldStep.Seconds(); n > 0; n-- {
			d := daemons[random.IntN(len(daemons))]
			if random.Float64() >= n || d.gone && now >= coldCrash {
				continue
			}
			requirements := placement.Requirements{FailureDomain: d.domain, Generates: true, PromptTokens: 3000}
			for range 4 {
				s := d.Choose(requirements, at, random)
				if s == nil || slices.Contains(requirements.FailedServers, s.Spec.Name) {
					refused++
					break
				}
				s.BeginRequest(requirements, at)
				if s.Spec.FailureDomain == "z0" && crashed {
					s.EndRequest(at)
					s.RecordFirstEvent(requirements)
					s.RecordFailure(at)
					d.LoseContact(s, at)
					requirements.FailedServers = append(requirements.FailedServers, s.Spec.Name)
					continue
				}
				arrivals[s.Spec.Name] = append(arrivals[s.Spec.Name], now)
				runs = append(runs, run{d, s, requirements, now + coldRunTime})
				break
			}
		}
	}
	return arrivals, refused
}

// daemons returns the daemons, which know all servers.
func (f coldPlay) daemons(start time.Time, random *rand.Rand) []*coldDaemon {
	var daemons []*coldDaemon
	for z := range f.domains {
		var members []string
		for i := range f.vms {
			members = append(members, fmt.Sprint("vm-", z, "-", i))
		}
		for i, vm := range members {
			d := &coldDaemon{
				Pool: &placement.Pool{}, domain: fmt.Sprint("z", z), cutOff: random.Float64() < f.cutOff, gone: random.Float64() < f.gone,
				readLag: time.Duration(random.Int64N(int64(time.Second))),
			}
			if !f.withoutLimit {
				d.SetCold(&coldLimit, start)
			}
			known := append(append([]string{}, members[i:]...), members[:i]...)
			d.SetPeers(placement.Peers{
				VM: vm, FailureDomain: d.domain, Members: known[:len(known)-f.unknown], Daemons: f.domains * f.vms, Domains: f.domains,
			}, start)
			d.Update(f.specs(0, true), start)
			daemons = append(daemons, d)
		}
	}
	return daemons
}

// specs returns the entries of the servers, where those that crash have been back for a
// time, or have not crashed if it is 0. listed states whether they have entries.
func (f coldPlay) specs(back time.Duration, listed bool) []replica.Spec {
	var specs []replica.Spec
	for z := range f.servedDomains {
		for i := range f.servers {
			s := replica.Spec{Name: fmt.Sprint("i-", z, "-", i), FailureDomain: fmt.Sprint("z", z), Slots: 24, Sequence: 1, StartedAt: time.UnixMilli(1)}
			if z == 0 && !listed {
				continue
			}
			if z == 0 && back > 0 {
				s.Sequence, s.ColdFor = 1+uint64(back/coldBeat), max(coldDuration-back, 0)
				if !f.sameInstance {
					s.StartedAt = time.UnixMilli(2)
				}
			}
			specs = append(specs, s)
		}
	}
	return specs
}

// news has a daemon read what servers have written. Entries expire after three intervals.
func (f coldPlay) news(d *coldDaemon, start time.Time, now time.Duration) {
	back := coldCrash + f.down
	for beat := coldBeat; beat < 5*coldBeat; beat += coldBeat {
		if now == (back + beat + d.readLag).Truncate(coldStep) {
			d.Update(f.specs(beat, true), start.Add(now))
		}
	}
	if lapse := coldCrash + 3*coldBeat; lapse < back && now == (lapse+d.readLag).Truncate(coldStep) {
		d.Update(f.specs(0, false), start.Add(now))
	}
}

// coldPlays are what befalls services whose servers are cold when they come back.
var coldPlays = map[string]coldPlay{
	"a zone is back":                   {domains: 6, vms: 11, servers: 23, servedDomains: 6, down: 4500 * time.Millisecond, requestRate: 390},
	"before its entries lapse":         {domains: 6, vms: 11, servers: 23, servedDomains: 6, down: 2 * time.Second, sameInstance: true, requestRate: 390},
	"in a burst":                       {domains: 6, vms: 11, servers: 23, servedDomains: 6, down: 2 * time.Second, requestRate: 660},
	"dark":                             {domains: 6, vms: 11, servers: 23, servedDomains: 6, down: 2 * time.Second, dark: true, requestRate: 660},
	"a third cut off":                  {domains: 6, vms: 11, servers: 23, servedDomains: 6, down: 4500 * time.Millisecond, requestRate: 390, cutOff: 0.34},
	"a third cut off, others gone":     {domains: 6, vms: 11, servers: 23, servedDomains: 6, down: 2 * time.Second, requestRate: 390, cutOff: 0.34, gone: 0.3},
	"others not known":                 {domains: 6, vms: 11, servers: 23, servedDomains: 6, down: 4500 * time.Millisecond, requestRate: 390, unknown: 2},
	"only cold ones are left":          {domains: 6, vms: 11, servers: 23, servedDomains: 1, down: 4500 * time.Millisecond, requestRate: 390},
	"only cold ones, a third cut off":  {domains: 6, vms: 11, servers: 23, servedDomains: 1, down: 2 * time.Second, requestRate: 390, cutOff: 0.34},
	"only cold ones, others not known": {domains: 6, vms: 11, servers: 23, servedDomains: 1, down: 4500 * time.Millisecond, requestRate: 390, unknown: 2},
	"hundreds":                         {domains: 6, vms: 62, servers: 60, servedDomains: 6, down: 4500 * time.Millisecond, requestRate: 1000, cutOff: 0.34, unknown: 5},
	"hundreds, only cold ones":         {domains: 6, vms: 62, servers: 60, servedDomains: 1, down: 2 * time.Second, dark: true, requestRate: 1500, cutOff: 0.34},
	"one daemon":                       {domains: 1, vms: 1, servers: 6, servedDomains: 1, down: 3 * time.Second, requestRate: 200},
}

// mostWithinSecond returns the largest number of requests that reached a server within a
// second while it was cold, over all servers that crashed.
func (f coldPlay) mostWithinSecond(arrivals map[string][]time.Duration) int {
	most, back := 0, coldCrash+f.down
	for i := range f.servers {
		times := slices.DeleteFunc(arrivals[fmt.Sprint("i-0-", i)], func(at time.Duration) bool {
			return at < back || at > back+coldDuration
		})
		first := 0
		for j, at := range times {
			for at-times[first] >= time.Second {
				first++
			}
			most = max(most, j-first+1)
		}
	}
	return most
}

// TestColdServersOfAllDaemons has the servers of a failure domain crash and come back cold,
// while the daemons learn of it at different times or not at all. None may get more than a
// cold server bears within any second.
func TestColdServersOfAllDaemons(t *testing.T) {
	for name, f := range coldPlays {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			arrivals, refused := f.play()
			most := f.mostWithinSecond(arrivals)
			t.Logf("at most %d requests within a second, %d refused", most, refused)
			qt.Check(t, float64(most) <= coldLimit.Most, qt.IsTrue, qt.Commentf("%d requests within a second", most))
			for i := range f.servers {
				qt.Check(t, len(arrivals[fmt.Sprint("i-0-", i)]) > 0, qt.IsTrue, qt.Commentf("server %d stays without requests", i))
			}
		})
	}
}

// TestColdServersWithoutLimit shows that the plays are too much for cold servers if daemons do
// not know of them.
func TestColdServersWithoutLimit(t *testing.T) {
	for _, name := range []string{"only cold ones are left", "hundreds, only cold ones"} {
		f := coldPlays[name]
		f.withoutLimit = true
		arrivals, _ := f.play()
		most := f.mostWithinSecond(arrivals)
		t.Logf("%s: at most %d requests within a second", name, most)
		qt.Check(t, float64(most) > coldLimit.Most, qt.IsTrue, qt.Commentf("%s: %d requests within a second", name, most))
	}
}
