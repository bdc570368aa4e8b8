package membership_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"testing"

	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/membership"

	qt "github.com/frankban/quicktest"
)

// Sizes at which traffic and memory are measured.
var scales = []int{3, 30, 93, 370}

const (
	scaleDomains = 4
	// startPeriods are those after all daemons have started at once,
	// settlePeriods are let pass after them, and steadyPeriods are each of the
	// other measurements.
	startPeriods  = 60
	settlePeriods = 240
	steadyPeriods = 60
	// maxMessages bounds the messages that a daemon sends in a period.
	maxMessages = 4
	// maxBytes bounds the bytes that a daemon sends in a period; it receives as
	// many.
	maxBytes = 3000
)

// traffic is what a daemon sends in a period on average, and the memory of its
// table in bytes.
type traffic struct {
	messages, startBytes, steadyBytes, faultBytes float64
	memory                                        int
}

// measure returns the traffic between a number of daemons: after all have
// started at once, in the steady state, and while a tenth of them stop.
func measure(daemons int) traffic {
	n := newNetwork(1)
	before := heapBytes()
	for i := range daemons {
		n.join(fmt.Sprint("domain-", i%scaleDomains))
	}
	var t traffic
	_, t.startBytes = n.average(startPeriods)
	n.run(settlePeriods)
	t.messages, t.steadyBytes = n.average(steadyPeriods)
	for i := range daemons / 10 {
		n.nodes[i].stop(false)
	}
	_, t.faultBytes = n.average(steadyPeriods)
	t.memory = (heapBytes() - before) / daemons
	runtime.KeepAlive(n)
	return t
}

// average runs the network and returns what a daemon sent in a period.
func (n *network) average(periods int) (messages, bytes float64) {
	messagesBefore, bytesBefore := n.traffic()
	n.run(periods)
	m, b := n.traffic()
	per := float64(len(n.nodes) * periods)
	return float64(m-messagesBefore) / per, float64(b-bytesBefore) / per
}

func heapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// traffic returns what all daemons have sent.
func (n *network) traffic() (messages, bytes int) {
	for _, o := range n.nodes {
		messages += o.messages
		bytes += o.bytes
	}
	return messages, bytes
}

// TestTraffic checks that the messages and bytes of a daemon do not grow with
// the number of daemons. Its log is the table in docs/design/membership.md.
func TestTraffic(t *testing.T) {
	c := qt.New(t)
	for _, daemons := range scales {
		got := measure(daemons)
		t.Logf("%d daemons: %.2f messages a period; bytes sent a period: %.0f at the start, %.0f steady, %.0f with faults; memory %d",
			daemons, got.messages, got.startBytes, got.steadyBytes, got.faultBytes, got.memory)
		c.Check(got.messages < maxMessages, qt.IsTrue)
		for _, bytes := range []float64{got.startBytes, got.steadyBytes, got.faultBytes} {
			c.Check(bytes < maxBytes, qt.IsTrue)
		}
	}
}

// TestListTraffic checks that the bytes a second of reading the platform's list
// do not grow with its length.
func TestListTraffic(t *testing.T) {
	c := qt.New(t)
	for _, length := range scales {
		n := newNetwork(1)
		for range length {
			n.join("domain-a")
		}
		data, err := json.Marshal(n.list)
		c.Assert(err, qt.IsNil)
		rate := float64(len(data)) / membership.VMListInterval(length).Seconds()
		t.Logf("%d VMs: %d bytes, %.0f a second", length, len(data), rate)
		c.Check(rate < 1024, qt.IsTrue)
	}
}

// TestReplacement checks that the tables of the daemons that stay do not grow
// while the others' VMs are replaced.
func TestReplacement(t *testing.T) {
	c := qt.New(t)
	const staying, replacements, maxKnown = 2, 400, 40
	n := newNetwork(1)
	for range 3 {
		n.join("domain-a")
		n.join("domain-b")
	}
	for i := range replacements {
		old := n.nodes[staying+i]
		old.stop(i%2 == 0)
		n.list = slices.DeleteFunc(n.list, func(vm *vms.VM) bool { return vm.Name == old.record.VM })
		n.join(old.record.FailureDomain)
		n.run(10)
	}
	for _, o := range n.live() {
		c.Check(len(o.table.Members(o.now())) < maxKnown, qt.IsTrue)
		c.Check(o.table.Domains(o.now()), qt.HasLen, 1)
	}
}
