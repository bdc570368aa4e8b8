package forwarding_test

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciapath.example/acaciad/directory"
	"acaciapath.example/acaciad/forwarding"
	"acaciapath.example/acaciad/proxy"
	"acaciapath.example/core/detour"
	reach "acaciapath.example/core/forwarding"
	"acaciapath.example/core/memory"
	"acaciapath.example/core/replica"
	"acaciapath.example/platform"
	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// pair is an asker and its only neighbour, a lender that reaches one backend server.
type pair struct {
	*qt.C
	asker     *forwarding.Asker
	lender    *forwarding.Lender
	directory *directory.Directory
	spec      replica.Spec
	// port is the lender's port, and server the backend server.
	port, server   *httptest.Server
	startDraining  context.CancelFunc
	end            context.CancelFunc
	answer, others http.HandlerFunc

	mu       sync.Mutex // guards the fields below
	state    reach.State
	received []received
	lost     []int
	heard    []forwarding.Transmission
}

// received is a request that the backend server got.
type received struct {
	method, uri, host string
	header            http.Header
	body              string
}

// newPair starts a backend server that answers as answer does, a lender and an asker.
func newPair(t testing.TB, answer http.HandlerFunc) *pair {
	c := qt.New(t)
	p := &pair{C: c, answer: answer, others: http.NotFound, state: reach.Direct}
	p.server = loopback.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		p.mu.Lock()
		p.received = append(p.received, received{method: r.Method, uri: r.RequestURI, host: r.Host, header: r.Header.Clone(), body: string(body)})
		p.mu.Unlock()
		p.answer(w, r)
	}))
	p.directory = directory.New("a", time.Second, rand.New(rand.NewPCG(1, 2)))
	p.spec = replica.Spec{Name: "i-1", Address: p.server.Listener.Addr().String(), FailureDomain: "b", Serves: []string{"shop"}, Slots: 8}
	p.directory.SetServers([]replica.Spec{p.spec}, time.Now())
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	metrics := forwarding.NewMetrics(prometheus.NewRegistry())
	client := proxy.NewClient(proxy.Dial)
	p.lender = forwarding.NewLender(metrics)
	p.lender.Admission = reach.Admission{Capacity: 100, Total: 4, PerAsker: 2}
	p.lender.Directory, p.lender.Send, p.lender.Accepts = p.directory, client.Send, client.Accepts
	p.lender.Await = func(context.Context) reach.State {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.state
	}
	p.lender.Hanging = context.Background
	p.lender.Detoured = func(string) bool { return false }
	p.lender.OwnRequests = func() int { return 0 }
	p.lender.Timeout = func(h http.Header) time.Duration { return platform.HeaderCodec{}.ParseRequest(h).Timeout }
	p.lender.MaxBodyBytes = func() int64 { return 1 << 20 }
	p.lender.OnAnswer = func(_ forwarding.Request, _ replica.Spec, _ *http.Response, how forwarding.Transmission) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.heard = append(p.heard, how)
	}
	p.lender.OnLost = func(_ forwarding.Request, _ replica.Spec, events int) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.lost = append(p.lost, events)
	}
	p.lender.Memory, p.lender.Logger = memory.NewBudget(8<<20), logger
	p.lender.Draining, p.startDraining = context.WithCancel(context.Background())
	p.lender.Ending, p.end = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { p.others(w, r) })
	p.port = loopback.NewServer(p.lender.Handler(mux))
	p.asker = forwarding.NewAsker("vm-1", "a", forwarding.NewMetrics(prometheus.NewRegistry()), logger, rand.New(rand.NewPCG(1, 2)))
	p.asker.SetNeighbours([]detour.Neighbour{{Address: p.port.Listener.Addr().String(), FailureDomain: "a"}})
	c.Cleanup(func() {
		p.startDraining()
		p.end()
		p.port.CloseClientConnections()
		p.port.Close()
		p.server.CloseClientConnections()
		p.server.Close()
	})
	return p
}

// setState sets the state of the lender's own path.
func (p *pair) setState(s reach.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
}

// requests returns the requests that the backend server got.
func (p *pair) requests() []received {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]received(nil), p.received...)
}

// request returns a request to the backend server.
func (p *pair) request(method, target, body string, repeatable bool) forwarding.Request {
	u, err := url.ParseRequestURI(target)
	p.Assert(err, qt.IsNil)
	held := &memory.Body{Budget: memory.NewBudget(32 << 20), Holder: "test", MaxWait: time.Second}
	p.Assert(held.ReadFrom(context.Background(), strings.NewReader(body), int64(len(body))), qt.IsNil)
	return forwarding.Request{
		Method: method, Target: u, Host: "shop.example", Body: held, Server: p.spec.Name, Address: p.spec.Address, Repeatable: repeatable,
		Header: http.Header{"X-Attempt-Id": {"id-1"}, "X-Deadline-Ms": {"5000"}, "User-Agent": nil},
	}
}

// send sends a request through the lender.
func (p *pair) send(r forwarding.Request) (*http.Response, forwarding.Transmission, error) {
	return p.asker.Send(p.Context(), func() forwarding.Request { return r })
}

// answered is what an asker received.
type answered struct {
	status int
	header http.Header
	body   string
	err    error
}

// read reads an answer.
func read(response *http.Response) answered {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answered{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// eventually waits until condition holds, and fails the test after a generous time.
func (p *pair) eventually(condition func() bool) {
	p.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.Fatal("condition does not hold within 10s")
		}
	}
}

// raw returns an answer that writes bytes on the connection and closes it.
func raw(parts ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		connection, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()
		_, _ = buffered.WriteString(strings.Join(parts, ""))
		_ = buffered.Flush()
	}
}

// bigBody is a body that does not fit into the buffers of a connection.
var bigBody = string(bytes.Repeat([]byte("x"), 900<<10))
