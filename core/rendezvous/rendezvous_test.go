package rendezvous_test

import (
	"fmt"
	"testing"

	"acaciapath.example/core/rendezvous"

	qt "github.com/frankban/quicktest"
)

// TestHashIsFixed checks that the hash does not change between builds: daemons of two
// builds must choose the same candidates.
func TestHashIsFixed(t *testing.T) {
	c := qt.New(t)
	c.Assert(rendezvous.Hash(""), qt.Equals, uint64(17280346270528514342))
	c.Assert(rendezvous.Hash("vm-1"), qt.Equals, uint64(1381476774711738043))
}

// TestHashSpreads checks that each of a few candidates with similar names wins about its
// share of many keys.
func TestHashSpreads(t *testing.T) {
	c := qt.New(t)
	const candidates, keys = 4, 4000
	wins := make([]int, candidates)
	for key := range keys {
		best, highest := 0, uint64(0)
		for i := range candidates {
			if h := rendezvous.Hash(fmt.Sprintf("vm-%d %d", i, key)); h > highest {
				best, highest = i, h
			}
		}
		wins[best]++
	}
	for _, n := range wins {
		c.Check(n > keys/candidates*8/10 && n < keys/candidates*12/10, qt.IsTrue, qt.Commentf("%v", wins))
	}
}
