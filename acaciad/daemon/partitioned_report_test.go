package daemon_test

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	qt "github.com/frankban/quicktest"
)

// tally counts calls.
type tally struct {
	served, sent int
	// statuses are the numbers of calls that were not served, by kind and status.
	statuses map[string]int
}

// share returns the served share.
func (t tally) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

// String implements fmt.Stringer.
func (t tally) String() string {
	return fmt.Sprintf("%d of %d served, others %v", t.served, t.sent, t.statuses)
}

// count counts the calls that were sent to VMs in a span of time and have ended.
func (f *linkedFleet) count(from, to time.Time, vms ...int) tally {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := tally{statuses: make(map[string]int)}
	for _, c := range f.calls {
		if !slices.Contains(vms, c.vm) || c.sent.Before(from) || !c.sent.Before(to) {
			continue
		}
		t.sent++
		if c.served() {
			t.served++
			continue
		}
		t.statuses[fmt.Sprintf("%s %d", c.kind, c.status)]++
	}
	return t
}

// others returns the VMs that are not among the given ones.
func (f *linkedFleet) others(vms ...int) []int {
	var list []int
	for i := range f.vms {
		if !slices.Contains(vms, i) {
			list = append(list, i)
		}
	}
	return list
}

// checkRuns checks that requests that may run at most once did so, that none that got 503 ran,
// and that no event is missing or came twice.
func (f *linkedFleet) checkRuns() {
	f.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.calls {
		runs := f.runs[c.id]
		if c.kind == unsafeCall {
			f.Check(len(runs) <= 1, qt.IsTrue, qt.Commentf("%s (status %d) ran %d times: %v", c.id, c.status, len(runs), runs))
		}
		if c.status == http.StatusServiceUnavailable {
			f.Check(runs, qt.HasLen, 0, qt.Commentf("%s got 503 and ran", c.id))
		}
		if c.served() {
			f.Check(len(runs) > 0, qt.IsTrue, qt.Commentf("%s was served and did not run", c.id))
		}
		f.Check(c.misplaced, qt.IsFalse, qt.Commentf("%s: events missing or twice", c.id))
	}
}

// forwarded returns the number of runs of calls in a span of time whose requests reached their
// server through another VM.
func (f *linkedFleet) forwarded(from, to time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, c := range f.calls {
		for _, r := range f.runs[c.id] {
			if r.from != f.vms[c.vm].address && !r.at.Before(from) && r.at.Before(to) {
				n++
			}
		}
	}
	return n
}
