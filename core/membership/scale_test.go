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

// scales are the numbers of daemons and of VMs at which traffic and memory are
// measured.
var scales = []int{3, 30, 93, 370}

const (
	scaleDomains = 4
	// startPeriods is the length of the measurement after all daemons have
	// started at once. settlePeriods pass after it without a measurement.
	// steadyPeriods is the length of each of the other measurements.
	startPeriods  = 60
	settlePeriods = 240
	steadyPeriods = 60
	// maxMessages bounds the messages that a daemon sends in a period, on
	// average.
	maxMessages = 4
	// maxBytes bounds the bytes that a daemon sends in a period, on average. On
	// average it receives as many.
	maxBytes = 3000
)

// traffic holds the messages and bytes that a daemon sends in a period on
// average, and the memory of its table in bytes.
type traffic struct {
	messages, startBytes, steadyBytes, faultBytes float64
	memory                                        int
}

// measure returns the traffic in a network of daemons: after all of them have
// started at once, in the steady state, and after a tenth of them have crashed.
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
		n.daemons[i].stop(false)
	}
	_, t.faultBytes = n.average(steadyPeriods)
	t.memory = (heapBytes() - before) / daemons
	runtime.KeepAlive(n)
	return t
}

// average runs the network and returns the messages and bytes that a daemon sent
// in a period on average.
func (n *network) average(periods int) (messages, bytes float64) {
	messagesBefore, bytesBefore := n.traffic()
	n.run(periods)
	m, b := n.traffic()
	per := float64(len(n.daemons) * periods)
	return float64(m-messagesBefore) / per, float64(b-bytesBefore) / per
}

func heapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// traffic returns the messages and bytes that all daemons have sent.
func (n *network) traffic() (messages, bytes int) {
	for _, d := range n.daemons {
		messages += d.messages
		bytes += d.bytes
	}
	return messages, bytes
}

// TestTraffic checks that the messages and bytes that a daemon sends do not grow
// with the number of daemons. The table in docs/design/membership.md is taken
// from its log.
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

// TestListTraffic checks that the bytes per second of reading the platform's list
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

// TestReplacement checks that the tables of daemons that keep running do not grow
// while the VMs of the other daemons are replaced one after the other.
func TestReplacement(t *testing.T) {
	c := qt.New(t)
	const staying, replacements, maxMembers = 2, 400, 40
	n := newNetwork(1)
	for range 3 {
		n.join("domain-a")
		n.join("domain-b")
	}
	for i := range replacements {
		old := n.daemons[staying+i]
		old.stop(i%2 == 0)
		n.list = slices.DeleteFunc(n.list, func(vm *vms.VM) bool { return vm.Name == old.record.VM })
		n.join(old.record.FailureDomain)
		n.run(10)
	}
	for _, d := range n.live() {
		c.Check(len(d.table.Members(d.now())) < maxMembers, qt.IsTrue)
		c.Check(d.table.Domains(d.now()), qt.HasLen, 1)
	}
}
