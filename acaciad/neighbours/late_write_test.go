package neighbours_test

import (
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"acaciapath.example/acaciad/neighbours"
	"acaciapath.example/core/detour"
	"acaciapath.example/core/follow"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/platform"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// start runs a registry of vm-1 with an address, and returns it with a function that ends it.
func (p *pair) start(address string) (r *neighbours.Registry, stop func()) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	r = &neighbours.Registry{
		VM: "vm-1", FailureDomain: "z", Address: address, Table: &platform.Table{Store: p.client},
		OnUpdate: func([]detour.Neighbour) {}, OnMembers: func([]follow.Member) {}, Logger: logger, Random: rand.New(rand.NewPCG(1, 2)),
	}
	ctx, cancel := context.WithCancel(p.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	p.Cleanup(cancel)
	return r, func() { cancel(); <-done }
}

// hasRow reports whether the store has a row of vm-1 with an address.
func (p *pair) hasRow(address string) bool {
	for _, row := range p.store.Rows("acaciapath", "control") {
		if strings.HasSuffix(row.Key, "/vm-1") {
			return strings.Contains(string(row.Data), address)
		}
	}
	return false
}

// waitForRow waits for the row of vm-1 with an address.
func (p *pair) waitForRow(address string, limit time.Duration) {
	p.Helper()
	for end := time.Now().Add(limit); !p.hasRow(address); time.Sleep(10 * time.Millisecond) {
		p.Assert(time.Now().Before(end), qt.IsTrue)
	}
}

// TestLateWritesOfEarlierProcess has writes of a daemon performed after the daemon that replaced it
// has written its row. They deleted that row, or took it back, for up to 4 minutes.
func TestLateWritesOfEarlierProcess(t *testing.T) {
	p := newPair(t)
	p.transport.SetNeighbours(nil)
	first, stop := p.start("10.0.0.1:1")
	p.waitForRow("10.0.0.1:1", 10*time.Second)
	stop()
	p.store.DelayWrites().Store(true)
	first.Remove(p.Context())
	p.Assert(p.store.Late(), qt.Equals, 1)
	_, stop = p.start("10.0.0.1:2")
	for end := time.Now().Add(10 * time.Second); p.store.Late() < 2; time.Sleep(10 * time.Millisecond) {
		p.Assert(time.Now().Before(end), qt.IsTrue)
	}
	stop()
	p.store.SetFault(nil)
	p.start("10.0.0.1:3")
	p.waitForRow("10.0.0.1:3", 10*time.Second)
	for _, late := range []int{1, 0} {
		p.store.ApplyLateAt(late)
		p.Assert(p.hasRow("10.0.0.1:3"), qt.IsTrue)
	}
}

// TestLateWritesOfEarlierBuild has the row of a daemon replaced and deleted without a condition, as
// by the late writes of an earlier build that it replaced.
func TestLateWritesOfEarlierBuild(t *testing.T) {
	for name, write := range map[string]*table.Write{
		"write":    {Key: "neighbour/z/vm-1", Value: []byte(`{"address":"10.0.0.1:9","failure-domain":"z","written":"2026-01-01T00:00:00Z"}`)},
		"deletion": {Key: "neighbour/z/vm-1", Delete: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			p.start("10.0.0.1:1")
			p.waitForRow("10.0.0.1:1", 10*time.Second)
			_, err := (&platform.Table{Store: p.client}).Commit(p.Context(), &table.CommitPayload{Writes: []*table.Write{write}})
			p.Assert(err, qt.IsNil)
			p.Assert(p.hasRow("10.0.0.1:1"), qt.IsFalse)
			p.waitForRow("10.0.0.1:1", 12*time.Second)
		})
	}
}
