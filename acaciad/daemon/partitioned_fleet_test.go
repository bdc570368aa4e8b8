package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciapath.example/acaciad/daemon"
	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/link"
	"acaciapath.example/standin/loopback"
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

	mu sync.Mutex // guards the fields below
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

// newLinkedFleet starts the servers and the VMs, and waits until the VMs serve and know each
// other.
func newLinkedFleet(t testing.TB) *linkedFleet {
	f := &linkedFleet{deployment: newDeployment(t), runs: make(map[string][]run)}
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
	return f
}

// plainRoute returns a route of the plain service.
func plainRoute(name, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": "shop.example", "prefix": "/" + name + "/", "type": kind,
		"timeoutMs": requestTimeout.Milliseconds(), "targetLatencyMs": 400, "service": "shop", "maxAttempts": 3,
	}
}

// startVM starts a daemon that opens its connections to servers by a link, from an address of its
// own.
func (f *linkedFleet) startVM(name, domain string) {
	vm := &linkedVM{address: fmt.Sprintf("127.0.0.%d", 2+len(f.vms))}
	dialer := &net.Dialer{Timeout: 250 * time.Millisecond, LocalAddr: &net.TCPAddr{IP: net.ParseIP(vm.address)}}
	vm.link = link.New(dialer.DialContext)
	settings := f.newSettings(name, freeAddress(f.C))
	settings.FailureDomain, settings.ColdStart = domain, true
	settings.Regions = map[string]string{"a": "r", "b": "r", "c": "r"}
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

// countingServer is a server that counts the runs of each request.
type countingServer struct {
	id, service, domain string
	fleet               *linkedFleet
	http                *httptest.Server
}

// startServer starts a server and lists it.
func (f *linkedFleet) startServer(id, service, domain string) {
	s := &countingServer{id: id, service: service, domain: domain, fleet: f}
	s.http = loopback.NewServer(s)
	f.Cleanup(s.http.CloseClientConnections)
	f.servers = append(f.servers, s)
	f.store.Write("servers", id, map[string]any{
		"service": service, "address": s.address(), "zone": domain, "version": "v1",
		"slots": 64, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": int64(1000),
	})
}

// address returns the IP address and port of the server.
func (s *countingServer) address() string { return strings.TrimPrefix(s.http.URL, "http://") }

// ServeHTTP implements http.Handler.
func (s *countingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if id == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	h := w.Header()
	h.Set("X-Attempt-Id", id)
	if r.Header.Get("X-Expected-Replica") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("X-Replica-Signature", platformtest.Signature)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // none counts as 0
	if last == 0 {
		s.fleet.addRun(id, r.RemoteAddr, s.id)
	}
	time.Sleep(eventPause)
	if s.service == "shop" {
		_, _ = io.WriteString(w, "done")
		return
	}
	h.Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := last + 1; i <= shortStreamEvents; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		_ = controller.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}

// addRun counts a run of a request that came from an address and port.
func (f *linkedFleet) addRun(id, remote, server string) {
	from, _, _ := net.SplitHostPort(remote) // what net/http writes there is valid
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[id] = append(f.runs[id], run{at: time.Now(), from: from, server: server})
}

// call sends a request of a kind at a VM and waits for the end of the answer. The name is
// particular to the request at that VM.
func (f *linkedFleet) call(vm int, kind, name string) call {
	c := call{id: fmt.Sprintf("%d-%s-%s", vm, kind, name), kind: kind, vm: vm, sent: time.Now()}
	method, path, wait := http.MethodPost, "/order/7", requestTimeout
	switch kind {
	case safeCall:
		method, path = http.MethodGet, "/look/7"
	case streamCall:
		path, wait = "/ask/7", streamTimeout
	}
	request, err := http.NewRequest(method, "http://"+f.vms[vm].settings.CallersAddress+path, strings.NewReader("x"))
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
