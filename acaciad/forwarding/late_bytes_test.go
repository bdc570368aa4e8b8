package forwarding_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"acaciapath.example/acaciad/forwarding"
	"acaciapath.example/core/detour"
	"acaciapath.example/standin/loopback"
	"acaciapath.example/standin/relay"

	qt "github.com/frankban/quicktest"
)

// TestRequestThatEndedDoesNotReachNeighbour has a request to a neighbour under way on a link that loses all
// packets when its asker gives it up. It arrived there when the link was sound again.
func TestRequestThatEndedDoesNotReachNeighbour(t *testing.T) {
	p := newPair(t, func(http.ResponseWriter, *http.Request) {})
	var arrived atomic.Int64
	neighbour := loopback.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		p.lender.Handler(http.NotFoundHandler()).ServeHTTP(w, r)
	}))
	p.Cleanup(neighbour.Close)
	link, err := relay.New("127.0.0.1:0")
	p.Assert(err, qt.IsNil)
	link.SetTarget(neighbour.Listener.Addr().String())
	p.Cleanup(func() { _ = link.Close() })
	p.asker.SetNeighbours([]detour.Neighbour{{Address: link.Address(), FailureDomain: "a"}})
	response, _, err := p.send(p.request(http.MethodGet, "/look/1", "", true))
	p.Assert(err, qt.IsNil)
	p.Assert(read(response).status, qt.Equals, http.StatusOK) // the connection stays open
	link.SetFaults(relay.Faults{Lossy: true})
	ctx, cancel := context.WithTimeout(p.Context(), 300*time.Millisecond)
	defer cancel()
	_, _, err = p.asker.Send(ctx, func() forwarding.Request { return p.request(http.MethodGet, "/look/2", "", true) })
	p.Assert(err, qt.IsNotNil)
	time.Sleep(300 * time.Millisecond)
	link.SetFaults(relay.Faults{})
	time.Sleep(1500 * time.Millisecond)
	p.Assert(arrived.Load(), qt.Equals, int64(1))
}
