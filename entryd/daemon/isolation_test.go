package daemon

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestIsolation(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	long, lately := now.Add(-time.Minute), now.Add(-time.Second)
	for _, test := range []struct {
		name  string
		state isolation
		want  bool
	}{
		{name: "all reached", state: isolation{Limit: 10 * time.Second, HasNeighbours: true, Platform: lately, Neighbour: lately}},
		{name: "platform only", state: isolation{Limit: 10 * time.Second, HasNeighbours: true, Platform: lately, Neighbour: long}},
		{name: "failure domain cut off", state: isolation{Limit: 10 * time.Second, HasNeighbours: true, Platform: long, Neighbour: lately}},
		{name: "nobody reached", state: isolation{Limit: 10 * time.Second, HasNeighbours: true, Platform: long, Neighbour: long}, want: true},
		{name: "without neighbours", state: isolation{Limit: 10 * time.Second, Platform: long}},
		{name: "without limit", state: isolation{HasNeighbours: true, Platform: long, Neighbour: long}},
	} {
		qt.New(t).Run(test.name, func(c *qt.C) {
			c.Assert(test.state.isolated(now), qt.Equals, test.want)
		})
	}
}
