package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"acaciapath.example/standin/link"

	qt "github.com/frankban/quicktest"
)

// TestNeighboursServeTheirOwnCallersFirst cuts off all VMs of a failure domain under four times the
// load. Callers of the others must be served nine tenths as often as before, and no server may get
// more than its limit allows within 4 s.
func TestNeighboursServeTheirOwnCallersFirst(t *testing.T) {
	f := newLinkedFleet(t)
	f.limits = map[string]float64{"llm": 32, "shop": 128} // twice what callers send: each VM keeps to its part
	f.start()
	stop := f.load("call", callInterval/4, 0, 1, 2, 3)
	time.Sleep(time.Second)
	began := time.Now()
	f.cut(link.Hang, 0, 1)
	time.Sleep(cutTime + time.Second)
	ended := time.Now()
	f.cut(link.None, 0, 1)
	stop()
	before := f.count(began.Add(-time.Second), began, 2, 3)
	others, cutOff := f.count(began, ended, 2, 3), f.count(began.Add(knownAfter), ended, 0, 1)
	f.Logf("before: %v, to be cut off: %v", before, f.count(began.Add(-time.Second), began, 0, 1))
	f.Logf("other VMs: %v", others)
	f.Logf("cut off: %v", cutOff)
	f.Check(others.share() >= 0.9*before.share(), qt.IsTrue)
	f.Check(others.share() >= 0.9, qt.IsTrue)
	f.Check(cutOff.share() >= 2./3*others.share(), qt.IsTrue)
	for _, s := range f.servers {
		most := f.mostWithin(4*time.Second, began, ended, s.id)
		f.Logf("%s got at most %d requests in 4 s", s.id, most)
		f.Check(most <= int(1.5*f.limits[s.service]*4+5), qt.IsTrue, qt.Commentf("%s got %d requests in 4 s", s.id, most))
	}
	f.checkRuns()
}

// TestNeighbourDiesWithRequests kills a VM while it forwards requests of another one that is cut off.
// Requests that may run at most once must do so, and all must be served or get 502.
func TestNeighbourDiesWithRequests(t *testing.T) {
	t.Parallel()
	const pause = 400 * time.Millisecond
	f := newLinkedFleet(t)
	f.processes = []int{1}
	f.start()
	f.setPauses(pause, eventPause)
	stop := f.load("call", callInterval/4, 0)
	time.Sleep(500 * time.Millisecond)
	f.cut(link.Refuse, 0)
	time.Sleep(1500 * time.Millisecond)
	killed := time.Now()
	f.vms[1].signal(syscall.SIGKILL)
	time.Sleep(2 * time.Second)
	ended := time.Now()
	f.cut(link.None, 0)
	stop()
	f.mu.Lock()
	atNeighbour, servedThere := 0, 0
	for _, c := range f.calls {
		for _, r := range f.runs[c.id] {
			if r.from != processAddress || c.vm != 0 || r.at.Before(killed.Add(-pause/2)) {
				continue
			}
			atNeighbour++
			f.Check(c.served() || c.status == http.StatusBadGateway, qt.IsTrue, qt.Commentf("%s got %d", c.id, c.status))
			if c.served() {
				servedThere++
			}
		}
	}
	f.mu.Unlock()
	later := f.count(killed.Add(knownAfter), ended, 0)
	f.Logf("%d requests were in progress there, %d of them served; later: %v", atNeighbour, servedThere, later)
	f.Check(atNeighbour > 0, qt.IsTrue)
	f.Check(later.share() >= 0.9, qt.IsTrue)
	f.checkRuns()
}

// TestRestoredLinksAreUsedAgain restores links after a cut, which must be noticed within 2 s.
func TestRestoredLinksAreUsedAgain(t *testing.T) {
	for _, name := range []string{"hang", "reset", "refuse"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newLinkedFleet(t)
			f.start()
			stop := f.load("call", callInterval, 0, 1, 2, 3)
			time.Sleep(500 * time.Millisecond)
			began := time.Now()
			f.cut(cuts[name], 0, 2)
			time.Sleep(2 * time.Second)
			restored := time.Now()
			f.cut(link.None, 0, 2)
			time.Sleep(3 * time.Second)
			ended := time.Now()
			stop()
			after := f.count(restored, ended, 0, 2)
			f.Logf("%d forwarded while cut off; restored: %v", f.forwarded(began, restored), after)
			f.Check(f.forwarded(began.Add(knownAfter), restored) > 0, qt.IsTrue)
			f.Check(f.forwarded(restored.Add(2*time.Second), ended), qt.Equals, 0)
			f.Check(after.share() >= 0.9, qt.IsTrue)
			f.checkRuns()
		})
	}
}

// TestLinksOfAllVMsAreRestored cuts off all VMs, so that none can help another.
func TestLinksOfAllVMsAreRestored(t *testing.T) {
	for _, name := range []string{"hang", "reset", "refuse"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newLinkedFleet(t)
			f.start()
			stop := f.load("call", callInterval, 0, 1, 2, 3)
			time.Sleep(500 * time.Millisecond)
			f.cut(cuts[name], 0, 1, 2, 3)
			time.Sleep(2 * time.Second)
			restored := time.Now()
			f.cut(link.None, 0, 1, 2, 3)
			time.Sleep(3 * time.Second)
			ended := time.Now()
			stop()
			after := f.count(restored.Add(2*time.Second), ended, 0, 1, 2, 3)
			f.Logf("from 2 s later on: %v", after)
			f.Check(f.forwarded(restored.Add(2*time.Second), ended), qt.Equals, 0)
			f.Check(after.share() >= 0.9, qt.IsTrue)
			f.checkNoEvidence()
			f.checkRuns()
		})
	}
}

// TestNeighbourShutsDownWithRequests stops a VM while it forwards requests of another one that is cut
// off. All must be served.
func TestNeighbourShutsDownWithRequests(t *testing.T) {
	t.Parallel()
	f := newLinkedFleet(t)
	f.start()
	stop := f.load("call", callInterval/2, 0)
	time.Sleep(500 * time.Millisecond)
	f.cut(link.Refuse, 0)
	time.Sleep(knownAfter)
	known := time.Now()
	time.Sleep(time.Second)
	f.vms[1].stop()
	time.Sleep(1500 * time.Millisecond)
	ended := time.Now()
	stop()
	all := f.count(known, ended, 0)
	f.Logf("%v", all)
	f.Check(f.forwarded(known, ended) > 0, qt.IsTrue)
	f.Check(all.served, qt.Equals, all.sent)
	f.checkRuns()
}

// TestForwardedRequestsAreReportedOnce checks the reported usage of requests that a neighbour
// forwards.
func TestForwardedRequestsAreReportedOnce(t *testing.T) {
	t.Parallel()
	f := newLinkedFleet(t)
	f.start()
	f.cut(link.Refuse, 0)
	began := time.Now()
	stop := f.load("call", callInterval, 0)
	time.Sleep(1500 * time.Millisecond)
	stop()
	f.Check(f.forwarded(began, time.Now()) > 0, qt.IsTrue)
	f.mu.Lock()
	ran := float64(len(f.runs))
	f.mu.Unlock()
	f.eventually(fmt.Sprintf("%v requests are reported", ran), func() bool { return f.reportedRequests() == ran })
	f.checkReports()
}

// TestCallersLeaveForwardedRequests has callers leave streams that a neighbour forwards. Half a second
// later, servers may still run no more than a quarter of them.
func TestCallersLeaveForwardedRequests(t *testing.T) {
	t.Parallel()
	const callers = 20
	f := newLinkedFleet(t)
	f.start()
	f.cut(link.Reset, 0)
	f.eventually("requests are forwarded", func() bool { return f.call(0, streamCall, fmt.Sprint(time.Now().UnixNano())).served() })
	f.setPauses(eventPause, 400*time.Millisecond)
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() { f.callUntil(ctx, 0, streamCall, fmt.Sprintf("left-%d", i)) })
	}
	time.Sleep(time.Second)
	f.Check(f.runningRequests(), qt.Equals, callers)
	leave()
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	f.Check(f.runningRequests() <= callers/4, qt.IsTrue, qt.Commentf("%d requests run", f.runningRequests()))
}
