package proxy_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciapath.example/acaciad/directory"
	"acaciapath.example/acaciad/forwarding"
	"acaciapath.example/acaciad/proxy"
	"acaciapath.example/core/catalog"
	"acaciapath.example/core/detour"
	reach "acaciapath.example/core/forwarding"
	"acaciapath.example/core/retry"
	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/link"
	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
)

// testPath is an own path whose state the test sets.
type testPath struct {
	mu     sync.Mutex // guards the fields below
	state  reach.State
	change chan struct{}
	hangs  context.Context
	hang   context.CancelFunc
	// lost are the addresses of connections that ended without an answer.
	lost []string
}

func newTestPath() *testPath {
	p := &testPath{change: make(chan struct{})}
	p.hangs, p.hang = context.WithCancel(context.Background())
	return p
}

func (p *testPath) set(s reach.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
	close(p.change)
	p.change = make(chan struct{})
}

// State implements proxy.Path.
func (p *testPath) State() reach.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// Await implements proxy.Path.
func (p *testPath) Await(ctx context.Context) reach.State {
	for {
		p.mu.Lock()
		state, change := p.state, p.change
		p.mu.Unlock()
		if state != reach.Suspect || ctx.Err() != nil {
			return state
		}
		select {
		case <-change:
		case <-ctx.Done():
		}
	}
}

// Begin implements proxy.Path.
func (p *testPath) Begin() (end func(bool)) { return func(bool) {} }

// Lost implements proxy.Path.
func (p *testPath) Lost(address string, _ bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost = append(p.lost, address)
}

// Hanging implements proxy.Path.
func (p *testPath) Hanging() context.Context { return p.hangs }

// lentFixture is a fixture whose own path is a link that can be cut, with a neighbour that reaches
// all servers.
type lentFixture struct {
	*fixture
	link *link.Link
	path *testPath
	// lender is the neighbour, and port its port.
	lender *forwarding.Lender
	port   *httptest.Server
	log    *lockedBuffer
}

// lockedBuffer is a buffer for logs.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String returns what was written.
func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// newLentFixture starts a handler with a neighbour and burst retries in its budget.
func newLentFixture(t *testing.T, burst float64) *lentFixture {
	f := &lentFixture{fixture: newFixture(t, burst), path: newTestPath(), log: &lockedBuffer{}}
	f.loadCatalog()
	f.link = link.New(proxy.Dial)
	f.handler.Logger.SetOutput(f.log)
	f.handler.Client = proxy.NewClient(f.link.Dial)
	f.handler.Path = f.path
	f.handler.Detours = forwarding.NewDetours(f.link.Dial, prometheus.NewRegistry(), f.handler.Logger, time.Now())

	direct := proxy.NewClient(proxy.Dial)
	f.lender = forwarding.NewLender(forwarding.NewMetrics(prometheus.NewRegistry()))
	l := f.lender
	l.Admission = reach.Admission{Capacity: 100, Total: 50, PerAsker: 50}
	l.Directory, l.Send, l.Accepts = f.directory, direct.Send, direct.Accepts
	l.Await = func(context.Context) reach.State { return reach.Direct }
	l.Hanging, l.Draining, l.Ending = context.Background, context.Background(), context.Background()
	l.Detoured = func(string) bool { return false }
	l.OwnRequests = func() int { return 0 }
	l.Timeout = func(h http.Header) time.Duration { return f.handler.Wire.ParseRequest(h).Timeout }
	l.MaxBodyBytes = func() int64 { return 1 << 20 }
	l.OnAnswer, l.OnLost = f.handler.HearForwarded, f.handler.RecordForwardedLoss
	l.Memory, l.Logger = f.handler.Buffers, f.handler.Logger
	f.port = loopback.NewServer(l.Handler(http.NotFoundHandler()))
	asker := forwarding.NewAsker("vm", "z", forwarding.NewMetrics(prometheus.NewRegistry()), f.handler.Logger, rand.New(rand.NewPCG(1, 2)))
	asker.SetNeighbours([]detour.Neighbour{{Address: f.port.Listener.Addr().String(), FailureDomain: "z"}})
	f.handler.Neighbours = asker
	f.Cleanup(func() {
		f.port.CloseClientConnections()
		f.port.Close()
	})
	return f
}

// withLongDeadline returns a request with a deadline of 10 s.
func (f *lentFixture) withLongDeadline(path string) *http.Request {
	r := f.request(f.Context(), http.MethodPost, path, "x")
	r.Header.Set("X-Deadline-Ms", "10000")
	return r
}

// dials returns the number of connections that the own path tried to open.
func (f *lentFixture) dials() int {
	n := 0
	for _, count := range f.link.Dials() {
		n += count
	}
	return n
}

// TestCutOffVMServesThroughNeighbour has requests of all kinds go through a neighbour at once while the
// own path is cut off, and their attempts name it.
func TestCutOffVMServesThroughNeighbour(t *testing.T) {
	f := newLentFixture(t, 0)
	shop, llm := f.startServer("i-1", "shop", 0), f.startServer("i-2", "llm", 3)
	f.link.SetCut(link.Hang)
	f.path.set(reach.CutOff)
	for _, path := range []string{"/look/", "/order/", "/quote/", "/reply/"} {
		a := f.send(http.MethodPost, path, "x")
		f.Check(a.err, qt.IsNil)
		f.Check(a.status, qt.Equals, http.StatusOK)
		for name := range a.header {
			f.Check(strings.HasPrefix(name, "Acaciapath-"), qt.IsFalse, qt.Commentf("%s", name))
		}
	}
	f.Check(runCount(shop, llm), qt.Equals, 4)
	f.Check(f.meteredRequests(), qt.Equals, uint64(4))
	f.Check(f.dials(), qt.Equals, 0)
	f.eventually(func() bool { return strings.Count(f.log.String(), "via="+f.port.Listener.Addr().String()) == 4 })
	for _, a := range shop.ReceivedRequests() {
		f.Check(a.Header.Get("X-Tenant"), qt.Equals, "account-a")
		f.Check(a.Header.Get("Authorization"), qt.Equals, "")
		for name := range a.Header {
			f.Check(strings.HasPrefix(name, "Acaciapath-"), qt.IsFalse, qt.Commentf("%s", name))
		}
	}
}

// TestRequestsAwaitTheVerdict has requests wait while the own path is in doubt, and go where the
// verdict says. Servers are told the time that is left then.
func TestRequestsAwaitTheVerdict(t *testing.T) {
	for _, verdict := range []reach.State{reach.CutOff, reach.Direct} {
		t.Run(verdict.String(), func(t *testing.T) {
			f := newLentFixture(t, 0)
			shop := f.startServer("i-1", "shop", 0)
			f.path.set(reach.Suspect)
			answers := make(chan answer, 1)
			go func() { answers <- f.send(http.MethodPost, "/order/", "x") }()
			time.Sleep(300 * time.Millisecond)
			f.Check(receivedCount(shop), qt.Equals, 0)
			f.path.set(verdict)
			f.Check((<-answers).status, qt.Equals, http.StatusOK)
			f.Check(f.dials() > 0, qt.Equals, verdict == reach.Direct)
			f.Check(shop.ReceivedRequests()[0].Header.Get("X-Deadline-Ms") < "1700", qt.IsTrue)
		})
	}
}

// TestUnsentRequestGoesThroughNeighbourAtOnce has the own path turn out to be cut off under a
// request that was not sent. It goes to the same server through a neighbour, in the same attempt.
func TestUnsentRequestGoesThroughNeighbourAtOnce(t *testing.T) {
	f := newLentFixture(t, 0)
	shop := f.startServer("i-1", "shop", 0)
	f.link.SetCut(link.Hang)
	answers := make(chan answer, 1)
	go func() { answers <- f.send(http.MethodPost, "/order/", "x") }()
	f.eventually(func() bool { return f.dials() == 1 })
	f.path.set(reach.CutOff)
	f.Check((<-answers).status, qt.Equals, http.StatusOK)
	f.Check(runCount(shop), qt.Equals, 1)
	f.Check(strings.Count(f.log.String(), "unreached"), qt.Equals, 0)
}

// TestServerThatOnlyNeighboursReach has the own path not reach one of two servers. Requests to it go
// through a neighbour, the later ones without a try, until the own path reaches it again.
func TestServerThatOnlyNeighboursReach(t *testing.T) {
	f := newLentFixture(t, 0)
	one, two := f.startServer("i-1", "shop", 0), f.startServer("i-2", "shop", 0)
	f.link.SetCutTo(link.Refuse, one.Address())
	for range 20 {
		f.Check(f.send(http.MethodPost, "/order/", "x").status, qt.Equals, http.StatusOK)
	}
	f.Check(runCount(one) > 3, qt.IsTrue)
	f.Check(runCount(two) > 3, qt.IsTrue)
	f.Check(f.link.Dials()[one.Address()], qt.Equals, 1)
	f.link.SetCut(link.None)
	f.eventually(func() bool {
		f.send(http.MethodPost, "/order/", "x")
		return f.link.Dials()[one.Address()] > 3
	})
}

// TestDeadServerIsNoDetour has neighbours not reach a server either. It is avoided as before.
func TestDeadServerIsNoDetour(t *testing.T) {
	f := newLentFixture(t, 10)
	one, two := f.startServer("i-1", "shop", 0), f.startServer("i-2", "shop", 0)
	one.Close()
	for range 20 {
		f.Check(f.send(http.MethodPost, "/order/", "x").status, qt.Equals, http.StatusOK)
	}
	f.Check(runCount(two), qt.Equals, 20)
	f.Check(f.link.Dials()[one.Address()] <= 2, qt.IsTrue)
}

// TestNeighbourDiesHalfway has a neighbour die with a request. One that may run once is not sent
// again; another one is, within the retry budget.
func TestNeighbourDiesHalfway(t *testing.T) {
	for name, test := range map[string]struct {
		path         string
		burst        float64
		status, runs int
	}{
		"once":                {path: "/order/", burst: 5, status: http.StatusBadGateway, runs: 1},
		"repeatable":          {path: "/look/", burst: 5, status: http.StatusOK, runs: 2},
		"repeatable, no more": {path: "/look/", burst: 0, status: http.StatusBadGateway, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLentFixture(t, test.burst)
			one, two := f.startServer("i-1", "shop", 0), f.startServer("i-2", "shop", 0)
			one.SetResponseMode(platformtest.Hangs)
			two.SetResponseMode(platformtest.Hangs)
			f.path.set(reach.CutOff)
			answers := make(chan answer, 1)
			go func() { answers <- f.send(http.MethodPost, test.path, "x") }()
			f.eventually(func() bool { return runCount(one, two) == 1 })
			one.SetResponseMode(platformtest.Normal)
			two.SetResponseMode(platformtest.Normal)
			f.path.set(reach.Direct) // there is no other neighbour
			f.port.CloseClientConnections()
			f.Check((<-answers).status, qt.Equals, test.status)
			f.Check(runCount(one, two), qt.Equals, test.runs)
			f.Check(f.handler.Guard.IsSuspicious(), qt.IsFalse)
		})
	}
}

// TestHangingAttempts has the own path hang under requests that were sent. Those that may be
// repeated are sent through a neighbour; others wait for their answers.
func TestHangingAttempts(t *testing.T) {
	for name, test := range map[string]struct {
		path  string
		burst float64
		// abandoned states that the request is sent once more.
		abandoned bool
	}{
		"once":                  {path: "/order/", burst: 5},
		"repeatable":            {path: "/look/", burst: 5, abandoned: true},
		"repeatable, no budget": {path: "/look/", burst: 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLentFixture(t, test.burst)
			c := testCatalog()
			c.Revision++
			for i := range c.Routes {
				c.Routes[i].MaxReplicas = 3
			}
			f.directory.SetCatalog(c, time.Now())
			one, two := f.startServer("i-1", "shop", 0), f.startServer("i-2", "shop", 0)
			one.SetPause(1200 * time.Millisecond)
			two.SetPause(1200 * time.Millisecond)
			answers := make(chan answer, 1)
			go func() { answers <- f.do(f.withLongDeadline(test.path)) }()
			f.eventually(func() bool { return runCount(one, two) == 1 })
			one.SetPause(0)
			two.SetPause(0)
			f.path.set(reach.CutOff)
			f.path.hang()
			f.Check((<-answers).status, qt.Equals, http.StatusOK)
			runs := 1
			if test.abandoned {
				runs = 2
			}
			f.Check(runCount(one, two), qt.Equals, runs)
			f.Check(f.meteredRequests(), qt.Equals, uint64(1))
		})
	}
}

// TestHangingStreamGoesOnThroughNeighbour has the own path hang midway under a stream that can be
// taken up again. It goes on at another server of its version, after its last event.
func TestHangingStreamGoesOnThroughNeighbour(t *testing.T) {
	f := newLentFixture(t, 2)
	one := f.startServer("i-1", "llm", longStreamEvents)
	one.SetPause(eventInterval)
	answers := make(chan answer, 1)
	go func() { answers <- f.do(f.withLongDeadline("/reply/")) }()
	f.eventually(func() bool { return receivedCount(one) == 1 })
	two := platformtest.NewServer("i-2", longStreamEvents)
	f.Cleanup(two.Close)
	f.registerServer("i-2", "llm", two.Address())
	time.Sleep(10 * eventInterval)
	f.link.SetCut(link.Hang)
	f.path.set(reach.CutOff)
	f.path.hang()
	f.checkComplete(<-answers)
	f.Check(two.ReceivedRequests()[0].Header.Get("Last-Event-Id"), qt.Not(qt.Equals), "")
	f.Check(f.dials(), qt.Equals, 1)
	f.Check(f.meteredRequests(), qt.Equals, uint64(1))
	f.Check(f.handler.Guard.IsSuspicious(), qt.IsFalse)
}

// TestLiveStreamsStayOnOldConnections has streams whose events go on arriving stay where they are.
func TestLiveStreamsStayOnOldConnections(t *testing.T) {
	f := newLentFixture(t, 2)
	one := f.startServer("i-1", "llm", longStreamEvents)
	one.SetPause(eventInterval)
	answers := make(chan answer, 1)
	go func() { answers <- f.do(f.withLongDeadline("/reply/")) }()
	f.eventually(func() bool { return receivedCount(one) == 1 })
	f.path.set(reach.CutOff)
	f.path.hang()
	f.checkComplete(<-answers)
	f.Check(receivedCount(one), qt.Equals, 1)
}

// TestLostConnectionsOfACutAreNoEvidence has a cut reset streams that have just begun. Their prompts
// are not suspected, and their servers not avoided.
func TestLostConnectionsOfACutAreNoEvidence(t *testing.T) {
	f := newLentFixture(t, 0)
	c := testCatalog()
	c.Revision++
	for i := range c.Services {
		c.Services[i].Cold = &catalog.Cold{PerSecond: 1000, Duration: 5 * time.Second}
	}
	f.directory.SetCatalog(c, time.Now())
	one := f.startServer("i-1", "llm", longStreamEvents)
	one.SetPause(eventInterval)
	answers := make(chan answer, 4)
	for range cap(answers) {
		go func() {
			r := f.withLongDeadline("/quote/")
			r.Header.Set("X-Prefix-Hash", "1:100,2:100")
			answers <- f.do(r)
		}()
	}
	f.eventually(func() bool { return receivedCount(one) == cap(answers) })
	time.Sleep(2 * eventInterval)
	f.path.set(reach.Suspect)
	f.link.SetCut(link.Reset)
	f.path.set(reach.CutOff)
	for range cap(answers) {
		f.Check((<-answers).err, qt.IsNotNil)
	}
	a := f.do(f.withLongDeadline("/quote/"))
	f.checkComplete(a)
	f.Check(f.handler.Guard.IsSuspicious(), qt.IsFalse)
	f.Check(strings.Contains(f.log.String(), "connection to a backend server was lost"), qt.IsFalse)
}

// TestServerCrashIsReportedByLender has a server crash under a stream that goes through a neighbour,
// which reports that.
func TestServerCrashIsReportedByLender(t *testing.T) {
	f := newLentFixture(t, 0)
	one := f.startServer("i-1", "llm", longStreamEvents)
	one.SetPause(eventInterval)
	f.path.set(reach.CutOff)
	f.link.SetCut(link.Reset)
	direct := f.handler.Client
	f.lender.OnLost = f.lenderHandler().RecordForwardedLoss
	answers := make(chan answer, 1)
	go func() {
		r := f.withLongDeadline("/quote/")
		r.Header.Set("X-Prefix-Hash", "1:100,2:100")
		answers <- f.do(r)
	}()
	f.eventually(func() bool { return receivedCount(one) == 1 })
	time.Sleep(2 * eventInterval)
	one.Close()
	f.Check((<-answers).err, qt.IsNotNil)
	f.eventually(f.handler.Guard.IsSuspicious)
	f.Check(direct, qt.Equals, f.handler.Client)
}

// lenderHandler returns the handler of the neighbour, which shares the guard.
func (f *lentFixture) lenderHandler() *proxy.Handler {
	return &proxy.Handler{
		Directory: f.handler.Directory, Client: proxy.NewClient(proxy.Dial), Guard: f.handler.Guard, Wire: f.handler.Wire, Logger: f.handler.Logger,
	}
}

// TestNoNeighbourHelps has no neighbour take a request on. It is sent on the own path, as before.
func TestNoNeighbourHelps(t *testing.T) {
	f := newLentFixture(t, 0)
	shop := f.startServer("i-1", "shop", 0)
	f.lender.Admission = reach.Admission{}
	f.path.set(reach.CutOff)
	f.Check(f.send(http.MethodPost, "/order/", "x").status, qt.Equals, http.StatusOK)
	f.Check(runCount(shop), qt.Equals, 1)
	f.link.SetCut(link.Refuse)
	a := f.send(http.MethodPost, "/order/", "x")
	f.Check(a.status, qt.Equals, http.StatusServiceUnavailable)
	f.Check(a.body, qt.Equals, "not-run\n")
	f.Check(runCount(shop), qt.Equals, 1)
}

// TestUnframedStreamThroughNeighbour has a stream that ends with its connection be complete through
// a neighbour, and one that breaks off not.
func TestUnframedStreamThroughNeighbour(t *testing.T) {
	f := newLentFixture(t, 0)
	one := f.startServer("i-1", "llm", longStreamEvents)
	one.SetUnframed(true)
	f.path.set(reach.CutOff)
	f.checkComplete(f.do(f.withLongDeadline("/quote/")))
	one.SetResponseMode(platformtest.Truncated)
	a := f.do(f.withLongDeadline("/quote/"))
	f.Check(a.err, qt.IsNotNil)
	f.Check(strings.HasPrefix(events(1, longStreamEvents), a.body), qt.IsTrue)
}

// TestCallerCannotUseLenderHeaders has a caller send the headers of an asker. They have no meaning at
// the callers' port, and none of them reaches a neighbour's server.
func TestCallerCannotUseLenderHeaders(t *testing.T) {
	for _, state := range []reach.State{reach.Direct, reach.CutOff} {
		f := newLentFixture(t, 0)
		shop, other := f.startServer("i-1", "shop", 0), f.startServer("i-2", "llm", 3)
		f.path.set(state)
		r := f.request(f.Context(), http.MethodPost, "/order/", "x")
		r.Header.Set("Acaciapath-Forward-To", "i-2 "+other.Address())
		r.Header.Set("Acaciapath-Forward-Check", "i-2 "+other.Address())
		r.Header.Set("Acaciapath-Forward-Repeatable", "1")
		f.Check(f.do(r).status, qt.Equals, http.StatusOK)
		f.Check(runCount(shop), qt.Equals, 1)
		f.Check(receivedCount(other), qt.Equals, 0)
	}
}

// TestPausesAreHeardByBoth has a server refuse a request of a cut-off VM and ask for a pause. Neither
// the VM nor its neighbour sends it another one.
func TestPausesAreHeardByBoth(t *testing.T) {
	f := newLentFixture(t, 0)
	shop := f.startServer("i-1", "shop", 0)
	shop.SetResponseMode(platformtest.Overloaded)
	shop.SetRetryAfter("30")
	of := directory.New("z", time.Second, rand.New(rand.NewPCG(1, 2)))
	of.SetServers(f.specs, time.Now())
	lender := f.lenderHandler()
	lender.Directory, f.lender.Directory, f.lender.OnAnswer = of, of, lender.HearForwarded
	f.path.set(reach.CutOff)
	for range 3 {
		f.Check(f.send(http.MethodPost, "/order/", "x").status, qt.Equals, http.StatusServiceUnavailable)
	}
	f.Check(receivedCount(shop), qt.Equals, 1)
	for _, d := range []*directory.Directory{f.directory, of} {
		f.Check(d.IsPaused(f.specs[0].Instance(), time.Now()), qt.IsTrue)
	}
}

// TestHasLeavesTheBudget has a look at a budget take nothing from it.
func TestHasLeavesTheBudget(t *testing.T) {
	c := qt.New(t)
	b := proxy.NewBudgets(retry.Budget{Burst: 1, Available: 1})
	now := time.Now()
	c.Check(b.Has("shop", now), qt.IsTrue)
	c.Check(b.Has("shop", now), qt.IsTrue)
	c.Check(b.Spend("shop", now), qt.IsTrue)
	c.Check(b.Has("shop", now), qt.IsFalse)
}
