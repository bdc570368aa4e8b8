package quarantine_test

import (
	"fmt"
	"testing"

	"acaciapath.example/core/quarantine"

	qt "github.com/frankban/quicktest"
)

func TestRequestID(t *testing.T) {
	c := qt.New(t)
	id := quarantine.RequestID("a", "/orders/17?full=1", []byte("x"))
	c.Assert(quarantine.RequestID("a", "/orders/17?full=1", []byte("x")), qt.Equals, id)
	for _, other := range []uint64{
		quarantine.RequestID("b", "/orders/17?full=1", []byte("x")),
		quarantine.RequestID("a", "/orders/17", []byte("x")),
		quarantine.RequestID("a", "/orders/17?full=1", []byte("y")),
		quarantine.RequestID("a/", "orders/17?full=1", []byte("x")),
		quarantine.RequestID("", "a/orders/17?full=1", []byte("x")),
	} {
		c.Check(other, qt.Not(qt.Equals), id)
	}
}

// request returns a request without a prompt.
func request(id uint64) []quarantine.Part { return []quarantine.Part{{ID: id, Whole: true}} }

func TestRequestUnderWhichThreeServersEnd(t *testing.T) {
	c := qt.New(t)
	for _, ms := range [][]int{{0, 500, 1000}, {0, 10, 20}} {
		l := quarantine.NewLedger(quarantine.DefaultSettings())
		crashes(l, request(9), ms[:2]...)
		c.Assert(quarantinedAfter(l, at(1500)), qt.HasLen, 0)
		crashes(l, request(9), ms[2])
		c.Assert(quarantinedAfter(l, at(3000)), qt.DeepEquals, []uint64{9})
		c.Assert(l.Quarantined()[0].Whole, qt.IsTrue)
	}
}

// TestRequestIsMoreSpecificThanItsParts has servers end under one request, whose parts occur
// in no other.
func TestRequestIsMoreSpecificThanItsParts(t *testing.T) {
	c := qt.New(t)
	l := quarantine.NewLedger(quarantine.DefaultSettings())
	both := append(request(9), prompt(1, 7)...)
	crashes(l, both, 0, 500, 1000, 1500, 2000)
	c.Assert(quarantinedAfter(l, at(3000)), qt.DeepEquals, []uint64{9})
	crashes(l, both, 4000, 4500, 5000, 5500, 6000)
	c.Assert(quarantinedAfter(l, at(7000)), qt.DeepEquals, []uint64{9})
}

// TestRequestsThatEndBesideIt has other requests break off each time that a server ends.
func TestRequestsThatEndBesideIt(t *testing.T) {
	c := qt.New(t)
	l := quarantine.NewLedger(quarantine.DefaultSettings())
	for i, ms := range []int{0, 500, 1000, 1500, 2000, 2500} {
		crashes(l, request(9), ms)
		l.RecordCrash(request(uint64(100+i)), fmt.Sprint("engine-", ms), at(ms))
	}
	c.Assert(quarantinedAfter(l, at(3000)), qt.DeepEquals, []uint64{9})
}

// TestRequestsThatAreSentAgainTogether has two requests run on the same three servers, under
// which these end. Only a later crash tells them apart.
func TestRequestsThatAreSentAgainTogether(t *testing.T) {
	c := qt.New(t)
	for _, crashing := range []uint64{8, 9} {
		l := quarantine.NewLedger(quarantine.DefaultSettings())
		for _, ms := range []int{0, 300, 600} {
			crashes(l, request(8), ms)
			crashes(l, request(9), ms)
		}
		c.Assert(quarantinedAfter(l, at(3000)), qt.DeepEquals, []uint64{8, 9})
		l = quarantine.NewLedger(quarantine.DefaultSettings())
		for _, ms := range []int{0, 300, 600} {
			crashes(l, request(8), ms)
			crashes(l, request(9), ms)
		}
		crashes(l, request(crashing), 900)
		c.Assert(quarantinedAfter(l, at(3000)), qt.DeepEquals, []uint64{crashing})
	}
}

func TestSoundRunOfRequest(t *testing.T) {
	c := qt.New(t)
	l := quarantine.NewLedger(quarantine.DefaultSettings())
	crashes(l, request(9), 0, 500)
	l.RecordSound(request(9), at(700))
	crashes(l, request(9), 1000, 1500)
	c.Assert(quarantinedAfter(l, at(3000)), qt.HasLen, 0)
	crashes(l, request(9), 2000)
	c.Assert(quarantinedAfter(l, at(4000)), qt.DeepEquals, []uint64{9})
	lifted, tell := l.RecordSound(request(9), at(5000))
	c.Assert(lifted, qt.DeepEquals, []uint64{9})
	c.Assert(tell, qt.IsTrue)
}

// TestReportsKeepRequestsWithSeveralCrashes has one daemon see so many crashes that not all
// of them fit into its report.
func TestReportsKeepRequestsWithSeveralCrashes(t *testing.T) {
	c := qt.New(t)
	one, two := quarantine.NewLedger(quarantine.DefaultSettings()), quarantine.NewLedger(quarantine.DefaultSettings())
	crashes(one, request(9), 0, 500)
	for i := range 1000 {
		one.RecordCrash(request(uint64(100+i)), "many", at(600+i))
	}
	two.Merge(one.Report(), false, at(2000))
	crashes(two, request(9), 2100)
	c.Assert(quarantinedAfter(two, at(3000)), qt.DeepEquals, []uint64{9})
}
