package daemon

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"acaciapath.example/acaciad/directory"
	"acaciapath.example/core/config"
	"acaciapath.example/core/placement"
	"acaciapath.example/core/replica"
	adapter "acaciapath.example/platform"
	"acaciapath.example/platform/standin"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// fleet is a daemon's beliefs of cheap engines, which are stand-ins.
type fleet struct {
	*qt.C
	engines   []*standin.Server
	directory *directory.Directory
	beliefs   *beliefs
	sentry    *sentry
}

func newFleet(t *testing.T, engines int) *fleet {
	f := &fleet{C: qt.New(t)}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	f.directory = directory.New("z", time.Second, rand.New(rand.NewPCG(1, 2)))
	f.beliefs = newBeliefs(f.directory, logger)
	for i := range engines {
		name := fmt.Sprint("i-", i)
		s := standin.NewServer(name, 1)
		f.Cleanup(s.Close)
		f.engines = append(f.engines, s)
		f.beliefs.servers[name] = replica.Spec{
			Name: name, Address: s.Address(), FailureDomain: "z", Serves: []string{"llm"}, Kind: config.KindCheap, Slots: 8,
		}
	}
	f.beliefs.publish(time.Now())
	f.sentry = &sentry{
		engines: &adapter.EngineClient{Transport: http.DefaultTransport}, logger: logger, random: rand.New(rand.NewPCG(1, 2)),
		groups: func() [][]replica.Spec { return f.beliefs.cheapGroups(time.Now()) },
		leave:  f.beliefs.leave,
	}
	return f
}

// staying returns the number of engines that are given work.
func (f *fleet) staying() int {
	names := make(map[string]bool)
	for range 200 {
		if place := f.directory.Reserve("llm", placement.Requirements{FailureDomain: "z", Generates: true}, time.Now()); place != nil {
			names[place.Spec.Name] = true
		}
	}
	return len(names)
}

// askOnce asks each group once.
func (f *fleet) askOnce() {
	for _, group := range f.sentry.groups() {
		f.sentry.ask(f.Context(), group)
	}
}

// TestEvictionIsHeardFromEngines replays a daemon that is cut off from the store
// while the platform takes away the cheap engines of a failure domain: it asks
// them, and sends nothing to any of them any more.
func TestEvictionIsHeardFromEngines(t *testing.T) {
	f := newFleet(t, 6)
	f.Assert(f.staying(), qt.Equals, 6)
	f.askOnce()
	f.Assert(f.staying(), qt.Equals, 6)
	for _, s := range f.engines {
		s.SetLeaving(2 * time.Second)
	}
	f.askOnce()
	f.Assert(f.staying(), qt.Equals, 0)
	f.beliefs.publish(time.Now().Add(10 * time.Second))
	f.Assert(f.staying(), qt.Equals, 6)
}

// TestOneLeavingEngineIsNoEviction: an engine that is given back alone takes no
// others with it.
func TestOneLeavingEngineIsNoEviction(t *testing.T) {
	f := newFleet(t, 6)
	f.engines[2].SetLeaving(2 * time.Second)
	for range 50 {
		f.sentry.ask(f.Context(), f.beliefs.cheapGroups(time.Now())[0])
	}
	f.Assert(f.staying() >= 5, qt.IsTrue)
}

// TestSentryAsksInDoubtOnly: while the store can be relied on, no engine is asked.
func TestSentryAsksInDoubtOnly(t *testing.T) {
	f := newFleet(t, 2)
	asked := make(chan struct{}, 100)
	f.sentry.groups = func() [][]replica.Spec { asked <- struct{}{}; return nil }
	ctx, cancel := context.WithCancel(f.Context())
	f.Cleanup(cancel)
	go f.sentry.run(ctx)
	select {
	case <-asked:
		f.Fatal("engines were asked")
	case <-time.After(3 * sentryInterval):
	}
	f.sentry.doubt(time.Now())
	<-asked
}
