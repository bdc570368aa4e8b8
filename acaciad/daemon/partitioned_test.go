package daemon_test

import (
	"testing"
	"time"

	"acaciapath.example/standin/link"

	qt "github.com/frankban/quicktest"
)

// Cuts of tests.
const (
	// cutTime is how long links are cut.
	cutTime = 3500 * time.Millisecond
	// knownAfter is the time after which VMs know that they are cut off.
	knownAfter = time.Second
)

// cuts are the ways in which links are cut, by name.
var cuts = map[string]link.Cut{
	"hang": link.Hang, "reset": link.Reset, "reset_accepted": link.ResetAccepted,
	"reset_at_first_byte": link.ResetAtFirstByte, "refuse": link.Refuse,
}

// TestVMsCutOffFromServersServe cuts links of VMs to all servers, while the store, the other VMs
// and callers reach them. From one second later on, first tries there must be served at least
// nine tenths as often as those at the others, and half of them before.
func TestVMsCutOffFromServersServe(t *testing.T) {
	for who, vms := range map[string][]int{"two_domains": {0, 2}, "one_domain": {0, 1}} {
		for name, c := range cuts {
			t.Run(name+"_"+who, func(t *testing.T) {
				t.Parallel()
				f := newLinkedFleet(t)
				stop := f.load("call", callInterval, 0, 1, 2, 3)
				time.Sleep(500 * time.Millisecond)
				began := time.Now()
				f.cut(c, vms...)
				time.Sleep(cutTime)
				ended := time.Now()
				f.cut(link.None, vms...)
				stop()

				known := began.Add(knownAfter)
				first, cutOff, others := f.count(began, known, vms...), f.count(known, ended, vms...), f.count(known, ended, f.others(vms...)...)
				f.Logf("first second: %v", first)
				f.Logf("later: %v", cutOff)
				f.Logf("other VMs: %v", others)
				f.Check(others.share() >= 0.9, qt.IsTrue)
				f.Check(cutOff.share() >= 0.9*others.share(), qt.IsTrue, qt.Commentf("later: %v", cutOff))
				f.Check(first.share() >= 0.5, qt.IsTrue, qt.Commentf("first second: %v", first))
				f.checkRuns()
			})
		}
	}
}
