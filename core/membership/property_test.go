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

// fault does something bad to a network.
type fault func(t *rapid.T, n *network)

// pick draws a daemon that has not stopped.
func pick(t *rapid.T, n *network) *node { return rapid.SampledFrom(n.live()).Draw(t, "daemon") }

// faults are those that random interleavings are made of.
var faults = map[string]fault{
	"loss": func(t *rapid.T, n *network) { n.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss") },
	"cut one way": func(t *rapid.T, n *network) {
		n.cut[[2]*node{pick(t, n), pick(t, n)}] = true
	},
	"isolate": func(t *rapid.T, n *network) {
		isolated := pick(t, n)
		for _, o := range n.nodes {
			if o != isolated {
				n.cut[[2]*node{isolated, o}], n.cut[[2]*node{o, isolated}] = true, true
			}
		}
	},
	"split": func(_ *rapid.T, n *network) {
		for i, a := range n.nodes {
			for j, b := range n.nodes {
				n.cut[[2]*node{a, b}] = i%2 != j%2
			}
		}
	},
	"heal": func(_ *rapid.T, n *network) { clear(n.cut) },
	"pause": func(t *rapid.T, n *network) {
		pick(t, n).paused = n.time + time.Duration(rapid.IntRange(1, 60).Draw(t, "pause"))*membership.Period
	},
	"clock jump": func(t *rapid.T, n *network) {
		pick(t, n).offset += time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "jump")) * time.Second
	},
	"platform out":  func(_ *rapid.T, n *network) { n.platformDown = true },
	"platform back": func(_ *rapid.T, n *network) { n.platformDown = false },
	"cut from platform": func(t *rapid.T, n *network) {
		pick(t, n).offline = true
	},
	"new revision": func(_ *rapid.T, n *network) { n.head++ },
	"join":         func(_ *rapid.T, n *network) { n.join("a") },
	"crash": func(t *rapid.T, n *network) {
		if len(n.live()) > 2 {
			pick(t, n).stop(false)
		}
	},
	"stop": func(t *rapid.T, n *network) {
		if len(n.live()) > 2 {
			pick(t, n).stop(true)
		}
	},
}

// quietPeriods bounds the time until all is known again.
const quietPeriods = 150

// TestQuiet checks that after any faults have ended, all daemons that live see
// each other live, all others are dead to them, and all have the newest
// revision in force.
func TestQuiet(t *testing.T) {
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
		n.quiet()
		n.run(quietPeriods)
		for _, a := range n.live() {
			if a.revision != n.head || a.reverted {
				t.Fatalf("%s has revision %d of %d; went back: %v", a.record.VM, a.revision, n.head, a.reverted)
			}
			for _, b := range n.nodes {
				if problem := wrong(a, b); problem != "" {
					t.Fatal(problem)
				}
			}
		}
	})
}

// wrong returns what one daemon has wrong about another.
func wrong(a, b *node) string {
	state := a.state(b)
	if b.stopped == (state == peer.MemberDead || state == "") && (b.stopped || state == peer.MemberLive) {
		return ""
	}
	return fmt.Sprintf("%s sees %s as %q; stopped: %v", a.record.VM, b.record.VM, state, b.stopped)
}

// TestStoppedIsDead checks that a daemon that stopped is dead to all others
// within a bounded number of periods, though messages are lost.
func TestStoppedIsDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"))
		count := rapid.IntRange(2, 24).Draw(t, "daemons")
		for range count {
			n.join("a")
		}
		n.run(2 * count)
		n.loss = rapid.Float64Range(0, 0.1).Draw(t, "loss")
		victim := pick(t, n)
		victim.stop(false)
		suspicion := int(math.Ceil(4 * math.Log10(math.Max(10, float64(count)))))
		n.run(2*count + suspicion + 4)
		for _, o := range n.live() {
			if state := o.state(victim); state != peer.MemberDead {
				t.Fatalf("%s sees it as %q", o.record.VM, state)
			}
		}
	})
}

// followPeriods bounds the time until a revision is in force everywhere.
const followPeriods = 12

// TestCutFromPlatform checks that daemons that are cut from the platform follow
// revisions through their neighbours, in their own failure domain or in others,
// and never go back.
func TestCutFromPlatform(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"))
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		for i := range domains * rapid.IntRange(2, 8).Draw(t, "daemons") {
			n.join(fmt.Sprint("domain-", i%domains))
		}
		n.run(20)
		connected := pick(t, n)
		for _, o := range n.nodes {
			o.offline = o != connected
		}
		for range 3 {
			n.head++
			n.run(followPeriods)
			for _, o := range n.nodes {
				if o.revision != n.head || o.reverted {
					t.Fatalf("%s has revision %d of %d; went back: %v", o.record.VM, o.revision, n.head, o.reverted)
				}
			}
		}
	})
}
