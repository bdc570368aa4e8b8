package crashreports_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestQuarantineOutlivesRestore restores the store from a copy without a quarantine. All
// daemons must go on refusing the part, and one that starts later must learn of it.
func TestQuarantineOutlivesRestore(t *testing.T) {
	s := newTable(t)
	backup := s.store.Backup()
	var guards []*guard
	for i := range 4 {
		guards = append(guards, s.start(fmt.Sprint("vm-", i)))
	}
	for i, g := range guards {
		g.crash(i, 7)
	}
	for _, g := range guards {
		s.eventually("a daemon refuses the part", func() bool { return g.refuses(7) })
	}
	time.Sleep(200 * time.Millisecond)
	s.store.Restore(backup)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, g := range guards {
			s.Assert(g.refuses(7), qt.IsTrue)
		}
	}
	late := s.start("vm-late")
	s.eventually("a daemon that starts later refuses the part", func() bool { return late.refuses(7) })
}
