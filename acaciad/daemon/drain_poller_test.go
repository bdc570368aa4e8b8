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
	"acaciapath.example/platform"
	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// pollerFixture is a drain poller with a directory of cheap engines, which are
// stand-ins.
type pollerFixture struct {
	*qt.C
	engines   []*platformtest.Server
	directory *directory.Directory
	updater   *directoryUpdater
	poller    *drainPoller
}

func newPollerFixture(t *testing.T, engines int) *pollerFixture {
	f := &pollerFixture{C: qt.New(t)}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	f.directory = directory.New("z", time.Second, rand.New(rand.NewPCG(1, 2)))
	f.updater = newDirectoryUpdater(f.directory, logger)
	for i := range engines {
		name := fmt.Sprint("i-", i)
		s := platformtest.NewServer(name, 1)
		f.Cleanup(s.Close)
		f.engines = append(f.engines, s)
		f.updater.servers[name] = replica.Spec{
			Name: name, Address: s.Address(), FailureDomain: "z", Serves: []string{"llm"}, Kind: config.KindCheap, Slots: 8,
		}
	}
	f.updater.publish(time.Now())
	f.poller = &drainPoller{
		engines: &platform.EngineClient{Transport: http.DefaultTransport}, logger: logger, random: rand.New(rand.NewPCG(1, 2)),
		groups:       func() [][]replica.Spec { return f.updater.stayingCheapEngines(time.Now()) },
		markDraining: f.updater.markDraining,
	}
	return f
}

// usedEngines returns the number of engines that requests are sent to.
func (f *pollerFixture) usedEngines() int {
	names := make(map[string]bool)
	for range 200 {
		if reservation := f.directory.Reserve("llm", placement.Requirements{FailureDomain: "z", Generates: true}, time.Now()); reservation != nil {
			names[reservation.Spec.Name] = true
		}
	}
	return len(names)
}

// pollOnce polls each group once.
func (f *pollerFixture) pollOnce() {
	for _, group := range f.poller.groups() {
		f.poller.pollGroup(f.Context(), group)
	}
}

// TestEvictionIsDetectedByPolling has a daemon that is cut off from the store while the
// platform evicts the cheap engines of a failure domain. It must find out by polling
// them, and send no requests to any of them until their reports have expired.
func TestEvictionIsDetectedByPolling(t *testing.T) {
	f := newPollerFixture(t, 6)
	f.Assert(f.usedEngines(), qt.Equals, 6)
	f.pollOnce()
	f.Assert(f.usedEngines(), qt.Equals, 6)
	for _, s := range f.engines {
		s.SetDraining(2 * time.Second)
	}
	f.pollOnce()
	f.Assert(f.usedEngines(), qt.Equals, 0)
	f.updater.publish(time.Now().Add(10 * time.Second))
	f.Assert(f.usedEngines(), qt.Equals, 6)
}

// TestSingleDrainingEngineIsNoEviction checks that the other engines stay in use if a
// single engine drains.
func TestSingleDrainingEngineIsNoEviction(t *testing.T) {
	f := newPollerFixture(t, 6)
	f.engines[2].SetDraining(2 * time.Second)
	for range 50 {
		f.poller.pollGroup(f.Context(), f.updater.stayingCheapEngines(time.Now())[0])
	}
	f.Assert(f.usedEngines() >= 5, qt.IsTrue)
}

// TestEnginesArePolledOnlyAfterStoreFailure checks that no engine is polled while the
// store is reliable.
func TestEnginesArePolledOnlyAfterStoreFailure(t *testing.T) {
	f := newPollerFixture(t, 2)
	polled := make(chan struct{}, 100)
	f.poller.groups = func() [][]replica.Spec { polled <- struct{}{}; return nil }
	ctx, cancel := context.WithCancel(f.Context())
	f.Cleanup(cancel)
	go f.poller.run(ctx)
	select {
	case <-polled:
		f.Fatal("engines were polled although the store did not fail")
	case <-time.After(3 * drainPollInterval):
	}
	f.poller.suspectStore(time.Now())
	<-polled
}
