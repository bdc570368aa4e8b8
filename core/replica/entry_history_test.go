package replica_test

import (
	"testing"
	"time"

	"acaciapath.example/core/replica"

	qt "github.com/frankban/quicktest"
)

// TestServersThatLeftAreNotBroughtBack checks which entries are used just after a store was
// restored from a backup.
func TestServersThatLeftAreNotBroughtBack(t *testing.T) {
	morning := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	entry := func(started int64, sequence uint64, draining bool) replica.Spec {
		return replica.Spec{Name: "a", StartedAt: time.UnixMilli(started), Sequence: sequence, Draining: draining}
	}
	for _, test := range []struct {
		name    string
		before  []replica.Spec
		removed bool
		after   replica.Spec
		used    bool
	}{
		{name: "unknown", after: entry(1, 1, false), used: true},
		{name: "same", before: []replica.Spec{entry(1, 4, false)}, after: entry(1, 4, false), used: true},
		{name: "drained since", before: []replica.Spec{entry(1, 4, false), entry(1, 9, true)}, after: entry(1, 4, false)},
		{name: "drains", before: []replica.Spec{entry(1, 9, true)}, after: entry(1, 9, true), used: true},
		{name: "drained since, no sequence", before: []replica.Spec{entry(1, 0, true)}, after: entry(1, 0, false)},
		{name: "removed since", before: []replica.Spec{entry(1, 4, false)}, removed: true, after: entry(1, 4, false)},
		{name: "written again", before: []replica.Spec{entry(1, 4, false)}, removed: true, after: entry(1, 5, false), used: true},
		{name: "started again", before: []replica.Spec{entry(1, 9, true)}, removed: true, after: entry(2, 1, false), used: true},
		{name: "earlier start", before: []replica.Spec{entry(2, 1, false)}, after: entry(1, 9, false)},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var h replica.EntryHistory
			for _, spec := range test.before {
				c.Assert(h.Admit(spec, morning), qt.IsTrue)
			}
			if test.removed {
				h.Remove("a", morning)
			}
			restored := morning.Add(time.Second)
			hold := h.HandleRestore(restored)
			c.Assert(h.Admit(test.after, restored), qt.Equals, test.used)
			c.Assert(h.Admit(test.after, restored.Add(hold-time.Millisecond)), qt.Equals, test.used)
			c.Assert(h.Admit(test.after, restored.Add(hold)), qt.IsTrue)
		})
	}
}
