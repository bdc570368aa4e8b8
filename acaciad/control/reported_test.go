package control_test

import (
	"io"
	"testing"
	"time"

	"acaciapath.example/acaciad/control"
	"acaciapath.example/core/usage"
	"acaciapath.example/platform"
	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// newReported returns what one of several daemons knows of reported windows, of 5 s each.
func newReported(client *platform.Store, daemons int) *control.Reported {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return &control.Reported{
		Table: &platform.Table{Store: client}, Epoch: client.Epochs.Current, Window: 5 * time.Second,
		Daemons: func() int { return daemons }, Logger: logger,
	}
}

// follow has a daemon read the row of reported windows.
func follow(r *control.Reported, store *platformtest.Store) {
	rows := []platform.Row{}
	for _, row := range store.Rows("acaciapath", "control") {
		rows = append(rows, platform.Row{Key: row.Key, Data: row.Data, Version: row.Version})
	}
	r.Apply(rows, true, time.Now())
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
	client := platform.NewStore(store.Address(), time.Second, platform.NewStoreTransport())
	backup := store.Backup()
	all := make([]*control.Reported, daemons)
	for i := range all {
		all[i] = newReported(client, daemons)
	}
	window := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	announced := usage.Announcement{First: window, Window: window, Totals: "x"}
	c.Assert(all[0].Announce(t.Context(), announced), qt.IsNil)
	followAll := func() {
		for _, r := range all {
			follow(r, store)
		}
	}
	followAll()
	store.Restore(backup)
	c.Assert(client.Ping(t.Context()), qt.IsNil)
	c.Assert(store.Rows("acaciapath", "control"), qt.HasLen, 0)
	before := store.Calls("/acaciapath/rows-tx")
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
// that starts later must learn that from one that ran before, and not take windows that have
// ended for reported.
func TestRestoreBeforeTheFirstReport(t *testing.T) {
	c := qt.New(t)
	store := platformtest.NewStore()
	c.Cleanup(store.Close)
	client := platform.NewStore(store.Address(), time.Second, platform.NewStoreTransport())
	c.Assert(client.Ping(t.Context()), qt.IsNil)
	before := newReported(client, 2)
	follow(before, store)
	store.Restore(store.Backup())
	c.Assert(client.Ping(t.Context()), qt.IsNil)
	after := newReported(client, 2)
	follow(after, store)
	_, known := after.Last()
	c.Assert(known, qt.IsFalse)
	follow(before, store)
	for end := time.Now().Add(waitLimit); len(store.Rows("acaciapath", "control")) == 0; time.Sleep(10 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
	follow(after, store)
	last, known := after.Last()
	c.Assert(known, qt.IsTrue)
	c.Assert(last, qt.DeepEquals, usage.Announcement{})
	// Without one that ran before, all windows that have ended may have been reported.
	alone := newReported(client, 2)
	store.Restore(store.Backup())
	c.Assert(client.Ping(t.Context()), qt.IsNil)
	follow(alone, store)
	for end := time.Now().Add(waitLimit); !known || last.Window.IsZero(); time.Sleep(10 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
		last, known = alone.Last()
	}
	c.Assert(last.Window.Before(time.Now().Add(-5*time.Second)), qt.IsTrue)
}
