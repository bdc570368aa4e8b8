package proofs

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciapath.example/core/refusal"
	"acaciapath.example/standin/fault"
	"acaciapath.example/standin/platform"
	"acaciapath.example/standin/relay"

	qt "github.com/frankban/quicktest"
)

// Lengths of streamed answers in tokens. A long stream does not end by itself during a test.
const (
	longStreamTokens  = 90_000
	shortStreamTokens = 1500
)

// startNeighbours starts entry daemons that find each other in the platform's list of VMs,
// each with a relay in front of its peer port. It returns when all of them have read the
// list.
func (env *testEnv) startNeighbours(count int) (daemons []*process, links []*relay.Relay) {
	for i := range count {
		r, err := relay.New("127.0.0.1:0")
		env.c.Assert(err, qt.IsNil)
		env.c.Cleanup(func() { _ = r.Close() })
		links = append(links, r)
		env.addVM(fmt.Sprint("vm-", i+1), r.Address())
	}
	for i := range count {
		p := env.startEntry(fmt.Sprint("vm-", i+1))
		links[i].SetTarget(p.Peer)
		daemons = append(daemons, p)
	}
	env.eventually("the list of VMs is read", func() bool {
		read := make(map[string]bool)
		for _, e := range env.platform.Log().Entries() {
			if e.Interface == platform.VMs && e.Outcome == platform.Done {
				read[e.Caller] = true
			}
		}
		return len(read) == count
	})
	return daemons, links
}

// TestWithdrawnKeyStopsEverywhere guards against a withdrawn key that is still accepted by
// some daemons. A key is withdrawn while streams run with it at three daemons. One daemon is
// partitioned from the platform, in one direction or both, and the link of another is slow.
// All streams of the key must end, new requests must be refused as not run, and streams of
// another key must complete.
func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	for _, direction := range []fault.Direction{fault.Both, fault.Requests, fault.Replies} {
		t.Run("partition "+string(direction), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, 1, engineOptions, "")
			daemons, links := env.startNeighbours(3)
			env.platform.SetFaults(platform.All, fault.Faults{Partitions: []fault.Partition{{Caller: "vm-3", Direction: direction}}})
			links[0].SetFaults(relay.Faults{Delay: 20 * time.Millisecond})
			withdrawn, kept := make(chan answer, 3), make(chan answer, 3)
			for _, p := range daemons {
				go func() { withdrawn <- env.chat(p, roofersKey, "slate", longStreamTokens, true) }()
				go func() { kept <- env.chat(p, shopKey, "socks", shortStreamTokens, true) }()
			}
			env.eventually("all streams run", func() bool { return env.runningRequests(daemons) == 6 })
			env.apply("\n[key roofers-1]\nwithdrawn = true\n")
			for range daemons {
				got := <-withdrawn
				env.c.Assert(got.refusal(), qt.IsNotNil, qt.Commentf("%v", got.err))
				env.c.Check(got.refusal().Code, qt.Equals, refusal.KeyWithdrawn)
				env.c.Check(got.refusal().RunState, qt.Equals, refusal.MayHaveRun)
				keptAnswer := <-kept
				text, ok := keptAnswer.text()
				env.c.Check(ok, qt.IsTrue, qt.Commentf("%v %v", keptAnswer.err, keptAnswer.refusal()))
				env.c.Check(len(strings.Fields(text)), qt.Equals, shortStreamTokens)
			}
			runs := len(env.engines[0].Runs().Entries())
			for _, p := range daemons {
				got := env.chat(p, roofersKey, "slate", 1, false)
				env.c.Check(got.status, qt.Equals, 401)
				env.c.Check(got.notRun(), qt.IsTrue)
			}
			env.c.Check(env.engines[0].Runs().Entries(), qt.HasLen, runs)
		})
	}
}

// runningRequests returns the number of requests that run on backend servers, summed over the
// daemons.
func (env *testEnv) runningRequests(daemons []*process) int {
	running := 0
	for _, p := range daemons {
		for _, q := range env.status(p).Queues {
			running += q.Running
		}
	}
	return running
}

// maxIsolatedKeyUse is how long a withdrawn key may be accepted by a daemon that is
// partitioned from all others.
const maxIsolatedKeyUse = 14 * time.Second

// TestWithdrawnKeyStopsOnIsolatedDaemon guards against a withdrawn key that an isolated daemon
// accepts indefinitely. A key is withdrawn while one daemon is partitioned from the platform
// and from its neighbours and streams an answer. The stream must end and requests with the key
// must be refused; the daemon cannot know that the key was withdrawn and must report it as
// unconfirmed. When the links are restored, it must report the key as withdrawn.
func TestWithdrawnKeyStopsOnIsolatedDaemon(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 1, engineOptions, "")
	daemons, links := env.startNeighbours(2)
	env.platform.SetFaults(platform.All, fault.Faults{Partitions: []fault.Partition{{Caller: "vm-2"}}})
	for _, link := range links {
		link.SetFaults(relay.Faults{DropToTarget: true, DropFromTarget: true})
	}
	stream := make(chan answer, 1)
	go func() { stream <- env.chat(daemons[1], roofersKey, "slate", longStreamTokens, true) }()
	env.eventually("the stream runs", func() bool { return env.runningRequests(daemons) == 1 })
	env.apply("\n[key roofers-1]\nwithdrawn = true\n")
	keyRefused := func() bool {
		got := env.chat(daemons[1], roofersKey, "slate", 1, false)
		return got.status == http.StatusServiceUnavailable && got.notRun() && got.refusal().Code == refusal.KeysUnconfirmed
	}
	for end := time.Now().Add(maxIsolatedKeyUse); !keyRefused(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			env.c.Fatal("the isolated daemon still accepts the withdrawn key")
		}
	}
	env.c.Check((<-stream).refusal().Code, qt.Equals, refusal.KeysUnconfirmed)
	runs := len(env.engines[0].Runs().Entries())
	env.c.Check(keyRefused(), qt.IsTrue)
	env.c.Check(env.engines[0].Runs().Entries(), qt.HasLen, runs)
	env.platform.SetFaults(platform.All, fault.Faults{})
	for _, link := range links {
		link.SetFaults(relay.Faults{})
	}
	env.eventually("the key is reported as withdrawn", func() bool {
		return env.chat(daemons[1], roofersKey, "slate", 1, false).status == http.StatusUnauthorized
	})
	env.c.Check(env.chat(daemons[1], shopKey, "socks", 1, false).status, qt.Equals, http.StatusOK)
}
