// Package detour decides by which way a daemon reaches the platform's store:
// directly, or through a neighbour while the direct way fails. It answers the
// trouble in which single VMs are cut off from the store, or turned away by it,
// while others are served: beliefs of the cut ones grow old, and what they metered
// does not arrive in time.
//
// The functions take the present time and the random source as arguments and
// perform no I/O. A Chooser is not safe for concurrent use.
package detour

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Direct is the way without a neighbour.
const Direct = ""

// Neighbour is another daemon that passes calls on.
type Neighbour struct {
	// Address is the IP number and port at which it does.
	Address string
	// FailureDomain is its failure domain.
	FailureDomain string
}

// ProbeInterval is how often the direct way is tried while it fails. Other calls
// do not try it, because one that the store holds would tell only at its end.
const ProbeInterval = 1500 * time.Millisecond

// rest is how long a neighbour is left alone that could not help.
const rest = 2 * time.Second

// Selector chooses the way of each call.
type Selector struct {
	// FailureDomain is that of the daemon. Neighbours in it come first, because
	// bytes to others are slow and dear.
	FailureDomain string

	neighbours []Neighbour
	// failing says that the direct way failed last.
	failing bool
	// rests are until when neighbours are left alone, by address.
	rests map[string]time.Time
}

// SetNeighbours replaces the neighbours.
func (c *Selector) SetNeighbours(neighbours []Neighbour) {
	c.neighbours = neighbours
	rests := make(map[string]time.Time, len(neighbours))
	for _, n := range neighbours {
		if until, ok := c.rests[n.Address]; ok {
			rests[n.Address] = until
		}
	}
	c.rests = rests
}

// DirectFailing reports whether the direct way fails.
func (c *Selector) DirectFailing() bool { return c.failing }

// Choose returns the address of the neighbour through which a call goes, or
// Direct.
func (c *Selector) Choose(now time.Time, random *rand.Rand) string {
	if !c.failing {
		return Direct
	}
	return c.PickNeighbour(now, random)
}

// PickNeighbour returns the address of a neighbour that may help, or Direct if there
// is none.
func (c *Selector) PickNeighbour(now time.Time, random *rand.Rand) string {
	var near, far []string
	for _, n := range c.neighbours {
		switch {
		case now.Before(c.rests[n.Address]):
		case n.FailureDomain == c.FailureDomain:
			near = append(near, n.Address)
		default:
			far = append(far, n.Address)
		}
	}
	switch {
	case len(near) > 0:
		return near[random.IntN(len(near))]
	case len(far) > 0:
		return far[random.IntN(len(far))]
	}
	return Direct
}

// ShuffledNeighbours returns the addresses of all neighbours in random order, those of the failure
// domain first, also if they could not help: a daemon that does not reach the store
// can still take something over.
func (c *Selector) ShuffledNeighbours(random *rand.Rand) []string {
	shuffled := slices.Clone(c.neighbours)
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	var near, far []string
	for _, n := range shuffled {
		if n.FailureDomain == c.FailureDomain {
			near = append(near, n.Address)
		} else {
			far = append(far, n.Address)
		}
	}
	return append(near, far...)
}

// Succeeded notes that a call by a way was answered. It reports whether the direct
// way has come back.
func (c *Selector) Succeeded(way string) bool {
	if way != Direct {
		delete(c.rests, way)
		return false
	}
	back := c.failing
	c.failing = false
	return back
}

// Failed notes that a call by a way was not answered, or was turned away. It
// reports whether the direct way has been lost by it.
func (c *Selector) Failed(way string, now time.Time) bool {
	if way == Direct {
		lost := !c.failing
		c.failing = true
		return lost
	}
	if slices.ContainsFunc(c.neighbours, func(n Neighbour) bool { return n.Address == way }) {
		if c.rests == nil {
			c.rests = make(map[string]time.Time)
		}
		c.rests[way] = now.Add(rest)
	}
	return false
}
