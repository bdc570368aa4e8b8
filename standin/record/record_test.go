package record_test

import (
	"testing"

	"acaciapath.example/standin/record"

	qt "github.com/frankban/quicktest"
)

func TestLogKeepsNewestEntries(t *testing.T) {
	c := qt.New(t)
	l := record.New[int](4)
	for i := range 7 {
		l.Add(i)
	}
	c.Assert(l.Entries(), qt.DeepEquals, []int{4, 5, 6})
	c.Assert(l.Dropped(), qt.Equals, 4)
	c.Assert(l.Page(5), qt.DeepEquals, record.Page[int]{First: 5, Dropped: 4, Entries: []int{5, 6}})
	c.Assert(l.Page(99).Entries, qt.HasLen, 0)
}
