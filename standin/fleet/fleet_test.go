package fleet_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"acaciapath.example/core/gen/servers"
	"acaciapath.example/core/platformapi"
	"acaciapath.example/standin/fleet"
	"acaciapath.example/standin/platform"

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

func TestEvictionStopsEngine(t *testing.T) {
	c := qt.New(t)
	f := fleet.New(fleet.Options{})
	p := platform.New(platform.Options{Launcher: f})
	c.Cleanup(func() { c.Assert(errors.Join(p.Close(), f.Close()), qt.IsNil) })
	ctx := context.Background()
	client := p.Client("")
	_, err := client.Servers.Order(ctx, &servers.OrderPayload{
		OrderID: "o1", FailureDomain: "quito-a", Kind: "cheap", Model: "m",
	})
	c.Assert(err, qt.IsNil)
	address := awaitState(c, client, "running").Address
	c.Assert(p.EvictCheapServers("quito-a", 0), qt.Equals, 1)
	awaitState(c, client, "gone")
	for range 1000 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		c.Assert(conn.Close(), qt.IsNil)
		time.Sleep(5 * time.Millisecond)
	}
	c.Fatal("the engine still runs")
}

// awaitState waits until the only backend server has the state and returns it.
func awaitState(c *qt.C, client *platformapi.Client, state string) *servers.BackendServer {
	for range 1000 {
		list, err := client.Servers.List(context.Background(), &servers.ListPayload{})
		c.Assert(err, qt.IsNil)
		if list[0].State == state {
			return list[0]
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Fatalf("the backend server is not %s", state)
	return nil
}
