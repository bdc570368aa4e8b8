package order_test

import (
	"testing"

	"acaciapath.example/core/order"

	qt "github.com/frankban/quicktest"
)

// TestMoveBaselines checks that the replicas of evacuated failure domains are ordered in the others.
func TestMoveBaselines(t *testing.T) {
	c := qt.New(t)
	baselines := map[string]int{"a": 6, "b": 3, "c": 4, "d": 0}
	c.Assert(order.MoveBaselines(baselines, nil), qt.DeepEquals, map[string]int{"a": 6, "b": 3, "c": 4})
	c.Assert(order.MoveBaselines(baselines, map[string]bool{"c": true}), qt.DeepEquals, map[string]int{"a": 9, "b": 5})
	c.Assert(order.MoveBaselines(baselines, map[string]bool{"a": true, "b": true, "c": true}), qt.DeepEquals, map[string]int{})
}
