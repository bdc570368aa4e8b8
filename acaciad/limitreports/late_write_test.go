package limitreports_test

import (
	"testing"
	"time"

	"acaciapath.example/platform"
	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// TestLateWritesReplaceNoNewerLimit has writes performed after a server has named another limit: the
// one of an earlier limit, and the deletion after its end. The other daemons sent it too much then, or
// as if it named none (LIMIT).
func TestLateWritesReplaceNoNewerLimit(t *testing.T) {
	c := qt.New(t)
	store := platformtest.NewStore()
	c.Cleanup(store.Close)
	delays := store.DelayWrites()
	one, two := start(c, store), start(c, store)
	delay := func(change func()) {
		late := store.Late()
		delays.Store(true)
		change()
		eventually(c, func() bool { return store.Late() > late })
		delays.Store(false)
	}
	delay(func() { one.Record("a@1", 8, time.Now()) })
	eventually(c, two.knows("a@1", 8))
	delay(func() { one.End("a@1", time.Now()) })
	eventually(c, two.knows("a@1", -1))
	one.Record("a@1", 2, time.Now())
	eventually(c, two.knows("a@1", 2))
	for late := range store.Late() {
		store.ApplyLateAt(late)
		rows := store.Rows(platform.TableReports, "")
		c.Assert(rows, qt.HasLen, 1)
		c.Assert(string(rows[0].Data), qt.Contains, `"per-second":2,`)
	}
	eventually(c, start(c, store).knows("a@1", 2))
	c.Check(store.LateReplacements(), qt.HasLen, 0)
}

// TestDaemonsLearnLimitAtOnce has many daemons learn changes of a limit at once. The last one must
// be known to all.
func TestDaemonsLearnLimitAtOnce(t *testing.T) {
	c := qt.New(t)
	store := platformtest.NewStore()
	c.Cleanup(store.Close)
	var sharers []*sharer
	for range 6 {
		sharers = append(sharers, start(c, store))
	}
	for _, perSecond := range []float64{4, 3, 2} {
		for i, s := range sharers {
			s.Record("a@1", perSecond, time.Now())
			s.Record("b@1", perSecond+float64(i), time.Now())
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, s := range sharers {
		eventually(c, s.knows("a@1", 2))
	}
	sharers[0].End("a@1", time.Now())
	for _, s := range sharers {
		eventually(c, s.knows("a@1", -1))
	}
}
