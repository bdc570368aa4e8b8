package daemon

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"testing"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/peer"
	"acaciapath.example/core/platformapi"
	"acaciapath.example/core/revision"
	"acaciapath.example/core/settings"
	"acaciapath.example/core/usage"
	standin "acaciapath.example/standin/platform"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
)

const (
	domain      = "quito-a"
	testLease   = 800 * time.Millisecond
	testTimeout = 30 * time.Second
)

const configText = `
[service-class letters]
tier = 1
first-token-target = 1s
max-wait = 10s
prompt-price = 0.60 USD/Mtok
completion-price = 2.40 USD/Mtok
cheap-servers = true

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

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testEnv is a stand-in platform to which control daemons connect.
type testEnv struct {
	c        *qt.C
	platform *standin.Server
}

func newTestEnv(t *testing.T) *testEnv {
	c := qt.New(t)
	env := &testEnv{c: c, platform: standin.New(standin.Options{})}
	c.Cleanup(func() { c.Check(env.platform.Close(), qt.IsNil) })
	store := revision.NewStore(env.client("operator"))
	change := revision.Change{Files: []config.File{{Name: "10.ini", Text: configText}}, Author: "operator"}
	_, err := store.Apply(context.Background(), change, time.Now())
	c.Assert(err, qt.IsNil)
	return env
}

func (env *testEnv) client(caller string) *platformapi.Client { return env.platform.Client(caller) }

// start runs a control daemon. stop shuts it down and may be called twice.
func (env *testEnv) start(name string) (d *Daemon, stop func()) {
	env.platform.AddVM(vms.VM{Name: name, FailureDomain: domain, Address: "127.0.0.1", ControlPort: 1})
	s := settings.Default()
	s.VMName, s.FailureDomain, s.ListenIP = name, domain, "127.0.0.1"
	s.PeerPort, s.OpsPort = 0, 0
	s.LeaseDuration, s.ConfigPollInterval, s.DrainTimeout = testLease, 20*time.Millisecond, 5*time.Second
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	d, err := New(s, env.client(name), logger, Options{
		ReconcileInterval: 20 * time.Millisecond, UsageCheckInterval: 20 * time.Millisecond, VMListInterval: 50 * time.Millisecond,
	})
	env.c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	stopped := false
	stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		select {
		case err := <-done:
			env.c.Check(err == nil || errors.Is(err, ErrLeaseNotReleased), qt.IsTrue, qt.Commentf("%v", err))
		case <-time.After(testTimeout):
			env.c.Error("the daemon did not stop in time")
		}
	}
	env.c.Cleanup(stop)
	return d, stop
}

// eventually waits until the condition holds, and fails the test after testTimeout.
func (env *testEnv) eventually(what string, condition func() bool) {
	env.c.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	env.c.Fatalf("timed out waiting until %s", what)
}

// liveServers returns the number of backend servers that are starting or running.
func (env *testEnv) liveServers() int {
	list, err := env.client("observer").Servers.List(context.Background(), listAllPayload)
	env.c.Assert(err, qt.IsNil)
	alive := 0
	for _, s := range list {
		if s.State == "starting" || s.State == "running" {
			alive++
		}
	}
	return alive
}

// writeUsage writes a usage part with one request and, like an entry daemon, retries
// while the platform fails.
func (env *testEnv) writeUsage(writer *usage.Writer) {
	key := usage.Key{ClientAccount: "quito", ServiceClass: "chat", Model: "letters"}
	writer.Add(usage.Part{Lines: []usage.Line{{Key: key, Work: usage.Work{Requests: 1}}}})
	env.eventually("the part is written", func() bool {
		return writer.Flush(context.Background(), time.Now(), time.Second) == nil
	})
}

// reportedRequests returns the number of requests in the usage reports. It fails
// the test if two reports of one window differ.
func (env *testEnv) reportedRequests() uint64 {
	windows := make(map[string]standin.UsageReport)
	var requests uint64
	for _, report := range env.platform.UsageReports() {
		if earlier, ok := windows[report.Window]; ok {
			env.c.Assert(report.Lines, qt.DeepEquals, earlier.Lines)
			continue
		}
		windows[report.Window] = report
		for _, line := range report.Lines {
			requests += line.Requests
		}
	}
	return requests
}

// checkSingleSender fails the test if, in the platform's log of the given interface,
// a fencing token is lower than an earlier one or is used by two holders.
func (env *testEnv) checkSingleSender(iface standin.Interface) {
	var fence uint64
	holders := make(map[uint64]string)
	for _, e := range env.platform.Log().Entries() {
		if e.Interface != iface || e.Holder == "" {
			continue
		}
		env.c.Assert(e.Fence >= fence, qt.IsTrue, qt.Commentf("%s %s with fence %d after %d", e.Holder, e.Method, e.Fence, fence))
		fence = e.Fence
		if holder, ok := holders[fence]; ok {
			env.c.Assert(e.Holder, qt.Equals, holder)
		}
		holders[fence] = e.Holder
	}
}

// peerStatus returns the status that a daemon reports at its peer port.
func (env *testEnv) peerStatus(d *Daemon) peer.Status {
	client := peer.NewClient(d.PeerAddress(), nil)
	defer func() { _ = client.Close() }()
	status, err := client.Status(context.Background())
	env.c.Assert(err, qt.IsNil)
	return status
}

// fakeEntry is an entry daemon that always reports the same status.
type fakeEntry struct{ status peer.Status }

var _ peer.Handler = fakeEntry{}

func (e fakeEntry) Status(context.Context) (peer.Status, error) { return e.status, nil }

func (e fakeEntry) ExchangeHead(context.Context, peer.ConfigHead) (peer.ConfigHead, error) {
	return peer.ConfigHead{}, nil
}

func (e fakeEntry) GetConfig(context.Context, peer.ConfigRequest) (peer.ConfigContent, error) {
	return peer.ConfigContent{}, revision.ErrNotFound
}

// startEntry starts an entry daemon that reports a number of waiting requests.
func (env *testEnv) startEntry(name string, waiting int) {
	queues := []peer.Queue{{Model: "letters", ServiceClass: "letters", Waiting: waiting}}
	server, err := peer.Listen("127.0.0.1:0", nil, fakeEntry{status: peer.Status{Name: name, Queues: queues}})
	env.c.Assert(err, qt.IsNil)
	env.c.Cleanup(func() { _ = server.Close() })
	address := netip.MustParseAddrPort(server.Address())
	env.platform.AddVM(vms.VM{Name: name, FailureDomain: domain, Address: "127.0.0.1", PeerPort: int(address.Port())})
}
