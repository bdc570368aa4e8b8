package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciapath.example/acaciad/daemon"
	"acaciapath.example/core/quarantine"
	"acaciapath.example/platform"
	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// waitLimit is long enough for every condition in these tests on a busy machine.
const waitLimit = 20 * time.Second

// deployment is a platform of stand-ins on which daemons are started.
type deployment struct {
	*qt.C
	store *platformtest.Store
	cloud *platformtest.CloudAPI
	shop  *platformtest.Server
	// running are the daemons that run in the process of the tests.
	running sync.WaitGroup
}

func newDeployment(t testing.TB) *deployment {
	c := qt.New(t)
	d := &deployment{C: c, store: platformtest.NewStore(), cloud: platformtest.NewCloudAPI(), shop: platformtest.NewServer("i-1", 0)}
	c.Cleanup(func() {
		// Daemons that are still shutting down would call servers of other tests that get the
		// ports.
		go func() {
			d.running.Wait()
			d.store.Close()
			d.cloud.Close()
			d.shop.Close()
		}()
	})
	return d
}

// writeConfig writes a configuration with the route /look/, which requires the key.
func (d *deployment) writeConfig(version int, key string) {
	d.store.Write("op", "config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "look", "host": "shop.example", "prefix": "/look/", "type": "safe",
			"timeoutMs": 5000, "targetLatencyMs": 400, "service": "shop", "maxAttempts": 2,
		}},
		"services": []any{map[string]any{"name": "shop", "healthPath": "/healthz"}},
		"limits":   map[string]any{"maxBodyBytes": 1000},
		"tenants":  []any{map[string]any{"name": "account-a", "apiKeys": []string{key}}},
	})
}

// registerShop writes the entry of the backend server, with a state such as "ready".
func (d *deployment) registerShop(state string) {
	d.store.Write("servers", "i-1", d.shop.Entry("shop", "z", state))
}

// runningDaemon is a daemon that was started by a test.
type runningDaemon struct {
	settings platform.Settings
	log      *logBuffer
	stop     context.CancelFunc
	exited   chan error
	// signal sends a signal to a daemon in a process of its own.
	signal func(os.Signal)
}

// logBuffer is an output of a logger that can be read while it is written.
type logBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(p)
}

// String returns what was logged.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.String()
}

// start starts a daemon that does not know others.
func (d *deployment) start(name string) *runningDaemon { return d.startAt(name, "") }

// startWithNeighbours starts a daemon that knows the others.
func (d *deployment) startWithNeighbours(name string) *runningDaemon {
	return d.startAt(name, freeAddress(d.C))
}

// startAt starts a daemon that accepts calls of others at an address, or nowhere.
func (d *deployment) startAt(name, neighboursAddress string) *runningDaemon {
	return d.startWith(d.newSettings(name, neighboursAddress), daemon.DefaultOptions())
}

// startWith starts a daemon with other settings and options.
func (d *deployment) startWith(s platform.Settings, options daemon.Options) *runningDaemon {
	r := &runningDaemon{settings: s, log: &logBuffer{}, exited: make(chan error, 1)}
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	logger.SetOutput(r.log)
	var ctx context.Context
	ctx, r.stop = context.WithCancel(context.Background())
	d.running.Go(func() { r.exited <- daemon.New(s, options, logger, time.Now()).Run(ctx) })
	d.Cleanup(r.stop)
	return r
}

// newSettings returns the settings of a daemon.
func (d *deployment) newSettings(name, neighboursAddress string) platform.Settings {
	return platform.Settings{
		Name: name, FailureDomain: "z", IP: "127.0.0.1", Regions: map[string]string{"z": "r"},
		CallersAddress: freeAddress(d.C), ReadyAddress: freeAddress(d.C),
		NeighboursAddress: neighboursAddress, StoreAddress: d.store.Address(), CloudAddress: d.cloud.Address(),
		ReportsUsage: true, OrdersServers: true, MemoryBytes: 1 << 30,
		ShutdownGrace: 8 * time.Second, LeaseDuration: time.Second, UsageWindow: time.Second, UsageDeadline: 4 * time.Second,
		RetryBudgetRatio: 0.2, RetryBudgetExtra: 20, ReconnectTime: time.Second, ServerDrain: 2500 * time.Millisecond,
		ColdOvershoot: 1.5, ColdSlack: 3,
	}
}

// freeAddress returns an unused address of the loopback interface.
func freeAddress(c *qt.C) string {
	address, err := loopback.FreeAddress()
	c.Assert(err, qt.IsNil)
	return address
}

// eventually waits until condition holds, and fails the test after waitLimit.
func (d *deployment) eventually(what string, condition func() bool) {
	d.Helper()
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			d.Fatalf("not within %s: %s", waitLimit, what)
		}
	}
}

// ready reports whether the daemon answers its readiness check with 200.
func (r *runningDaemon) ready() bool {
	response, err := http.Get("http://" + r.settings.ReadyAddress + "/acaciapath/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// lookStatus requests /look/ with a key and returns the HTTP status, or 0 if there is
// no complete answer.
func (r *runningDaemon) lookStatus(key string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+r.settings.CallersAddress+"/look/", nil)
	if err != nil {
		return 0
	}
	request.Host = "shop.example"
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("X-Attempt-Id", "id-1")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// TestFollowsPlatform starts a daemon before there is a configuration, and then changes
// the configuration and the backend servers. The daemon must follow each change, and
// must not go back to an older configuration.
func TestFollowsPlatform(t *testing.T) {
	d := newDeployment(t)
	r := d.start("vm-1")
	d.eventually("it answers", func() bool { return r.lookStatus("k") == http.StatusServiceUnavailable })
	d.Assert(r.ready(), qt.IsFalse)
	d.writeConfig(3, "k")
	d.registerShop("ready")
	d.eventually("it is ready", r.ready)
	d.eventually("it serves", func() bool { return r.lookStatus("k") == http.StatusOK })
	d.writeConfig(5, "other")
	d.eventually("the key is withdrawn", func() bool { return r.lookStatus("k") == http.StatusUnauthorized })
	d.Assert(r.lookStatus("other"), qt.Equals, http.StatusOK)
	d.writeConfig(4, "k")
	time.Sleep(1200 * time.Millisecond)
	d.Assert(r.lookStatus("k"), qt.Equals, http.StatusUnauthorized)
	d.registerShop("draining")
	d.eventually("the draining server gets no requests", func() bool { return r.lookStatus("other") == http.StatusServiceUnavailable })
	received := len(callersRequests(d.shop))
	d.Assert(r.lookStatus("other"), qt.Equals, http.StatusServiceUnavailable)
	d.Assert(callersRequests(d.shop), qt.HasLen, received)
	d.store.DropHistory()
	d.registerShop("ready")
	d.eventually("it reads the tables again", func() bool { return r.lookStatus("other") == http.StatusOK })
}

// TestServesWithoutStore makes the store unavailable for a while, in which the entry of
// a backend server disappears. The daemon must keep serving, also just after the store
// is available again, and must remove the server if its entry is still missing later.
func TestServesWithoutStore(t *testing.T) {
	d := newDeployment(t)
	d.writeConfig(3, "k")
	d.registerShop("ready")
	r := d.start("vm-1")
	d.eventually("it serves", func() bool { return r.lookStatus("k") == http.StatusOK })
	d.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Unavailable })
	d.store.DropHistory()
	d.eventually("both feeds of the store fail", func() bool {
		return strings.Contains(r.log.String(), `"msg":"store feed failed, retrying","table":"servers"`) &&
			strings.Contains(r.log.String(), `"msg":"store feed failed, retrying","table":"op"`)
	})
	d.store.Remove("servers", "i-1")
	d.Assert(r.lookStatus("k"), qt.Equals, http.StatusOK)
	d.Assert(r.ready(), qt.IsTrue)
	d.store.SetFault(nil)
	d.eventually("the feed of the store is restored", func() bool {
		return strings.Contains(r.log.String(), `"msg":"store feed restored","table":"servers"`)
	})
	d.Assert(r.lookStatus("k"), qt.Equals, http.StatusOK)
	d.eventually("the server whose entry is still missing is removed", func() bool {
		return r.lookStatus("k") == http.StatusServiceUnavailable
	})
}

// TestShutdownFinishesRequests stops a daemon while a request runs. The daemon must stop
// being ready at once, finish the request, and report the usage of all requests.
func TestShutdownFinishesRequests(t *testing.T) {
	d := newDeployment(t)
	d.writeConfig(3, "k")
	d.registerShop("ready")
	one, two := d.start("vm-1"), d.start("vm-2")
	d.eventually("both serve", func() bool { return one.lookStatus("k") == http.StatusOK && two.lookStatus("k") == http.StatusOK })
	d.shop.SetPause(3500 * time.Millisecond) // longer than connections are accepted
	status := make(chan int, 1)
	before := len(d.shop.ReceivedRequests())
	go func() { status <- one.lookStatus("k") }()
	d.eventually("the request runs", func() bool { return len(d.shop.ReceivedRequests()) > before })
	one.stop()
	d.eventually("it is not ready", func() bool { return !one.ready() })
	d.Assert(<-status, qt.Equals, http.StatusOK)
	select {
	case err := <-one.exited:
		d.Assert(err, qt.IsNil)
	case <-time.After(waitLimit):
		d.Fatal("the daemon does not exit")
	}
	ran := float64(len(callersRequests(d.shop)))
	d.eventually(fmt.Sprintf("%v requests are reported", ran), func() bool { return d.reportedRequests() == ran })
	d.checkReports()
}

// callersRequests returns the requests that a server received, without the health checks by which
// daemons find out whether they reach servers.
func callersRequests(s *platformtest.Server) []platformtest.ReceivedRequest {
	return slices.DeleteFunc(s.ReceivedRequests(), func(r platformtest.ReceivedRequest) bool { return r.Path == "/healthz" })
}

// reportedRequests returns the number of requests in all reported usage windows.
func (d *deployment) reportedRequests() float64 {
	sum := 0.0
	for _, figures := range d.reportedWindows() {
		for _, n := range figures {
			sum += n
		}
	}
	return sum
}

// reportedWindows returns the requests by client account of each usage window, as
// reported last.
func (d *deployment) reportedWindows() map[float64]map[string]float64 {
	windows := make(map[float64]map[string]float64)
	for _, call := range d.cloud.Calls() {
		if call.Path != "/usage" {
			continue
		}
		figures := make(map[string]float64)
		counts, _ := call.Body["counts"].(map[string]any)
		for account, n := range counts {
			figures[account], _ = n.(float64)
		}
		id, _ := call.Body["windowId"].(float64)
		windows[id] = figures
	}
	return windows
}

// checkReports checks that no window was reported twice with different figures, that
// fencing tokens never decrease, and that each belongs to one holder.
func (d *deployment) checkReports() {
	figures := make(map[string]string)
	holders := make(map[uint64]string)
	last := uint64(0)
	for _, call := range d.cloud.Calls() {
		id := fmt.Sprint(call.Path, call.Body["windowId"])
		counts := fmt.Sprint(call.Body["counts"])
		if old, ok := figures[id]; ok {
			d.Assert(counts, qt.Equals, old)
		}
		figures[id] = counts
		if holder, ok := holders[call.Fence]; ok {
			d.Assert(call.Holder, qt.Equals, holder)
		}
		holders[call.Fence] = call.Holder
		d.Assert(call.Fence >= last, qt.IsTrue)
		last = call.Fence
	}
}

// TestUsageThroughFaults loses replies, delays writes and refuses calls of the store
// while two daemons serve, and then stops one daemon. Every request must be reported
// once.
func TestUsageThroughFaults(t *testing.T) {
	d := newDeployment(t)
	d.writeConfig(3, "k")
	d.registerShop("ready")
	one, two := d.start("vm-1"), d.start("vm-2")
	d.eventually("both serve", func() bool { return one.lookStatus("k") == http.StatusOK && two.lookStatus("k") == http.StatusOK })
	calls := 0
	var mu sync.Mutex
	d.store.SetFault(func(method, _ string) platformtest.Fault {
		mu.Lock()
		defer mu.Unlock()
		if calls++; method != http.MethodPost {
			return platformtest.NoFault
		}
		return [...]platformtest.Fault{platformtest.NoFault, platformtest.ReplyLost, platformtest.NoFault, platformtest.Unavailable, platformtest.NoFault, platformtest.AppliedLate}[calls%6]
	})
	for range 40 {
		d.Assert(one.lookStatus("k"), qt.Equals, http.StatusOK)
		d.Assert(two.lookStatus("k"), qt.Equals, http.StatusOK)
		time.Sleep(50 * time.Millisecond)
		d.store.ApplyLate()
	}
	d.store.SetFault(nil)
	one.stop()
	d.Assert(<-one.exited, qt.IsNil)
	ran := float64(len(callersRequests(d.shop)))
	d.eventually(fmt.Sprintf("%v requests are reported", ran), func() bool { return d.reportedRequests() == ran })
	d.checkReports()
}

func TestOptions(t *testing.T) {
	c := qt.New(t)
	c.Assert(daemon.DefaultOptions().Validate(), qt.IsNil)
	o := daemon.DefaultOptions()
	o.LimitMemory = 0
	c.Assert(o.Validate(), qt.ErrorIs, daemon.ErrInvalidOptions)
	o = daemon.DefaultOptions()
	o.Quarantine.Hold = 0
	c.Assert(o.Validate(), qt.ErrorIs, quarantine.ErrInvalidSettings)
}
