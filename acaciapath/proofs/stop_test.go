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

// stopCallers is the number of concurrent callers of a daemon that is stopped.
const stopCallers = 24

// TestGracefulStopCompletesRequests guards against planned stops that interrupt requests or
// lose usage. Entry daemons are stopped one after the other under load, while the platform's table
// is down. Every request that a daemon accepted must get a complete answer, and its usage must
// be recorded.
func TestGracefulStopCompletesRequests(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 2, engineOptions, "")
	var unaccountedTokens atomic.Int64 // answer tokens that no run of an engine accounts for
	for round := range 3 {
		p := env.startEntry(fmt.Sprint("vm-", round))
		var wait sync.WaitGroup
		for i := range stopCallers {
			wait.Go(func() {
				tokens := 100 + 10*i
				got := env.chat(p, shopKey, fmt.Sprint("letter ", i), tokens, i%2 == 0)
				_, complete := got.text()
				env.c.Check(complete, qt.IsTrue, qt.Commentf("%v %v", got.err, got.refusal()))
				unaccountedTokens.Add(int64(tokens))
			})
		}
		env.eventually("requests run and wait", func() bool {
			status := env.status(p)
			waiting := 0
			for _, q := range status.Queues {
				waiting += q.Waiting
			}
			return waiting > 0 && env.runningRequests([]*process{p})+waiting == stopCallers
		})
		env.platform.SetFaults(platform.Table, fault.Faults{Down: true})
		stopped := make(chan error, 1)
		go func() { stopped <- p.stop() }()
		wait.Wait()
		env.platform.SetFaults(platform.Table, fault.Faults{})
		env.c.Check(<-stopped, qt.IsNil)
	}
	g := &controlGroup{env: env}
	env.c.Check(g.recordedRequests(), qt.Equals, uint64(3*stopCallers))
	for _, e := range env.engines {
		for _, run := range e.Runs().Entries() {
			env.c.Check(run.Outcome, qt.Equals, engine.Finished)
			unaccountedTokens.Add(-int64(run.CompletionTokens))
		}
	}
	env.c.Check(unaccountedTokens.Load(), qt.Equals, int64(0))
}

// TestGracefulStopReleasesLease stops the control daemon that holds the orders lease. It must
// end without an error and release the lease, and the other daemon must acquire it.
func TestGracefulStopReleasesLease(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 0, engine.Options{}, poolsConfig)
	g := &controlGroup{env: env}
	for i := range 2 {
		name := fmt.Sprint("vm-", i)
		env.platform.AddVM(vms.VM{Name: name, FailureDomain: domain, Address: "127.0.0.1", ControlPort: 1})
		g.daemons = append(g.daemons, startProcess(env.c, controlLaunch(name, domain, env.platformAddressFor(name))))
	}
	var holder *process
	env.eventually("one daemon holds the orders lease", func() bool {
		holder = g.holder(domain)
		return holder != nil
	})
	env.c.Assert(holder.stop(), qt.IsNil)
	env.c.Check(g.holder(domain) != holder, qt.IsTrue, qt.Commentf("the lease was not released"))
	env.eventually("the other daemon holds the orders lease", func() bool {
		next := g.holder(domain)
		return next != nil && next != holder
	})
}

// maxEvictionDelay is how long after its eviction a backend server may still receive
// requests.
const maxEvictionDelay = 5 * time.Second

// TestEvictedServerGetsNoRequests guards against requests to a backend server that is about to
// be taken away. A backend server is evicted under load from two daemons. After
// maxEvictionDelay no more requests may arrive at it, although it still runs.
func TestEvictedServerGetsNoRequests(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 1, engineOptions, poolsConfig+"\n[service-class chat]\ncheap-servers = true\n")
	cheap := env.startEngine(engineOptions)
	env.platform.AddServer(servers.BackendServer{
		Name: "cheap-1", FailureDomain: domain, Kind: "cheap", Model: "assistant", Address: cheap.Address(), State: "running",
	})
	daemons := []*process{env.startEntry("vm-1"), env.startEntry("vm-2")}
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
				got := env.chat(daemons[i%2], shopKey, fmt.Sprint("letter ", i), 5, true)
				_, complete := got.text()
				env.c.Check(complete, qt.IsTrue, qt.Commentf("%v %v", got.err, got.refusal()))
			}
		})
	}
	env.eventually("the cheap backend server is used", func() bool { return len(cheap.Runs().Entries()) > 20 })
	env.platform.EvictCheapServers(domain, maxWait)
	evictedAt := time.Now()
	time.Sleep(maxEvictionDelay + time.Second)
	close(done)
	wait.Wait()
	after := 0
	for _, run := range cheap.Runs().Entries() {
		if run.ArrivedAt.After(evictedAt.Add(maxEvictionDelay)) {
			after++
		}
	}
	env.c.Check(after, qt.Equals, 0)
	env.c.Logf("%d runs on the evicted backend server, %d on the other", len(cheap.Runs().Entries()), len(env.engines[0].Runs().Entries()))
}
