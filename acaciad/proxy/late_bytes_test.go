package proxy_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"acaciapath.example/acaciad/proxy"
	"acaciapath.example/platform"
	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/loopback"
	"acaciapath.example/standin/relay"

	qt "github.com/frankban/quicktest"
)

// lossAfterConnect is the time from the begin of a connection until its link loses all packets, and
// lateTime that in which what was sent before arrives if its sender's system sends it again.
const (
	lossAfterConnect = 50 * time.Millisecond
	lateTime         = 1500 * time.Millisecond
)

// newLossyLink returns a link to a server, and a client whose connections are established before the
// link loses all packets.
func newLossyLink(c *qt.C, target string) (*relay.Relay, *proxy.Client) {
	link, err := relay.New(loopback.IP().String() + ":0")
	c.Assert(err, qt.IsNil)
	link.SetTarget(target)
	c.Cleanup(func() { _ = link.Close() })
	return link, proxy.NewClient(func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := proxy.Dial(ctx, network, address)
		time.Sleep(lossAfterConnect)
		link.SetFaults(relay.Faults{Lossy: true})
		return connection, err
	})
}

// TestRequestThatEndedDoesNotReachServer has a request that may run once under way on a link that loses
// all packets when its time is over. It ran when the link was sound again, after its caller was told that
// there was no answer.
func TestRequestThatEndedDoesNotReachServer(t *testing.T) {
	f := newFixture(t, 2)
	f.loadCatalog()
	s := platformtest.NewServer("i-1", 0)
	f.Cleanup(s.Close)
	link, client := newLossyLink(f.C, s.Address())
	f.handler.Client = client
	f.registerServer("i-1", "shop", link.Address())
	r := f.request(f.Context(), http.MethodPost, "/order/", "x")
	r.Header.Set("X-Deadline-Ms", "400")
	a := f.do(r)
	f.Assert(a.err, qt.IsNil)
	f.Check(a.status, qt.Equals, http.StatusGatewayTimeout)
	link.SetFaults(relay.Faults{})
	time.Sleep(lateTime)
	f.Check(receivedCount(s), qt.Equals, 0)
}

// TestMoveThatEndedDoesNotReachServer is the same for a call that stops a run to move it. It stopped the
// run that its caller was still receiving.
func TestMoveThatEndedDoesNotReachServer(t *testing.T) {
	c := qt.New(t)
	calls := make(chan string, 10)
	server := loopback.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { calls <- r.URL.Path }))
	c.Cleanup(server.Close)
	link, client := newLossyLink(c, server.Listener.Addr().String())
	engines := &platform.EngineClient{Transport: client.Transport(), StopTransport: client.SingleUseTransport()}
	ctx, cancel := context.WithTimeout(c.Context(), 400*time.Millisecond)
	defer cancel()
	_, err := engines.CopyCache(ctx, link.Address(), "127.0.0.1:1", "id-1", true)
	c.Assert(err, qt.IsNotNil)
	link.SetFaults(relay.Faults{})
	time.Sleep(lateTime)
	c.Assert(calls, qt.HasLen, 0)
}
