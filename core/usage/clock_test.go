package usage_test

import (
	"testing"
	"time"

	"acaciapath.example/core/usage"

	qt "github.com/frankban/quicktest"
)

func TestClock(t *testing.T) {
	c := qt.New(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	// reading is a reading of both clocks and the wanted result, in seconds.
	type reading struct{ wall, monotonic, want int }
	for _, test := range []struct {
		name     string
		readings []reading
	}{
		{name: "steady", readings: []reading{{0, 5, 0}, {10, 15, 10}, {20, 25, 20}}},
		{name: "jump ahead and back", readings: []reading{{0, 0, 0}, {3610, 10, 10}, {3620, 20, 20}, {30, 30, 30}, {40, 40, 40}}},
		{name: "jump ahead that lasts", readings: []reading{{0, 0, 0}, {3610, 10, 10}, {4500, 900, 900}, {4510, 910, 4510}, {4520, 920, 4520}}},
		{name: "jump back", readings: []reading{{3600, 0, 3600}, {10, 10, 10}, {20, 20, 20}}},
		{name: "second jump restarts the delay", readings: []reading{{0, 0, 0}, {3610, 10, 10}, {800, 800, 800}, {4500, 900, 900}, {5000, 1400, 1400}}},
	} {
		c.Run(test.name, func(c *qt.C) {
			var clock usage.Clock
			for _, r := range test.readings {
				got := clock.Now(start.Add(time.Duration(r.wall)*time.Second), time.Duration(r.monotonic)*time.Second)
				c.Assert(got.Sub(start), qt.Equals, time.Duration(r.want)*time.Second)
			}
		})
	}
}
