package usage_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/gen/table"
	usageport "acaciapath.example/core/gen/usage"
	"acaciapath.example/core/lease"
	"acaciapath.example/core/usage"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var (
	billing  = config.Billing{Window: length, Grace: 10 * time.Second}
	fenceKey = lease.FenceKey(lease.UsageReportsName)
)

// fakeHolder is a LeaseHolder that always assumes that it holds the lease.
type fakeHolder struct{ grant *lease.Grant }

func (h *fakeHolder) Do(ctx context.Context, send func(context.Context, *lease.Grant) error) error {
	return send(ctx, h.grant)
}

// fakePlatform fakes the usage service of the platform. It records the reports that it
// accepted.
type fakePlatform struct {
	nextFault func(method string) fault
	reports   []*usageport.ReportPayload
	history   *history
}

func (r *fakePlatform) Report(_ context.Context, p *usageport.ReportPayload) error {
	f := faultNone
	if r.nextFault != nil {
		f = r.nextFault("report")
	}
	if f == faultUnavailable {
		return usageport.MakeUnavailable(errNoReply)
	}
	r.reports = append(r.reports, p)
	if r.history != nil {
		in := windowInput{window: p.Window, kind: "report", lines: fmt.Sprintf("%+v", linesOf(p))}
		r.history.add(r.history.nextEvent(), in, windowOutput{})
	}
	if f != faultNone {
		return errNoReply
	}
	return nil
}

// linesOf returns the lines of a report.
func linesOf(p *usageport.ReportPayload) []usage.Line {
	lines := make([]usage.Line, len(p.Lines))
	for i, line := range p.Lines {
		lines[i] = usage.Line{
			Key:    usage.Key{ClientAccount: line.ClientAccount, ServiceClass: line.ServiceClass, Model: line.Model},
			Work:   usage.Work{Requests: line.Requests, PromptTokens: line.PromptTokens, CompletionTokens: line.CompletionTokens},
			Amount: line.Amount,
		}
	}
	return lines
}

// linesByWindow returns the reported lines of each window and the number of requests in
// all windows. It returns an error if two reports of a window differ.
func (r *fakePlatform) linesByWindow() (map[string]string, uint64, error) {
	byWindow := make(map[string]string)
	var requests uint64
	for _, report := range r.reports {
		lines := fmt.Sprintf("%+v", linesOf(report))
		var sum uint64
		for _, line := range report.Lines {
			sum += line.Requests
		}
		earlier, repeated := byWindow[report.Window]
		if repeated && earlier != lines {
			return nil, 0, fmt.Errorf("window %s was reported as %q and %q", report.Window, earlier, lines)
		}
		if !repeated {
			requests += sum
		}
		byWindow[report.Window] = lines
	}
	return byWindow, requests, nil
}

// acquireLease makes a new process the lease holder, as an acquisition does: it raises
// the version of the fence row.
func acquireLease(t *fakeTable, name string) *lease.Grant {
	row := t.rows[fenceKey]
	if row == nil {
		row = &table.Row{}
	}
	t.rows[fenceKey] = &table.Row{Key: fenceKey, Version: row.Version + 1}
	return &lease.Grant{Name: lease.UsageReportsName, Holder: name, Fence: row.Version + 1, FenceVersion: row.Version + 1}
}

func TestNextWindow(t *testing.T) {
	c := qt.New(t)
	at := func(minutes, seconds int) time.Time {
		return start.Add(time.Duration(minutes)*time.Minute + time.Duration(seconds)*time.Second)
	}
	for _, test := range []struct {
		name             string
		last, first, now time.Time
		want             time.Time
		due              bool
	}{
		{name: "no usage yet", now: at(5, 0)},
		{name: "within grace period", first: at(3, 0), now: at(4, 9), want: at(3, 0)},
		{name: "after grace period", first: at(3, 0), now: at(4, 10), want: at(3, 0), due: true},
		{name: "empty window", last: at(1, 0), first: at(3, 0), now: at(9, 0), want: at(2, 0), due: true},
		{name: "part of another window length", last: at(1, 0), first: at(1, 30), now: at(9, 0), want: at(1, 30), due: true},
		{name: "parts left over", last: at(1, 0), first: at(1, 0), now: at(9, 0), want: at(1, 0), due: true},
		{name: "long gap", last: at(1, 0), now: at(48*60, 0), want: at(24*60, 0), due: true},
	} {
		c.Run(test.name, func(c *qt.C) {
			got, due := usage.NextWindow(test.last, test.first, test.now, billing)
			c.Assert(got, qt.Equals, test.want)
			c.Assert(due, qt.Equals, test.due)
		})
	}
}

func TestReporterStopsWhenSuperseded(t *testing.T) {
	c := qt.New(t)
	service, platform := newFakeTable(), &fakePlatform{}
	old := usage.NewReporter(service, platform, &fakeHolder{grant: acquireLease(service, "old")})
	w := usage.NewWriter(service, "vm-1", "a")
	w.Add(partOf(1))
	c.Assert(w.Flush(context.Background(), start, length), qt.IsNil)
	acquireLease(service, "new")
	_, err := old.Settle(context.Background(), start.Add(time.Hour), billing)
	c.Assert(errors.Is(err, usage.ErrSuperseded), qt.IsTrue)
	c.Assert(platform.reports, qt.HasLen, 0)
}

// TestSupersededReporterRepeatsFixedTotals lets a new lease holder settle a window and
// delete its parts before each of the calls by which the previous holder settles the
// same window. The previous holder must not report other totals.
func TestSupersededReporterRepeatsFixedTotals(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	for calls := 1; calls < 12; calls++ {
		service, platform := newFakeTable(), &fakePlatform{}
		platform.history = &service.history
		w := usage.NewWriter(service, "vm-1", "a")
		w.Add(partOf(7))
		c.Assert(w.Flush(ctx, start, length), qt.IsNil)
		old := usage.NewReporter(service, platform, &fakeHolder{grant: acquireLease(service, "old")})
		next := usage.NewReporter(service, platform, &fakeHolder{grant: acquireLease(service, "next")})
		left := calls
		service.beforeCall = func() {
			if left--; left == 0 {
				_, err := next.Settle(ctx, start.Add(2*length), billing)
				c.Check(err, qt.IsNil)
			}
		}
		_, _ = old.Settle(ctx, start.Add(2*length), billing)
		service.beforeCall = nil
		_, requests, err := platform.linesByWindow()
		c.Assert(err, qt.IsNil)
		c.Assert(requests <= 7, qt.IsTrue)
		c.Assert(service.history.check(), qt.IsTrue)
	}
}

// simulation interleaves the calls of writers and reporters in a random order, with
// lost, delayed and failed calls, changes of the lease holder after which the previous
// holder continues, and writers with wrong clocks.
type simulation struct {
	service   *fakeTable
	platform  *fakePlatform
	now       time.Time
	writers   []*usage.Writer
	reporters []*usage.Reporter
	added     uint64
	busy      map[any]bool
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{service: newFakeTable(), platform: &fakePlatform{}, now: start, busy: make(map[any]bool)}
	faults := func(method string) fault {
		choices := []fault{faultNone, faultNone, faultNone, faultUnavailable, faultLostReply}
		if method == "commit" {
			choices = append(choices, faultDelayed)
		}
		return rapid.SampledFrom(choices).Draw(t, "fault")
	}
	s.service.nextFault, s.platform.nextFault = faults, faults
	s.platform.history = &s.service.history
	s.service.beforeCall = func() {
		if len(s.busy) < 3 && rapid.IntRange(0, 3).Draw(t, "interrupt") == 0 {
			rapid.SampledFrom([]func(*rapid.T){s.add, s.settle}).Draw(t, "action")(t)
		}
	}
	for i := range 3 {
		s.writers = append(s.writers, usage.NewWriter(s.service, fmt.Sprintf("vm-%d", i), "a"))
	}
	s.newReporter(t)
	return s
}

// runExclusive runs an action of a process unless another action of it is in progress.
func (s *simulation) runExclusive(process any, action func()) {
	if s.busy[process] {
		return
	}
	s.busy[process] = true
	defer delete(s.busy, process)
	action()
}

func (s *simulation) add(t *rapid.T) {
	w := rapid.SampledFrom(s.writers).Draw(t, "writer")
	skew := time.Duration(rapid.IntRange(-90, 90).Draw(t, "skew")) * time.Second
	s.runExclusive(w, func() {
		w.Add(partOf(1))
		s.added++
		_ = w.Flush(context.Background(), s.now.Add(skew), length)
	})
}

func (s *simulation) settle(t *rapid.T) {
	r := rapid.SampledFrom(s.reporters).Draw(t, "reporter")
	s.runExclusive(r, func() { _, _ = r.Settle(context.Background(), s.now, billing) })
}

func (s *simulation) newReporter(*rapid.T) {
	grant := acquireLease(s.service, fmt.Sprintf("p%d", len(s.reporters)))
	s.reporters = append(s.reporters, usage.NewReporter(s.service, s.platform, &fakeHolder{grant: grant}))
}

// finish ends all faults and settles all windows. It returns the number of requests in
// all reports.
func (s *simulation) finish(t *rapid.T) uint64 {
	s.service.nextFault, s.platform.nextFault, s.service.beforeCall = nil, nil, nil
	for _, w := range s.writers {
		assert(t, w.Flush(context.Background(), s.now, length), qt.IsNil)
	}
	s.service.applyDelayed()
	s.now = s.now.Add(10 * length)
	settled := 0
	for ; settled < 1000; settled++ {
		window, err := s.reporters[len(s.reporters)-1].Settle(context.Background(), s.now, billing)
		assert(t, err, qt.IsNil)
		if window == nil {
			break
		}
	}
	assert(t, settled < 1000, qt.IsTrue)
	_, requests, err := s.platform.linesByWindow()
	assert(t, err, qt.IsNil)
	return requests
}

// TestUsageConserved checks that every request is reported exactly once and that all
// reports of a window are equal.
func TestUsageConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"add":     s.add,
			"settle":  s.settle,
			"settle2": s.settle,
			"late":    func(*rapid.T) { s.service.applyDelayed() },
			"time":    func(*rapid.T) { s.now = s.now.Add(25 * time.Second) },
			"succeed": s.newReporter,
			"": func(t *rapid.T) {
				if _, _, err := s.platform.linesByWindow(); err != nil {
					t.Fatal(err)
				}
			},
		})
		assert(t, s.finish(t), qt.Equals, s.added)
		assert(t, s.service.list("usage/part/", "", 10), qt.HasLen, 0)
		assert(t, s.service.history.check(), qt.IsTrue)
	})
}
