package crashreports_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	tablegen "acaciapath.example/core/gen/table"
	"acaciapath.example/platform"

	qt "github.com/frankban/quicktest"
)

// stored returns the row of a VM, or an empty string if there is none.
func (s *table) stored(vm string) string {
	for _, row := range s.store.Rows(platform.TableReports, "") {
		if row.Key == "report/"+vm {
			return string(row.Data)
		}
	}
	return ""
}

// reports returns a condition that the row of a VM has crashes of all of the given servers.
func (s *table) reports(vm string, servers ...int) func() bool {
	return func() bool {
		row := s.stored(vm)
		for _, server := range servers {
			if !strings.Contains(row, fmt.Sprintf(`"engine-%d"`, server)) {
				return false
			}
		}
		return row != ""
	}
}

// TestLateWriteReplacesNoNewerReport has the answer of a write lost, which the store performs after
// newer reports. It took crashes out of the row, so that a daemon that started then sent requests
// with a crashing part (BUDGET).
func TestLateWriteReplacesNoNewerReport(t *testing.T) {
	s := newTable(t)
	delays := s.store.DelayWrites()
	g := s.start("vm-1")
	delays.Store(true)
	g.crash(0, 7)
	s.eventually("a write is delayed", func() bool { return s.store.Late() > 0 })
	delays.Store(false)
	s.eventually("the report is written", s.reports("vm-1", 0))
	for i := 1; i < 4; i++ {
		g.crash(i, 7)
	}
	s.eventually("all crashes are written", s.reports("vm-1", 0, 1, 2, 3))
	s.store.ApplyLate()
	s.Assert(s.reports("vm-1", 0, 1, 2, 3)(), qt.IsTrue)
	s.Check(s.store.LateReplacements(), qt.HasLen, 0)
}

// TestLateWriteOfEarlierProcess has a write of a daemon that was killed performed after the daemon that
// replaced it has written its report, as if by an earlier build, which writes and deletes the row without a
// condition. The row must have the new report again soon.
func TestLateWriteOfEarlierProcess(t *testing.T) {
	for name, write := range map[string]func(first []byte) *tablegen.Write{
		"write":    func(first []byte) *tablegen.Write { return &tablegen.Write{Key: "report/vm-1", Value: first} },
		"deletion": func([]byte) *tablegen.Write { return &tablegen.Write{Key: "report/vm-1", Delete: true} },
	} {
		t.Run(name, func(t *testing.T) {
			s := newTable(t)
			g := s.start("vm-1")
			g.crash(0, 7)
			s.eventually("the report is written", s.reports("vm-1", 0))
			first := strings.ReplaceAll(s.stored("vm-1"), "engine-0", "engine-9")
			g.stop()
			g = s.start("vm-1")
			g.crash(1, 7)
			s.eventually("the new report is written", s.reports("vm-1", 0, 1))
			time.Sleep(200 * time.Millisecond) // the guard has read it
			rows := &platform.Table{Store: platform.NewStore(s.store.Address(), time.Second, platform.NewStoreTransport()), Name: platform.TableReports}
			_, err := rows.Commit(s.Context(), &tablegen.CommitPayload{Writes: []*tablegen.Write{write([]byte(first))}})
			s.Assert(err, qt.IsNil)
			s.Assert(s.reports("vm-1", 0, 1)(), qt.IsFalse)
			s.eventually("the row has the new report again", s.reports("vm-1", 0, 1))
		})
	}
}

// TestLateWriteDuringRestart has a write of a daemon that was killed performed between the start of
// its successor and the first write of that one, which takes over its crashes.
func TestLateWriteDuringRestart(t *testing.T) {
	s := newTable(t)
	delays := s.store.DelayWrites()
	g := s.start("vm-1")
	g.crash(0, 7)
	s.eventually("the report is written", s.reports("vm-1", 0))
	time.Sleep(400 * time.Millisecond) // nothing is left to write
	delays.Store(true)
	g.crash(1, 7)
	s.eventually("a write is delayed", func() bool { return s.store.Late() > 0 })
	g.stop()
	time.Sleep(100 * time.Millisecond)
	delays.Store(false)
	g = s.start("vm-1")
	time.Sleep(200 * time.Millisecond) // it has read the row
	s.store.ApplyLate()
	g.crash(2, 7)
	s.eventually("the row has all crashes", s.reports("vm-1", 0, 1, 2))
}
