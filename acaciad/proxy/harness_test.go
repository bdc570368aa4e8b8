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

	"acaciapath.example/acaciad/directory"
	"acaciapath.example/acaciad/proxy"
	"acaciapath.example/core/catalog"
	"acaciapath.example/core/replica"
	"acaciapath.example/core/retry"
	"acaciapath.example/core/usage"
	"acaciapath.example/platform/standin"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// host is the host of all routes of the tests.
const host = "shop.example"

// world is a handler before backend servers.
type world struct {
	*qt.C
	directory *directory.Directory
	handler   *proxy.Handler
	front     *httptest.Server
	drain     context.CancelFunc
	specs     []replica.Spec
}

// testCatalog has a route of each kind. Requests of keyed routes need "key-a".
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
		Services: []catalog.Service{{Name: "shop"}, {Name: "llm", Engine: &catalog.Engine{Places: 8, EventTokens: 3}}},
		Accounts: []catalog.Account{{Name: "account-a", Keys: []string{"key-a"}}},
		Limits:   catalog.Limits{BodyBytes: 1000},
	}
}

// newWorld starts a handler whose retries are bounded by burst.
func newWorld(t *testing.T, burst float64) *world {
	c := qt.New(t)
	w := &world{C: c, directory: directory.New("z", time.Second, rand.New(rand.NewPCG(1, 2)))}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	drain, cancel := context.WithCancel(context.Background())
	w.drain = cancel
	w.handler = &proxy.Handler{
		Directory:    w.directory,
		Client:       proxy.NewClient(),
		Meter:        usage.NewMeter(),
		Metrics:      proxy.NewMetrics(prometheus.NewRegistry()),
		Logger:       logger,
		RetryBudgets: proxy.NewBudgets(retry.Budget{Burst: burst, Available: burst}),
		MoveBudgets:  proxy.NewBudgets(retry.Budget{Burst: burst, Available: burst}),
		Draining:     drain,
	}
	w.front = httptest.NewServer(w.handler)
	c.Cleanup(func() {
		w.front.Close()
		cancel()
	})
	return w
}

// ready makes the catalog known.
func (w *world) ready() { w.directory.SetCatalog(testCatalog(), time.Now()) }

// server starts a backend server of a service.
func (w *world) server(id, service string, events int) *standin.Server {
	s := standin.NewServer(id, events)
	w.Cleanup(s.Close)
	w.register(id, service, s.Address())
	return s
}

// register lists a backend server.
func (w *world) register(id, service, address string) {
	w.specs = append(w.specs, replica.Spec{Name: id, Address: address, FailureDomain: "z", Serves: []string{service}, Slots: 8})
	w.directory.SetServers(w.specs, time.Now())
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// close says that the connection is to be closed.
	close bool
	// err is set if the answer broke off or there was none.
	err error
}

// request returns a request of a route that waits 2 s for its answer.
func (w *world) request(ctx context.Context, method, path, body string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, w.front.URL+path, strings.NewReader(body))
	w.Assert(err, qt.IsNil)
	r.Host = host
	r.Header.Set("Authorization", "Bearer key-a")
	r.Header.Set("X-Attempt-Id", "id-1")
	r.Header.Set("X-Deadline-Ms", "2000")
	return r
}

// get sends a request and reads the answer.
func (w *world) get(method, path, body string) answer {
	return w.do(w.request(w.Context(), method, path, body))
}

func (w *world) do(r *http.Request) answer {
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), close: response.Close, err: err}
}

// counted returns the requests that the meter has for the client account.
func (w *world) counted() uint64 {
	n := uint64(0)
	for _, line := range w.handler.Meter.TakePart(time.Now(), time.Second).Lines {
		n += line.Requests
	}
	return n
}

// ran returns how many requests ran on backend servers.
func ran(servers ...*standin.Server) int {
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

// arrived returns how many requests reached backend servers.
func arrived(servers ...*standin.Server) int {
	n := 0
	for _, s := range servers {
		n += len(s.ReceivedRequests())
	}
	return n
}

// eventually waits for a condition.
func (w *world) eventually(condition func() bool) {
	w.Helper()
	for end := time.Now().Add(patience); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			w.Fatalf("not within %s", patience)
		}
	}
}

// patience is far more than anything in these tests takes on a busy machine.
const patience = 10 * time.Second

// events returns the stream of events first to last.
func events(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		n := strconv.Itoa(i)
		b.WriteString("id: " + n + "\ndata: event " + n + "\n\n")
	}
	return b.String()
}
