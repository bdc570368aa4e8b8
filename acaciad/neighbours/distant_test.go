package neighbours_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"acaciapath.example/acaciad/neighbours"
	"acaciapath.example/core/detour"
	"acaciapath.example/core/follow"
	"acaciapath.example/platform"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// TestDaemonsKnowSomeOfOtherFailureDomains has the daemons of two failure domains start together.
// Each must know eight of the other one, and none may be known by nearly all.
func TestDaemonsKnowSomeOfOtherFailureDomains(t *testing.T) {
	const daemons, known = 20, 8
	p := newPair(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	var mu sync.Mutex
	distant := make(map[string][]detour.Neighbour)
	ctx, cancel := context.WithCancel(p.Context())
	p.Cleanup(cancel)
	for _, domain := range []string{"brest-a", "rennes-a"} {
		for i := range daemons {
			vm := fmt.Sprintf("edge-%s-%d", domain, i+1)
			r := &neighbours.Registry{
				VM: vm, FailureDomain: domain, Address: vm + ":1", ColdStart: true, Table: &platform.Table{Store: p.client},
				OnUpdate: func([]detour.Neighbour) {}, OnMembers: func([]follow.Member) {},
				OnDistant: func(n []detour.Neighbour) {
					mu.Lock()
					defer mu.Unlock()
					distant[vm] = n
				},
				Logger: logger, Random: rand.New(rand.NewPCG(1, uint64(i))),
			}
			go r.Run(ctx)
		}
	}
	counts := func() (complete int, knownBy map[string]int) {
		mu.Lock()
		defer mu.Unlock()
		knownBy = make(map[string]int)
		for _, list := range distant {
			if len(list) == known {
				complete++
			}
			for _, n := range list {
				knownBy[n.Address]++
			}
		}
		return complete, knownBy
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		complete, knownBy := counts()
		if complete == 2*daemons {
			p.Check(len(knownBy), qt.Equals, 2*daemons)
			for address, n := range knownBy {
				p.Check(n <= 2*known, qt.IsTrue, qt.Commentf("%s is known by %d of %d", address, n, daemons))
			}
			return
		}
		p.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%d of %d know %d others", complete, 2*daemons, known))
	}
}
