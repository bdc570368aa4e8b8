package daemon

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestIsolation(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	longAgo, justNow := now.Add(-time.Minute), now.Add(-time.Second)
	for _, test := range []struct {
		name  string
		state reachability
		want  bool
	}{
		{name: "all reached", state: reachability{Limit: 10 * time.Second, HasNeighbours: true, PlatformReachedAt: justNow, NeighbourReachedAt: justNow}},
		{name: "platform only", state: reachability{Limit: 10 * time.Second, HasNeighbours: true, PlatformReachedAt: justNow, NeighbourReachedAt: longAgo}},
		{name: "failure domain cut off", state: reachability{Limit: 10 * time.Second, HasNeighbours: true, PlatformReachedAt: longAgo, NeighbourReachedAt: justNow}},
		{name: "nobody reached", state: reachability{Limit: 10 * time.Second, HasNeighbours: true, PlatformReachedAt: longAgo, NeighbourReachedAt: longAgo}, want: true},
		{name: "without neighbours", state: reachability{Limit: 10 * time.Second, PlatformReachedAt: longAgo}},
		{name: "without limit", state: reachability{HasNeighbours: true, PlatformReachedAt: longAgo, NeighbourReachedAt: longAgo}},
	} {
		qt.New(t).Run(test.name, func(c *qt.C) {
			c.Assert(test.state.isolated(now), qt.Equals, test.want)
		})
	}
}
