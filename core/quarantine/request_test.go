package quarantine_test

import (
	"testing"

	"acaciapath.example/core/quarantine"

	qt "github.com/frankban/quicktest"
)

func TestRequestID(t *testing.T) {
	c := qt.New(t)
	id := quarantine.RequestID("a", "/orders/17?full=1", []byte("x"))
	c.Assert(quarantine.RequestID("a", "/orders/17?full=1", []byte("x")), qt.Equals, id)
	for _, other := range []uint64{
		quarantine.RequestID("b", "/orders/17?full=1", []byte("x")),
		quarantine.RequestID("a", "/orders/17", []byte("x")),
		quarantine.RequestID("a", "/orders/17?full=1", []byte("y")),
		quarantine.RequestID("a/", "orders/17?full=1", []byte("x")),
		quarantine.RequestID("", "a/orders/17?full=1", []byte("x")),
	} {
		c.Check(other, qt.Not(qt.Equals), id)
	}
}
