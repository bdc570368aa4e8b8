package origin_test

import (
	"fmt"
	"testing"
	"time"

	"acaciapath.example/core/origin"

	qt "github.com/frankban/quicktest"
)

// service is the service of all streams of the tests.
const service = "llm"

var morning = time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)

// at returns the time s seconds after the beginning of a test.
func at(s float64) time.Time { return morning.Add(time.Duration(s * float64(time.Second))) }

// v returns an origin in the service llm.
func v(version string) origin.Origin { return origin.Origin{Service: "llm", Version: version} }

// listed returns the given numbers of servers of versions.
func listed(servers map[string]int) map[string]origin.Servers {
	return map[string]origin.Servers{service: {Plan: origin.NewPlan(servers), Mixed: len(servers) > 1}}
}

// use has a ledger use the plan for the given numbers of servers.
func use(l *origin.Ledger, servers map[string]int, now time.Time) {
	l.SetListed(listed(servers), now)
	l.UsePlans()
	l.SetReported(l.Report(now))
}

// resolve returns the version that a ledger resolves a stream to with the reports of others.
// The stream began since a time.
func resolve(l *origin.Ledger, stream origin.Stream, since time.Time, reports ...origin.Report) string {
	found, _, _ := l.ResolveAmong(reports, origin.Query{Stream: stream, Service: service, Since: since, Fresh: true})
	return found.Version
}

func TestPlan(t *testing.T) {
	c := qt.New(t)
	c.Assert(origin.NewPlan(nil), qt.HasLen, 0)
	_, ok := origin.NewPlan(map[string]int{"v1": 0}).Pick(7)
	c.Assert(ok, qt.IsFalse)
	c.Assert(origin.NewPlan(map[string]int{"v1": 7}), qt.DeepEquals, origin.NewPlan(map[string]int{"v1": 12}))
	c.Assert(origin.NewPlan(map[string]int{"v1": 7, "v2": 2, "v3": 100}).String(), qt.Equals, "v1:1,v3:7")
	one, two := origin.NewPlan(map[string]int{"v1": 6, "v2": 2}), origin.NewPlan(map[string]int{"v1": 5, "v2": 3})
	first, moved := 0, 0
	for i := range 10_000 {
		stream := origin.StreamID("a", fmt.Sprint(i))
		before, _ := one.Pick(stream)
		after, _ := two.Pick(stream)
		if before == "v1" {
			first++
		}
		if before != after {
			moved++
		}
	}
	c.Assert(first > 7300 && first < 7700, qt.IsTrue, qt.Commentf("%d of 10000 at the version with three quarters", first))
	c.Assert(moved < 2600, qt.IsTrue, qt.Commentf("%d of 10000 have another version", moved))
}

// TestPickIsFixed checks that the choice does not change between builds: daemons of two builds
// must choose the same version.
func TestPickIsFixed(t *testing.T) {
	p := origin.NewPlan(map[string]int{"v1": 4, "v1.1": 4, "v2": 4})
	picks := ""
	for i := range 12 {
		version, _ := p.Pick(origin.StreamID("account", fmt.Sprint(i)))
		picks += version + " "
	}
	qt.Assert(t, picks, qt.Equals, "v1 v2 v1 v1 v2 v1 v1 v2 v2 v1 v2 v2 ")
}

func TestPlansThatCannotWait(t *testing.T) {
	c := qt.New(t)
	l := origin.NewLedger()
	needs := func(servers map[string]int) bool { return l.SetListed(listed(servers), at(0)) }
	c.Assert(needs(map[string]int{"v1": 4}), qt.IsTrue)
	use(l, map[string]int{"v1": 4}, at(0))
	c.Assert(needs(map[string]int{"v1": 6, "v2": 2}), qt.IsFalse)
	c.Assert(needs(map[string]int{"v1": 5, "v2": 3}), qt.IsTrue)
	use(l, map[string]int{"v1": 4, "v2": 4}, at(1))
	c.Assert(needs(map[string]int{"v1": 2, "v2": 6}), qt.IsFalse)
	c.Assert(needs(map[string]int{"v1": 1, "v2": 7}), qt.IsTrue)
	c.Assert(needs(map[string]int{"v2": 4}), qt.IsTrue)
	c.Assert(needs(nil), qt.IsFalse)
}

func TestOnlyVersionInService(t *testing.T) {
	c := qt.New(t)
	l := origin.NewLedger()
	query := func(since float64, fresh bool) origin.Query {
		return origin.Query{Stream: 7, Service: service, Since: at(since), Fresh: fresh}
	}
	_, known := l.Resolve(query(100, true))
	c.Assert(known, qt.IsFalse)
	use(l, map[string]int{"v1": 4}, at(0))
	_, known = l.Resolve(query(5, true))
	c.Assert(known, qt.IsFalse) // others may have had another plan
	found, known := l.Resolve(query(11, true))
	c.Assert(known, qt.IsTrue)
	c.Assert(found, qt.Equals, v("v1"))
	_, known = l.Resolve(query(11, false))
	c.Assert(known, qt.IsFalse) // the list is out of date
	l.SetListed(listed(map[string]int{"v1": 4, "v2": 4}), at(12))
	_, known = l.Resolve(query(11, true))
	c.Assert(known, qt.IsFalse) // the plan is about to change
	l.SetListed(listed(map[string]int{"v1": 4}), at(13))
	_, known = l.Resolve(query(22, true))
	c.Assert(known, qt.IsFalse) // some may have begun at the other version
	_, known = l.Resolve(query(23, true))
	c.Assert(known, qt.IsTrue)
}

// TestExceptions has streams that begin elsewhere than the plan tells, and others that began
// under an earlier plan.
func TestExceptions(t *testing.T) {
	c := qt.New(t)
	one, two := origin.NewLedger(), origin.NewLedger()
	use(one, map[string]int{"v1": 4}, at(0))
	use(two, map[string]int{"v1": 4}, at(0))
	c.Assert(one.Begin(1, service, v("v1"), at(1)), qt.IsFalse)
	c.Assert(one.Begin(2, service, v("v0"), at(1)), qt.IsTrue)
	c.Assert(one.Report(at(2)).Exceptions, qt.DeepEquals, map[origin.Origin][]origin.Stream{v("v0"): {2}})
	use(one, map[string]int{"v2": 4}, at(3))
	c.Assert(one.Report(at(3)).Exceptions, qt.HasLen, 2)
	reports := []origin.Report{one.Report(at(4)), two.Report(at(4))}
	c.Assert(resolve(two, 1, at(0), reports...), qt.Equals, "v1")
	c.Assert(resolve(two, 2, at(0), reports...), qt.Equals, "v0")
	c.Assert(resolve(two, 3, at(0), reports...), qt.Equals, "", qt.Commentf("the plans differ"))
	_, _, final := two.ResolveAmong(reports, origin.Query{Stream: 3, Service: service})
	c.Assert(final, qt.IsFalse)
	use(two, map[string]int{"v2": 4}, at(4))
	reports[1] = two.Report(at(4))
	c.Assert(resolve(two, 3, at(0), reports...), qt.Equals, "v2")
	one.End(1, true, at(5))
	one.End(2, false, at(5))
	c.Assert(one.Report(at(6)).Exceptions, qt.DeepEquals, map[origin.Origin][]origin.Stream{v("v0"): {2}})
	c.Assert(one.Report(at(30)).Exceptions, qt.HasLen, 0)
}

// TestStreamThatBeganBeforeTheRestart has a daemon restart that has begun streams it does not
// know any more.
func TestStreamThatBeganBeforeTheRestart(t *testing.T) {
	c := qt.New(t)
	before := origin.NewLedger()
	use(before, map[string]int{"v1": 4}, at(0))
	l := origin.NewLedger()
	l.Merge(before.Report(at(0)), at(30))
	version, _ := l.Choose(service, 1)
	c.Assert(version, qt.Equals, "v1")
	use(l, map[string]int{"v2": 4}, at(31))
	c.Assert(resolve(l, 1, at(25), l.Report(at(32))), qt.Equals, "", qt.Commentf("it may have begun before the restart"))
	_, _, final := l.ResolveAmong([]origin.Report{l.Report(at(32))}, origin.Query{Stream: 1, Service: service, Since: at(25)})
	c.Assert(final, qt.IsTrue)
	c.Assert(resolve(l, 1, at(31), l.Report(at(32))), qt.Equals, "v2")
	again := origin.NewLedger()
	again.Merge(l.Report(at(32)), at(40))
	c.Assert(resolve(again, 1, at(25), again.Report(at(40))), qt.Equals, "")
	c.Assert(resolve(again, 1, at(31), again.Report(at(40))), qt.Equals, "v2")
}

// TestReportOfDaemonThatIsGone has a daemon that does not follow a change of plans, since it was
// killed or is cut off and goes on by its old plan. The streams that the others begin and for which
// the plans differ are exceptions. Its report counts until it must be gone.
func TestReportOfDaemonThatIsGone(t *testing.T) {
	c := qt.New(t)
	gone, l, reader := origin.NewLedger(), origin.NewLedger(), origin.NewLedger()
	use(gone, map[string]int{"v1": 4}, at(0))
	for _, live := range []*origin.Ledger{l, reader} {
		use(live, map[string]int{"v1": 4}, at(0))
		use(live, map[string]int{"v1": 1, "v2": 7}, at(100))
	}
	var moved []origin.Stream // those that begin at the new version
	for stream := origin.Stream(1); len(moved) < 3; stream++ {
		if version, _ := l.Choose(service, stream); version == "v2" {
			moved = append(moved, stream)
		}
	}
	reports := func(now float64) []origin.Report {
		return []origin.Report{gone.Report(at(0)), l.Report(at(now)), reader.Report(at(now))}
	}
	c.Assert(resolve(reader, moved[0], at(150), reports(150)...), qt.Equals, "", qt.Commentf("it may have begun at the old plan"))
	c.Assert(l.Begin(moved[0], service, v("v2"), at(151)), qt.IsFalse)
	differ, exceptions := l.SetOthers(reports(152), 0, at(152))
	c.Assert(differ, qt.IsTrue)
	c.Assert(exceptions, qt.IsTrue)
	c.Assert(l.Begin(moved[1], service, v("v2"), at(153)), qt.IsTrue)
	for _, stream := range moved[:2] {
		c.Assert(resolve(reader, stream, at(150), reports(154)...), qt.Equals, "v2")
	}
	over := 100 + origin.GoneTime.Seconds()
	c.Assert(resolve(reader, moved[2], at(over), reports(over)...), qt.Equals, "v2")
	differ, _ = l.SetOthers(reports(over+30), 0, at(over+30))
	c.Assert(differ, qt.IsFalse)
}

// TestReportOfDaemonThatEnded has a daemon that says that it ends before the plans change.
func TestReportOfDaemonThatEnded(t *testing.T) {
	c := qt.New(t)
	ended, l := origin.NewLedger(), origin.NewLedger()
	use(ended, map[string]int{"v1": 4}, at(0))
	last := ended.Report(at(90))
	last.EndedAt = at(90)
	use(l, map[string]int{"v2": 4}, at(100))
	c.Assert(resolve(l, 1, at(85), last, l.Report(at(101))), qt.Equals, "", qt.Commentf("it may have begun there"))
	c.Assert(resolve(l, 1, at(91), last, l.Report(at(101))), qt.Equals, "v2")
	again := origin.NewLedger()
	again.Merge(last, at(102))
	_, ok := again.Choose(service, 1)
	c.Assert(ok, qt.IsFalse, qt.Commentf("others do not believe that it uses its old plan"))
	use(again, map[string]int{"v2": 4}, at(103))
	c.Assert(resolve(l, 1, at(85), again.Report(at(103)), l.Report(at(103))), qt.Equals, "")
	c.Assert(resolve(l, 1, at(91), again.Report(at(103)), l.Report(at(103))), qt.Equals, "v2")
}

func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	l := origin.NewLedger()
	use(l, map[string]int{"v1": 4}, at(0))
	for i := range 100_000 {
		stream := origin.StreamID("a", fmt.Sprint(i))
		l.Begin(stream, service, v("v2"), at(1))
		l.End(stream, false, at(1+float64(i)/1e6))
	}
	c.Assert(l.Report(at(2)).Exceptions[v("v2")], qt.HasLen, 4096)
	found, _ := l.Resolve(origin.Query{Stream: origin.StreamID("a", "99999"), Service: service})
	c.Assert(found, qt.Equals, v("v2"))
	_, known := l.Resolve(origin.Query{Stream: origin.StreamID("a", "0"), Service: service})
	c.Assert(known, qt.IsFalse)
}
