package usage_test

import (
	"context"
	"testing"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/usage"

	qt "github.com/frankban/quicktest"
)

// short are windows of which every VM writes a final part.
var short = config.Billing{Window: 5 * time.Second, Grace: 8 * time.Second}

// TestEarlyReporterOfAbsentVM replays a VM that is replaced: a window is reported as
// soon as all parts are there, without a VM that wrote none of it once it is a window
// old, and at the end of the grace if a VM wrote some of it. Waiting for VMs that are
// gone until the end of the grace leaves no time for an outage of the table.
func TestEarlyReporterOfAbsentVM(t *testing.T) {
	for _, test := range []struct {
		name string
		// half says that the second VM writes a part of the second window that is
		// not final, and gone that it writes none at all.
		half, gone bool
		// due is how long after its end the second window is reported.
		due time.Duration
	}{
		{name: "all there", due: 0},
		{name: "gone", gone: true, due: 5 * time.Second},
		{name: "gone in its middle", gone: true, half: true, due: 8 * time.Second},
	} {
		qt.New(t).Run(test.name, func(c *qt.C) {
			ctx := context.Background()
			service, port := newFakeTable(), &receiver{}
			r := usage.NewReporter(service, port, &holder{grant: succeed(service, "one")})
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
			if test.half {
				write(two, second, false)
			}
			if !test.gone {
				write(two, second, true)
			}
			for after := time.Duration(0); after <= short.Grace; after += time.Second {
				window, err := r.Settle(ctx, second.Add(short.Window+after), short)
				c.Assert(err, qt.IsNil)
				c.Assert(window != nil, qt.Equals, after == test.due, qt.Commentf("%s", after))
				if window != nil {
					return
				}
			}
		})
	}
}

// TestEarlyReporterForgetsAbsentVM: once a window was reported without a VM, the next
// ones do not wait for it until it writes again.
func TestEarlyReporterForgetsAbsentVM(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	service, port := newFakeTable(), &receiver{}
	r := usage.NewReporter(service, port, &holder{grant: succeed(service, "one")})
	r.SettleWhenComplete = true
	one, two := usage.NewWriter(service, "vm-1", "a"), usage.NewWriter(service, "vm-2", "b")
	windows := []struct {
		two bool
		// age is that at which the window is reported.
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
