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

	"acaciapath.example/platform/standin"

	qt "github.com/frankban/quicktest"
)

var (
	firstSeed  = flag.Uint64("first", 1, "first seed of the soak")
	seedCount  = flag.Int("seeds", 2, "number of seeds of the soak")
	soakLength = flag.Duration("length", 8*time.Second, "how long a seed's faults last")
)

// regressions are seeds that failed once, each with its cause.
var regressions = []uint64{
	101, // a failure of the backend server that was to resume a stream ended the stream as complete
	135, // the same
	703, // a hangup killed a daemon that had just started
}

// settle bounds how long daemons take to follow the platform and to report what
// ran, once nothing fails any more.
const settle = 15 * time.Second

// thawSlack is how long after a process went on its calls of duties, decided
// before it stood still, may still arrive.
const thawSlack = 300 * time.Millisecond

func TestSoak(t *testing.T) {
	binary := build(t, t.TempDir())
	seeds := regressions
	for i := range *seedCount {
		seeds = append(seeds, *firstSeed+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { soak(qt.New(t), binary, seed) })
	}
}

// soak runs one seed.
func soak(c *qt.C, binary string, seed uint64) {
	dir, err := os.MkdirTemp("", "acaciapath-soak-")
	c.Assert(err, qt.IsNil)
	w := newWorld(c, binary, dir)
	s := newStorm(w, seed)
	c.Cleanup(func() {
		if !c.Failed() {
			_ = os.RemoveAll(dir)
			return
		}
		c.Logf("logs: %s\ncommand: go test ./soak -args -first %d -seeds 1 -length %s\n%s",
			dir, seed, *soakLength, strings.Join(s.history, "\n"))
	})
	w.awaitServing()
	ctx, stop := context.WithTimeout(context.Background(), *soakLength)
	defer stop()
	var load callers
	load.start(ctx, w, seed)
	s.run(ctx)
	load.group.Wait()
	w.checkAfterwards()
	w.checkAnswers(load.outcomes)
	w.checkArrivals()
	w.checkUsage(load.outcomes)
	w.checkDuties()
}

// look asks a daemon for /look/ with a key.
func (v *vm) look(key string) int {
	o := outcome{id: "look", path: "/look/", key: key, vm: v}
	client := &http.Transport{DisableKeepAlives: true}
	o.ask(client)
	return o.status
}

func (w *world) eventually(what string, condition func() bool) {
	w.Helper()
	for end := time.Now().Add(settle); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			w.Fatalf("not within %s: %s", settle, what)
		}
	}
}

func (w *world) awaitServing() {
	for _, v := range w.vms {
		w.eventually(v.name+" serves", func() bool { return v.look("key-a") == http.StatusOK })
	}
}

// checkAfterwards checks that all daemons serve again and follow the newest
// configuration, whatever happened.
func (w *world) checkAfterwards() {
	for _, second := range []bool{false, true} {
		w.declare(second)
		want := http.StatusUnauthorized
		if second {
			want = http.StatusOK
		}
		for _, v := range w.vms {
			w.eventually(fmt.Sprintf("%s answers %d", v.name, want), func() bool { return v.look("key-b") == want })
		}
	}
	w.awaitServing()
}

// ran returns how often each request ran. One that goes on from the memory of a run
// that was stopped elsewhere is the same run.
func (w *world) ran() map[string]int {
	ran := make(map[string]int)
	for _, s := range w.servers {
		for _, a := range s.ReceivedRequests() {
			if a.Ran && !a.Resumed {
				ran[a.Header.Get("X-Attempt-Id")]++
			}
		}
	}
	return ran
}

// expected returns the whole answer to a request for a path.
func expected(path string) string {
	if path == "/look/" || path == "/order/" {
		return strings.Repeat("0123456789", 2)
	}
	var b strings.Builder
	for i := 1; i <= eventCount; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return b.String()
}

// checkAnswers checks what callers got: whole answers of their own, refusals that
// are true, and work that ran once.
func (w *world) checkAnswers(outcomes []outcome) {
	ran := w.ran()
	served := 0
	for _, o := range outcomes {
		once := o.path == "/order/" || o.path == "/quote/"
		if once && ran[o.id] > 1 {
			w.Errorf("%s %s ran %d times", o.path, o.id, ran[o.id])
		}
		switch {
		case o.status == http.StatusOK && o.whole:
			served++
			if o.body != expected(o.path) || o.signature != standin.Signature {
				w.Errorf("%s %s: got %q, signature %q", o.path, o.id, o.body, o.signature)
			}
		case o.status == http.StatusOK && !strings.HasPrefix(expected(o.path), o.body):
			w.Errorf("%s %s: got %q", o.path, o.id, o.body)
		case (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests) && once && ran[o.id] > 0:
			w.Errorf("%s %s: refused with %d, but ran", o.path, o.id, o.status)
		case o.status == http.StatusUnauthorized && o.key == "key-a", o.status == http.StatusNotFound, o.status == http.StatusForbidden:
			w.Errorf("%s %s: denied with %d", o.path, o.id, o.status)
		}
	}
	w.Logf("%d requests, %d served", len(outcomes), served)
	if 4*served < len(outcomes) {
		w.Errorf("only %d of %d requests were served", served, len(outcomes))
	}
}

// checkArrivals checks what backend servers were sent.
func (w *world) checkArrivals() {
	for _, s := range w.servers {
		for _, a := range s.ReceivedRequests() {
			account := a.Header.Get("X-Tenant")
			if a.Header.Get("Authorization") != "" || account != "account-a" && account != "account-b" {
				w.Errorf("%s was sent the key or %q as the client account", s.ID, account)
			}
			if a.Ran && a.Header.Get("X-Expected-Replica") != s.ID {
				w.Errorf("%s ran a request that was meant for %s", s.ID, a.Header.Get("X-Expected-Replica"))
			}
		}
	}
}

// reported returns the requests of all usage windows.
func (w *world) reported() int {
	windows := make(map[any]float64)
	for _, call := range w.duties.Calls() {
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

// checkUsage stops all daemons and checks that what was reported lies between
// what was served by daemons that were never killed and what ran.
func (w *world) checkUsage(outcomes []outcome) {
	ran := 0
	for _, n := range w.ran() {
		ran += n
	}
	served := 0
	for _, o := range outcomes {
		o.vm.mu.Lock()
		if o.status == http.StatusOK && o.whole && !o.vm.killed {
			served++
		}
		o.vm.mu.Unlock()
	}
	w.eventually(fmt.Sprintf("%d requests are reported", served), func() bool { return w.reported() >= served })
	for _, v := range w.vms {
		v.signal(syscall.SIGTERM)
	}
	for _, v := range w.vms {
		select {
		case err := <-v.exited:
			if err != nil {
				w.Errorf("%s ended with %v", v.name, err)
			}
			v.exited <- err
		case <-time.After(grace + time.Second):
			w.Errorf("%s did not end", v.name)
		}
	}
	if got := w.reported(); got > ran {
		w.Errorf("%d requests are reported, %d ran", got, ran)
	}
}

// checkDuties checks that no window was reported with different figures, that no
// two holders used the same fencing number, and that it only rose.
func (w *world) checkDuties() {
	figures := make(map[string]string)
	holders := make(map[uint64]string)
	last := uint64(0)
	for _, call := range w.duties.Calls() {
		window, counts := fmt.Sprint(call.Body["windowId"]), fmt.Sprint(call.Body["counts"])
		if old, ok := figures[window]; ok && old != counts {
			w.Errorf("window %s was reported as %s and as %s", window, old, counts)
		}
		figures[window] = counts
		if holder, ok := holders[call.Fence]; ok && holder != call.Holder {
			w.Errorf("%s and %s used the fencing number %d", holder, call.Holder, call.Fence)
		}
		holders[call.Fence] = call.Holder
		if call.Fence < last && !w.justThawed(call) {
			w.Errorf("%s sent the fencing number %d after %d", call.Holder, call.Fence, last)
		}
		last = max(last, call.Fence)
	}
}

// justThawed reports whether a call arrived just after its sender stood still.
func (w *world) justThawed(call standin.CloudCall) bool {
	for _, v := range w.vms {
		if v.name == call.Holder {
			v.mu.Lock()
			defer v.mu.Unlock()
			since := call.At.Sub(v.thawed)
			return since >= 0 && since < thawSlack
		}
	}
	return false
}
