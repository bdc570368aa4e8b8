package proofs

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"acaciapath.example/core/gen/servers"
	"acaciapath.example/core/gen/vms"
	"acaciapath.example/standin/engine"
	"acaciapath.example/standin/fault"
	"acaciapath.example/standin/platform"

	qt "github.com/frankban/quicktest"
)

// stopCallers is the number of callers under which a daemon is stopped.
const stopCallers = 24

// TestPlannedStopCutsNothing stops entry daemons one after the other under load,
// while the platform's table is down at first. Every request that a daemon
// accepted is answered whole, and what ran is charged.
func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, engineOptions, "")
	var completion atomic.Int64
	for round := range 3 {
		p := w.startEntry(fmt.Sprint("vm-", round))
		var wait sync.WaitGroup
		for i := range stopCallers {
			wait.Go(func() {
				tokens := 100 + 10*i
				got := w.chat(p, shopKey, fmt.Sprint("letter ", i), tokens, i%2 == 0)
				_, whole := got.text()
				w.c.Check(whole, qt.IsTrue, qt.Commentf("%v %v", got.err, got.refusal()))
				completion.Add(int64(tokens))
			})
		}
		w.eventually("requests run and wait", func() bool {
			status := w.status(p)
			waiting := 0
			for _, q := range status.Queues {
				waiting += q.Waiting
			}
			return waiting > 0 && w.running([]*process{p})+waiting == stopCallers
		})
		w.platform.SetFaults(platform.Table, fault.Faults{Down: true})
		stopped := make(chan error, 1)
		go func() { stopped <- p.stop() }()
		wait.Wait()
		w.platform.SetFaults(platform.Table, fault.Faults{})
		w.c.Check(<-stopped, qt.IsNil)
	}
	g := &charge{w: w}
	w.c.Check(g.settled(), qt.Equals, uint64(3*stopCallers))
	for _, e := range w.engines {
		for _, run := range e.Runs().Entries() {
			w.c.Check(run.Outcome, qt.Equals, engine.Finished)
			completion.Add(-int64(run.CompletionTokens))
		}
	}
	w.c.Check(completion.Load(), qt.Equals, int64(0))
}

// TestPlannedStopOfControl stops the control daemon in charge: it ends cleanly,
// and the other one goes on with the next fencing number.
func TestPlannedStopOfControl(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 0, engine.Options{}, pools)
	g := &charge{w: w}
	for i := range 2 {
		name := fmt.Sprint("vm-", i)
		w.platform.AddVM(vms.VM{Name: name, FailureDomain: domain, Address: "127.0.0.1", ControlPort: 1})
		g.daemons = append(g.daemons, startProcess(w.c, control(name, domain, w.port(name))))
	}
	var held *process
	w.eventually("one is in charge", func() bool {
		held = g.holder(domain)
		return held != nil
	})
	w.c.Assert(held.stop(), qt.IsNil)
	w.c.Check(g.holder(domain) != held, qt.IsTrue, qt.Commentf("the lease was not given back"))
	w.eventually("the other one is in charge", func() bool {
		next := g.holder(domain)
		return next != nil && next != held
	})
}

// leaveDeadline is how long after its eviction was known a backend server may
// still receive work.
const leaveDeadline = 5 * time.Second

// TestLeavingServerGetsNoWork evicts a backend server under load from two
// daemons. After a few seconds nothing more arrives at it, though it still runs.
func TestLeavingServerGetsNoWork(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, engineOptions, pools+"\n[service-class chat]\ncheap-servers = true\n")
	cheap := w.startEngine(engineOptions)
	w.platform.AddServer(servers.BackendServer{
		Name: "cheap-1", FailureDomain: domain, Kind: "cheap", Model: "assistant", Address: cheap.Address(), State: "running",
	})
	daemons := []*process{w.startEntry("vm-1"), w.startEntry("vm-2")}
	done := make(chan struct{})
	var wait sync.WaitGroup
	for i := range 16 {
		wait.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				got := w.chat(daemons[i%2], shopKey, fmt.Sprint("letter ", i), 5, true)
				_, whole := got.text()
				w.c.Check(whole, qt.IsTrue, qt.Commentf("%v %v", got.err, got.refusal()))
			}
		})
	}
	w.eventually("the cheap backend server is used", func() bool { return len(cheap.Runs().Entries()) > 20 })
	w.platform.EvictCheapServers(domain, patience)
	left := time.Now()
	time.Sleep(leaveDeadline + time.Second)
	close(done)
	wait.Wait()
	after := 0
	for _, run := range cheap.Runs().Entries() {
		if run.Arrived.After(left.Add(leaveDeadline)) {
			after++
		}
	}
	w.c.Check(after, qt.Equals, 0)
	w.c.Logf("%d runs on the leaving backend server, %d on the other", len(cheap.Runs().Entries()), len(w.engines[0].Runs().Entries()))
}
