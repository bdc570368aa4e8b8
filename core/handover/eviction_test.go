package handover_test

import (
	"testing"

	"acaciapath.example/core/handover"

	qt "github.com/frankban/quicktest"
)

func TestEvicted(t *testing.T) {
	c := qt.New(t)
	c.Assert(handover.Evicted(4, 4), qt.IsTrue)
	c.Assert(handover.Evicted(3, 4), qt.IsTrue)
	c.Assert(handover.Evicted(2, 4), qt.IsFalse)
	c.Assert(handover.Evicted(2, 2), qt.IsTrue)
	c.Assert(handover.Evicted(1, 1), qt.IsFalse)
	c.Assert(handover.Evicted(0, 0), qt.IsFalse)
}
