package placement_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"acaciapath.example/core/placement"
	"acaciapath.example/core/replica"

	qt "github.com/frankban/quicktest"
)

// brittlePlay is a service of brittle servers before many daemons, from the moment at which the
// servers begin to say so. Callers that are refused come back as the daemon says.
type brittlePlay struct {
	// domains and vms are the numbers of failure domains and of daemons in each.
	domains, vms int
	// servers is the number of servers in each failure domain, and slots that of each server.
	servers, slots int
	// runsAtOnce is the number of requests that a server runs, if that is fewer than slots.
	runsAtOnce int
	// most is the number of rejections in a second that a server bears.
	most int
	// demand is the demand, as a multiple of what the servers can run.
	demand float64
	// uneven states that half of the requests come at a fifth of the daemons.
	uneven bool
	// full states that strangers take all slots for two seconds.
	full bool
	// refused is the largest share of the requests that may be refused.
	refused float64
}

const (
	brittleStep    = 10 * time.Millisecond
	brittleContact = 4 * time.Second
	brittleEnd     = 18 * time.Second
	brittleRunTime = 500 * time.Millisecond // on average
	brittleAnswer  = 10 * time.Millisecond
	brittleWait    = 400 * time.Millisecond // of a daemon, at least
	brittleDown    = 3 * time.Second
	// minBrittleUse is the least share of what the servers can run that they must run in overload.
	minBrittleUse = 0.9
	// strangersFrom and strangersUntil are when strangers have all slots.
	strangersFrom, strangersUntil = 10 * time.Second, 12 * time.Second
)

// brittlePlays are shapes of brittle services.
var brittlePlays = map[string]brittlePlay{
	"9 daemons, 0":             {domains: 3, vms: 3, servers: 4, slots: 8, most: 0, demand: 2, refused: 1},
	"9 daemons, 1":             {domains: 3, vms: 3, servers: 4, slots: 8, most: 1, demand: 2, refused: 1},
	"9 daemons, 2":             {domains: 3, vms: 3, servers: 4, slots: 8, most: 2, demand: 2, refused: 1},
	"9 daemons, 5":             {domains: 3, vms: 3, servers: 4, slots: 8, most: 5, demand: 2, refused: 1},
	"9 daemons, half the load": {domains: 3, vms: 3, servers: 4, slots: 8, most: 5, demand: 0.5, refused: 0.01},
	"9 daemons, little memory": {domains: 3, vms: 3, servers: 4, slots: 8, runsAtOnce: 4, most: 5, demand: 2, refused: 1},
	"9 daemons, uneven":        {domains: 3, vms: 3, servers: 4, slots: 8, most: 5, demand: 2, uneven: true, refused: 1},
	"9 daemons, all full":      {domains: 3, vms: 3, servers: 4, slots: 8, most: 5, demand: 2, full: true, refused: 1},
	"9 daemons, all full, 2":   {domains: 3, vms: 3, servers: 4, slots: 8, most: 2, demand: 2, full: true, refused: 1},
	"many slots":               {domains: 3, vms: 3, servers: 2, slots: 64, most: 5, demand: 2, refused: 1},
	"200 daemons, 0":           {domains: 4, vms: 50, servers: 12, slots: 8, most: 0, demand: 2, refused: 1},
	"200 daemons, 1":           {domains: 4, vms: 50, servers: 12, slots: 8, most: 1, demand: 2, refused: 1},
	"200 daemons, 2":           {domains: 4, vms: 50, servers: 12, slots: 8, most: 2, demand: 2, refused: 1},
	"200 daemons, 5":           {domains: 4, vms: 50, servers: 12, slots: 8, most: 5, demand: 2, refused: 1},
	"200 daemons, half":        {domains: 4, vms: 50, servers: 20, slots: 8, most: 5, demand: 0.5, refused: 0.01},
	"200 daemons, memory":      {domains: 4, vms: 50, servers: 12, slots: 8, runsAtOnce: 4, most: 5, demand: 2, refused: 1},
	"200 daemons, all full":    {domains: 4, vms: 50, servers: 12, slots: 8, most: 5, demand: 2, full: true, refused: 1},
	"200 daemons, uneven":      {domains: 4, vms: 50, servers: 12, slots: 8, most: 5, demand: 2, uneven: true, refused: 1},
}

// brittleEngine is a server as it is, beside what the daemons know of it.
type brittleEngine struct {
	running, waiting int
	rejected         []time.Duration
	downUntil        time.Duration
}

// brittleRun is a request at a server, or one that waits at a daemon or returns to it.
type brittleRun struct {
	daemon int
	server *placement.Server
	sentAt time.Time
	// answered is when the answer arrives, and rejected states that it is a rejection.
	answered          time.Duration
	rejected, strange bool
}

// brittleResult is what a play showed, from the contact time on.
type brittleResult struct {
	// falls is the number of falls, and most the largest number of rejections of a server in a
	// second. sent, refused and ran are numbers of requests.
	falls, most         int
	sent, refused, ran  int
	rejections, strange int
}

// play plays the service.
func (f brittlePlay) play() brittleResult {
	start := time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)
	random := rand.New(rand.NewPCG(1, uint64(f.domains*f.vms+f.most)))
	pools := limitedFleet{domains: f.domains, vms: f.vms, servers: f.servers, servedDomains: f.domains}.pools(start)
	engines := make(map[string]*brittleEngine)
	for _, p := range pools {
		specs := make([]replica.Spec, 0, len(p.Servers))
		for _, s := range p.Servers {
			s.Spec.Slots = f.slots
			specs = append(specs, s.Spec)
			engines[s.Spec.Name] = &brittleEngine{}
		}
		p.Update(specs, start)
		for range 20 {
			p.ObserveRunTime(brittleRunTime)
		}
	}
	atOnce := f.slots
	if f.runsAtOnce > 0 {
		atOnce = f.runsAtOnce
	}
	var result brittleResult
	var runs []*brittleRun
	type waiter struct{ since time.Duration }
	waiting := make([][]waiter, len(pools))
	perStep := f.demand * float64(f.domains*f.servers*atOnce) / brittleRunTime.Seconds() * brittleStep.Seconds()
	send := func(daemon int, now time.Duration) bool {
		p, at := pools[daemon], start.Add(now)
		requirements := placement.Requirements{FailureDomain: p.Peers.FailureDomain}
		s := p.Choose(requirements, at, random)
		if s == nil {
			return false
		}
		s.BeginRequest(requirements, at)
		engine := engines[s.Spec.Name]
		r := &brittleRun{daemon: daemon, server: s, sentAt: at, answered: now + time.Duration((0.5+random.Float64())*float64(brittleRunTime))}
		queue := 4
		if now >= brittleContact {
			queue = 1
		}
		strangers := f.full && now >= strangersFrom && now < strangersUntil
		switch {
		case now < engine.downUntil:
			r.answered, r.strange = now+brittleAnswer, true
		case strangers || engine.running+engine.waiting >= atOnce+queue:
			r.answered, r.rejected = now+brittleAnswer, true
			for len(engine.rejected) > 0 && now-engine.rejected[0] >= time.Second {
				engine.rejected = engine.rejected[1:]
			}
			engine.rejected = append(engine.rejected, now)
			if now < brittleContact {
				break
			}
			result.rejections++
			result.most = max(result.most, len(engine.rejected))
			if len(engine.rejected) > f.most {
				result.falls++
				*engine = brittleEngine{downUntil: now + brittleDown}
				for _, other := range runs {
					if other.server.Spec.Name == s.Spec.Name {
						other.answered, other.strange, other.rejected = now+brittleAnswer, true, false
					}
				}
			}
		case engine.running < atOnce:
			engine.running++
		default:
			engine.waiting++
			r.answered += brittleRunTime / time.Duration(atOnce)
		}
		runs = append(runs, r)
		return true
	}
	for now := time.Duration(0); now < brittleEnd; now += brittleStep {
		at := start.Add(now)
		runs = slices.DeleteFunc(runs, func(r *brittleRun) bool {
			if r.answered > now {
				return false
			}
			p, engine := pools[r.daemon], engines[r.server.Spec.Name]
			p.SetBrittle(r.server, float64(f.most), at)
			r.server.EndRequest(at)
			switch {
			case r.rejected:
				p.RecordRoomRejection(r.server, r.sentAt, at)
			case r.strange:
				r.server.ForgetRequest(r.sentAt)
				p.LoseContact(r.server, at)
				r.server.RecordFailure(at)
			default:
				r.server.ConfirmRequest(r.sentAt, at)
				p.RecordSuccess(r.server, at)
				if engine.waiting > 0 {
					engine.waiting--
				} else {
					engine.running--
				}
				if now >= brittleContact {
					result.ran++
				}
			}
			return true
		})
		for n := perStep; n > 0; n-- {
			if random.Float64() >= n {
				continue
			}
			daemon := random.IntN(len(pools))
			if f.uneven && random.Float64() < 0.5 {
				daemon = random.IntN(max(len(pools)/5, 1)) * 5 % len(pools)
			}
			if now >= brittleContact {
				result.sent++
			}
			waiting[daemon] = append(waiting[daemon], waiter{since: now})
		}
		for daemon := range waiting {
			for len(waiting[daemon]) > 0 && send(daemon, now) {
				waiting[daemon] = waiting[daemon][1:]
			}
			for len(waiting[daemon]) > 0 && now-waiting[daemon][0].since > brittleWait {
				waiting[daemon] = waiting[daemon][1:]
				if now >= brittleContact {
					result.refused++
				}
			}
		}
	}
	return result
}

// TestBrittleServersOfAllDaemons has many daemons send to brittle servers. None may reject more
// requests in a second than it bears, so that none falls. If strangers take all slots at once, they
// may fall twice and a tenth of their number. In overload they must run nine tenths of what
// they can.
func TestBrittleServersOfAllDaemons(t *testing.T) {
	for name, f := range brittlePlays {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := f.play()
			atOnce := f.slots
			if f.runsAtOnce > 0 {
				atOnce = f.runsAtOnce
			}
			free := brittleEnd - brittleContact
			if f.full {
				free -= strangersUntil - strangersFrom
			}
			can := float64(f.domains*f.servers*atOnce) / brittleRunTime.Seconds() * free.Seconds()
			use, refused := float64(r.ran)/can, float64(r.refused)/float64(r.sent)
			t.Logf("%s: falls %d, most rejections in a second %d, rejections %d, use %.3f, refused %.3f", name, r.falls, r.most, r.rejections, use, refused)
			most := 0.0
			if f.full {
				most = 2 + 0.1*float64(f.domains*f.servers)
			}
			qt.Check(t, float64(r.falls) <= most, qt.IsTrue, qt.Commentf("falls %d", r.falls))
			qt.Check(t, f.demand < 1 || use >= minBrittleUse, qt.IsTrue, qt.Commentf("use %.3f", use))
			qt.Check(t, refused <= f.refused, qt.IsTrue, qt.Commentf("refused %.3f", refused))
		})
	}
}

// brittlePool returns the pool of the only daemon of a service.
func brittlePool(servers, slots int, start time.Time) *placement.Pool {
	p := limitedFleet{domains: 1, vms: 1, servers: servers, servedDomains: 1}.pools(start)[0]
	specs := make([]replica.Spec, 0, servers)
	for _, s := range p.Servers {
		s.Spec.Slots = slots
		specs = append(specs, s.Spec)
	}
	p.Update(specs, start)
	return p
}

// TestBrittleEnds has servers say that they are brittle, and then no longer.
func TestBrittleEnds(t *testing.T) {
	c := qt.New(t)
	start := time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)
	p := brittlePool(2, 1, start)
	one, two := p.Servers[0], p.Servers[1]
	requirements := placement.Requirements{FailureDomain: "z0"}
	random := rand.New(rand.NewPCG(1, 2))
	c.Assert(p.SetBrittle(one, 5, start), qt.IsTrue)
	c.Assert(p.SetBrittle(one, 4, start), qt.IsFalse)
	c.Assert(p.SetBrittle(two, 4, start), qt.IsFalse)
	c.Assert(p.BrittleServers(start), qt.Equals, 2)
	for range 2 {
		p.Choose(requirements, start, random).BeginRequest(requirements, start)
	}
	c.Assert(p.Choose(requirements, start, random), qt.IsNil) // all slots are taken
	c.Assert(p.Availability(one, start), qt.Equals, placement.Brittle)
	wait, explained := p.ReturnTime(requirements, start)
	c.Assert(explained, qt.IsTrue)
	c.Assert(wait > 0 && wait <= 10*time.Second, qt.IsTrue)
	c.Assert(p.EndBrittle(one, start.Add(time.Second)), qt.IsFalse)
	c.Assert(p.IsBrittle(one, start), qt.IsFalse) // its own word
	c.Assert(p.IsBrittle(two, start), qt.IsTrue)
	c.Assert(p.SetBrittle(two, 4, start.Add(1500*time.Millisecond)), qt.IsFalse)
	c.Assert(p.EndBrittle(one, start.Add(3*time.Second)), qt.IsFalse) // two has just said so
	c.Assert(p.EndBrittle(one, start.Add(4*time.Second)), qt.IsTrue)
	c.Assert(p.BrittleServers(start.Add(4*time.Second)), qt.Equals, 0)
	p.SetBrittle(one, 4, start.Add(5*time.Second))
	c.Assert(p.BrittleServers(start.Add(36*time.Second)), qt.Equals, 0) // forgotten
}

// TestNewBrittleServerGetsOneRequestAfterTheOther loses the connection to a brittle server at which
// several requests run, as if it had fallen. They may not all come back at once.
func TestNewBrittleServerGetsOneRequestAfterTheOther(t *testing.T) {
	c := qt.New(t)
	start := time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)
	p := brittlePool(1, 8, start)
	s := p.Servers[0]
	requirements := placement.Requirements{FailureDomain: "z0"}
	random := rand.New(rand.NewPCG(1, 2))
	p.SetBrittle(s, 1, start)
	for range 8 {
		p.Choose(requirements, start, random).BeginRequest(requirements, start)
	}
	lost := start.Add(time.Second)
	for range 8 {
		p.LoseContact(s, lost)
		s.EndRequest(lost)
		s.ForgetRequest(start)
	}
	c.Assert(p.Choose(requirements, lost, random), qt.IsNil)
	back := lost.Add(time.Second)
	p.Choose(requirements, back, random).BeginRequest(requirements, back)
	c.Assert(p.Choose(requirements, back, random), qt.IsNil) // the first may yet be rejected
	s.ConfirmRequest(back, back.Add(10*time.Millisecond))
	c.Assert(p.Choose(requirements, back.Add(10*time.Millisecond), random), qt.Equals, s)
}
