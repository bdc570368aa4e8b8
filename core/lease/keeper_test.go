package lease_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/lease"

	qt "github.com/frankban/quicktest"
)

const (
	shortLease = 400 * time.Millisecond
	deadline   = 20 * time.Second
)

// runKeeper runs a keeper until stop is called, or the test ends.
func runKeeper(c *qt.C, service table.Service, holder string) (k *lease.Keeper, stop func()) {
	return runKeeperReporting(c, service, holder, func(error) {})
}

// runKeeperReporting is like runKeeper, but calls report for each failure.
func runKeeperReporting(c *qt.C, service table.Service, holder string, report func(error)) (k *lease.Keeper, stop func()) {
	origin := time.Now()
	clock := func() lease.Instant {
		return lease.Instant{Monotonic: time.Since(origin), Wall: time.Now().Round(0)}
	}
	terms := lease.Terms{Name: name, Holder: holder, Duration: shortLease}
	k = lease.NewKeeper(service, terms, shortLease/8, clock)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.Run(ctx, report)
	}()
	stop = func() { cancel(); <-done }
	c.Cleanup(stop)
	return k, stop
}

// eventually polls until the condition holds.
func eventually(c *qt.C, what string, condition func() bool) {
	c.Helper()
	for end := time.Now().Add(deadline); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.Fatalf("timeout while waiting for: %s", what)
}

// waitForGrant waits until the keeper may send and returns its grant.
func waitForGrant(c *qt.C, k *lease.Keeper) *lease.Grant {
	c.Helper()
	var grant *lease.Grant
	eventually(c, "the lease is held", func() bool {
		grant = k.Held()
		return grant != nil
	})
	return grant
}

func TestKeeperAcquiresDespiteTableFaults(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault fault
	}{
		{name: "table unavailable", fault: faultUnavailable},
		{name: "lost replies", fault: faultLostReply},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			service := newFakeTable()
			service.setFault(test.fault)
			k, _ := runKeeper(c, service, "vm-1/a")
			if test.fault == faultUnavailable {
				time.Sleep(shortLease / 4)
				c.Assert(k.Held(), qt.IsNil)
				service.setFault(faultNone)
			}
			c.Assert(waitForGrant(c, k).Fence, qt.Equals, uint64(1))
		})
	}
}

func TestKeeperDoEndsWithGrant(t *testing.T) {
	c := qt.New(t)
	service := newFakeTable()
	k, _ := runKeeper(c, service, "vm-1/a")
	waitForGrant(c, k)
	service.setFault(faultUnavailable)
	err := k.Do(context.Background(), func(ctx context.Context, _ *lease.Grant) error {
		<-ctx.Done()
		return ctx.Err()
	})
	c.Assert(errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
	eventually(c, "the lease is not held", func() bool { return k.Held() == nil })
	err = k.Do(context.Background(), func(context.Context, *lease.Grant) error { panic("must not send") })
	c.Assert(errors.Is(err, lease.ErrNotHeld), qt.IsTrue)
	service.setFault(faultNone)
	c.Assert(waitForGrant(c, k).Fence, qt.Equals, uint64(1))
}

// TestExclusiveFenceEndsBeforeSuccession stops a holder while another process waits for the lease.
// Its fence stays exclusive after its grant has ended, and no longer once the other one has it.
func TestExclusiveFenceEndsBeforeSuccession(t *testing.T) {
	c := qt.New(t)
	service := newFakeTable()
	first, stop := runKeeper(c, service, "vm-1/a")
	waitForGrant(c, first)
	second, _ := runKeeper(c, service, "vm-2/b")
	c.Assert(second.ExclusiveFence(), qt.Equals, uint64(0))
	stop()
	eventually(c, "the grant has ended", func() bool { return first.Held() == nil })
	c.Assert(first.ExclusiveFence(), qt.Equals, uint64(1))
	eventually(c, "another process holds the lease", func() bool {
		held := second.Held() != nil
		exclusive := first.ExclusiveFence() != 0
		c.Assert(held && exclusive, qt.IsFalse)
		return held
	})
	c.Assert(second.ExclusiveFence(), qt.Equals, uint64(2))
	c.Assert(first.ExclusiveFence(), qt.Equals, uint64(0))
}

func TestKeeperReleaseLetsCandidateAcquire(t *testing.T) {
	c := qt.New(t)
	service := newFakeTable()
	first, stop := runKeeper(c, service, "vm-1/a")
	condition := waitForGrant(c, first).Condition()
	second, _ := runKeeper(c, service, "vm-2/b")
	stop()
	c.Assert(second.Held(), qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	c.Assert(first.Release(ctx), qt.IsNil)
	c.Assert(first.Held(), qt.IsNil)
	c.Assert(waitForGrant(c, second).Fence, qt.Equals, uint64(2))
	_, err := service.Commit(ctx, &table.CommitPayload{Conditions: []*table.Condition{condition}})
	c.Assert(err, qt.ErrorAs, new(*table.Conflict))
}

// conflictingTable rejects the first write with a conflict.
type conflictingTable struct {
	*fakeTable
	conflicts atomic.Int32
}

func (t *conflictingTable) Commit(ctx context.Context, p *table.CommitPayload) ([]*table.Row, error) {
	if t.conflicts.Add(1) == 1 {
		return nil, &table.Conflict{}
	}
	return t.fakeTable.Commit(ctx, p)
}

func TestKeeperDoesNotReportConflicts(t *testing.T) {
	c := qt.New(t)
	service := &conflictingTable{fakeTable: newFakeTable()}
	reported := make(chan error, 1)
	k, stop := runKeeperReporting(c, service, "vm-1/a", func(err error) { reported <- err })
	waitForGrant(c, k)
	stop()
	c.Assert(service.conflicts.Load() > 1, qt.IsTrue)
	c.Assert(reported, qt.HasLen, 0)
}

func TestPollIntervalBoundsReads(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for _, candidates := range []int{1, 3, 37, 370} {
		var reads float64
		for range candidates {
			reads += float64(time.Second) / float64(lease.PollInterval(duration, candidates, random))
		}
		c.Assert(reads <= 11, qt.IsTrue, qt.Commentf("%d candidates read %.1f times a second", candidates, reads))
	}
	interval := lease.PollInterval(duration, 3, random)
	c.Assert(interval >= 3*time.Second && interval <= 5*time.Second, qt.IsTrue)
}
