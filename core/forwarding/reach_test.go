package forwarding_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"acaciapath.example/core/forwarding"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// server is a backend server of a played link.
type server struct {
	forwarding.Target
	// contact is the outcome of connections to it, by the time since the start.
	contact func(ms int) forwarding.Contact
}

// link plays the connections of one daemon to its backend servers, in steps of a
// millisecond.
type link struct {
	servers []server
	// dialEvery is the time between two requests that need a new connection, in ms; 0 if
	// there are none.
	dialEvery int
	// silentFrom and silentTo bound the time in which no byte arrives on open connections.
	silentFrom, silentTo int
	// length is how long the link is played, in ms.
	length int
	// seed is the seed of the random source.
	seed uint64

	reach   forwarding.Reach
	random  *rand.Rand
	pending []outcome
	state   forwarding.State
	probes  int
	log     strings.Builder
}

// outcome is that of a connection that was begun.
type outcome struct {
	at      int
	address string
	contact forwarding.Contact
}

// Times of the outcomes of connections, in ms.
const (
	roundTrip   = 4
	dialTimeout = 250
	waitSilent  = 250
)

// connect begins a connection.
func (l *link) connect(s server, ms int) {
	c := s.contact(ms)
	at := ms + roundTrip
	if c == forwarding.TimedOut {
		at = ms + dialTimeout
	}
	l.pending = append(l.pending, outcome{at, s.Address, c})
}

// byAddress returns the backend server at an address.
func (l *link) byAddress(address string) server {
	for _, s := range l.servers {
		if s.Address == address {
			return s
		}
	}
	panic(address)
}

// play plays the link and returns the changes of the state.
func (l *link) play() string {
	l.random = rand.New(rand.NewPCG(l.seed, 2))
	targets := make([]forwarding.Target, len(l.servers))
	for i, s := range l.servers {
		targets[i] = s.Target
	}
	l.reach.SetTargets(targets)
	heard := 0
	for ms := range l.length {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if l.dialEvery > 0 && ms%l.dialEvery == 0 && l.state != forwarding.CutOff && len(l.servers) > 0 {
			l.connect(l.servers[l.random.IntN(len(l.servers))], ms)
		}
		if ms%20 == 0 && (ms < l.silentFrom || ms >= l.silentTo) {
			heard = ms
			l.reach.Heard(now)
			if l.reach.Cut() == forwarding.Hanging {
				l.reach.Observe(l.servers[l.random.IntN(len(l.servers))].Address, forwarding.Opened, now)
			}
		}
		if ms-heard == waitSilent {
			l.reach.Silent(now)
		}
		var waiting []outcome
		for _, o := range l.pending {
			if o.at > ms {
				waiting = append(waiting, o)
				continue
			}
			l.reach.Observe(o.address, o.contact, now)
		}
		l.pending = waiting
		if ms%25 == 0 {
			for _, t := range l.reach.Probes(now, l.random) {
				l.probes++
				l.connect(l.byAddress(t.Address), ms)
			}
		}
		l.recordState(ms, now)
	}
	fmt.Fprintf(&l.log, "%d probes in %d ms\n", l.probes, l.length)
	return l.log.String()
}

// recordState records a change to or from CutOff.
func (l *link) recordState(ms int, now time.Time) {
	state := l.reach.State(now)
	if state != l.state && (state == forwarding.CutOff || l.state == forwarding.CutOff) {
		e := l.reach.Evidence(now)
		fmt.Fprintf(&l.log, "%d ms: %s %s", ms, state, l.reach.Cut())
		if state == forwarding.CutOff {
			fmt.Fprintf(&l.log, ", after %s: %d servers in %d domains, %d refused, %d reset, %d timed out, heard %t",
				e.Sign, e.Servers, e.FailureDomains, e.Refused, e.Reset, e.TimedOut, e.Heard)
		}
		l.log.WriteString("\n")
	}
	l.state = state
}

// always returns the same outcome of all connections.
func always(c forwarding.Contact) func(int) forwarding.Contact {
	return func(int) forwarding.Contact { return c }
}

// during returns an outcome from one time to another, and Opened otherwise.
func during(c forwarding.Contact, from, to int) func(int) forwarding.Contact {
	return func(ms int) forwarding.Contact {
		if ms >= from && ms < to {
			return c
		}
		return forwarding.Opened
	}
}

// servers returns n backend servers in failure domains a, b and so on.
func servers(n, domains int, contact func(ms int) forwarding.Contact) []server {
	list := make([]server, n)
	for i := range list {
		name := fmt.Sprintf("s%d", i)
		list[i] = server{forwarding.Target{Name: name, Address: name, FailureDomain: string(rune('a' + i%domains)), Service: "main"}, contact}
	}
	return list
}

// with returns servers of which those that match have another outcome.
func with(list []server, match func(i int, t forwarding.Target) bool, contact func(ms int) forwarding.Contact) []server {
	for i := range list {
		if match(i, list[i].Target) {
			list[i].contact = contact
		}
	}
	return list
}

// inServices divides the backend servers among n services.
func inServices(list []server, n int) []server {
	for i := range list {
		list[i].Service = strconv.Itoa(i / 3 % n)
	}
	return list
}

// Begin and end of played cuts, in ms.
const (
	cutFrom = 1000
	cutTo   = 5000
)

// played is a link with the name of what happens on it. Names of links that are not cut
// begin with no-cut.
type played struct {
	name string
	link link
}

// links returns cuts, which must be declared and end, and faults of backend servers and
// links that are none.
func links() []played {
	random := rand.New(rand.NewPCG(3, 4))
	inDomain := func(domain string) func(int, forwarding.Target) bool {
		return func(_ int, t forwarding.Target) bool { return t.FailureDomain == domain }
	}
	inService := func(service string) func(int, forwarding.Target) bool {
		return func(_ int, t forwarding.Target) bool { return t.Service == service }
	}
	return []played{
		{"hang", link{servers: servers(9, 3, during(forwarding.TimedOut, cutFrom, cutTo)), dialEvery: 80, silentFrom: cutFrom, silentTo: cutTo}},
		{"hang-few-requests", link{servers: servers(9, 3, during(forwarding.TimedOut, cutFrom, cutTo)), dialEvery: 900, silentFrom: cutFrom, silentTo: cutTo}},
		{"hang-reused-only", link{servers: servers(9, 3, during(forwarding.TimedOut, cutFrom, cutTo)), silentFrom: cutFrom, silentTo: cutTo}},
		{"reset", link{servers: servers(9, 3, during(forwarding.Refused, cutFrom, cutTo)), dialEvery: 80, silentFrom: cutFrom, silentTo: cutTo}},
		{"accepted-then-reset", link{servers: servers(9, 3, during(forwarding.Reset, cutFrom, cutTo)), dialEvery: 80, silentFrom: cutFrom, silentTo: cutTo}},
		{"refused-old-connections-live", link{servers: servers(9, 3, during(forwarding.Refused, cutFrom, cutTo)), dialEvery: 80}},
		{"reset-old-connections-live", link{servers: servers(9, 3, during(forwarding.Reset, cutFrom, cutTo)), dialEvery: 80}},
		{"one-server", link{servers: servers(1, 1, during(forwarding.TimedOut, cutFrom, cutTo)), dialEvery: 80, silentFrom: cutFrom, silentTo: cutTo}},
		{"two-servers", link{servers: servers(2, 2, during(forwarding.TimedOut, cutFrom, cutTo)), dialEvery: 80, silentFrom: cutFrom, silentTo: cutTo}},
		{"three-servers", link{servers: servers(3, 3, during(forwarding.Refused, cutFrom, cutTo)), dialEvery: 80, silentFrom: cutFrom, silentTo: cutTo}},
		{"one-domain", link{servers: servers(6, 1, during(forwarding.TimedOut, cutFrom, cutTo)), dialEvery: 80, silentFrom: cutFrom, silentTo: cutTo}},
		{"dead-server-in-cut", link{servers: with(servers(9, 3, during(forwarding.TimedOut, cutFrom, cutTo)), func(i int, _ forwarding.Target) bool { return i == 0 }, always(forwarding.TimedOut)), dialEvery: 80, silentFrom: cutFrom, silentTo: cutTo}},

		{"services", link{servers: inServices(servers(9, 3, during(forwarding.TimedOut, cutFrom, cutTo)), 4), dialEvery: 80, silentFrom: cutFrom, silentTo: cutTo}},
		{"services-reset", link{servers: inServices(servers(9, 3, during(forwarding.Reset, cutFrom, cutTo)), 4), dialEvery: 80, silentFrom: cutFrom, silentTo: cutTo}},

		{"no-cut-calm", link{servers: servers(9, 3, always(forwarding.Opened)), dialEvery: 80}},
		{"no-cut-no-servers", link{silentFrom: cutFrom, silentTo: cutTo}},
		{"no-cut-dead-server", link{servers: with(servers(9, 3, always(forwarding.Opened)), func(i int, _ forwarding.Target) bool { return i == 0 }, always(forwarding.Refused)), dialEvery: 80}},
		{"no-cut-dead-service", link{servers: with(inServices(servers(24, 3, always(forwarding.Opened)), 2), inService("0"), during(forwarding.Refused, cutFrom, cutTo)), dialEvery: 80}},
		{"no-cut-dead-service-hangs", link{servers: with(inServices(servers(24, 3, always(forwarding.Opened)), 2), inService("0"), during(forwarding.TimedOut, cutFrom, cutTo)), dialEvery: 80}},
		{"no-cut-two-dead-services", link{servers: with(inServices(servers(24, 3, always(forwarding.Opened)), 3), func(_ int, t forwarding.Target) bool { return t.Service != "0" }, during(forwarding.Reset, cutFrom, cutTo)), dialEvery: 80}},
		{"no-cut-half-dead", link{servers: with(servers(24, 3, always(forwarding.Opened)), func(i int, _ forwarding.Target) bool { return i%2 == 0 }, during(forwarding.Refused, cutFrom, cutTo)), dialEvery: 80}},
		{"no-cut-half-dead-hangs", link{servers: with(servers(24, 3, always(forwarding.Opened)), func(i int, _ forwarding.Target) bool { return i%2 == 0 }, during(forwarding.TimedOut, cutFrom, cutTo)), dialEvery: 80}},
		{"no-cut-dead-domain", link{servers: with(servers(9, 3, always(forwarding.Opened)), inDomain("a"), during(forwarding.TimedOut, cutFrom, cutTo)), dialEvery: 80}},
		{"no-cut-two-dead-domains", link{servers: with(servers(9, 3, always(forwarding.Opened)), func(_ int, t forwarding.Target) bool { return t.FailureDomain != "a" }, during(forwarding.TimedOut, cutFrom, cutTo)), dialEvery: 80, silentFrom: cutFrom, silentTo: cutFrom + 500}},
		{"no-cut-lossy", link{servers: servers(9, 3, func(int) forwarding.Contact {
			if random.IntN(5) == 0 {
				return forwarding.TimedOut
			}
			return forwarding.Opened
		}), dialEvery: 80}},
		{"no-cut-full-servers", link{servers: servers(9, 3, func(int) forwarding.Contact {
			if random.IntN(4) > 0 {
				return forwarding.Reset
			}
			return forwarding.Opened
		}), dialEvery: 30}},
		{"no-cut-full-service", link{servers: with(servers(9, 3, always(forwarding.Opened)), func(i int, _ forwarding.Target) bool { return i < 8 }, always(forwarding.Reset)), dialEvery: 30}},
		{"no-cut-silent-server", link{servers: with(servers(9, 3, always(forwarding.Opened)), func(i int, _ forwarding.Target) bool { return i == 0 }, during(forwarding.TimedOut, cutFrom, cutFrom+1000)), dialEvery: 80, silentFrom: cutFrom, silentTo: cutFrom + 1000}},
		{"no-cut-slow-prefill", link{servers: servers(9, 3, always(forwarding.Opened)), silentFrom: cutFrom, silentTo: cutFrom + 1500}},
	}
}

// TestReach plays cuts and other faults.
func TestReach(t *testing.T) {
	var transcript strings.Builder
	for _, test := range links() {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			test.link.length, test.link.seed = 8000, 1
			log := test.link.play()
			fmt.Fprintf(&transcript, "%s\n%s\n", test.name, log)
			c.Assert(test.link.state, qt.Not(qt.Equals), forwarding.CutOff)
		})
	}
	goldie.New(t).Assert(t, "reach", []byte(transcript.String()))
}

// TestReachDeclaresCutsOnly plays the same with other random choices.
func TestReachDeclaresCutsOnly(t *testing.T) {
	for seed := range uint64(100) {
		for _, test := range links() {
			test.link.length, test.link.seed = 6000, seed
			log := test.link.play()
			comment := qt.Commentf("%s, seed %d:\n%s", test.name, seed, log)
			if strings.HasPrefix(test.name, "no-cut") {
				qt.Check(t, log, qt.Not(qt.Contains), "cut-off", comment)
				continue
			}
			qt.Check(t, strings.Count(log, "cut-off"), qt.Equals, 1, comment)
			qt.Check(t, test.link.state, qt.Not(qt.Equals), forwarding.CutOff, comment)
		}
	}
}

// TestServerOfSeveralServicesIsOneServer lists a backend server once for each of its services.
func TestServerOfSeveralServicesIsOneServer(t *testing.T) {
	c := qt.New(t)
	var r forwarding.Reach
	target := forwarding.Target{Name: "s0", Address: "s0", FailureDomain: "a", Service: "0"}
	r.SetTargets([]forwarding.Target{target, target, target})
	now := start
	for range 3 {
		r.Observe("s0", forwarding.Refused, now)
		now = now.Add(100 * time.Millisecond)
	}
	c.Assert(r.State(now), qt.Equals, forwarding.CutOff)
}

// TestServerThatAnsweredIsNotProbedAgain has one of two backend servers answer again and again
// during a cut, and the other one not.
func TestServerThatAnsweredIsNotProbedAgain(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	var r forwarding.Reach
	r.SetTargets([]forwarding.Target{{Address: "s0", FailureDomain: "a"}, {Address: "s1", FailureDomain: "a"}})
	for i := range 4 {
		r.Observe([]string{"s0", "s1"}[i%2], forwarding.Reset, start.Add(time.Duration(i)*20*time.Millisecond))
	}
	now := start.Add(100 * time.Millisecond)
	c.Assert(r.State(now), qt.Equals, forwarding.CutOff)
	probes := 0
	for range 1000 {
		now = now.Add(time.Millisecond)
		for _, t := range r.Probes(now, random) {
			if t.Address == "s0" {
				probes++
				r.Observe("s0", forwarding.Opened, now)
			}
		}
	}
	c.Assert(probes, qt.Equals, 1)
	c.Assert(r.State(now), qt.Equals, forwarding.CutOff)
	r.Observe("s1", forwarding.Opened, now)
	c.Assert(r.State(now), qt.Equals, forwarding.Direct)
}

// TestSlowServerIsNotProbed has the only backend server take long for a request.
func TestSlowServerIsNotProbed(t *testing.T) {
	c := qt.New(t)
	var r forwarding.Reach
	r.SetTargets([]forwarding.Target{{Address: "s0", FailureDomain: "a"}})
	r.Silent(start)
	c.Assert(r.State(start), qt.Equals, forwarding.Direct)
	c.Assert(r.Probes(start, rand.New(rand.NewPCG(1, 2))), qt.HasLen, 0)
}
