package order_test

import (
	"math"
	"testing"
	"time"

	"acaciapath.example/core/catalog"
	"acaciapath.example/core/order"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var scaling = &catalog.Scaling{Min: 1, Max: 12, StartupTime: 4 * time.Second, CheapPriceRatio: 0.22}

// TestDesiredCounts checks the counts of a failure domain with a baseline of six
// standard replicas, from its start to the loss of all its cheap replicas.
func TestDesiredCounts(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name            string
		inputs          order.ScalingInputs
		standard, cheap int
	}{
		{"at the start", order.ScalingInputs{Baseline: 6, Present: order.ReplicaCounts{Standard: 6}}, 6, 6},
		{"some cheap replicas present", order.ScalingInputs{Baseline: 6, Present: order.ReplicaCounts{Standard: 6, Cheap: 3}}, 3, 6},
		{"all cheap replicas present", order.ScalingInputs{Baseline: 6, Present: order.ReplicaCounts{Standard: 6, Cheap: 6}}, 1, 6},
		{"standard replicas released", order.ScalingInputs{Baseline: 6, Present: order.ReplicaCounts{Standard: 1, Cheap: 6}}, 1, 11},
		{"steady state", order.ScalingInputs{Baseline: 6, Present: order.ReplicaCounts{Standard: 1, Cheap: 11}}, 1, 11},
		{"cheap replicas evicted", order.ScalingInputs{Baseline: 6, Present: order.ReplicaCounts{Standard: 1}}, 6, 11},
		{"no cheap capacity", order.ScalingInputs{Baseline: 6, CheapUnavailable: true, Present: order.ReplicaCounts{Standard: 1}}, 9, 11},
		{"surplus", order.ScalingInputs{Baseline: 6, Surplus: 1, Present: order.ReplicaCounts{Standard: 6}}, 12, 6},
		{"surplus beyond the maximum", order.ScalingInputs{Baseline: 6, Surplus: 9, Present: order.ReplicaCounts{Standard: 6, Cheap: 2}}, 10, 6},
	} {
		c.Run(test.name, func(c *qt.C) {
			standard, cheap := order.DesiredCounts(scaling, test.inputs)
			c.Assert(standard, qt.Equals, test.standard)
			c.Assert(cheap, qt.Equals, test.cheap)
		})
	}
	standard, cheap := order.DesiredCounts(&catalog.Scaling{Min: 1, Max: 12}, order.ScalingInputs{Baseline: 6})
	c.Assert([]int{standard, cheap}, qt.DeepEquals, []int{6, 0})
}

// TestDesiredCountsStayWithinBounds checks that the desired counts never exceed
// Max together with the current replicas and never fall below Min.
func TestDesiredCountsStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &catalog.Scaling{Min: rapid.IntRange(0, 3).Draw(t, "min"), CheapPriceRatio: 0.22}
		s.Max = s.Min + rapid.IntRange(0, 12).Draw(t, "max - min")
		present := order.ReplicaCounts{Standard: rapid.IntRange(0, s.Max).Draw(t, "standard")}
		present.Cheap = rapid.IntRange(0, s.Max-present.Standard).Draw(t, "cheap")
		inputs := order.ScalingInputs{
			Baseline:         rapid.IntRange(0, 15).Draw(t, "baseline"),
			Surplus:          rapid.Float64Range(0, 4).Draw(t, "surplus"),
			CheapUnavailable: rapid.Bool().Draw(t, "cheap unavailable"),
			Present:          present,
		}
		standard, cheap := order.DesiredCounts(s, inputs)
		if standard < s.Min || standard > s.Max || cheap < 0 || standard+present.Cheap > max(s.Max, s.Min+present.Cheap) {
			t.Fatalf("%+v: standard %d, cheap %d are outside of the bounds %d to %d", inputs, standard, cheap, s.Min, s.Max)
		}
		if present.Standard+cheap > s.Max && cheap > 0 {
			t.Fatalf("%+v: %d cheap replicas and the present standard ones exceed the maximum", inputs, cheap)
		}
	})
}

func TestIsDue(t *testing.T) {
	c := qt.New(t)
	now := start
	sent := order.LastOrder{Count: 6, SentAt: now}
	noCapacity := order.LastOrder{Count: 6, SentAt: now, NoCapacity: true}
	boot := 4 * time.Second
	c.Assert(order.IsDue(6, 0, order.LastOrder{}, boot, now), qt.IsTrue)
	c.Assert(order.IsDue(6, 0, sent, boot, now.Add(time.Second)), qt.IsFalse)
	c.Assert(order.IsDue(6, 6, sent, boot, now.Add(time.Hour)), qt.IsFalse)
	c.Assert(order.IsDue(6, 5, sent, boot, now.Add(6*time.Second)), qt.IsTrue)
	c.Assert(order.IsDue(7, 6, sent, boot, now), qt.IsTrue)
	c.Assert(order.IsDue(7, 6, noCapacity, boot, now.Add(time.Second)), qt.IsFalse)
	c.Assert(order.IsDue(7, 6, noCapacity, boot, now.Add(2*time.Second)), qt.IsTrue)
}

// TestPressureRaisesSurplusInBurst sends a steady load, then a burst whose requests
// get no first event. Requests without a first event must count as pressure too.
func TestPressureRaisesSurplusInBurst(t *testing.T) {
	c := qt.New(t)
	p := order.NewPressure()
	now := start
	for range 20 {
		n := p.Begin(2*time.Second, now)
		p.End(n, now.Add(400*time.Millisecond))
		now = now.Add(100 * time.Millisecond)
	}
	mean, n := p.Mean(now)
	c.Assert(n, qt.Equals, 20)
	c.Assert(math.Abs(mean-0.2) < 1e-9, qt.IsTrue)
	var surplus order.Surplus
	surplus = surplus.Next(mean, n, scaling.StartupTime, now)
	c.Assert(surplus.Share, qt.Equals, 0.0)
	for range 40 {
		p.Begin(2*time.Second, now)
		now = now.Add(100 * time.Millisecond)
	}
	mean, n = p.Mean(now)
	c.Assert(mean >= 0.5, qt.IsTrue, qt.Commentf("%f of %d", mean, n))
	surplus = surplus.Next(mean, n, scaling.StartupTime, now)
	c.Assert(surplus.Share, qt.Equals, 0.5)
	surplus = surplus.Next(mean, n, scaling.StartupTime, now.Add(time.Second))
	c.Assert(surplus.Share, qt.Equals, 0.5)
	surplus = surplus.Next(mean, n, scaling.StartupTime, now.Add(scaling.StartupTime))
	c.Assert(surplus.Share, qt.Equals, 1.0)
	later := now.Add(scaling.StartupTime + 6*time.Second)
	c.Assert(surplus.Next(0.4, 10, scaling.StartupTime, later).Share, qt.Equals, 1.0)
	c.Assert(surplus.Next(0.2, 10, scaling.StartupTime, later).Share, qt.Equals, 0.0)
}

func TestPressureOfFewRequestsIsIgnored(t *testing.T) {
	c := qt.New(t)
	p := order.NewPressure()
	c.Assert(p.Begin(0, start), qt.Equals, uint64(0))
	p.End(0, start)
	for range 5 {
		p.Begin(time.Second, start)
	}
	mean, n := p.Mean(start.Add(time.Minute))
	c.Assert(mean, qt.Equals, 2.0)
	c.Assert(order.Surplus{}.Next(mean, n, time.Second, start).Share, qt.Equals, 0.0)
}

func TestBaselineStable(t *testing.T) {
	c := qt.New(t)
	c.Assert(order.BaselineStable(time.Time{}, start), qt.IsFalse)
	c.Assert(order.BaselineStable(start, start.Add(time.Second)), qt.IsFalse)
	c.Assert(order.BaselineStable(start, start.Add(3*time.Second)), qt.IsTrue)
}
