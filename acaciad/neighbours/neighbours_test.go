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
	"acaciapath.example/core/epoch"
	"acaciapath.example/core/follow"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/memory"
	"acaciapath.example/platform"
	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/loopback"
	"acaciapath.example/standin/relay"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// timeout bounds each call of the store in these tests.
const timeout = 400 * time.Millisecond

// pair is two daemons and a store. The link of the first daemon to the store can fail,
// and the second daemon relays its calls.
type pair struct {
	*qt.C
	store     *platformtest.Store
	storeLink *relay.Relay
	transport *neighbours.Transport
	// client is the first daemon's client of the store, and directClient is the one
	// that never uses neighbours.
	client, directClient *platform.Store
	// secondCutOff states that the second daemon cannot reach the store either.
	secondCutOff atomic.Bool
	neighbour    *httptest.Server
}

func newPair(t *testing.T) *pair {
	p := &pair{C: qt.New(t), store: platformtest.NewStore()}
	p.Cleanup(p.store.Close)
	link, err := relay.New(loopback.IP().String() + ":0")
	p.Assert(err, qt.IsNil)
	p.Cleanup(func() { _ = link.Close() })
	link.SetTarget(p.store.Address())
	p.storeLink = link
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	p.transport = neighbours.NewTransport(platform.NewStoreTransport(), "z", neighbours.NewMetrics(prometheus.NewRegistry()), logger, rand.New(rand.NewPCG(1, 2)))
	p.client = platform.NewStore(link.Address(), timeout, p.transport)
	p.directClient = platform.NewStore(link.Address(), timeout, p.transport.Direct())
	p.neighbour = loopback.NewServer(&neighbours.Relay{
		Memory:       memory.NewBudget(12 << 20),
		StoreAddress: p.store.Address(), Allowed: platform.IsStoreCall, Headers: []string{platform.HeaderEpoch}, StoreUnreachable: p.secondCutOff.Load,
		Base: platform.NewStoreTransport(), Logger: logger,
	})
	p.Cleanup(p.neighbour.Close)
	p.transport.SetNeighbours([]detour.Neighbour{{Address: strings.TrimPrefix(p.neighbour.URL, "http://"), FailureDomain: "z"}})
	p.store.Write("servers", "i-1", "x")
	return p
}

// cutOff cuts the link of the first daemon to the store.
func (p *pair) cutOff() {
	p.storeLink.SetFaults(relay.Faults{DropToTarget: true, DropFromTarget: true})
}

// holdRead has the first daemon read changes, for which the store holds the call, and returns a
// channel that receives their number.
func (p *pair) holdRead() <-chan int {
	changed := make(chan int, 1)
	go func() {
		rows, err := p.client.Changes(p.Context(), "servers", epoch.Join(1, 1), 5*time.Second)
		if err == nil {
			changed <- len(rows.Rows)
		}
	}()
	return changed
}

// rowCount returns the number of rows that the first daemon reads, or -1 if it cannot.
func (p *pair) rowCount() int {
	rows, err := p.client.Snapshot(p.Context(), "servers")
	if err != nil {
		return -1
	}
	return len(rows.Rows)
}

// TestCutOffDaemonReadsThroughNeighbour cuts a daemon off from the store while the store
// holds a call of a feed. The first call that fails must cancel the held one. Both must
// be sent through the neighbour, and the direct path must be used again after the cut.
func TestCutOffDaemonReadsThroughNeighbour(t *testing.T) {
	p := newPair(t)
	p.Assert(p.rowCount(), qt.Equals, 1)
	changed := p.holdRead()
	time.Sleep(50 * time.Millisecond)
	p.cutOff()
	p.Assert(p.directClient.Ping(p.Context()), qt.IsNotNil)
	p.Assert(p.transport.DirectFailing(), qt.IsTrue)
	p.Assert(p.rowCount(), qt.Equals, 1)
	p.store.Write("servers", "i-2", "x")
	select {
	case n := <-changed:
		p.Assert(n, qt.Equals, 1)
	case <-time.After(2 * time.Second):
		p.Fatal("the held call was not sent through the neighbour")
	}
	ctx, cancel := context.WithCancel(p.Context())
	p.Cleanup(cancel)
	go p.transport.Run(ctx, p.directClient.Ping)
	p.storeLink.SetFaults(relay.Faults{})
	p.storeLink.CloseConnections()
	for end := time.Now().Add(10 * time.Second); p.transport.DirectFailing(); time.Sleep(10 * time.Millisecond) {
		p.Assert(time.Now().Before(end), qt.IsTrue)
	}
}

// TestHeldReadOfNeighbourThatIsCutOff has a neighbour fall silent that holds a call of a feed,
// after the direct path to the store is restored. The call must be sent directly, and not wait
// for its timeout.
func TestHeldReadOfNeighbourThatIsCutOff(t *testing.T) {
	p := newPair(t)
	link, err := relay.New(loopback.IP().String() + ":0")
	p.Assert(err, qt.IsNil)
	p.Cleanup(func() { _ = link.Close() })
	link.SetTarget(strings.TrimPrefix(p.neighbour.URL, "http://"))
	p.transport.SetNeighbours([]detour.Neighbour{{Address: link.Address(), FailureDomain: "z"}})
	p.cutOff()
	p.Assert(p.directClient.Ping(p.Context()), qt.IsNotNil)
	p.Assert(p.rowCount(), qt.Equals, 1)
	changed := p.holdRead()
	time.Sleep(100 * time.Millisecond)
	link.SetFaults(relay.Faults{DropToTarget: true, DropFromTarget: true})
	p.storeLink.SetFaults(relay.Faults{})
	p.storeLink.CloseConnections()
	for end := time.Now().Add(10 * time.Second); p.directClient.Ping(p.Context()) != nil; time.Sleep(10 * time.Millisecond) {
		p.Assert(time.Now().Before(end), qt.IsTrue)
	}
	p.store.Write("servers", "i-2", "x")
	select {
	case n := <-changed:
		p.Assert(n, qt.Equals, 1)
	case <-time.After(2 * time.Second):
		p.Fatal("the held call was not sent directly")
	}
}

// TestRefusedDaemonUsesNeighbour has the store refuse the calls of one VM. Since it did
// not execute them, even a write may be sent through the neighbour at once.
func TestRefusedDaemonUsesNeighbour(t *testing.T) {
	p := newPair(t)
	refusing := loopback.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	p.Cleanup(refusing.Close)
	p.storeLink.SetTarget(strings.TrimPrefix(refusing.URL, "http://"))
	p.Assert(p.rowCount(), qt.Equals, 1)
	p.Assert(p.transport.DirectFailing(), qt.IsTrue)
}

// TestWriteWithLostReplyIsNotRepeated loses the reply to a write, which may have been
// committed. The sender must get an error, and the write must not be sent again.
func TestWriteWithLostReplyIsNotRepeated(t *testing.T) {
	p := newPair(t)
	p.store.SetFault(func(method, _ string) platformtest.Fault {
		if method == http.MethodPost {
			return platformtest.ReplyLost
		}
		return platformtest.NoFault
	})
	request, err := http.NewRequest(http.MethodPost, "http://"+p.storeLink.Address()+"/acaciapath/rows-tx",
		strings.NewReader(`{"precondition":[],"write":[{"table":"own","part":"p","key":"k","data":"eA=="}],"remove":[]}`))
	p.Assert(err, qt.IsNil)
	_, err = p.transport.RoundTrip(request)
	p.Assert(err, qt.IsNotNil)
	p.Assert(p.store.Calls("/acaciapath/rows-tx"), qt.Equals, 1)
}

// TestCutOffNeighbourRefuses checks that a daemon which cannot reach the store itself
// refuses to relay calls at once, and that only calls of the store are relayed.
func TestCutOffNeighbourRefuses(t *testing.T) {
	p := newPair(t)
	p.secondCutOff.Store(true)
	p.cutOff()
	began := time.Now()
	p.Assert(p.rowCount(), qt.Equals, -1)
	p.Assert(p.rowCount(), qt.Equals, -1)
	p.Assert(time.Since(began) < 4*timeout, qt.IsTrue)
	response, err := http.Get(p.neighbour.URL + "/acaciapath/blob-list")
	p.Assert(err, qt.IsNil)
	defer response.Body.Close()
	p.Assert(response.StatusCode, qt.Equals, http.StatusNotFound)
}

// TestDaemonsFindEachOther checks that daemons of one failure domain find each other
// through their rows, and that a daemon deletes its row when it shuts down.
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
			OnUpdate: func(n []detour.Neighbour) { known.Store(&n) }, OnMembers: func([]follow.Member) {},
			Logger: logger, Random: rand.New(rand.NewPCG(1, 2)),
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

// TestWritesAreHandedOver has a daemon shut down while the store is unavailable. A
// neighbour must accept its last write, and commit it once when the store is available
// again, although it was handed over twice.
func TestWritesAreHandedOver(t *testing.T) {
	p := newPair(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	secondStore := platform.NewStore(p.store.Address(), timeout, platform.NewStoreTransport())
	adopted := make(chan string, 4)
	queue := &neighbours.WriteQueue{
		Send: secondStore.Post, TTL: 10 * time.Second, ShuttingDown: func() bool { return false }, Logger: logger,
		Adopt: func(_ string, body []byte) error {
			commit, err := platform.ParseTransaction(body)
			if err == nil {
				adopted <- commit.Writes[0].Key
			}
			return err
		},
	}
	second := loopback.NewServer(&neighbours.Relay{
		Memory:       memory.NewBudget(12 << 20),
		StoreAddress: p.store.Address(), Allowed: platform.IsStoreCall, Headers: []string{platform.HeaderEpoch}, StoreUnreachable: func() bool { return true },
		Base: platform.NewStoreTransport(), Queue: queue, Logger: logger,
	})
	p.Cleanup(second.Close)
	p.transport.SetNeighbours([]detour.Neighbour{{Address: strings.TrimPrefix(second.URL, "http://"), FailureDomain: "z"}})
	p.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Unavailable })
	firstTable := &platform.Table{Store: p.client}
	write := &table.CommitPayload{
		Conditions: []*table.Condition{{Key: "part"}},
		Writes:     []*table.Write{{Key: "part", Value: []byte("x")}},
	}
	_, err := firstTable.Commit(p.Context(), write)
	p.Assert(err, qt.IsNotNil)
	p.transport.StartHandOver()
	for range 2 {
		_, err = firstTable.Commit(p.Context(), write)
		p.Assert(err, qt.IsNil)
	}
	p.Assert(p.store.Rows("acaciapath", "control"), qt.HasLen, 0)
	ctx, cancel := context.WithCancel(p.Context())
	p.Cleanup(cancel)
	go queue.Run(ctx)
	time.Sleep(timeout)
	p.store.SetFault(nil)
	for end := time.Now().Add(10 * time.Second); len(p.store.Rows("acaciapath", "control")) == 0; time.Sleep(10 * time.Millisecond) {
		p.Assert(time.Now().Before(end), qt.IsTrue)
	}
	time.Sleep(timeout)
	p.Assert(p.store.Rows("acaciapath", "control")[0].Version, qt.Equals, uint64(2))
	select {
	case key := <-adopted: // the second copy, whose condition did not hold
		p.Assert(key, qt.Equals, "part")
	case <-time.After(10 * time.Second):
		p.Fatal("the rejected write was dropped")
	}
}

// TestQueuedWritesAreHandedOn checks that a daemon which shuts down accepts no more
// writes, and hands over those in its queue to another daemon.
func TestQueuedWritesAreHandedOn(t *testing.T) {
	c := qt.New(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	unreachable := func(context.Context, string, []byte) (int, error) { return 0, io.ErrUnexpectedEOF }
	var shuttingDown atomic.Bool
	queue := &neighbours.WriteQueue{Send: unreachable, TTL: time.Minute, ShuttingDown: shuttingDown.Load, Logger: logger}
	server := loopback.NewServer(&neighbours.Relay{
		Memory:  memory.NewBudget(12 << 20),
		Allowed: platform.IsStoreCall, Headers: []string{platform.HeaderEpoch}, StoreUnreachable: func() bool { return true }, Queue: queue, Logger: logger,
	})
	c.Cleanup(server.Close)
	handOver := func() int {
		response, err := http.Post(server.URL+"/handed-over?path=/acaciapath/rows-tx", "", strings.NewReader("x"))
		c.Assert(err, qt.IsNil)
		defer response.Body.Close()
		return response.StatusCode
	}
	c.Assert(handOver(), qt.Equals, http.StatusOK)
	shuttingDown.Store(true)
	c.Assert(handOver(), qt.Equals, http.StatusServiceUnavailable)
	var handedOn []string
	queue.Flush(c.Context(), func(_ context.Context, path string, body []byte) error {
		handedOn = append(handedOn, path+" "+string(body))
		return nil
	})
	c.Assert(handedOn, qt.DeepEquals, []string{"/acaciapath/rows-tx x"})
}
