package fleet_test

import (
	"net"
	"testing"

	"acaciapath.example/core/gen/servers"
	"acaciapath.example/standin/fleet"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

func TestLaunch(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	f := fleet.New(fleet.Options{})
	address, stop, err := f.Launch(servers.BackendServer{Name: "a", Model: "m"})
	c.Assert(err, qt.IsNil)
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Assert(conn.Close(), qt.IsNil)
	c.Assert(f.Engine("a").Address(), qt.Equals, address)
	c.Assert(f.Engine("b"), qt.IsNil)

	stop()
	_, err = net.Dial("tcp", address)
	c.Assert(err, qt.IsNotNil)
	c.Assert(f.Engines(), qt.HasLen, 1)
	c.Assert(f.Close(), qt.IsNil)
	_, err = f.Start("late", "m")
	c.Assert(err, qt.ErrorIs, fleet.ErrClosed)
}
