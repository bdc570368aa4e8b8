package value_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"acaciapath.example/core/value"
)

func TestNearest(t *testing.T) {
	c := qt.New(t)
	known := map[string]int{"max-wait": 0, "tier": 0, "queue-limit": 0, "bat": 0, "cat": 0}
	for _, test := range []struct {
		name, want string
	}{
		{name: "max-wiat", want: "max-wait"},
		{name: "teir", want: "tier"},
		{name: "tir", want: "tier"},
		{name: "queue_limits", want: "queue-limit"},
		{name: "hat", want: "bat"},
		{name: "price", want: ""},
	} {
		c.Run(test.name, func(c *qt.C) {
			got, ok := value.Nearest(test.name, known)
			c.Assert(got, qt.Equals, test.want)
			c.Assert(ok, qt.Equals, test.want != "")
		})
	}
}
