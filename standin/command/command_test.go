package command_test

import (
	"bufio"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"acaciapath.example/core/gen/servers"
	"acaciapath.example/core/platformapi"
	"acaciapath.example/standin/command"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
)

// startCommand runs a command until the test ends and returns the address that it
// listens on.
func startCommand(c *qt.C, args ...string) string {
	ctx, stop := context.WithCancel(context.Background())
	reader, writer := io.Pipe()
	root := command.New()
	root.SetArgs(args)
	root.SetOut(writer)
	ended := make(chan error, 1)
	go func() {
		err := root.ExecuteContext(ctx)
		_ = writer.CloseWithError(io.EOF)
		ended <- err
	}()
	c.Cleanup(func() {
		stop()
		c.Assert(<-ended, qt.IsNil)
	})
	line, err := bufio.NewReader(reader).ReadString('\n')
	c.Assert(err, qt.IsNil)
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "listening on ")
	c.Assert(ok, qt.IsTrue)
	return address
}

func TestPlatformWithEngines(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	client := platformapi.New(startCommand(c, "platform", "--vms", "testdata/vms.ini", "--engines"), 10*time.Second)
	list, err := client.VMs.List(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(list, qt.HasLen, 2)
	c.Assert(list[0].Name, qt.Equals, "guayaquil-1")
	c.Assert(list[1].ControlPort, qt.Equals, 7101)

	_, err = client.Servers.Order(ctx, &servers.OrderPayload{
		OrderID: "o1", FailureDomain: "quito-a", Kind: "standard", Model: "m",
	})
	c.Assert(err, qt.IsNil)
	for range 1000 {
		running, err := client.Servers.List(ctx, &servers.ListPayload{})
		c.Assert(err, qt.IsNil)
		if running[0].State == "running" {
			c.Assert(running[0].Address, qt.Matches, `127\.0\.0\.1:\d+`)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatal("the backend server did not reach the state running")
}

func TestEngineAndPlain(t *testing.T) {
	c := qt.New(t)
	startCommand(c, "engine", "--model", "m", "--places", "2")
	startCommand(c, "plain", "--check-idempotency")
}

func TestInvalidVMFile(t *testing.T) {
	c := qt.New(t)
	root := command.New()
	root.SetArgs([]string{"platform", "--vms", "testdata/broken.ini"})
	root.SetErr(io.Discard)
	err := root.ExecuteContext(context.Background())
	c.Assert(err, qt.IsNotNil)
	goldie.New(t).Assert(t, "broken", []byte(err.Error()+"\n"))
}
