package soak_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

var (
	firstSeed        = flag.Uint64("first", 1, "first seed of the soak")
	seedCount        = flag.Int("seeds", 2, "number of seeds of the soak")
	restoreSeedCount = flag.Int("restore-seeds", 1, "number of seeds of the soak with restorations of the store")
	cutSeedCount     = flag.Int("cut-seeds", 1, "number of seeds of the soak with VMs that are cut off from servers")
	readerSeedCount  = flag.Int("reader-seeds", 1, "number of seeds of the soak with readers")
	upgradeSeedCount = flag.Int("upgrade-seeds", 1, "number of seeds of the soak with daemons of the production version")
	upgradeRestores  = flag.Bool("upgrade-restores", false, "also restore the store in the soak with daemons of the production version")
	soakLength       = flag.Duration("length", 8*time.Second, "how long a seed's faults last")
)

// regressions lists seeds that once failed, each with the cause.
var regressions = []uint64{
	101, // a stream ended as if complete when the backend server that was to resume it failed
	135, // the same
	703, // SIGHUP killed a daemon that had just started
}

// restoreRegressions is the same for TestSoakWithRestores.
var restoreRegressions = []uint64{
	3112, // nobody knew after restorations that no usage window had been reported yet
	3117, // usage was reported twice, not traced
}

// settleTimeout bounds the time that daemons take to follow the platform, and to report
// usage, once there are no more faults.
const settleTimeout = 15 * time.Second

// resumeSlack is how long after a suspended process was resumed the cloud API may still
// receive calls that the process had prepared before.
const resumeSlack = 300 * time.Millisecond

func TestSoak(t *testing.T) {
	binary := build(t, t.TempDir())
	seeds := regressions
	for i := range *seedCount {
		seeds = append(seeds, *firstSeed+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runSeed(qt.New(t), binary, seed, daemonCount, noChange) })
	}
}

// TestSoakWithRestores runs seeds in which the store is also restored from copies that are up
// to some seconds old.
func TestSoakWithRestores(t *testing.T) {
	binary := build(t, t.TempDir())
	seeds := restoreRegressions
	for i := range *restoreSeedCount {
		seeds = append(seeds, *firstSeed+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runSeed(qt.New(t), binary, seed, daemonCount, func(f *faultInjector) { f.restores = true })
		})
	}
}

// TestSoakWithReaders runs seeds in a failure domain that is large enough for one daemon to
// read the store for the others.
func TestSoakWithReaders(t *testing.T) {
	binary := build(t, t.TempDir())
	for i := range *readerSeedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runSeed(qt.New(t), binary, seed, largeDaemonCount, noChange) })
	}
}

// TestSoakWithCuts runs seeds in which VMs are also cut off from all backend servers.
func TestSoakWithCuts(t *testing.T) {
	binary := build(t, t.TempDir())
	for i := range *cutSeedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runSeed(qt.New(t), binary, seed, daemonCount, func(f *faultInjector) { f.cutsServers = true })
		})
	}
}

// noChange keeps the faults that are injected by default.
func noChange(*faultInjector) {}

// runSeed runs the test with one seed and a number of daemons. change selects other faults.
func runSeed(c *qt.C, binary string, seed uint64, daemons int, change func(*faultInjector)) {
	dir, err := os.MkdirTemp("", "acaciapath-soak-")
	c.Assert(err, qt.IsNil)
	cl := newCluster(c, binary, dir, daemons)
	injector := newFaultInjector(cl, seed)
	change(injector)
	c.Cleanup(func() {
		if !c.Failed() {
			_ = os.RemoveAll(dir)
			return
		}
		c.Logf("logs: %s\ncommand: go test ./soak -run %s -args -first %d -seeds 1 -length %s\n%s",
			dir, strings.SplitN(c.Name(), "/", 2)[0], seed, *soakLength, strings.Join(injector.history, "\n"))
	})
	cl.waitUntilServing()
	ctx, stop := context.WithTimeout(context.Background(), *soakLength)
	defer stop()
	var load callers
	load.start(ctx, cl, seed)
	injector.run(ctx)
	load.group.Wait()
	cl.checkRecovery()
	if injector.cutsServers {
		injector.checkForwarding()
	}
	cl.checkAnswers(load.outcomes)
	if injector.upgrades != nil {
		cl.checkVersions(load.streams)
	}
	cl.checkReceivedRequests()
	cl.checkUsage(load.outcomes)
	cl.checkReports()
}

// lookStatus requests /look/ of a daemon with a key and returns the HTTP status, or 0 if
// there was no answer.
func (v *vm) lookStatus(key string) int {
	o := outcome{id: "look", path: "/look/", key: key, vm: v}
	client := &http.Transport{DisableKeepAlives: true}
	o.sendRequest(client)
	return o.status
}

// eventually waits until condition holds, and fails the test after settleTimeout.
func (cl *cluster) eventually(what string, condition func() bool) {
	cl.Helper()
	for end := time.Now().Add(settleTimeout); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			cl.Fatalf("not within %s: %s", settleTimeout, what)
		}
	}
}

// waitUntilServing waits until each daemon has served a request.
func (cl *cluster) waitUntilServing() {
	for _, v := range cl.vms {
		cl.eventually(v.name+" serves", func() bool { return v.lookStatus("key-a") == http.StatusOK })
	}
}

// checkRecovery checks that all daemons serve again after the faults, and follow changes of
// the configuration.
func (cl *cluster) checkRecovery() {
	for _, secondKey := range []bool{false, true} {
		cl.writeConfig(secondKey)
		want := http.StatusUnauthorized
		if secondKey {
			want = http.StatusOK
		}
		for _, v := range cl.vms {
			cl.eventually(fmt.Sprintf("%s answers %d", v.name, want), func() bool { return v.lookStatus("key-b") == want })
		}
	}
	cl.waitUntilServing()
}

// runCounts returns how often each request ran, by request id. A run that was moved to
// another backend server with its KV cache counts once.
func (cl *cluster) runCounts() map[string]int {
	ran := make(map[string]int)
	for _, s := range cl.servers {
		for _, a := range s.ReceivedRequests() {
			if a.Ran && !a.Resumed {
				ran[a.Header.Get("X-Attempt-Id")]++
			}
		}
	}
	return ran
}

// expectedAnswer returns the complete answer to a request for a path.
func expectedAnswer(path string) string {
	if path == "/look/" || path == "/order/" {
		return strings.Repeat("0123456789", 2)
	}
	var b strings.Builder
	for i := 1; i <= eventCount; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return b.String()
}

// checkAnswers checks that callers received complete answers to their own requests,
// that requests refused as not run did not run, and that requests which may run only
// once did not run twice.
func (cl *cluster) checkAnswers(outcomes []outcome) {
	ran := cl.runCounts()
	served := 0
	for _, o := range outcomes {
		once := o.path == "/order/" || o.path == "/quote/"
		if once && ran[o.id] > 1 {
			cl.Errorf("%s %s ran %d times", o.path, o.id, ran[o.id])
		}
		switch {
		case o.status == http.StatusOK && o.complete:
			served++
			if o.body != expectedAnswer(o.path) || o.signature != platformtest.Signature {
				cl.Errorf("%s %s: got %q, signature %q", o.path, o.id, o.body, o.signature)
			}
		case o.status == http.StatusOK && !strings.HasPrefix(expectedAnswer(o.path), o.body):
			cl.Errorf("%s %s: got %q", o.path, o.id, o.body)
		case (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests) && once && ran[o.id] > 0:
			cl.Errorf("%s %s: refused with %d, but ran", o.path, o.id, o.status)
		case o.status == http.StatusUnauthorized && o.key == "key-a", o.status == http.StatusNotFound, o.status == http.StatusForbidden:
			cl.Errorf("%s %s: refused with unexpected status %d", o.path, o.id, o.status)
		}
	}
	cl.Logf("%d requests, %d served", len(outcomes), served)
	if 4*served < len(outcomes) {
		cl.Errorf("only %d of %d requests were served", served, len(outcomes))
	}
}

// checkReceivedRequests checks that backend servers received the right client account
// but no API key, and ran only requests that were meant for them.
func (cl *cluster) checkReceivedRequests() {
	for _, s := range cl.servers {
		for _, a := range s.ReceivedRequests() {
			account := a.Header.Get("X-Tenant")
			if a.Header.Get("Authorization") != "" || account != "account-a" && account != "account-b" {
				cl.Errorf("%s received an API key, or %q as the client account: %s %s, request %q, expected %q",
					s.ID, account, a.Method, a.Path, a.Header.Get("X-Attempt-Id"), a.Header.Get("X-Expected-Replica"))
			}
			if a.Ran && a.Header.Get("X-Expected-Replica") != s.ID {
				cl.Errorf("%s ran a request that was meant for %s", s.ID, a.Header.Get("X-Expected-Replica"))
			}
		}
	}
}

// reportedRequests returns the number of requests in all usage windows, each as reported
// last.
func (cl *cluster) reportedRequests() int {
	windows := make(map[any]float64)
	for _, call := range cl.cloud.Calls() {
		counts, _ := call.Body["counts"].(map[string]any)
		sum := 0.0
		for _, n := range counts {
			figure, _ := n.(float64)
			sum += figure
		}
		windows[call.Body["windowId"]] = sum
	}
	total := 0.0
	for _, sum := range windows {
		total += sum
	}
	return int(total)
}

// checkUsage stops all daemons. It checks that the number of reported requests is at
// least that of the requests served by daemons which were never killed, and at most that
// of the requests which ran.
func (cl *cluster) checkUsage(outcomes []outcome) {
	ran := 0
	for _, n := range cl.runCounts() {
		ran += n
	}
	served := 0
	for _, o := range outcomes {
		o.vm.mu.Lock()
		if o.status == http.StatusOK && o.complete && !o.vm.killed {
			served++
		}
		o.vm.mu.Unlock()
	}
	cl.eventually(fmt.Sprintf("%d requests are reported", served), func() bool { return cl.reportedRequests() >= served })
	for _, v := range cl.vms {
		v.signal(syscall.SIGTERM)
	}
	for _, v := range cl.vms {
		select {
		case err := <-v.exited:
			if err != nil {
				cl.Errorf("%s exited with %v", v.name, err)
			}
			v.exited <- err
		case <-time.After(shutdownGrace + time.Second):
			cl.Errorf("%s did not exit", v.name)
		}
	}
	if got := cl.reportedRequests(); got > ran {
		cl.Errorf("%d requests are reported, %d ran", got, ran)
	}
}

// checkReports checks that no window was reported twice with different figures, that no
// two holders used the same fencing token, and that fencing tokens never decreased.
func (cl *cluster) checkReports() {
	figures := make(map[string]string)
	holders := make(map[uint64]string)
	last := uint64(0)
	for _, call := range cl.cloud.Calls() {
		window, counts := fmt.Sprint(call.Body["windowId"]), fmt.Sprint(call.Body["counts"])
		if old, ok := figures[window]; ok && old != counts {
			cl.Errorf("window %s was reported as %s and as %s", window, old, counts)
		}
		figures[window] = counts
		if holder, ok := holders[call.Fence]; ok && holder != call.Holder {
			cl.Errorf("%s and %s used the same fencing token %d", holder, call.Holder, call.Fence)
		}
		holders[call.Fence] = call.Holder
		if call.Fence < last && !cl.justResumed(call) {
			cl.Errorf("%s sent fencing token %d after %d", call.Holder, call.Fence, last)
		}
		last = max(last, call.Fence)
	}
}

// justResumed reports whether a call arrived just after its sender was resumed from a
// suspension.
func (cl *cluster) justResumed(call platformtest.CloudCall) bool {
	for _, v := range cl.vms {
		if v.name == call.Holder {
			v.mu.Lock()
			defer v.mu.Unlock()
			since := call.At.Sub(v.resumedAt)
			return since >= 0 && since < resumeSlack
		}
	}
	return false
}
