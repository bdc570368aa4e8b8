package forwarding_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"acaciapath.example/core/detour"
	"acaciapath.example/core/forwarding"

	qt "github.com/frankban/quicktest"
)

// newSelector returns a selector of failure domain a that knows neighbours a1, a2, … and b1, b2, ….
func newSelector(ownDomain, otherDomain int) *forwarding.Selector {
	s := forwarding.NewSelector("a")
	var neighbours []detour.Neighbour
	for i := range ownDomain {
		neighbours = append(neighbours, detour.Neighbour{Address: "a" + strconv.Itoa(i+1), FailureDomain: "a"})
	}
	for i := range otherDomain {
		neighbours = append(neighbours, detour.Neighbour{Address: "b" + strconv.Itoa(i+1), FailureDomain: "b"})
	}
	s.SetNeighbours(neighbours)
	return s
}

// begin begins n requests and returns how many each neighbour got.
func begin(s *forwarding.Selector, n int, now time.Time) map[string]int {
	random, counts := rand.New(rand.NewPCG(1, 2)), map[string]int{}
	for range n {
		if address, ok := s.Begin(nil, now, random); ok {
			counts[address]++
		}
	}
	return counts
}

// TestSelectorSpreadsRequests has requests go to the own failure domain first, evenly, and to others
// once that carries much.
func TestSelectorSpreadsRequests(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	c.Check(begin(newSelector(3, 3), 9, now), qt.DeepEquals, map[string]int{"a1": 3, "a2": 3, "a3": 3})
	spilled := begin(newSelector(1, 1), 40, now)
	c.Check(spilled["a1"], qt.Equals, 36)
	c.Check(spilled["b1"], qt.Equals, 4)
	c.Check(begin(newSelector(0, 0), 2, now), qt.HasLen, 0)

	s := newSelector(2, 0)
	begin(s, 4, now)
	s.End("a1")
	s.End("a1")
	c.Check(s.InProgress(), qt.Equals, 2)
	c.Check(begin(s, 2, now), qt.DeepEquals, map[string]int{"a1": 2})
}

// TestSelectorAsksAnother has a request whose first neighbour failed go to another failure domain.
func TestSelectorAsksAnother(t *testing.T) {
	c := qt.New(t)
	s, random := newSelector(2, 1), rand.New(rand.NewPCG(1, 2))
	second, _ := s.Begin([]string{"a1"}, time.Unix(0, 0), random)
	c.Check(second, qt.Equals, "b1")
	third, _ := s.Begin([]string{"a1", "b1"}, time.Unix(0, 0), random)
	c.Check(third, qt.Equals, "a2")
	_, ok := s.Begin([]string{"a1", "a2", "b1"}, time.Unix(0, 0), random)
	c.Check(ok, qt.IsFalse)
}

// TestSelectorCooldowns has neighbours that failed be left out for a while.
func TestSelectorCooldowns(t *testing.T) {
	for name, test := range map[string]struct {
		failures []forwarding.Failure
		// next is who is asked just after, at a1 of failure domain a with a2 and b1 beside it.
		next map[string]int
		// until is the time after which a1 is asked again.
		until time.Duration
	}{
		"busy":              {failures: []forwarding.Failure{forwarding.Busy}, next: map[string]int{"a2": 4}, until: 300 * time.Millisecond},
		"unreached":         {failures: []forwarding.Failure{forwarding.Unreached}, next: map[string]int{"a2": 4}, until: 2 * time.Second},
		"shutting down":     {failures: []forwarding.Failure{forwarding.ShuttingDown}, next: map[string]int{"a2": 4}, until: 30 * time.Second},
		"also cut off":      {failures: []forwarding.Failure{forwarding.AlsoCutOff}, next: map[string]int{"b1": 4}, until: time.Second},
		"server unreached":  {failures: []forwarding.Failure{forwarding.ServerUnreached}, next: map[string]int{"a1": 2, "a2": 2}},
		"servers unreached": {failures: []forwarding.Failure{forwarding.ServerUnreached, forwarding.ServerUnreached, forwarding.ServerUnreached}, next: map[string]int{"a2": 4}, until: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(0, 0)
			s := newSelector(2, 1)
			for _, failure := range test.failures {
				s.Failed("a1", failure, now)
			}
			c.Check(begin(s, 4, now), qt.DeepEquals, test.next)
			fresh := newSelector(1, 0)
			for _, failure := range test.failures {
				fresh.Failed("a1", failure, now)
			}
			c.Check(begin(fresh, 1, now.Add(test.until)), qt.DeepEquals, map[string]int{"a1": 1})
			if test.until > 0 {
				c.Check(begin(fresh, 1, now.Add(test.until-time.Millisecond)), qt.HasLen, 0)
			}
		})
	}
}

// TestSelectorKeepsStates has neighbours that stay in the list keep their cooldowns and requests.
func TestSelectorKeepsStates(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	s := newSelector(2, 0)
	begin(s, 2, now)
	s.Failed("a1", forwarding.Unreached, now)
	s.SetNeighbours([]detour.Neighbour{{Address: "a1", FailureDomain: "a"}, {Address: "a3", FailureDomain: "a"}})
	c.Check(begin(s, 2, now), qt.DeepEquals, map[string]int{"a3": 2})
	c.Check(s.InProgress(), qt.Equals, 4)
	s.End("a2")
	c.Check(s.InProgress(), qt.Equals, 3)
}
