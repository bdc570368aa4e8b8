package usage_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"acaciapath.example/core/usage"

	qt "github.com/frankban/quicktest"
)

// TestPruneKeepsRecentWindows checks that Prune deletes the rows of settled windows
// only after settledRetention, which is more than a day, and only under the lease.
func TestPruneKeepsRecentWindows(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	service, platform := newFakeTable(), &fakePlatform{}
	r := usage.NewReporter(service, platform, &fakeHolder{grant: acquireLease(service, "one")})
	w := usage.NewWriter(service, "vm-1", "a")
	for i := range 3 {
		at := start.Add(time.Duration(i) * length)
		w.Add(usage.Part{Window: at, Lines: partOf(1).Lines})
		c.Assert(w.Flush(ctx, at, length), qt.IsNil)
		_, err := r.Settle(ctx, at.Add(time.Hour), billing)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(platform.reports, qt.HasLen, 3)
	n, err := r.Prune(ctx, start.Add(25*time.Hour))
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, 0)
	n, err = r.Prune(ctx, start.Add(26*time.Hour).Add(length+time.Second))
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, 2)
	c.Assert(service.rows[usage.ClosedKey(start)] == nil, qt.IsTrue)
	c.Assert(service.rows[usage.WindowKey(start)] == nil, qt.IsTrue)
	c.Assert(service.rows[usage.WindowKey(start.Add(2*length))] != nil, qt.IsTrue)
	acquireLease(service, "two")
	_, err = r.Prune(ctx, start.Add(48*time.Hour))
	c.Assert(err, qt.ErrorIs, usage.ErrSuperseded)
}

// TestOldPartsGoIntoOpenWindow checks that usage metered by a VM that was then frozen
// for hours goes into the open window, because the rows of its own window may have been
// deleted.
func TestOldPartsGoIntoOpenWindow(t *testing.T) {
	c := qt.New(t)
	service := newFakeTable()
	w := usage.NewWriter(service, "vm-1", "a")
	w.Add(usage.Part{Window: start, Lines: partOf(7).Lines})
	now := start.Add(3 * time.Hour)
	c.Assert(w.Flush(context.Background(), now, length), qt.IsNil)
	want := usage.PartKey(usage.WindowStart(now, length), usage.PartName{})
	for key := range service.rows {
		c.Assert(strings.HasPrefix(key, strings.TrimRight(want, "/")), qt.IsTrue, qt.Commentf(key))
	}
	c.Assert(service.rows, qt.HasLen, 1)
}
