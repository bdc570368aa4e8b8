package membership_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"acaciapath.example/core/membership"
	"acaciapath.example/core/peer"

	"pgregory.net/rapid"
)

// fault injects or ends one kind of fault, or changes the network in another
// way.
type fault func(t *rapid.T, n *network)

// drawDaemon draws a daemon that has not stopped.
func drawDaemon(t *rapid.T, n *network) *daemon { return rapid.SampledFrom(n.live()).Draw(t, "daemon") }

// faults are the faults that TestConvergenceAfterFaults combines at random.
var faults = map[string]fault{
	"loss": func(t *rapid.T, n *network) { n.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss") },
	"cut one way": func(t *rapid.T, n *network) {
		n.blocked[[2]*daemon{drawDaemon(t, n), drawDaemon(t, n)}] = true
	},
	"isolate": func(t *rapid.T, n *network) {
		isolated := drawDaemon(t, n)
		for _, d := range n.daemons {
			if d != isolated {
				n.blocked[[2]*daemon{isolated, d}], n.blocked[[2]*daemon{d, isolated}] = true, true
			}
		}
	},
	"split": func(_ *rapid.T, n *network) {
		for i, a := range n.daemons {
			for j, b := range n.daemons {
				n.blocked[[2]*daemon{a, b}] = i%2 != j%2
			}
		}
	},
	"heal": func(_ *rapid.T, n *network) { clear(n.blocked) },
	"pause": func(t *rapid.T, n *network) {
		drawDaemon(t, n).pausedUntil = n.time + time.Duration(rapid.IntRange(1, 60).Draw(t, "pause"))*membership.Period
	},
	"clock jump": func(t *rapid.T, n *network) {
		drawDaemon(t, n).clockOffset += time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "jump")) * time.Second
	},
	"platform out":  func(_ *rapid.T, n *network) { n.platformDown = true },
	"platform back": func(_ *rapid.T, n *network) { n.platformDown = false },
	"cut from platform": func(t *rapid.T, n *network) {
		drawDaemon(t, n).platformUnreachable = true
	},
	"new revision": func(_ *rapid.T, n *network) { n.head++ },
	"join":         func(_ *rapid.T, n *network) { n.join("a") },
	"crash": func(t *rapid.T, n *network) {
		if len(n.live()) > 2 {
			drawDaemon(t, n).stop(false)
		}
	},
	"stop": func(t *rapid.T, n *network) {
		if len(n.live()) > 2 {
			drawDaemon(t, n).stop(true)
		}
	},
}

// convergencePeriods bounds the time until all daemons agree after faults have
// ended.
const convergencePeriods = 150

// TestConvergenceAfterFaults checks that some time after all faults have ended
// every running daemon sees all running daemons as live and all others as dead or
// not at all, has the newest revision in force, and never went back to an older
// one.
func TestConvergenceAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(2, 8).Draw(t, "daemons") {
			n.join("a")
		}
		n.run(10)
		names := sortedNames(faults)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			faults[rapid.SampledFrom(names).Draw(t, "fault")](t, n)
			n.run(rapid.IntRange(0, 20).Draw(t, "periods"))
		}
		n.endFaults()
		n.run(convergencePeriods)
		for _, a := range n.live() {
			if a.revision != n.head || a.reverted {
				t.Fatalf("%s has revision %d of %d; went back: %v", a.record.VM, a.revision, n.head, a.reverted)
			}
			for _, b := range n.daemons {
				if problem := wrongState(a, b); problem != "" {
					t.Fatal(problem)
				}
			}
		}
	})
}

// wrongState describes a wrong state in which a sees b. It returns an empty
// string if a sees b as live and b runs, or if a sees b as dead or not at all and
// b has stopped.
func wrongState(a, b *daemon) string {
	state := a.state(b)
	if b.stopped == (state == peer.MemberDead || state == "") && (b.stopped || state == peer.MemberLive) {
		return ""
	}
	return fmt.Sprintf("%s sees %s as %q; stopped: %v", a.record.VM, b.record.VM, state, b.stopped)
}

// TestStoppedIsDead checks that all daemons see a daemon that crashed as dead
// within a bounded number of periods, even if messages are lost.
func TestStoppedIsDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"))
		count := rapid.IntRange(2, 24).Draw(t, "daemons")
		for range count {
			n.join("a")
		}
		n.run(2 * count)
		n.loss = rapid.Float64Range(0, 0.1).Draw(t, "loss")
		crashed := drawDaemon(t, n)
		crashed.stop(false)
		suspicion := int(math.Ceil(4 * math.Log10(math.Max(10, float64(count)))))
		n.run(2*count + suspicion + 4)
		for _, d := range n.live() {
			if state := d.state(crashed); state != peer.MemberDead {
				t.Fatalf("%s sees the crashed daemon as %q", d.record.VM, state)
			}
		}
	})
}

// revisionPeriods bounds the time until a new revision is in force in all
// daemons.
const revisionPeriods = 12

// TestRevisionsWithoutPlatform checks that daemons that cannot reach the platform
// get new revisions from other daemons, of their own failure domain or of
// another, and never go back to an older one.
func TestRevisionsWithoutPlatform(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"))
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		for i := range domains * rapid.IntRange(2, 8).Draw(t, "daemons") {
			n.join(fmt.Sprint("domain-", i%domains))
		}
		n.run(20)
		connected := drawDaemon(t, n)
		for _, d := range n.daemons {
			d.platformUnreachable = d != connected
		}
		for range 3 {
			n.head++
			n.run(revisionPeriods)
			for _, d := range n.daemons {
				if d.revision != n.head || d.reverted {
					t.Fatalf("%s has revision %d of %d; went back: %v", d.record.VM, d.revision, n.head, d.reverted)
				}
			}
		}
	})
}
