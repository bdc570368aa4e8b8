package proxy_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"acaciapath.example/acaciad/crashreports"
	"acaciapath.example/acaciad/directory"
	"acaciapath.example/acaciad/limitreports"
	"acaciapath.example/acaciad/origins"
	"acaciapath.example/acaciad/proxy"
	"acaciapath.example/core/catalog"
	"acaciapath.example/core/memory"
	"acaciapath.example/core/quarantine"
	"acaciapath.example/core/replica"
	"acaciapath.example/core/retry"
	"acaciapath.example/core/usage"
	"acaciapath.example/platform"
	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// host is the host of all routes of the tests.
const host = "shop.example"

// fixture is a handler with backend servers behind it.
type fixture struct {
	*qt.C
	directory  *directory.Directory
	handler    *proxy.Handler
	frontend   *httptest.Server
	startDrain context.CancelFunc
	endStreams context.CancelFunc
	specs      []replica.Spec
	// originStore is the store through which the origins of streams are exchanged.
	originStore *platformtest.Store
	// stopOrigins ends the writes of plans and streams to originStore.
	stopOrigins func()
}

// testCatalog returns a catalog with a route of each kind. All routes except
// "public" require the key "key-a".
func testCatalog() catalog.Catalog {
	route := func(name string, kind catalog.Kind, service string) catalog.Route {
		return catalog.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind,
			Timeout: 2 * time.Second, LatencyTarget: time.Second, MaxReplicas: 1,
			Splits: []catalog.Split{{Service: service, Weight: 1}},
		}
	}
	look := route("look", catalog.Idempotent, "shop")
	look.MaxReplicas = 2
	quote := route("quote", catalog.Stream, "llm")
	quote.Generates, quote.Tier = true, 2
	reply := route("reply", catalog.Stream, "llm")
	reply.Generates, reply.Resumable, reply.MaxReplicas = true, true, 2
	public := route("public", catalog.Idempotent, "shop")
	public.Public = true
	return catalog.Catalog{
		Revision: 1,
		Routes:   []catalog.Route{look, quote, reply, public, route("order", catalog.AtMostOnce, "shop")},
		Services: []catalog.Service{{Name: "shop"}, {Name: "llm", Engine: &catalog.Engine{Slots: 8, EventTokens: 3}}},
		Accounts: []catalog.Account{{Name: "account-a", Keys: []string{"key-a"}}},
		Limits:   catalog.Limits{BodyBytes: 1000},
	}
}

// testBufferBytes is the budget for large answers in these tests.
const testBufferBytes = 8 << 20

// newFixture starts a handler that has burst retries, and as many moves, in its
// budgets.
func newFixture(t *testing.T, burst float64) *fixture {
	c := qt.New(t)
	f := &fixture{C: c, directory: directory.New("z", time.Second, rand.New(rand.NewPCG(1, 2))), originStore: platformtest.NewStore()}
	c.Cleanup(f.originStore.Close)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	draining, startDrain := context.WithCancel(context.Background())
	f.startDrain = startDrain
	streamsEnd, endStreams := context.WithCancel(context.Background())
	f.endStreams = endStreams
	guard := crashreports.NewGuard(quarantine.DefaultSettings(), prometheus.NewRegistry())
	guard.Metrics, guard.Logger = crashreports.NewMetrics(prometheus.NewRegistry()), logger
	limits := limitreports.NewSharer()
	limits.Daemons, limits.Logger = func() int { return 1 }, logger
	f.handler = &proxy.Handler{
		Directory:    f.directory,
		Client:       proxy.NewClient(proxy.Dial),
		Guard:        guard,
		Limits:       limits,
		Origins:      newOrigins(f.originStore, logger),
		Meter:        usage.NewMeter(),
		Metrics:      proxy.NewMetrics(prometheus.NewRegistry()),
		Logger:       logger,
		Buffers:      memory.NewBudget(testBufferBytes),
		RetryBudgets: proxy.NewBudgets(retry.Budget{Burst: burst, Available: burst}),
		MoveBudgets:  proxy.NewBudgets(retry.Budget{Burst: burst, Available: burst}),
		Draining:     draining,
		StreamsEnd:   streamsEnd,
		RequestsEnd:  context.Background(),
		Ending:       context.Background(),
	}
	f.startOrigins()
	f.frontend = loopback.NewServer(f.handler)
	c.Cleanup(func() {
		f.frontend.Close()
		startDrain()
		endStreams()
	})
	return f
}

// loadCatalog gives the handler its catalog.
func (f *fixture) loadCatalog() { f.directory.SetCatalog(testCatalog(), time.Now()) }

// startServer starts a backend server of a service and lists it. It sends streams
// of the given number of events.
func (f *fixture) startServer(id, service string, events int) *platformtest.Server {
	s := platformtest.NewServer(id, events)
	f.Cleanup(s.Close)
	f.registerServer(id, service, s.Address())
	return s
}

// registerServer lists a backend server.
func (f *fixture) registerServer(id, service, address string) {
	f.specs = append(f.specs, replica.Spec{Name: id, Address: address, FailureDomain: "z", Serves: []string{service}, Slots: 8})
	f.directory.SetServers(f.specs, time.Now())
	f.setVersions()
}

// setVersions passes on which versions are listed.
func (f *fixture) setVersions() {
	f.handler.Origins.SetListed(f.directory.StreamServers(), time.Now())
}

// startOrigins has the plans and streams of the handler written.
func (f *fixture) startOrigins() {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.handler.Origins.Run(ctx)
	}()
	f.stopOrigins = func() { stop(); <-ended }
	f.Cleanup(f.stopOrigins)
}

// newOrigins returns a registry of streams.
func newOrigins(store *platformtest.Store, logger *logrus.Logger) *origins.Registry {
	r := origins.NewRegistry()
	r.VM, r.Logger, r.Metrics = "vm", logger, origins.NewMetrics(prometheus.NewRegistry())
	r.Table = &platform.Table{Store: platform.NewStore(store.Address(), time.Second, platform.NewStoreTransport())}
	return r
}

// answer is what a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	// close states that the caller is asked to close the connection.
	close bool
	// err is set if the answer broke off or there was none.
	err error
}

// request returns a request with a deadline of 2 s.
func (f *fixture) request(ctx context.Context, method, path, body string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, f.frontend.URL+path, strings.NewReader(body))
	f.Assert(err, qt.IsNil)
	r.Host = host
	r.Header.Set("Authorization", "Bearer key-a")
	r.Header.Set("X-Attempt-Id", "id-1")
	r.Header.Set("X-Deadline-Ms", "2000")
	return r
}

// send sends a request and reads the answer.
func (f *fixture) send(method, path, body string) answer {
	return f.do(f.request(f.Context(), method, path, body))
}

// do sends r and reads the answer.
func (f *fixture) do(r *http.Request) answer {
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), close: response.Close, err: err}
}

// meteredRequests takes the usage from the meter and returns its requests.
func (f *fixture) meteredRequests() uint64 {
	n := uint64(0)
	for _, line := range f.handler.Meter.TakePart(time.Now(), time.Second).Lines {
		n += line.Requests
	}
	return n
}

// runCount returns the number of requests that ran on the backend servers.
func runCount(servers ...*platformtest.Server) int {
	n := 0
	for _, s := range servers {
		for _, a := range s.ReceivedRequests() {
			if a.Ran {
				n++
			}
		}
	}
	return n
}

// receivedCount returns the number of requests that the backend servers received.
func receivedCount(servers ...*platformtest.Server) int {
	n := 0
	for _, s := range servers {
		n += len(s.ReceivedRequests())
	}
	return n
}

// eventually waits until condition holds, and fails the test after waitLimit.
func (f *fixture) eventually(condition func() bool) {
	f.Helper()
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.Fatalf("condition does not hold within %s", waitLimit)
		}
	}
}

// waitLimit is long enough for every condition in these tests on a busy machine.
const waitLimit = 10 * time.Second

// events returns the stream of events from first to last.
func events(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		n := strconv.Itoa(i)
		b.WriteString("id: " + n + "\ndata: event " + n + "\n\n")
	}
	return b.String()
}
