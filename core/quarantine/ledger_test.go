package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"acaciapath.example/core/quarantine"

	qt "github.com/frankban/quicktest"
)

var morning = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// at returns the time ms milliseconds after the beginning of a test.
func at(ms int) time.Time { return morning.Add(time.Duration(ms) * time.Millisecond) }

// prompt returns the shared parts of a prompt.
func prompt(ids ...uint64) []quarantine.Part {
	parts := make([]quarantine.Part, len(ids))
	for i, id := range ids {
		parts[i] = quarantine.Part{ID: id, Depth: i}
	}
	return parts
}

// quarantinedAfter returns the parts that are quarantined once the evidence has settled.
func quarantinedAfter(l *quarantine.Ledger, now time.Time) []uint64 {
	l.Evaluate(now)
	l.Evaluate(now.Add(time.Second))
	var ids []uint64
	for _, q := range l.Quarantined() {
		ids = append(ids, q.Part)
	}
	return ids
}

// crashes records a crash under the prompt at each of the given times, each of another
// server.
func crashes(l *quarantine.Ledger, parts []quarantine.Part, ms ...int) {
	for _, t := range ms {
		l.RecordCrash(parts, fmt.Sprint("engine-", t), at(t))
	}
}

func TestPartOfAllCrashesIsQuarantined(t *testing.T) {
	c := qt.New(t)
	l := quarantine.NewLedger(quarantine.DefaultSettings())
	for i, ms := range []int{0, 500, 1000, 1500} {
		c.Assert(l.RecordCrash(prompt(uint64(10+i%2), 7), fmt.Sprint(i), at(ms)), qt.IsTrue)
	}
	added, _ := l.Evaluate(at(1500))
	c.Assert(added, qt.HasLen, 0) // the evidence has not settled
	c.Assert(l.NextEvaluation(at(1500)), qt.Equals, 850*time.Millisecond)
	c.Assert(quarantinedAfter(l, at(2350)), qt.DeepEquals, []uint64{7})
}

func TestFirstPartAndDeepestOfTwoAlike(t *testing.T) {
	c := qt.New(t)
	l := quarantine.NewLedger(quarantine.DefaultSettings())
	for i := range 4 {
		l.RecordCrash(prompt(7, uint64(20+i)), fmt.Sprint(i), at(500*i))
	}
	c.Assert(quarantinedAfter(l, at(3000)), qt.DeepEquals, []uint64{7})
	l = quarantine.NewLedger(quarantine.DefaultSettings())
	crashes(l, prompt(7, 8), 0, 500, 1000, 1500)
	c.Assert(quarantinedAfter(l, at(3000)), qt.DeepEquals, []uint64{8})
}

// TestEnginesThatEndedShortlyBefore has engines end under other prompts before they end under
// one several times.
func TestEnginesThatEndedShortlyBefore(t *testing.T) {
	c := qt.New(t)
	l := quarantine.NewLedger(quarantine.DefaultSettings())
	for i := range 3 {
		l.RecordCrash(prompt(uint64(20+i)), fmt.Sprint("other-", i), at(3000*i))
	}
	crashes(l, prompt(7), 9000, 9500, 10000, 10500)
	c.Assert(quarantinedAfter(l, at(11000)), qt.HasLen, 0)
	crashes(l, prompt(7), 13000, 13500)
	c.Assert(quarantinedAfter(l, at(14000)), qt.DeepEquals, []uint64{7})
}

func TestInsufficientEvidence(t *testing.T) {
	for name, record := range map[string]func(l *quarantine.Ledger){
		"three crashes":    func(l *quarantine.Ledger) { crashes(l, prompt(7), 0, 500, 1000) },
		"at the same time": func(l *quarantine.Ledger) { crashes(l, prompt(7), 0, 10, 20, 30, 40, 50, 60) },
		"one server":       func(l *quarantine.Ledger) { repeatCrash(l, 8) },
		"a sound run since": func(l *quarantine.Ledger) {
			crashes(l, prompt(7), 0, 500, 1000, 1500)
			l.RecordSound(prompt(7), at(600))
		},
		"known to be sound": func(l *quarantine.Ledger) {
			l.RecordSound(prompt(7), at(600))
			crashes(l, prompt(7), 0, 500, 1000, 1500)
		},
		"too old": func(l *quarantine.Ledger) { crashes(l, prompt(7), -700_000, -690_000, 0, 500) },
	} {
		t.Run(name, func(t *testing.T) {
			l := quarantine.NewLedger(quarantine.DefaultSettings())
			record(l)
			qt.Check(t, quarantinedAfter(l, at(2500)), qt.HasLen, 0)
		})
	}
}

// repeatCrash records crashes of the same server.
func repeatCrash(l *quarantine.Ledger, n int) {
	for i := range n {
		l.RecordCrash(prompt(7), "engine", at(500*i))
	}
}

func TestRequestsWithQuarantinedPartAccuseNoOther(t *testing.T) {
	c := qt.New(t)
	l := quarantine.NewLedger(quarantine.DefaultSettings())
	crashes(l, prompt(1, 7), 0, 500, 1000, 1500)
	c.Assert(quarantinedAfter(l, at(2500)), qt.DeepEquals, []uint64{7})
	crashes(l, prompt(1, 7), 4000, 4500, 5000, 5500, 6000)
	c.Assert(quarantinedAfter(l, at(7000)), qt.DeepEquals, []uint64{7})
}

// TestMoreEvidenceWhileOthersEnd has most engines end under other prompts, so that four
// accusations of a part do not suffice.
func TestMoreEvidenceWhileOthersEnd(t *testing.T) {
	c := qt.New(t)
	l := quarantine.NewLedger(quarantine.DefaultSettings())
	crashes(l, prompt(7), 0, 500, 1000, 1500)
	for i := range 5 {
		l.RecordCrash(prompt(uint64(100+i)), fmt.Sprint("other-", i), at(200+300*i))
	}
	c.Assert(quarantinedAfter(l, at(2500)), qt.HasLen, 0)
	crashes(l, prompt(7), 2600, 2800)
	c.Assert(quarantinedAfter(l, at(4000)), qt.DeepEquals, []uint64{7})
}

func TestSoundRunLiftsQuarantine(t *testing.T) {
	c := qt.New(t)
	l := quarantine.NewLedger(quarantine.DefaultSettings())
	crashes(l, prompt(7), 0, 500, 1000, 1500)
	c.Assert(quarantinedAfter(l, at(2500)), qt.HasLen, 1)
	lifted, _ := l.RecordSound(prompt(7), at(-100))
	c.Assert(lifted, qt.HasLen, 0) // it began before the first crash
	lifted, tell := l.RecordSound(prompt(7), at(1600))
	c.Assert(lifted, qt.DeepEquals, []uint64{7})
	c.Assert(tell, qt.IsTrue)
	c.Assert(quarantinedAfter(l, at(3000)), qt.HasLen, 0)
}

// TestReportsMergeInAnyOrder has reports arrive in random order, some twice. All daemons
// must come to the same decision.
func TestReportsMergeInAnyOrder(t *testing.T) {
	c := qt.New(t)
	var reports []quarantine.Report
	for i := range 6 {
		l := quarantine.NewLedger(quarantine.DefaultSettings())
		l.RecordCrash(prompt(uint64(1+i%2), 7, 9), fmt.Sprint(i), at(300*i))
		reports = append(reports, l.Report())
	}
	sound := quarantine.NewLedger(quarantine.DefaultSettings())
	for _, r := range reports {
		sound.Merge(r, false, at(1600))
	}
	sound.RecordSound(prompt(1, 9), at(1650))
	reports = append(reports, sound.Report())
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 0))
		l := quarantine.NewLedger(quarantine.DefaultSettings())
		for _, i := range append(random.Perm(len(reports)), random.Perm(len(reports))...) {
			l.Merge(reports[i], false, at(2000))
		}
		c.Assert(quarantinedAfter(l, at(2000)), qt.DeepEquals, []uint64{7}, qt.Commentf("seed %d", seed))
		c.Assert(l.Report().IsEmpty(), qt.IsTrue) // it has seen nothing itself
	}
}

// TestOwnReportAfterRestart has a daemon read its own report from before a restart, which
// it must go on to report.
func TestOwnReportAfterRestart(t *testing.T) {
	c := qt.New(t)
	before := quarantine.NewLedger(quarantine.DefaultSettings())
	crashes(before, prompt(7), 0, 500)
	after := quarantine.NewLedger(quarantine.DefaultSettings())
	after.Merge(before.Report(), true, at(1000))
	c.Assert(after.Report(), qt.DeepEquals, before.Report())
}

func TestTrial(t *testing.T) {
	c := qt.New(t)
	settings := quarantine.DefaultSettings()
	one, two := quarantine.NewLedger(settings), quarantine.NewLedger(settings)
	crashes(one, prompt(7), 0, 500, 1000, 1500)
	quarantinedAfter(one, at(2100))
	q := one.Quarantined()[0]
	c.Assert(two.Adopt(q, at(2200)), qt.IsTrue)
	_, due := two.NextTrial(7, "vm-2", q.Until.Add(-time.Millisecond))
	c.Assert(due, qt.IsFalse)
	trial, due := two.NextTrial(7, "vm-2", q.Until)
	c.Assert(due, qt.IsTrue)
	two.Adopt(trial, q.Until)
	one.Adopt(trial, q.Until)
	one.Adopt(q, q.Until) // repeated
	_, due = one.NextTrial(7, "vm-1", q.Until.Add(time.Second))
	c.Assert(due, qt.IsFalse)
	_, failed := one.FailTrial(7, "vm-1", q.Until.Add(time.Second))
	c.Assert(failed, qt.IsFalse)
	end, failed := two.FailTrial(7, "vm-2", q.Until.Add(time.Second))
	c.Assert(failed, qt.IsTrue)
	c.Assert(end.Hold, qt.Equals, 2*settings.Hold)
	c.Assert(end.Until, qt.Equals, q.Until.Add(time.Second+2*settings.Hold))
	one.Adopt(end, q.Until.Add(2*time.Second))
	c.Assert(one.Quarantined(), qt.DeepEquals, two.Quarantined())
	_, forgotten := one.Evaluate(end.Until.Add(settings.Memory + time.Second))
	c.Assert(forgotten, qt.DeepEquals, []uint64{7})
}

func TestLiftedElsewhere(t *testing.T) {
	c := qt.New(t)
	l := quarantine.NewLedger(quarantine.DefaultSettings())
	crashes(l, prompt(7), 0, 500, 1000, 1500)
	c.Assert(quarantinedAfter(l, at(2100)), qt.HasLen, 1)
	c.Assert(l.Lift(7), qt.IsTrue)
	c.Assert(l.Lift(7), qt.IsFalse)
	c.Assert(quarantinedAfter(l, at(4000)), qt.HasLen, 0)
	crashes(l, prompt(7), 5000, 5500, 6000, 6500)
	c.Assert(quarantinedAfter(l, at(7000)), qt.DeepEquals, []uint64{7})
}

// TestMemoryIsBounded records crashes under a hundred thousand parts.
func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	l := quarantine.NewLedger(quarantine.DefaultSettings())
	for i := range 100_000 {
		l.RecordCrash(prompt(uint64(i)), fmt.Sprint(i), at(i))
		l.RecordSound(prompt(uint64(1_000_000+i)), at(i))
	}
	c.Assert(l.Suspects(), qt.Equals, 1024)
	c.Assert(l.Report().Accusations, qt.HasLen, 64)
	l.Evaluate(at(100_000).Add(quarantine.DefaultSettings().Memory + time.Second))
	c.Assert(l.Suspects(), qt.Equals, 0)
}

func TestClockOfAnotherVM(t *testing.T) {
	c := qt.New(t)
	l := quarantine.NewLedger(quarantine.DefaultSettings())
	var r quarantine.Report
	for i := range 4 {
		r.Accusations = append(r.Accusations, quarantine.Accusation{Part: quarantine.Part{ID: 7}, Server: fmt.Sprint(i), At: at(3_600_000 + 500*i)})
	}
	l.Merge(r, false, at(0))
	c.Assert(quarantinedAfter(l, at(0)), qt.HasLen, 0) // all are taken for the present
}

func TestSettings(t *testing.T) {
	c := qt.New(t)
	c.Assert(quarantine.DefaultSettings().Validate(), qt.IsNil)
	for _, change := range []func(s *quarantine.Settings){
		func(s *quarantine.Settings) { s.Crashes = 1 },
		func(s *quarantine.Settings) { s.Crashes = -1 },
		func(s *quarantine.Settings) { s.Memory = 0 },
		func(s *quarantine.Settings) { s.Hold = 0 },
		func(s *quarantine.Settings) { s.Hold = 7 * time.Hour },
	} {
		s := quarantine.DefaultSettings()
		change(&s)
		c.Check(s.Validate(), qt.ErrorIs, quarantine.ErrInvalidSettings)
	}
	off := quarantine.DefaultSettings()
	off.Crashes = 0
	c.Assert(off.Validate(), qt.IsNil)
	l := quarantine.NewLedger(off)
	crashes(l, prompt(7), 0, 500, 1000, 1500, 2000, 2500, 3000)
	c.Assert(quarantinedAfter(l, at(4000)), qt.HasLen, 0)
}
