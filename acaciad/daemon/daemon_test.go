package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciapath.example/acaciad/daemon"
	"acaciapath.example/platform"
	"acaciapath.example/platform/standin"
	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

// limit is far more than anything in these tests takes on a busy machine.
const limit = 20 * time.Second

// deployment is a platform of stand-ins with daemons before it.
type deployment struct {
	*qt.C
	store  *standin.Store
	duties *standin.Duties
	shop   *standin.Server
}

func newDeployment(t *testing.T) *deployment {
	c := qt.New(t)
	d := &deployment{C: c, store: standin.NewStore(), duties: standin.NewDuties(), shop: standin.NewServer("i-1", 0)}
	c.Cleanup(d.store.Close)
	c.Cleanup(d.duties.Close)
	c.Cleanup(d.shop.Close)
	return d
}

// declare writes a configuration whose route /look/ may be asked for with a key.
func (d *deployment) declare(version int, key string) {
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

// register writes the entry of the shop.
func (d *deployment) register(state string) {
	d.store.Write("servers", "i-1", d.shop.Entry("shop", "z", state))
}

// running is a daemon that runs.
type running struct {
	settings platform.Settings
	log      *logs
	stop     context.CancelFunc
	ended    chan error
}

// logs is an output of a logger that can be read meanwhile.
type logs struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (l *logs) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(p)
}

// String returns what was logged.
func (l *logs) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.String()
}

// start starts a daemon.
func (d *deployment) start(name string) *running {
	s := platform.Settings{
		Name: name, FailureDomain: "z", IP: "127.0.0.1", Regions: map[string]string{"z": "r"},
		CallersAddress: freeAddress(d.C), ReadyAddress: freeAddress(d.C),
		StoreAddress: d.store.Address(), DutiesAddress: d.duties.Address(),
		ReportsUsage: true, OrdersServers: true, MemoryBytes: 1 << 30,
		Grace: 8 * time.Second, Lease: time.Second, UsageWindow: time.Second, UsageDue: 4 * time.Second,
		RetryShare: 0.2, RetryExtra: 20, Contact: time.Second, ServerDrain: 2500 * time.Millisecond,
	}
	r := &running{settings: s, log: &logs{}, ended: make(chan error, 1)}
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	logger.SetOutput(r.log)
	var ctx context.Context
	ctx, r.stop = context.WithCancel(context.Background())
	go func() { r.ended <- daemon.New(s, logger, time.Now()).Run(ctx) }()
	d.Cleanup(r.stop)
	return r
}

// freeAddress returns an address of the loopback interface that nobody uses.
func freeAddress(c *qt.C) string {
	address, err := loopback.FreeAddress()
	c.Assert(err, qt.IsNil)
	return address
}

func (d *deployment) eventually(what string, condition func() bool) {
	d.Helper()
	for end := time.Now().Add(limit); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			d.Fatalf("not within %s: %s", limit, what)
		}
	}
}

// ready reports whether the daemon says that it takes callers.
func (r *running) ready() bool {
	response, err := http.Get("http://" + r.settings.ReadyAddress + "/acaciapath/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// look asks for /look/ with a key and returns the status, or 0.
func (r *running) look(key string) int {
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

// TestFollowsThePlatform follows a daemon from its start before anything is
// declared through changes of the configuration and of the backend servers.
func TestFollowsThePlatform(t *testing.T) {
	d := newDeployment(t)
	r := d.start("vm-1")
	d.eventually("it answers", func() bool { return r.look("k") == http.StatusServiceUnavailable })
	d.Assert(r.ready(), qt.IsFalse)
	d.declare(3, "k")
	d.register("ready")
	d.eventually("it is ready", r.ready)
	d.eventually("it serves", func() bool { return r.look("k") == http.StatusOK })
	d.declare(5, "other")
	d.eventually("the key is withdrawn", func() bool { return r.look("k") == http.StatusUnauthorized })
	d.Assert(r.look("other"), qt.Equals, http.StatusOK)
	d.declare(4, "k")
	time.Sleep(1200 * time.Millisecond)
	d.Assert(r.look("k"), qt.Equals, http.StatusUnauthorized)
	d.register("draining")
	d.eventually("the leaving server gets nothing", func() bool { return r.look("other") == http.StatusServiceUnavailable })
	arrived := len(d.shop.Arrivals())
	d.Assert(r.look("other"), qt.Equals, http.StatusServiceUnavailable)
	d.Assert(d.shop.Arrivals(), qt.HasLen, arrived)
	d.store.Forget()
	d.register("ready")
	d.eventually("it reads the tables anew", func() bool { return r.look("other") == http.StatusOK })
}

// TestServesOnWithoutTheStore has the store away for a while, in which the entry
// of a backend server lapses.
func TestServesOnWithoutTheStore(t *testing.T) {
	d := newDeployment(t)
	d.declare(3, "k")
	d.register("ready")
	r := d.start("vm-1")
	d.eventually("it serves", func() bool { return r.look("k") == http.StatusOK })
	d.store.SetFault(func(string, string) standin.Fault { return standin.Busy })
	d.store.Forget()
	d.eventually("the store is lost to both feeds", func() bool {
		return strings.Contains(r.log.String(), `"msg":"store lost","table":"servers"`) &&
			strings.Contains(r.log.String(), `"msg":"store lost","table":"op"`)
	})
	d.store.Remove("servers", "i-1")
	d.Assert(r.look("k"), qt.Equals, http.StatusOK)
	d.Assert(r.ready(), qt.IsTrue)
	d.store.SetFault(nil)
	d.eventually("the store is regained", func() bool {
		return strings.Contains(r.log.String(), `"msg":"store regained","table":"servers"`)
	})
	d.Assert(r.look("k"), qt.Equals, http.StatusOK)
	d.eventually("the entry that is still missing is given up", func() bool {
		return r.look("k") == http.StatusServiceUnavailable
	})
}

// TestStopServesOn stops a daemon while a request runs. The daemon says at once
// that it is not ready, finishes the request, and all that ran is reported.
func TestStopServesOn(t *testing.T) {
	d := newDeployment(t)
	d.declare(3, "k")
	d.register("ready")
	one, two := d.start("vm-1"), d.start("vm-2")
	d.eventually("both serve", func() bool { return one.look("k") == http.StatusOK && two.look("k") == http.StatusOK })
	d.shop.SetPause(3500 * time.Millisecond) // longer than connections are accepted
	status := make(chan int, 1)
	before := len(d.shop.Arrivals())
	go func() { status <- one.look("k") }()
	d.eventually("the request runs", func() bool { return len(d.shop.Arrivals()) > before })
	one.stop()
	d.eventually("it is not ready", func() bool { return !one.ready() })
	d.Assert(<-status, qt.Equals, http.StatusOK)
	select {
	case err := <-one.ended:
		d.Assert(err, qt.IsNil)
	case <-time.After(limit):
		d.Fatal("the daemon does not end")
	}
	ran := float64(len(d.shop.Arrivals()))
	d.eventually(fmt.Sprintf("%v requests are reported", ran), func() bool { return d.reported() == ran })
	d.checkReports()
}

// reported returns the requests of all usage windows that were reported.
func (d *deployment) reported() float64 {
	sum := 0.0
	for _, figures := range d.windows() {
		for _, n := range figures {
			sum += n
		}
	}
	return sum
}

// windows returns the figures of each window, as reported last.
func (d *deployment) windows() map[float64]map[string]float64 {
	windows := make(map[float64]map[string]float64)
	for _, call := range d.duties.Calls() {
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

// checkReports checks that no window was reported with different figures, that
// fencing numbers only rise, and that each belongs to one holder.
func (d *deployment) checkReports() {
	figures := make(map[string]string)
	holders := make(map[uint64]string)
	last := uint64(0)
	for _, call := range d.duties.Calls() {
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

// TestUsageThroughFaults loses, delays and refuses calls of the store while two
// daemons serve, and stops the holder. Every request is reported once.
func TestUsageThroughFaults(t *testing.T) {
	d := newDeployment(t)
	d.declare(3, "k")
	d.register("ready")
	one, two := d.start("vm-1"), d.start("vm-2")
	d.eventually("both serve", func() bool { return one.look("k") == http.StatusOK && two.look("k") == http.StatusOK })
	calls := 0
	var mu sync.Mutex
	d.store.SetFault(func(method, _ string) standin.Fault {
		mu.Lock()
		defer mu.Unlock()
		if calls++; method != http.MethodPost {
			return standin.None
		}
		return [...]standin.Fault{standin.None, standin.Lost, standin.None, standin.Busy, standin.None, standin.Late}[calls%6]
	})
	for range 40 {
		d.Assert(one.look("k"), qt.Equals, http.StatusOK)
		d.Assert(two.look("k"), qt.Equals, http.StatusOK)
		time.Sleep(50 * time.Millisecond)
		d.store.Apply()
	}
	d.store.SetFault(nil)
	one.stop()
	d.Assert(<-one.ended, qt.IsNil)
	ran := float64(len(d.shop.Arrivals()))
	d.eventually(fmt.Sprintf("%v requests are reported", ran), func() bool { return d.reported() == ran })
	d.checkReports()
}
