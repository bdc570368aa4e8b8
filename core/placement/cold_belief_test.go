package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"acaciapath.example/core/placement"
	"acaciapath.example/core/replica"

	qt "github.com/frankban/quicktest"
)

// coldPool returns a pool of a daemon that is alone, with two servers that are warm.
func coldPool(start time.Time) (*placement.Pool, []replica.Spec) {
	specs := []replica.Spec{
		{Name: "a", FailureDomain: "z", Slots: 24, Sequence: 1, StartedAt: time.UnixMilli(1)},
		{Name: "b", FailureDomain: "z", Slots: 24, Sequence: 1, StartedAt: time.UnixMilli(1)},
	}
	p := &placement.Pool{}
	p.SetPeers(placement.Peers{VM: "vm", FailureDomain: "z", Daemons: 1, Domains: 1}, start)
	p.SetCold(&coldLimit, start)
	p.Update(specs, start)
	return p, specs
}

// TestColdBeliefs checks from when and until when a server may be cold, by each kind of news.
func TestColdBeliefs(t *testing.T) {
	start := time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	entry := func(specs []replica.Spec, sequence uint64, coldFor time.Duration) []replica.Spec {
		changed := append([]replica.Spec(nil), specs...)
		changed[0].Sequence, changed[0].ColdFor = sequence, coldFor
		return changed
	}
	for name, test := range map[string]struct {
		news func(p *placement.Pool, specs []replica.Spec)
		// warmAt is the time in seconds from which the server is warm, or 0 if it is warm
		// after the news.
		warmAt float64
	}{
		"none":      {func(*placement.Pool, []replica.Spec) {}, 0},
		"its entry": {func(p *placement.Pool, specs []replica.Spec) { p.Update(entry(specs, 2, 2*time.Second), at(1)) }, 3},
		"the same again": {func(p *placement.Pool, specs []replica.Spec) {
			p.Update(entry(specs, 2, 2*time.Second), at(1))
			p.Update(entry(specs, 2, 2*time.Second), at(2))
		}, 3},
		"warm entry": {func(p *placement.Pool, specs []replica.Spec) {
			p.Update(entry(specs, 2, 9*time.Second), at(1))
			p.Update(entry(specs, 3, 0), at(2))
		}, 0},
		"faulty entry": {func(p *placement.Pool, specs []replica.Spec) { p.Update(entry(specs, 2, 9000*time.Hour), at(1)) }, 61},
		"new instance": {func(p *placement.Pool, specs []replica.Spec) {
			specs = entry(specs, 1, 0)
			specs[0].StartedAt = time.UnixMilli(2)
			p.Update(specs, at(1))
		}, 4},
		"entry was missing": {func(p *placement.Pool, specs []replica.Spec) { p.Update(specs[1:], at(1)); p.Update(specs, at(2)) }, 5},
		"an answer":         {func(p *placement.Pool, _ []replica.Spec) { p.HearCold(p.Servers[0], 4*time.Second, at(1)) }, 5},
		"contact lost":      {func(p *placement.Pool, _ []replica.Spec) { p.LoseContact(p.Servers[0], at(1)) }, 9},
		"answers again": {func(p *placement.Pool, _ []replica.Spec) {
			p.LoseContact(p.Servers[0], at(1))
			p.RecordSuccess(p.Servers[0], at(2))
			p.RecordSuccess(p.Servers[0], at(4))
		}, 5},
		"old entry after a loss": {func(p *placement.Pool, specs []replica.Spec) {
			p.LoseContact(p.Servers[0], at(1))
			p.Update(entry(specs, 2, 0), at(2))
		}, 9},
		"warm entry after a loss": {func(p *placement.Pool, specs []replica.Spec) {
			p.LoseContact(p.Servers[0], at(1))
			p.Update(entry(specs, 2, 0), at(4))
		}, 0},
		"evacuation ended": {func(p *placement.Pool, _ []replica.Spec) {
			p.SetEvacuated(map[string]bool{"z": true}, at(1))
			p.SetEvacuated(nil, at(2))
		}, 7.5},
		"another is lost": {func(p *placement.Pool, _ []replica.Spec) { p.LoseContact(p.Servers[1], at(1)) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p, specs := coldPool(start)
			test.news(p, specs)
			qt.Check(t, p.Servers[0].IsCold(at(test.warmAt-0.01)), qt.Equals, test.warmAt > 0)
			qt.Check(t, p.Servers[0].IsCold(at(test.warmAt)), qt.IsFalse)
		})
	}
}

// TestDomainIsLost loses two servers of a failure domain. Another one of the domain may be
// cold too, unless it answers meanwhile or a request ran there a short time ago.
func TestDomainIsLost(t *testing.T) {
	start := time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)
	for name, test := range map[string]struct {
		runs, answers bool
		between       time.Duration
		want          bool
	}{
		"both at once":                   {want: true},
		"another one answers":            {answers: true},
		"a request runs on another one":  {runs: true, between: 100 * time.Millisecond},
		"it has not answered for a time": {runs: true, between: time.Second, want: true},
		"long apart":                     {between: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p, specs := coldPool(start)
			p.Update(append(specs, replica.Spec{Name: "c", FailureDomain: "z"}, replica.Spec{Name: "d", FailureDomain: "y"}), start)
			if now := start.Add(10 * time.Second); test.runs {
				p.Servers[2].BeginRequest(placement.Requirements{}, now)
			}
			c.Check(p.LoseContact(p.Servers[0], start.Add(10*time.Second)), qt.Equals, 1)
			if test.answers {
				p.RecordAnswer(p.Servers[2])
			}
			now := start.Add(10*time.Second + test.between)
			p.LoseContact(p.Servers[1], now)
			c.Check(p.Servers[2].IsCold(now), qt.Equals, test.want)
			c.Check(p.Servers[3].IsCold(now), qt.IsFalse)
		})
	}
}

// TestLimitAndColdBindTogether has a cold server name a limit. The smaller must bind. When
// both servers are used up, callers are told when to return.
func TestLimitAndColdBindTogether(t *testing.T) {
	c := qt.New(t)
	start := time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)
	p, specs := coldPool(start)
	specs[0].Sequence, specs[0].ColdFor = 2, 30*time.Second
	specs[1].Sequence, specs[1].ColdFor = 2, 30*time.Second
	p.Update(specs, start)
	p.SetLimit(p.Servers[0], 1, start)
	random := rand.New(rand.NewPCG(1, 2))
	sent := make(map[string]int)
	end := start.Add(10 * time.Second)
	for now := start; !now.After(end); now = now.Add(10 * time.Millisecond) {
		for s := p.Choose(placement.Requirements{FailureDomain: "z"}, now, random); s != nil; s = p.Choose(placement.Requirements{FailureDomain: "z"}, now, random) {
			s.BeginRequest(placement.Requirements{}, now)
			s.EndRequest(now)
			sent[s.Spec.Name]++
		}
	}
	c.Check(sent["a"] >= 8 && sent["a"] <= 12, qt.IsTrue, qt.Commentf("%v", sent))
	c.Check(sent["b"] >= 50 && sent["b"] <= 60, qt.IsTrue, qt.Commentf("%v", sent))
	c.Check(p.Availability(p.Servers[0], end), qt.Equals, placement.Limited)
	c.Check(p.Availability(p.Servers[1], end), qt.Equals, placement.Cold)
	wait, explained := p.ReturnTime(placement.Requirements{}, end)
	c.Check(explained, qt.IsTrue)
	c.Check(wait <= 200*time.Millisecond, qt.IsTrue, qt.Commentf("%s", wait))
}
