package main

import (
	"context"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/gen/servers"
	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/lease"
	"acaciapath.example/core/program"
	"acaciapath.example/core/revision"
	"acaciapath.example/standin/fault"
	standin "acaciapath.example/standin/platform"

	qt "github.com/frankban/quicktest"
)

// runMainVariable is the environment variable that makes the test binary run main
// instead of the tests.
const runMainVariable = "CONTROLD_TEST_MAIN"

const (
	domain      = "quito-a"
	testLease   = "2s"
	testTimeout = 30 * time.Second
	// orderDelay slows down the platform's answers to orders, so that the holder is
	// frozen while an order is in progress.
	orderDelay = 300 * time.Millisecond
)

const configText = `
[failure-domain quito-a]
region = quito

[model letters]
context-tokens = 8192
max-completion-tokens = 1024

[pool letters]
model = letters
failure-domain = quito-a
kind = cheap
min = 2
max = 4
places = 4
hour-price = 0.40 USD/h

[billing]
window = 1s
grace = 0s
`

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// newProgram returns a command that runs controld with the given arguments.
func newProgram(arguments ...string) *exec.Cmd {
	command := exec.Command(os.Args[0], arguments...)
	command.Env = append(os.Environ(), runMainVariable+"=1")
	return command
}

// startDaemon starts a control daemon in a separate process.
func startDaemon(c *qt.C, p *standin.Server, name string) *exec.Cmd {
	p.AddVM(vms.VM{Name: name, FailureDomain: domain, Address: "127.0.0.1", ControlPort: 1})
	command := newProgram(
		"--daemon-name", name, "--daemon-failure-domain", domain, "--daemon-address", "127.0.0.1",
		"--listen-peer-port", "0", "--listen-ops-port", "0", "--platform-address", p.Address(),
		"--lease-duration", testLease, "--platform-timeout", "30s", "--config-poll", "100ms",
	)
	command.Stderr = os.Stderr
	c.Assert(command.Start(), qt.IsNil)
	return command
}

// stopDaemon stops a control daemon gracefully, and kills it if it does not stop in
// time. It first resumes the process in case it is frozen.
func stopDaemon(c *qt.C, command *exec.Cmd) {
	c.Check(command.Process.Signal(syscall.SIGCONT), qt.IsNil)
	c.Check(command.Process.Signal(syscall.SIGTERM), qt.IsNil)
	killTimer := time.AfterFunc(testTimeout/2, func() { _ = command.Process.Kill() })
	defer killTimer.Stop()
	c.Check(command.Wait(), qt.IsNil)
}

// leaseHolder returns the name of the VM that holds the orders lease, or an empty
// string if nobody has acquired it yet.
func leaseHolder(c *qt.C, p *standin.Server) string {
	rows, err := p.Client("observer").Read(context.Background(), lease.RowKey(lease.OrdersName(domain)))
	c.Assert(err, qt.IsNil)
	if rows[0].Version == 0 {
		return ""
	}
	row, err := lease.ParseRow(rows[0].Value)
	c.Assert(err, qt.IsNil)
	vm, _, _ := strings.Cut(row.Holder, "/")
	return vm
}

// liveServers returns the number of backend servers that are starting or running.
func liveServers(c *qt.C, p *standin.Server) int {
	list, err := p.Client("observer").Servers.List(context.Background(), &servers.ListPayload{})
	c.Assert(err, qt.IsNil)
	n := 0
	for _, s := range list {
		if s.State == "starting" || s.State == "running" {
			n++
		}
	}
	return n
}

// openIntents returns the number of order intents that are recorded and not settled yet.
func openIntents(p *standin.Server) int {
	recorded := 0
	for _, e := range p.Log().Entries() {
		for _, row := range e.Rows {
			switch {
			case !strings.HasPrefix(row.Key, "order/intent/"):
			case row.Version == 0:
				recorded--
			default:
				recorded++
			}
		}
	}
	return recorded
}

// lastFence returns the fencing token of the last request about backend servers that a
// lease holder sent.
func lastFence(p *standin.Server) uint64 {
	var fence uint64
	for _, e := range p.Log().Entries() {
		if e.Interface == standin.Servers && e.Holder != "" {
			fence = e.Fence
		}
	}
	return fence
}

// eventually waits until the condition holds, and fails the test after testTimeout.
func eventually(c *qt.C, what string, condition func() bool) {
	c.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	c.Fatalf("timed out waiting until %s", what)
}

// freezeHolder freezes the process that holds the lease while it has an order in progress,
// and returns the name of its VM. On a busy machine the lease may change hands just before;
// the process that had it is then resumed, and the next order is waited for.
func freezeHolder(c *qt.C, p *standin.Server, daemons map[string]*exec.Cmd) string {
	c.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); {
		p.SetFaults(standin.Servers, fault.Faults{})
		eventually(c, "the pool has its minimum size", func() bool { return liveServers(c, p) == 2 })
		holder := leaseHolder(c, p)
		p.SetFaults(standin.Servers, fault.Faults{Delay: fault.Duration(orderDelay)})
		p.EvictCheapServers(domain, 0)
		eventually(c, "an order intent is recorded", func() bool { return openIntents(p) > 0 })
		c.Assert(daemons[holder].Process.Signal(syscall.SIGSTOP), qt.IsNil)
		if leaseHolder(c, p) == holder {
			return holder
		}
		c.Logf("the lease changed hands before %s was frozen", holder)
		c.Assert(daemons[holder].Process.Signal(syscall.SIGCONT), qt.IsNil)
	}
	c.Fatalf("timed out waiting to freeze the holder of the lease")
	return ""
}

// TestFrozenHolderSendsNoStaleOrders guards against a holder that goes on sending
// after its lease has expired. Three times, it freezes the holder's process during an
// order until the next holder has sent one, and then resumes it. The platform does not
// check fencing tokens here; the test checks in the platform's log that they never
// decrease.
func TestFrozenHolderSendsNoStaleOrders(t *testing.T) {
	c := qt.New(t)
	p := standin.New(standin.Options{})
	c.Assert(p.Start("127.0.0.1:0"), qt.IsNil)
	defer func() { c.Check(p.Close(), qt.IsNil) }()
	change := revision.Change{Files: []config.File{{Name: "10.ini", Text: configText}}, Author: "operator"}
	_, err := revision.NewStore(p.Client("operator")).Apply(context.Background(), change, time.Now())
	c.Assert(err, qt.IsNil)
	daemons := make(map[string]*exec.Cmd)
	for _, name := range []string{"vm-1", "vm-2"} {
		daemons[name] = startDaemon(c, p, name)
		defer stopDaemon(c, daemons[name])
	}
	for range 3 {
		holder := freezeHolder(c, p, daemons)
		fence := lastFence(p)
		eventually(c, "the next holder has sent an order", func() bool { return lastFence(p) > fence })
		c.Assert(daemons[holder].Process.Signal(syscall.SIGCONT), qt.IsNil)
		p.SetFaults(standin.Servers, fault.Faults{})
		eventually(c, "the pool is refilled", func() bool { return liveServers(c, p) == 2 })
	}
	eventually(c, "the pool has its minimum size at the end", func() bool { return liveServers(c, p) == 2 })
	for _, iface := range []standin.Interface{standin.Servers, standin.Usage} {
		var fence uint64
		for _, e := range p.Log().Entries() {
			if e.Interface == iface && e.Holder != "" {
				c.Assert(e.Fence >= fence, qt.IsTrue, qt.Commentf("%s %s with fence %d after %d", e.Holder, e.Method, e.Fence, fence))
				fence = e.Fence
			}
		}
	}
}

func TestExitCodes(t *testing.T) {
	c := qt.New(t)
	out, err := newProgram("--version").Output()
	c.Assert(err, qt.IsNil)
	c.Assert(string(out), qt.Contains, "controld version")
	var exit *exec.ExitError
	_, err = newProgram("--daemon-name", "vm-1").Output()
	c.Assert(err, qt.ErrorAs, &exit)
	c.Assert(exit.ExitCode(), qt.Equals, program.ExitInvalidSettings)
	c.Assert(string(exit.Stderr), qt.Contains, "platform-address")
}
