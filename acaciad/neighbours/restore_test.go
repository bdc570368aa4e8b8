package neighbours_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciapath.example/acaciad/neighbours"
	"acaciapath.example/core/detour"
	"acaciapath.example/core/follow"
	"acaciapath.example/platform"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// startRegistry runs the registry of a daemon on vm-1 until the end of the test.
func (p *pair) startRegistry() {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	r := &neighbours.Registry{
		VM: "vm-1", FailureDomain: "z", Address: "10.0.0.1:1", Table: &platform.Table{Store: p.client},
		OnUpdate: func([]detour.Neighbour) {}, OnMembers: func([]follow.Member) {}, Logger: logger, Random: rand.New(rand.NewPCG(1, 2)),
	}
	p.client.Epochs.OnRestore(func(uint64, uint64) { r.HandleRestore() })
	ctx, cancel := context.WithCancel(p.Context())
	p.Cleanup(cancel)
	go r.Run(ctx)
}

// TestRowIsWrittenAgainAfterRestore restores the store from a copy without the row of a
// daemon. The others must be able to find it again long before its next heartbeat.
func TestRowIsWrittenAgainAfterRestore(t *testing.T) {
	p := newPair(t)
	backup := p.store.Backup()
	p.startRegistry()
	written := func() bool {
		for _, row := range p.store.Rows("acaciapath", "control") {
			if strings.HasSuffix(row.Key, "/vm-1") {
				return true
			}
		}
		return false
	}
	wait := func() {
		p.Helper()
		for end := time.Now().Add(10 * time.Second); !written(); time.Sleep(10 * time.Millisecond) {
			p.Assert(time.Now().Before(end), qt.IsTrue)
		}
	}
	wait()
	p.store.Restore(backup)
	p.Assert(written(), qt.IsFalse)
	p.Assert(p.client.Ping(p.Context()), qt.IsNil)
	wait()
}

// TestStoredRowsAreWrittenAgain restores the store from a copy that has the row of a daemon.
// It must not be written again: there may be hundreds of daemons, and the store has much to
// do.
func TestStoredRowsAreWrittenAgain(t *testing.T) {
	p := newPair(t)
	p.startRegistry()
	writes := func() int { return p.store.Calls("/acaciapath/rows-tx") }
	for end := time.Now().Add(10 * time.Second); writes() == 0; time.Sleep(10 * time.Millisecond) {
		p.Assert(time.Now().Before(end), qt.IsTrue)
	}
	backup, before := p.store.Backup(), writes()
	p.store.Restore(backup)
	p.Assert(p.client.Ping(p.Context()), qt.IsNil)
	reads := p.store.Calls("/acaciapath/rows-get")
	for end := time.Now().Add(10 * time.Second); p.store.Calls("/acaciapath/rows-get") == reads && writes() == before; time.Sleep(10 * time.Millisecond) {
		p.Assert(time.Now().Before(end), qt.IsTrue)
	}
	time.Sleep(3500 * time.Millisecond) // more than the spread and the time between two checks
	p.Assert(writes(), qt.Equals, before)
}

// TestHandedOverWriteIsSentAgainAfterRestore has a queue commit a write of a daemon that has
// exited, which the store then loses.
func TestHandedOverWriteIsSentAgainAfterRestore(t *testing.T) {
	p := newPair(t)
	backup := p.store.Backup()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	queue := &neighbours.WriteQueue{
		Send: p.directClient.Post, TTL: time.Minute, ShuttingDown: func() bool { return false }, Logger: logger,
		Adopt: func(string, []byte) error { return nil },
	}
	p.directClient.Epochs.OnRestore(func(uint64, uint64) { queue.HandleRestore(time.Now()) })
	go queue.Run(p.Context())
	body := `{"precondition":[{"table":"acaciapath","part":"control","key":"part","rowVersion":0}],` +
		`"write":[{"table":"acaciapath","part":"control","key":"part","data":"eA=="}],"remove":[]}`
	p.Assert(queue.Add("/acaciapath/rows-tx", []byte(body), time.Now()), qt.IsNil)
	wait := func() {
		p.Helper()
		for end := time.Now().Add(10 * time.Second); len(p.store.Rows("acaciapath", "control")) == 0; time.Sleep(10 * time.Millisecond) {
			p.Assert(time.Now().Before(end), qt.IsTrue)
		}
	}
	wait()
	time.Sleep(100 * time.Millisecond)
	p.store.Restore(backup)
	p.Assert(p.store.Rows("acaciapath", "control"), qt.HasLen, 0)
	p.Assert(p.directClient.Ping(p.Context()), qt.IsNil)
	wait()
	status, err := p.directClient.Post(p.Context(), "/acaciapath/rows-tx", []byte(body))
	p.Assert(err, qt.IsNil)
	p.Assert(status, qt.Equals, http.StatusPreconditionFailed)
}
