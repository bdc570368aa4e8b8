package neighbours_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"acaciapath.example/acaciad/neighbours"
	"acaciapath.example/core/detour"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/platform"
	"acaciapath.example/platform/standin"
	"acaciapath.example/standin/relay"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// timeout bounds the calls of the tests.
const timeout = 400 * time.Millisecond

// pair is two daemons before a store: the link of the first one can fail, and the
// second one passes calls on.
type pair struct {
	*qt.C
	store *standin.Store
	link  *relay.Relay
	one   *neighbours.Transport
	// client is the first daemon's client of the store, and direct the one that
	// takes no detours.
	client, direct *platform.Store
	// helpless says that the second daemon does not reach the store either.
	helpless atomic.Bool
	neighbor *httptest.Server
}

func newPair(t *testing.T) *pair {
	p := &pair{C: qt.New(t), store: standin.NewStore()}
	p.Cleanup(p.store.Close)
	link, err := relay.New("127.0.0.1:0")
	p.Assert(err, qt.IsNil)
	p.Cleanup(func() { _ = link.Close() })
	link.Retarget(p.store.Address())
	p.link = link
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	p.one = neighbours.NewTransport(platform.NewStoreTransport(), "z", neighbours.NewMetrics(prometheus.NewRegistry()), logger, rand.New(rand.NewPCG(1, 2)))
	p.client = platform.NewStore(link.Address(), timeout, p.one)
	p.direct = platform.NewStore(link.Address(), timeout, p.one.Direct())
	p.neighbor = httptest.NewServer(&neighbours.Relay{
		StoreAddress: p.store.Address(), Allowed: platform.IsStoreCall, StoreUnreachable: p.helpless.Load,
		Base: platform.NewStoreTransport(), Logger: logger,
	})
	p.Cleanup(p.neighbor.Close)
	p.one.SetNeighbours([]detour.Neighbour{{Address: strings.TrimPrefix(p.neighbor.URL, "http://"), FailureDomain: "z"}})
	p.store.Write("servers", "i-1", "x")
	return p
}

func (p *pair) cut() { p.link.SetFaults(relay.Faults{CutForward: true, CutBack: true}) }

// rows returns the number of rows that the first daemon reads.
func (p *pair) rows() int {
	rows, err := p.client.Snapshot(p.Context(), "servers")
	if err != nil {
		return -1
	}
	return len(rows.Rows)
}

// TestCutOffDaemonReadsThroughNeighbour cuts a daemon off from the store while a
// call of a feed is held there. The first call that fails ends the held one, all
// go on through the neighbour, and directly again after the cut.
func TestCutOffDaemonReadsThroughNeighbour(t *testing.T) {
	p := newPair(t)
	p.Assert(p.rows(), qt.Equals, 1)
	changed := make(chan int, 1)
	go func() {
		rows, err := p.client.Changes(p.Context(), "servers", 1, 5*time.Second)
		if err == nil {
			changed <- len(rows.Rows)
		}
	}()
	time.Sleep(50 * time.Millisecond)
	p.cut()
	p.Assert(p.direct.Ping(p.Context()), qt.IsNotNil)
	p.Assert(p.one.DirectFailing(), qt.IsTrue)
	p.Assert(p.rows(), qt.Equals, 1)
	p.store.Write("servers", "i-2", "x")
	select {
	case n := <-changed:
		p.Assert(n, qt.Equals, 1)
	case <-time.After(2 * time.Second):
		p.Fatal("the held call was not sent through the neighbour")
	}
	ctx, cancel := context.WithCancel(p.Context())
	p.Cleanup(cancel)
	go p.one.Run(ctx, p.direct.Ping)
	p.link.SetFaults(relay.Faults{})
	p.link.Reset()
	for end := time.Now().Add(10 * time.Second); p.one.DirectFailing(); time.Sleep(10 * time.Millisecond) {
		p.Assert(time.Now().Before(end), qt.IsTrue)
	}
}

// TestTurnedAwayDaemonIsServed: the store refuses one VM. Nothing was done, so that
// even a write goes through the neighbour at once.
func TestTurnedAwayDaemonIsServed(t *testing.T) {
	p := newPair(t)
	away := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	p.Cleanup(away.Close)
	p.link.Retarget(strings.TrimPrefix(away.URL, "http://"))
	p.Assert(p.rows(), qt.Equals, 1)
	p.Assert(p.one.DirectFailing(), qt.IsTrue)
}

// TestLostWritesAreNotRepeated: a write whose answer was lost may have been done.
// Who sent it is told, and nothing is sent again.
func TestLostWritesAreNotRepeated(t *testing.T) {
	p := newPair(t)
	p.store.SetFault(func(method, _ string) standin.Fault {
		if method == http.MethodPost {
			return standin.ReplyLost
		}
		return standin.NoFault
	})
	request, err := http.NewRequest(http.MethodPost, "http://"+p.link.Address()+"/acaciapath/rows-tx",
		strings.NewReader(`{"precondition":[],"write":[{"table":"own","part":"p","key":"k","data":"eA=="}],"remove":[]}`))
	p.Assert(err, qt.IsNil)
	_, err = p.one.RoundTrip(request)
	p.Assert(err, qt.IsNotNil)
	p.Assert(p.store.Calls("/acaciapath/rows-tx"), qt.Equals, 1)
}

// TestNeighbourThatIsCutOffRefuses: nobody passes calls on that it relays itself.
func TestNeighbourThatIsCutOffRefuses(t *testing.T) {
	p := newPair(t)
	p.helpless.Store(true)
	p.cut()
	began := time.Now()
	p.Assert(p.rows(), qt.Equals, -1)
	p.Assert(p.rows(), qt.Equals, -1)
	p.Assert(time.Since(began) < 4*timeout, qt.IsTrue)
	response, err := http.Get(p.neighbor.URL + "/acaciapath/blob-list")
	p.Assert(err, qt.IsNil)
	defer response.Body.Close()
	p.Assert(response.StatusCode, qt.Equals, http.StatusNotFound)
}

// TestDaemonsFindEachOther: daemons of one failure domain know each other by their
// rows, until one shuts down.
func TestDaemonsFindEachOther(t *testing.T) {
	p := newPair(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	found := make(map[string]*atomic.Pointer[[]detour.Neighbour])
	registries := make(map[string]*neighbours.Registry)
	for _, vm := range []string{"vm-1", "vm-2"} {
		known := &atomic.Pointer[[]detour.Neighbour]{}
		found[vm] = known
		registries[vm] = &neighbours.Registry{
			VM: vm, FailureDomain: "z", Address: "10.0.0.1:1" + vm[3:], Table: &platform.Table{Store: p.client},
			OnUpdate: func(n []detour.Neighbour) { known.Store(&n) },
			Logger:   logger, Random: rand.New(rand.NewPCG(1, 2)),
		}
		ctx, cancel := context.WithCancel(p.Context())
		p.Cleanup(cancel)
		go registries[vm].Run(ctx)
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		p.Assert(time.Now().Before(end), qt.IsTrue)
		one := found["vm-1"].Load()
		if one != nil && len(*one) == 1 {
			p.Assert((*one)[0], qt.Equals, detour.Neighbour{Address: "10.0.0.1:12", FailureDomain: "z"})
			break
		}
	}
	registries["vm-2"].Remove(p.Context())
	p.Assert(p.store.Rows("acaciapath", "control"), qt.HasLen, 1)
}

// TestWritesAreHandedOver has a daemon shut down while the store is away: its last
// write is taken over by a neighbour, and carried out once when the store is back.
func TestWritesAreHandedOver(t *testing.T) {
	p := newPair(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	own := platform.NewStore(p.store.Address(), timeout, platform.NewStoreTransport())
	handed := &neighbours.WriteQueue{Send: own.Post, TTL: 10 * time.Second, ShuttingDown: func() bool { return false }, Logger: logger}
	second := httptest.NewServer(&neighbours.Relay{
		StoreAddress: p.store.Address(), Allowed: platform.IsStoreCall, StoreUnreachable: func() bool { return true },
		Base: platform.NewStoreTransport(), Queue: handed, Logger: logger,
	})
	p.Cleanup(second.Close)
	p.one.SetNeighbours([]detour.Neighbour{{Address: strings.TrimPrefix(second.URL, "http://"), FailureDomain: "z"}})
	p.store.SetFault(func(string, string) standin.Fault { return standin.Unavailable })
	own1 := &platform.Table{Store: p.client}
	write := &table.CommitPayload{
		Conditions: []*table.Condition{{Key: "part"}},
		Writes:     []*table.Write{{Key: "part", Value: []byte("x")}},
	}
	_, err := own1.Commit(p.Context(), write)
	p.Assert(err, qt.IsNotNil)
	p.one.StartHandOver()
	for range 2 {
		_, err = own1.Commit(p.Context(), write)
		p.Assert(err, qt.IsNil)
	}
	p.Assert(p.store.Rows("acaciapath", "control"), qt.HasLen, 0)
	ctx, cancel := context.WithCancel(p.Context())
	p.Cleanup(cancel)
	go handed.Run(ctx)
	time.Sleep(timeout)
	p.store.SetFault(nil)
	for end := time.Now().Add(10 * time.Second); len(p.store.Rows("acaciapath", "control")) == 0; time.Sleep(10 * time.Millisecond) {
		p.Assert(time.Now().Before(end), qt.IsTrue)
	}
	time.Sleep(timeout)
	p.Assert(p.store.Rows("acaciapath", "control")[0].Version, qt.Equals, uint64(2))
}

// TestWritesAreHandedOn: a daemon that shuts down takes nothing over any more, and
// hands on what it took over before.
func TestWritesAreHandedOn(t *testing.T) {
	c := qt.New(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	away := func(context.Context, string, []byte) (int, error) { return 0, io.ErrUnexpectedEOF }
	var leaving atomic.Bool
	h := &neighbours.WriteQueue{Send: away, TTL: time.Minute, ShuttingDown: leaving.Load, Logger: logger}
	server := httptest.NewServer(&neighbours.Relay{
		Allowed: platform.IsStoreCall, StoreUnreachable: func() bool { return true }, Queue: h, Logger: logger,
	})
	c.Cleanup(server.Close)
	give := func() int {
		response, err := http.Post(server.URL+"/handed-over?path=/acaciapath/rows-tx", "", strings.NewReader("x"))
		c.Assert(err, qt.IsNil)
		defer response.Body.Close()
		return response.StatusCode
	}
	c.Assert(give(), qt.Equals, http.StatusOK)
	leaving.Store(true)
	c.Assert(give(), qt.Equals, http.StatusServiceUnavailable)
	var passed []string
	h.Flush(c.Context(), func(_ context.Context, path string, body []byte) error {
		passed = append(passed, path+" "+string(body))
		return nil
	})
	c.Assert(passed, qt.DeepEquals, []string{"/acaciapath/rows-tx x"})
}
