package control_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"acaciapath.example/acaciad/control"
	"acaciapath.example/core/usage"
	"acaciapath.example/platform"
	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// window is the length of usage windows.
const window = 5 * time.Second

// newReported returns what one of several daemons knows of reported windows. It does not hold
// the lease.
func newReported(client *platform.Store, daemons int) *control.Reported {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	r := &control.Reported{
		Table: &platform.Table{Store: client}, Epoch: client.Epochs.Current, Window: window,
		Fence: func() uint64 { return 0 }, AnsweredSince: client.Epochs.AnsweredSince, Daemons: func() int { return daemons }, Logger: logger,
	}
	client.Epochs.OnRestore(func(_, _ uint64) { r.HandleRestore(time.Now()) })
	return r
}

// newHolder is like newReported, for the daemon that holds the lease.
func newHolder(c *qt.C, client *platform.Store, daemons int) *control.Reported {
	r := newReported(client, daemons)
	r.Fence = func() uint64 { return 1 }
	c.Assert(r.Learn(c.Context()), qt.IsNil)
	return r
}

// newClient returns a client of a store, which has noticed its epoch.
func newClient(c *qt.C, store *platformtest.Store) *platform.Store {
	client := platform.NewStore(store.Address(), time.Second, platform.NewStoreTransport())
	c.Assert(client.Ping(c.Context()), qt.IsNil)
	return client
}

// eventuallyKnown waits until a daemon knows what was reported.
func eventuallyKnown(c *qt.C, r *control.Reported) usage.Announcement {
	last, known := r.Last()
	for end := time.Now().Add(waitLimit); !known; time.Sleep(10 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
		last, known = r.Last()
	}
	return last
}

// announce has a daemon announce a window that ended just now, and returns the announcement.
func announce(c *qt.C, r *control.Reported, now time.Time) usage.Announcement {
	start := usage.WindowStart(now.Add(-window), window)
	a := usage.Announcement{First: start, Window: start, Totals: start.String()}
	c.Assert(r.Announce(c.Context(), a), qt.IsNil)
	return a
}

// TestDaemonThatMissedAnnouncementVouchesForNothing has a daemon that was cut off while a window
// was announced, and is in touch when the store is back from a copy of before. It vouched that
// the window was not reported, so that it was reported twice (ONE). If the reporter is in touch
// later, it tells; otherwise all windows that had ended count as reported.
func TestDaemonThatMissedAnnouncementVouchesForNothing(t *testing.T) {
	for _, returns := range []bool{false, true} {
		t.Run(fmt.Sprintf("reporter returns=%v", returns), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			store := platformtest.NewStore()
			c.Cleanup(store.Close)
			client, ownClient := newClient(c, store), newClient(c, store)
			reporter, cut := newHolder(c, client, 2), newReported(ownClient, 2)
			earlier := announce(c, reporter, time.Now().Add(-window))
			follow(reporter, store)
			follow(cut, store)
			backup := store.Backup()
			last := announce(c, reporter, time.Now())
			store.Restore(backup)
			c.Assert(ownClient.Ping(c.Context()), qt.IsNil)
			follow(cut, store)
			got, known := cut.Last()
			c.Assert(known, qt.IsFalse, qt.Commentf("vouches for %v, after %v was reported", got, last))
			if returns {
				c.Assert(client.Ping(c.Context()), qt.IsNil)
				for end := time.Now().Add(waitLimit); !known; time.Sleep(10 * time.Millisecond) {
					c.Assert(time.Now().Before(end), qt.IsTrue)
					follow(cut, store)
					got, known = cut.Last()
				}
				c.Assert(got, qt.DeepEquals, usage.Announcement{First: earlier.First, Window: last.Window, Totals: last.Totals})
				return
			}
			c.Assert(eventuallyKnown(c, cut).Covers(last.Window), qt.IsTrue)
		})
	}
}

// TestHolderSinceRestorationCoversEarlierWindows restores the store twice. A daemon that does not
// know what was announced before the first time acquires the lease in between. It vouched at the
// second time for what it had heard, without the windows that it had taken for reported (ONE).
func TestHolderSinceRestorationCoversEarlierWindows(t *testing.T) {
	c := qt.New(t)
	store := platformtest.NewStore()
	c.Cleanup(store.Close)
	client, ownClient := newClient(c, store), newClient(c, store)
	reporter, r := newHolder(c, client, 2), newReported(ownClient, 2)
	var held atomic.Uint64
	r.Fence = held.Load
	announce(c, reporter, time.Now().Add(-2*window))
	follow(r, store)
	backup := store.Backup()
	last := announce(c, reporter, time.Now())
	for fence := range uint64(2) {
		store.Restore(backup)
		c.Assert(ownClient.Ping(c.Context()), qt.IsNil)
		follow(r, store)
		c.Assert(eventuallyKnown(c, r).Covers(last.Window), qt.IsTrue, qt.Commentf("restoration %d", fence+1))
		held.Store(fence + 1)
		c.Assert(r.Learn(c.Context()), qt.IsNil)
	}
}

// TestNoneWasAnnounced restores the store twice before any window was reported, while no daemon
// holds the lease. One that was in touch vouches for that, another one that was cut off does not.
func TestNoneWasAnnounced(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("silent=%v", silent), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			store := platformtest.NewStore()
			c.Cleanup(store.Close)
			client := newClient(c, store)
			r := newReported(client, 2)
			r.AnsweredSince = func(time.Time) bool { return !silent }
			follow(r, store)
			store.Restore(store.Backup())
			c.Assert(client.Ping(c.Context()), qt.IsNil)
			_, known := r.Last()
			c.Assert(known, qt.IsFalse)
			c.Assert(eventuallyKnown(c, r).Window.IsZero(), qt.Equals, !silent)
		})
	}
}

// failWrites makes all writes of a store fail.
func failWrites(method, _ string) platformtest.Fault {
	if method == http.MethodPost {
		return platformtest.Unavailable
	}
	return platformtest.NoFault
}

// TestFailedRewriteIsTriedAgain has the store fail while the holder writes the row again after a
// restoration, and no news of the row follow. Others would take all windows that had ended for
// reported, so that their usage would be lost.
func TestFailedRewriteIsTriedAgain(t *testing.T) {
	c := qt.New(t)
	store := platformtest.NewStore()
	c.Cleanup(store.Close)
	client := newClient(c, store)
	backup := store.Backup()
	reporter := newHolder(c, client, 2)
	announce(c, reporter, time.Now())
	follow(reporter, store)
	store.Restore(backup)
	var failed atomic.Int64
	store.SetFault(func(method, path string) platformtest.Fault {
		fault := failWrites(method, path)
		if fault != platformtest.NoFault {
			failed.Add(1)
		}
		return fault
	})
	c.Assert(client.Ping(c.Context()), qt.IsNil)
	for end := time.Now().Add(waitLimit); failed.Load() == 0; time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
	c.Assert(store.Rows("acaciapath", "control"), qt.HasLen, 0)
	store.SetFault(nil)
	for end := time.Now().Add(waitLimit); len(store.Rows("acaciapath", "control")) == 0; time.Sleep(10 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
}

// TestNewerAnnouncementIsNotOverwritten has a daemon write the row again after a restoration,
// while the new reporter, of which it has not heard, announces a window.
func TestNewerAnnouncementIsNotOverwritten(t *testing.T) {
	c := qt.New(t)
	store := platformtest.NewStore()
	c.Cleanup(store.Close)
	client, ownClient := newClient(c, store), newClient(c, store)
	reporter, other := newHolder(c, client, 2), newReported(ownClient, 2)
	announce(c, reporter, time.Now().Add(-2*window))
	backup := store.Backup()
	announce(c, reporter, time.Now().Add(-window))
	follow(reporter, store)
	follow(other, store)
	store.Restore(backup)
	c.Assert(ownClient.Ping(c.Context()), qt.IsNil)
	follow(other, store) // it is to write the row again
	c.Assert(client.Ping(c.Context()), qt.IsNil)
	last := announce(c, reporter, time.Now())
	time.Sleep(time.Second) // more than the spread of the writes
	fresh := newReported(ownClient, 2)
	follow(fresh, store)
	got, known := fresh.Last()
	c.Assert(known, qt.IsTrue)
	c.Assert(got.Window, qt.DeepEquals, last.Window)
}

// follow has a daemon read the row of reported windows.
func follow(r *control.Reported, store *platformtest.Store) {
	rows := []platform.Row{}
	for _, row := range store.Rows("acaciapath", "control") {
		rows = append(rows, platform.Row{Key: row.Key, Data: row.Data, Version: row.Version})
	}
	r.Apply(rows, true, time.Now())
}

// TestAllKilledAtRestoreFromEraZero has a store whose eras begin with 0. It is restored from a copy of before the
// last announcement, and all daemons are killed. The era 1 counted as that of a store which was never restored,
// so that the window was reported twice (review/9, ONE).
func TestAllKilledAtRestoreFromEraZero(t *testing.T) {
	c := qt.New(t)
	store := platformtest.NewStore()
	c.Cleanup(store.Close)
	store.SetEra(0)
	reporter := newHolder(c, newClient(c, store), 2)
	announce(c, reporter, time.Now().Add(-window))
	backup := store.Backup()
	last := announce(c, reporter, time.Now())
	store.Restore(backup)
	started := newReported(newClient(c, store), 2)
	follow(started, store)
	got, known := started.Last()
	c.Assert(known, qt.IsFalse, qt.Commentf("vouches for %v, after %v was reported", got, last))
	c.Assert(eventuallyKnown(c, started).Covers(last.Window), qt.IsTrue)
}

// TestHundredsWriteReportedRowAgain restores the store, and hundreds of daemons see that the
// row of reported windows is lost. Few of them may write it: a part of the store takes 200
// transactions a second.
func TestHundredsWriteReportedRowAgain(t *testing.T) {
	const (
		daemons = 195
		// followDelay is how long news of the row take to reach all daemons.
		followDelay = time.Second
		// maxWrites is the number of writes until then that leaves room for other writes.
		maxWrites = 100
	)
	c := qt.New(t)
	store := platformtest.NewStore()
	c.Cleanup(store.Close)
	client := newClient(c, store)
	backup := store.Backup()
	all := make([]*control.Reported, daemons)
	for i := range all {
		all[i] = newReported(client, daemons)
	}
	all[0] = newHolder(c, client, daemons)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	announced := usage.Announcement{First: start, Window: start, Totals: "x"}
	c.Assert(all[0].Announce(t.Context(), announced), qt.IsNil)
	followAll := func() {
		for _, r := range all {
			follow(r, store)
		}
	}
	followAll()
	store.Restore(backup)
	c.Assert(store.Rows("acaciapath", "control"), qt.HasLen, 0)
	before := store.Calls("/acaciapath/rows-tx")
	c.Assert(client.Ping(t.Context()), qt.IsNil)
	followAll()
	time.Sleep(followDelay)
	first := store.Calls("/acaciapath/rows-tx") - before
	c.Assert(first > 0, qt.IsTrue)
	c.Assert(first <= maxWrites, qt.IsTrue, qt.Commentf("%d writes", first))
	followAll()
	time.Sleep(100 * time.Millisecond) // writes that had begun
	settled := store.Calls("/acaciapath/rows-tx")
	time.Sleep(followDelay)
	c.Assert(store.Calls("/acaciapath/rows-tx"), qt.Equals, settled)
	for _, r := range all {
		last, known := r.Last()
		c.Assert(known, qt.IsTrue)
		c.Assert(last, qt.DeepEquals, announced)
	}
}

// TestRestoreBeforeTheFirstReport restores the store before any window was reported. A daemon
// that starts later must learn that from the one that holds the lease since before, and not take
// windows that have ended for reported. Another one that ran before cannot know that.
func TestRestoreBeforeTheFirstReport(t *testing.T) {
	c := qt.New(t)
	store := platformtest.NewStore()
	c.Cleanup(store.Close)
	client := newClient(c, store)
	before, other := newHolder(c, client, 2), newReported(client, 2)
	follow(before, store)
	follow(other, store)
	store.Restore(store.Backup())
	store.SetFault(failWrites) // until it is clear that nobody else knows
	c.Assert(client.Ping(t.Context()), qt.IsNil)
	_, known := other.Last()
	c.Assert(known, qt.IsFalse)
	after := newReported(client, 2)
	follow(after, store)
	_, known = after.Last()
	c.Assert(known, qt.IsFalse)
	store.SetFault(nil)
	follow(before, store)
	for end := time.Now().Add(waitLimit); len(store.Rows("acaciapath", "control")) == 0; time.Sleep(10 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
	follow(after, store)
	last, known := after.Last()
	c.Assert(known, qt.IsTrue)
	c.Assert(last, qt.DeepEquals, usage.Announcement{})
	// Without one that ran before, all windows that have ended may have been reported.
	store.Restore(store.Backup())
	alone := newReported(newClient(c, store), 2) // the others do not notice the restoration
	follow(alone, store)
	for end := time.Now().Add(waitLimit); !known || last.Window.IsZero(); time.Sleep(10 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
		last, known = alone.Last()
	}
	c.Assert(last.Window.Before(time.Now().Add(-5*time.Second)), qt.IsTrue)
}
