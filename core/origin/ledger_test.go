package origin_test

import (
	"fmt"
	"testing"
	"time"

	"acaciapath.example/core/origin"

	qt "github.com/frankban/quicktest"
)

var morning = time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)

// at returns the time s seconds after the beginning of a test.
func at(s float64) time.Time { return morning.Add(time.Duration(s * float64(time.Second))) }

// listed returns the versions of the servers of the service llm. Those in brackets drain.
func listed(versions ...string) map[string][]origin.Version {
	list := map[string][]origin.Version{}
	for _, v := range versions {
		if v[0] == '(' {
			list["llm"] = append(list["llm"], origin.Version{Name: v[1 : len(v)-1]})
			continue
		}
		list["llm"] = append(list["llm"], origin.Version{Name: v, Open: true})
	}
	return list
}

// v returns an origin in the service llm.
func v(version string) origin.Origin { return origin.Origin{Service: "llm", Version: version} }

// resolve returns the version that a ledger resolves a stream to with the reports of others.
func resolve(l *origin.Ledger, stream origin.Stream, now time.Time, others ...*origin.Ledger) string {
	var reports []origin.Report
	for _, other := range others {
		reports = append(reports, other.Report(now))
	}
	found, _ := l.ResolveAmong(reports, stream, "llm", true, now)
	return found.Version
}

func TestOnlyVersionInService(t *testing.T) {
	c := qt.New(t)
	l := origin.NewLedger()
	_, known := l.Resolve(7, "llm", true, at(0))
	c.Assert(known, qt.IsFalse)
	l.SetListed(listed("v1"), at(0))
	_, known = l.Resolve(7, "llm", true, at(1))
	c.Assert(known, qt.IsFalse) // others may have been in service before
	found, known := l.Resolve(7, "llm", true, at(25))
	c.Assert(known, qt.IsTrue)
	c.Assert(found, qt.Equals, v("v1"))
	_, known = l.Resolve(7, "llm", false, at(25))
	c.Assert(known, qt.IsFalse) // the list is out of date
	l.SetListed(listed("v2"), at(26))
	_, known = l.Resolve(7, "llm", true, at(44))
	c.Assert(known, qt.IsFalse)
	found, _ = l.Resolve(7, "llm", true, at(47))
	c.Assert(found, qt.Equals, v("v2"))
}

// TestStreamInNoReport has a stream that began after the last report of its daemon.
func TestStreamInNoReport(t *testing.T) {
	c := qt.New(t)
	one, two := origin.NewLedger(), origin.NewLedger()
	for _, l := range []*origin.Ledger{one, two} {
		l.SetListed(listed("v1", "v2"), at(0))
		l.Begin(1, v("v1"), at(1))
	}
	c.Assert(resolve(two, 9, at(2), one), qt.Equals, "")
	for _, l := range []*origin.Ledger{one, two} {
		l.SetListed(listed("(v1)", "v2"), at(3))
	}
	c.Assert(resolve(two, 9, at(4), one), qt.Equals, "v2")
	one.Await(v("v1"))
	c.Assert(resolve(two, 9, at(4), one), qt.Equals, "", qt.Commentf("a request at v1 has had no event"))
	one.EndAwait(v("v1"))
	c.Assert(resolve(two, 9, at(4), one), qt.Equals, "v2")
	again := origin.NewLedger()
	again.Merge(one.Report(at(4)), at(5))
	again.SetListed(listed("v3"), at(5))
	two.SetListed(listed("v3"), at(5))
	c.Assert(resolve(two, 9, at(6), again), qt.Equals, "", qt.Commentf("it may have begun before the restart"))
	c.Assert(resolve(two, 1, at(6), again), qt.Equals, "v1")
}

func TestStreamsAreReportedBeforeTheirVersionIsClosed(t *testing.T) {
	c := qt.New(t)
	l := origin.NewLedger()
	l.SetListed(listed("v1"), at(0))
	l.Begin(1, v("v1"), at(1))
	c.Assert(l.Report(at(1)).Services["llm"]["v1"], qt.DeepEquals, origin.Reported{Open: true})
	l.SetListed(listed("(v1)"), at(2))
	c.Assert(l.Report(at(2)).Services["llm"]["v1"], qt.DeepEquals, origin.Reported{Streams: []origin.Stream{1}})
	l.End(1, true, at(3))
	c.Assert(l.Report(at(3)).Services["llm"]["v1"], qt.DeepEquals, origin.Reported{})
}

func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	l := origin.NewLedger()
	l.SetListed(listed("v1", "v2"), at(0))
	for i := range 100_000 {
		stream := origin.StreamID("a", fmt.Sprint(i))
		l.Begin(stream, v("v1"), at(1))
		l.End(stream, false, at(1+float64(i)/1e6))
	}
	c.Assert(len(l.Report(at(2)).Services["llm"]["v1"].Streams), qt.Equals, 4096)
	found, _ := l.Resolve(origin.StreamID("a", "99999"), "llm", true, at(2))
	c.Assert(found, qt.Equals, v("v1"))
	_, known := l.Resolve(origin.StreamID("a", "0"), "llm", true, at(2))
	c.Assert(known, qt.IsFalse)
}
