package usage_test

import (
	"context"
	"testing"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/usage"

	qt "github.com/frankban/quicktest"
)

// short is the billing of windows of which every VM writes a final part.
var short = config.Billing{Window: 5 * time.Second, Grace: 8 * time.Second}

// TestSettleWhenCompleteWithAbsentVM checks when a window is reported if a VM is
// replaced: immediately if all parts are present, one window length after its end if
// the VM wrote no part of it, and at the end of the grace period if the VM wrote a part
// that is not final. Waiting for absent VMs until the end of the grace period would
// leave no time for an outage of the table.
func TestSettleWhenCompleteWithAbsentVM(t *testing.T) {
	for _, test := range []struct {
		name string
		// partial reports whether the second VM writes a part of the second window
		// that is not final, and absent whether it writes no final part.
		partial, absent bool
		// reportedAfter is how long after its end the second window is reported.
		reportedAfter time.Duration
	}{
		{name: "all parts present", reportedAfter: 0},
		{name: "no part written", absent: true, reportedAfter: 5 * time.Second},
		{name: "no final part written", absent: true, partial: true, reportedAfter: 8 * time.Second},
	} {
		qt.New(t).Run(test.name, func(c *qt.C) {
			ctx := context.Background()
			service, platform := newFakeTable(), &fakePlatform{}
			r := usage.NewReporter(service, platform, &fakeHolder{grant: acquireLease(service, "one")})
			r.SettleWhenComplete = true
			one, two := usage.NewWriter(service, "vm-1", "a"), usage.NewWriter(service, "vm-2", "b")
			write := func(w *usage.Writer, window time.Time, final bool) {
				w.Add(usage.Part{Window: window, Lines: partOf(1).Lines, Final: final})
				c.Assert(w.Flush(ctx, window, short.Window), qt.IsNil)
			}
			second := start.Add(short.Window)
			write(one, start, true)
			write(two, start, true)
			_, err := r.Settle(ctx, start.Add(short.Window+short.Grace), short)
			c.Assert(err, qt.IsNil)
			write(one, second, true)
			if test.partial {
				write(two, second, false)
			}
			if !test.absent {
				write(two, second, true)
			}
			for after := time.Duration(0); after <= short.Grace; after += time.Second {
				window, err := r.Settle(ctx, second.Add(short.Window+after), short)
				c.Assert(err, qt.IsNil)
				c.Assert(window != nil, qt.Equals, after == test.reportedAfter, qt.Commentf("%s", after))
				if window != nil {
					return
				}
			}
		})
	}
}

// TestSettleWhenCompleteRemovesAbsentVM checks that once a window was reported without
// a VM, the next windows do not wait for that VM until it writes again.
func TestSettleWhenCompleteRemovesAbsentVM(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	service, platform := newFakeTable(), &fakePlatform{}
	r := usage.NewReporter(service, platform, &fakeHolder{grant: acquireLease(service, "one")})
	r.SettleWhenComplete = true
	one, two := usage.NewWriter(service, "vm-1", "a"), usage.NewWriter(service, "vm-2", "b")
	windows := []struct {
		two bool
		// age is how long after its start the window is reported.
		age time.Duration
	}{
		{two: true, age: short.Window + short.Grace},
		{age: 2 * short.Window},
		{age: short.Window},
		{two: true, age: short.Window},
		{age: 2 * short.Window},
	}
	for i, w := range windows {
		at := start.Add(time.Duration(i) * short.Window)
		one.Add(usage.Part{Window: at, Lines: partOf(1).Lines, Final: true})
		c.Assert(one.Flush(ctx, at, short.Window), qt.IsNil)
		if w.two {
			two.Add(usage.Part{Window: at, Lines: partOf(1).Lines, Final: true})
			c.Assert(two.Flush(ctx, at, short.Window), qt.IsNil)
		}
		early, err := r.Settle(ctx, at.Add(w.age-time.Second), short)
		c.Assert(err, qt.IsNil)
		c.Assert(early == nil, qt.IsTrue, qt.Commentf("window %d", i))
		window, err := r.Settle(ctx, at.Add(w.age), short)
		c.Assert(err, qt.IsNil)
		c.Assert(window != nil, qt.IsTrue, qt.Commentf("window %d", i))
	}
}
