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

// Lengths of streams in tokens.
const (
	endless = 90_000
	someway = 1500
)

// neighbours starts entry daemons that hear of each other by the platform's
// list of VMs, each behind a relay of its peers' port. All of them have read the
// list when it returns.
func (w *world) neighbours(count int) (daemons []*process, links []*relay.Relay) {
	for i := range count {
		r, err := relay.New("127.0.0.1:0")
		w.c.Assert(err, qt.IsNil)
		w.c.Cleanup(func() { _ = r.Close() })
		links = append(links, r)
		w.list(fmt.Sprint("vm-", i+1), r.Address())
	}
	for i := range count {
		p := w.startEntry(fmt.Sprint("vm-", i+1))
		links[i].SetTarget(p.Peer)
		daemons = append(daemons, p)
	}
	w.eventually("the list of VMs is read", func() bool {
		read := make(map[string]bool)
		for _, e := range w.platform.Log().Entries() {
			if e.Interface == platform.VMs && e.Outcome == platform.Done {
				read[e.Caller] = true
			}
		}
		return len(read) == count
	})
	return daemons, links
}

// TestWithdrawnKeyStopsEverywhere withdraws a key while streams run with it at
// three daemons, one of which is cut off from the platform in one direction or
// both, and another one's link is slow. The streams end, new requests are
// refused as not run, and those of another key go on.
func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	for _, direction := range []fault.Direction{fault.Both, fault.Requests, fault.Replies} {
		t.Run("cut "+string(direction), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 1, engineOptions, "")
			daemons, links := w.neighbours(3)
			w.platform.SetFaults(platform.All, fault.Faults{Partitions: []fault.Partition{{Caller: "vm-3", Direction: direction}}})
			links[0].SetFaults(relay.Faults{Delay: 20 * time.Millisecond})
			withdrawn, kept := make(chan answer, 3), make(chan answer, 3)
			for _, p := range daemons {
				go func() { withdrawn <- w.chat(p, roofersKey, "slate", endless, true) }()
				go func() { kept <- w.chat(p, shopKey, "socks", someway, true) }()
			}
			w.eventually("all streams run", func() bool { return w.running(daemons) == 6 })
			w.apply("\n[key roofers-1]\nwithdrawn = true\n")
			for range daemons {
				got := <-withdrawn
				w.c.Assert(got.refusal(), qt.IsNotNil, qt.Commentf("%v", got.err))
				w.c.Check(got.refusal().Code, qt.Equals, refusal.KeyWithdrawn)
				w.c.Check(got.refusal().RunState, qt.Equals, refusal.MayHaveRun)
				whole := <-kept
				text, ok := whole.text()
				w.c.Check(ok, qt.IsTrue, qt.Commentf("%v %v", whole.err, whole.refusal()))
				w.c.Check(len(strings.Fields(text)), qt.Equals, someway)
			}
			runs := len(w.engines[0].Runs().Entries())
			for _, p := range daemons {
				got := w.chat(p, roofersKey, "slate", 1, false)
				w.c.Check(got.status, qt.Equals, 401)
				w.c.Check(got.notRun(), qt.IsTrue)
			}
			w.c.Check(w.engines[0].Runs().Entries(), qt.HasLen, runs)
		})
	}
}

// running returns the number of requests that run at backend servers.
func (w *world) running(daemons []*process) int {
	running := 0
	for _, p := range daemons {
		for _, q := range w.status(p).Queues {
			running += q.Running
		}
	}
	return running
}

// isolatedPatience is how long a key may go on working at a daemon that is cut
// off from all others.
const isolatedPatience = 14 * time.Second

// TestWithdrawnKeyStopsWhereIsolated withdraws a key while one daemon is cut off
// from the platform and from all neighbours, and a stream runs there. The stream
// ends, and nothing runs with the key any more. The daemon cannot know that the
// key was withdrawn, and must not say so. Once the links are back, it does.
func TestWithdrawnKeyStopsWhereIsolated(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, engineOptions, "")
	daemons, links := w.neighbours(2)
	w.platform.SetFaults(platform.All, fault.Faults{Partitions: []fault.Partition{{Caller: "vm-2"}}})
	for _, link := range links {
		link.SetFaults(relay.Faults{DropToTarget: true, DropFromTarget: true})
	}
	stream := make(chan answer, 1)
	go func() { stream <- w.chat(daemons[1], roofersKey, "slate", endless, true) }()
	w.eventually("the stream runs", func() bool { return w.running(daemons) == 1 })
	w.apply("\n[key roofers-1]\nwithdrawn = true\n")
	stopped := func() bool {
		got := w.chat(daemons[1], roofersKey, "slate", 1, false)
		return got.status == http.StatusServiceUnavailable && got.notRun() && got.refusal().Code == refusal.KeysUnconfirmed
	}
	for end := time.Now().Add(isolatedPatience); !stopped(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			w.c.Fatal("the withdrawn key still works")
		}
	}
	w.c.Check((<-stream).refusal().Code, qt.Equals, refusal.KeysUnconfirmed)
	runs := len(w.engines[0].Runs().Entries())
	w.c.Check(stopped(), qt.IsTrue)
	w.c.Check(w.engines[0].Runs().Entries(), qt.HasLen, runs)
	w.platform.SetFaults(platform.All, fault.Faults{})
	for _, link := range links {
		link.SetFaults(relay.Faults{})
	}
	w.eventually("the withdrawal is told", func() bool {
		return w.chat(daemons[1], roofersKey, "slate", 1, false).status == http.StatusUnauthorized
	})
	w.c.Check(w.chat(daemons[1], shopKey, "socks", 1, false).status, qt.Equals, http.StatusOK)
}
