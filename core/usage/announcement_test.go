package usage_test

import (
	"testing"
	"time"

	"acaciapath.example/core/usage"

	qt "github.com/frankban/quicktest"
)

func TestAnnouncementMerge(t *testing.T) {
	c := qt.New(t)
	at := func(n int) time.Time { return start.Add(time.Duration(n) * length) }
	announced := func(first, window int) usage.Announcement {
		return usage.Announcement{First: at(first), Window: at(window), Totals: at(window).String()}
	}
	unknownFirst := usage.Announcement{Window: at(9), Totals: at(9).String()}
	for _, test := range []struct{ a, b, want usage.Announcement }{
		{want: usage.Announcement{}},
		{a: announced(2, 5), want: announced(2, 5)},
		{a: announced(2, 5), b: announced(3, 7), want: announced(2, 7)},
		{a: announced(2, 5), b: announced(1, 1), want: announced(1, 5)},
		{a: announced(2, 5), b: unknownFirst, want: unknownFirst},
	} {
		c.Check(test.a.Merge(test.b), qt.DeepEquals, test.want)
		c.Check(test.b.Merge(test.a), qt.DeepEquals, test.want)
	}
	earlier := usage.Announcement{First: at(1), Window: at(5), Totals: at(1).String()}
	c.Check(announced(2, 5).Extend(announced(1, 1)), qt.DeepEquals, earlier)
	c.Check(announced(2, 5).Merge(earlier), qt.DeepEquals, earlier)
	c.Check(earlier.Merge(announced(2, 5)), qt.DeepEquals, earlier)
	c.Check(announced(2, 5).Covers(at(1)), qt.IsFalse)
	c.Check(announced(2, 5).Covers(at(2)), qt.IsTrue)
	c.Check(announced(2, 5).Covers(at(5)), qt.IsTrue)
	c.Check(announced(2, 5).Covers(at(6)), qt.IsFalse)
	c.Check(unknownFirst.Covers(at(1)), qt.IsTrue)
	c.Check(usage.Announcement{}.Covers(at(1)), qt.IsFalse)
}
