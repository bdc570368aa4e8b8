package limitreports_test

import (
	"testing"
	"time"

	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// TestLimitOutlivesRestore restores the store from a copy without a limit. A daemon that
// learned it from the table must not forget it, and one that starts later must learn it.
func TestLimitOutlivesRestore(t *testing.T) {
	c := qt.New(t)
	store := platformtest.NewStore()
	c.Cleanup(store.Close)
	backup := store.Backup()
	one, two := start(c, store), start(c, store)
	one.Record("a@1", 2, time.Now())
	eventually(c, two.knows("a@1", 2))
	store.Restore(backup)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		c.Assert(two.knows("a@1", 2)(), qt.IsTrue)
	}
	eventually(c, start(c, store).knows("a@1", 2))
}
