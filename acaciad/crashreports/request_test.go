package crashreports_test

import (
	"fmt"
	"testing"
	"time"

	"acaciapath.example/core/quarantine"
	"acaciapath.example/platform"
)

// TestRequestIsRememberedAfterAllRestarted has three daemons see one crash each under the
// same request, and then restarts all of them at once.
func TestRequestIsRememberedAfterAllRestarted(t *testing.T) {
	for name, before := range map[string]int{"before the decision": 2, "after the decision": 3} {
		t.Run(name, func(t *testing.T) {
			s := newTable(t)
			whole := []quarantine.Part{{ID: 9, Whole: true}}
			refuses := func(g *guard) func() bool {
				return func() bool {
					refusal, refuses := g.Refuses(whole, time.Now())
					return refuses && refusal.Whole
				}
			}
			var guards []*guard
			for i := range 3 {
				guards = append(guards, s.start(fmt.Sprint("vm-", i)))
			}
			for i, g := range guards[:before] {
				g.RecordCrash("id-1", whole, fmt.Sprint("server-", i), time.Now())
			}
			if before == 3 {
				s.eventually("a daemon refuses it", refuses(guards[0]))
			}
			s.eventually("the reports are written", func() bool { return len(s.store.Rows(platform.TableReports, "")) >= before })
			for i, g := range guards {
				g.stop()
				guards[i] = s.start(fmt.Sprint("vm-", i))
			}
			if before == 2 {
				guards[2].RecordCrash("id-1", whole, "server-2", time.Now())
			}
			for _, g := range guards {
				s.eventually("all daemons refuse it", refuses(g))
			}
		})
	}
}
