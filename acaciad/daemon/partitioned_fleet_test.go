package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciapath.example/acaciad/daemon"
	"acaciapath.example/standin/link"
)

// Parameters of fleets whose VMs are cut off from servers.
const (
	// requestTimeout and streamTimeout are the timeouts of the routes.
	requestTimeout, streamTimeout = 2 * time.Second, 4 * time.Second
	// shortStreamEvents is the number of events of a stream, and eventPause the time between two.
	shortStreamEvents, eventPause = 8, 25 * time.Millisecond
	// callInterval is the time between two requests at a VM.
	callInterval = 80 * time.Millisecond
)

// linkedVM is a VM with a link of its own to the servers.
type linkedVM struct {
	*runningDaemon
	link *link.Link
	// address is that from which the VM's connections to servers come.
	address string
}

// linkedFleet is a fleet of two VMs in failure domain a and one each in b and c, which share six
// servers: an engine in a and c, two in b, and a server of a plain service in a and b.
type linkedFleet struct {
	*deployment
	vms     []*linkedVM
	servers []*countingServer
	// processes are the VMs whose daemons run in processes of their own, without a link that can
	// be cut.
	processes []int
	// limits are the limits in requests a second that servers name, by service.
	limits map[string]float64

	mu sync.Mutex // guards the fields below
	// pause is the time that servers take before they answer, and gap that between two events.
	pause, gap time.Duration
	// running is the number of requests that run at servers.
	running int
	// calls are the requests of callers that have ended.
	calls []call
	// runs are the runs at servers by request. A stream that is resumed is not another run.
	runs map[string][]run
}

// run is a run of a request at a server.
type run struct {
	at time.Time
	// from is the address of the VM that sent the request to the server.
	from, server string
}

// call is a request of a caller.
type call struct {
	id, kind string
	vm       int
	sent     time.Time
	took     time.Duration
	// status is the HTTP status, or 0 if there was no answer, and complete states that the whole
	// answer was received.
	status   int
	complete bool
	// misplaced states that events were missing or came twice.
	misplaced bool
}

// served reports whether the caller got what it asked for.
func (c call) served() bool { return c.status == http.StatusOK && c.complete }

// Kinds of calls.
const (
	safeCall   = "safe"
	unsafeCall = "unsafe"
	streamCall = "stream"
)

// kinds are the kinds of calls in the order in which callers send them.
var kinds = []string{safeCall, streamCall, unsafeCall}

// vmDomains are the failure domains of the VMs.
var vmDomains = []string{"a", "a", "b", "c"}

// newLinkedFleet returns a fleet that start starts.
func newLinkedFleet(t testing.TB) *linkedFleet {
	return &linkedFleet{deployment: newDeployment(t), runs: make(map[string][]run), pause: eventPause, gap: eventPause}
}

// start starts the servers and the VMs, and waits until the VMs serve and know each other.
func (f *linkedFleet) start() {
	f.store.Write("op", "config", map[string]any{
		"version": 3,
		"routes": []any{
			plainRoute("look", "safe"), plainRoute("order", "unsafe"),
			map[string]any{
				"name": "ask", "host": "shop.example", "prefix": "/ask/", "type": "streaming", "sessionAffinity": true,
				"timeoutMs": streamTimeout.Milliseconds(), "targetLatencyMs": 500, "service": "llm", "maxAttempts": 3, "streamResume": true,
			},
		},
		"services": []any{
			map[string]any{"name": "shop", "healthPath": "/healthz"},
			map[string]any{"name": "llm", "healthPath": "/healthz", "runtime": map[string]any{"slots": 64, "kvCapacity": 500000, "stride": 3}},
		},
		"limits":  map[string]any{"maxBodyBytes": 1000},
		"tenants": []any{map[string]any{"name": "account-a", "apiKeys": []string{"k"}}},
	})
	for i, domain := range []string{"a", "b", "b", "c"} {
		f.startServer(fmt.Sprintf("engine-%d", i), "llm", domain)
	}
	for i, domain := range []string{"a", "b"} {
		f.startServer(fmt.Sprintf("shop-%d", i), "shop", domain)
	}
	for i, domain := range vmDomains {
		f.startVM(fmt.Sprintf("vm-%d", i), domain)
	}
	probes := 0
	f.eventually("all serve", func() bool {
		probes++
		for i := range f.vms {
			for _, kind := range kinds {
				if !f.call(i, kind, fmt.Sprintf("probe-%d", probes)).served() {
					return false
				}
			}
		}
		return true
	})
	f.eventually("the VMs know each other", func() bool {
		for _, vm := range f.vms {
			if !strings.Contains(vm.log.String(), `"number of known neighbours changed"`) {
				return false
			}
		}
		return true
	})
}

// plainRoute returns a route of the plain service.
func plainRoute(name, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": "shop.example", "prefix": "/" + name + "/", "type": kind,
		"timeoutMs": requestTimeout.Milliseconds(), "targetLatencyMs": 400, "service": "shop", "maxAttempts": 3,
	}
}

// processAddress is the address from which connections of VMs in processes of their own come.
const processAddress = "127.0.0.1"

// startVM starts a daemon that opens its connections to servers by a link, from an address of its
// own, or in a process of its own.
func (f *linkedFleet) startVM(name, domain string) {
	settings := f.newSettings(name, freeAddress(f.C))
	settings.FailureDomain, settings.ColdStart = domain, true
	settings.Regions = map[string]string{"a": "r", "b": "r", "c": "r"}
	if slices.Contains(f.processes, len(f.vms)) {
		process, _ := f.startProcessWith(settings)
		f.vms = append(f.vms, &linkedVM{runningDaemon: process, address: processAddress})
		return
	}
	vm := &linkedVM{address: fmt.Sprintf("127.0.0.%d", 2+len(f.vms))}
	dialer := &net.Dialer{Timeout: 250 * time.Millisecond, LocalAddr: &net.TCPAddr{IP: net.ParseIP(vm.address)}}
	vm.link = link.New(dialer.DialContext)
	options := daemon.DefaultOptions()
	options.DialServer = vm.link.Dial
	vm.runningDaemon = f.startWith(settings, options)
	f.Cleanup(func() { vm.link.SetCut(link.None) })
	f.vms = append(f.vms, vm)
}

// cut cuts the links of VMs.
func (f *linkedFleet) cut(c link.Cut, vms ...int) {
	for _, i := range vms {
		f.vms[i].link.SetCut(c)
	}
}

// cutTo cuts the links of VMs to some servers.
func (f *linkedFleet) cutTo(c link.Cut, servers []*countingServer, vms ...int) {
	var addresses []string
	for _, s := range servers {
		addresses = append(addresses, s.address())
	}
	for _, i := range vms {
		f.vms[i].link.SetCutTo(c, addresses...)
	}
}

// serving returns the servers of a service.
func (f *linkedFleet) serving(service string) []*countingServer {
	var list []*countingServer
	for _, s := range f.servers {
		if s.service == service {
			list = append(list, s)
		}
	}
	return list
}

// setPauses sets the time that servers take before they answer, and that between two events.
func (f *linkedFleet) setPauses(pause, gap time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pause, f.gap = pause, gap
}

// begin counts a request that runs at a server, and returns the times that it takes.
func (f *linkedFleet) begin() (pause, gap time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running++
	return f.pause, f.gap
}

// end counts the end of a request at a server.
func (f *linkedFleet) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
}

// runningRequests returns the number of requests that run at servers.
func (f *linkedFleet) runningRequests() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running
}

// call sends a request of a kind at a VM and waits for the end of the answer. The name is
// particular to the request at that VM.
func (f *linkedFleet) call(vm int, kind, name string) call {
	return f.callUntil(context.Background(), vm, kind, name)
}

// callUntil is like call. The caller leaves when ctx is done.
func (f *linkedFleet) callUntil(ctx context.Context, vm int, kind, name string) call {
	c := call{id: fmt.Sprintf("%d-%s-%s", vm, kind, name), kind: kind, vm: vm, sent: time.Now()}
	method, path, wait := http.MethodPost, "/order/7", requestTimeout
	switch kind {
	case safeCall:
		method, path = http.MethodGet, "/look/7"
	case streamCall:
		path, wait = "/ask/7", streamTimeout
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.vms[vm].settings.CallersAddress+path, strings.NewReader("x"))
	if err != nil {
		return c
	}
	request.Host = "shop.example"
	h := request.Header
	h.Set("Authorization", "Bearer k")
	h.Set("X-Attempt-Id", c.id)
	h.Set("X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	if kind == streamCall {
		h.Set("X-Model", "m")
		h.Set("X-Token-Usage", "400,50")
		h.Set("X-Prefix-Hash", c.id+":300,2:100")
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err == nil {
		c.status = response.StatusCode
		c.receive(response.Body)
		_ = response.Body.Close() // it was read
	}
	c.took = time.Since(c.sent)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, c)
	return c
}

// receive reads the body of an answer.
func (c *call) receive(body io.Reader) {
	if c.kind != streamCall || c.status != http.StatusOK {
		_, err := io.Copy(io.Discard, body)
		c.complete = err == nil
		return
	}
	events := 0
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			events++
			c.misplaced = c.misplaced || id != strconv.Itoa(events)
		}
	}
	c.complete = lines.Err() == nil && events == shortStreamEvents && !c.misplaced
}

// load sends requests of all kinds in turn to VMs, one at each in every interval, until the
// returned function is called, which waits until all have ended.
func (f *linkedFleet) load(name string, interval time.Duration, vms ...int) (stop func()) {
	stopped := make(chan struct{})
	var group sync.WaitGroup
	for _, vm := range vms {
		group.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				case <-ticker.C:
				}
				group.Go(func() { f.call(vm, kinds[n%len(kinds)], fmt.Sprintf("%s-%d", name, n)) })
			}
		})
	}
	return func() {
		close(stopped)
		group.Wait()
	}
}
