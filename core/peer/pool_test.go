package peer_test

import (
	"context"
	"testing"

	"acaciapath.example/core/peer"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
)

// echo is a handler that answers Status with its name and ExchangeHead with the
// head that it received.
type echo struct{ name string }

var _ peer.Handler = echo{}

func (e echo) Status(context.Context) (peer.Status, error) { return peer.Status{Name: e.name}, nil }

func (e echo) ExchangeHead(_ context.Context, head peer.ConfigHead) (peer.ConfigHead, error) {
	return head, nil
}

func (e echo) GetConfig(context.Context, peer.ConfigRequest) (peer.ConfigContent, error) {
	return peer.ConfigContent{}, nil
}

// heartbeat answers with the gossip that it received.
var heartbeat = peer.NewMethod(peer.MethodHeartbeat,
	func(_ context.Context, _ *peer.Session, h peer.Heartbeat) (peer.HeartbeatAnswer, error) {
		return peer.HeartbeatAnswer{Gossip: h.Gossip, TargetReached: true}, nil
	})

// listen starts a server without TLS, which is closed when the test ends.
func listen(t testing.TB, name string) *peer.Server {
	server, err := peer.Listen("127.0.0.1:0", nil, echo{name}, heartbeat)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = server.Close() })
	return server
}

// TestPool checks that a pool keeps no more clients than its limit, that clients
// and servers count the same traffic, and that a closed pool accepts no calls.
func TestPool(t *testing.T) {
	c := qt.New(t)
	a, b := listen(t, "a"), listen(t, "b")
	pool := peer.NewPool(nil, 1)
	sent := peer.Heartbeat{Gossip: peer.Gossip{
		From: peer.MemberRecord{MemberID: peer.MemberID{VM: "vm-1", Role: peer.RoleEntry}, Incarnation: 1 << 60}, Revision: 7,
	}}
	for _, address := range []string{a.Address(), b.Address(), a.Address(), a.Address()} {
		err := pool.Call(address, func(client *peer.Client) error {
			answer, err := client.Heartbeat(context.Background(), sent)
			c.Check(answer, qt.DeepEquals, peer.HeartbeatAnswer{Gossip: sent.Gossip, TargetReached: true})
			return err
		})
		c.Assert(err, qt.IsNil)
	}
	c.Check(pool.Call(a.Address(), func(*peer.Client) error {
		return pool.Call(b.Address(), func(*peer.Client) error { return nil })
	}), qt.ErrorIs, peer.ErrPoolExhausted)
	out := pool.Traffic()
	c.Check(out.MessagesSent.Load(), qt.Equals, uint64(4))
	c.Check(a.Traffic().MessagesReceived.Load()+b.Traffic().MessagesReceived.Load(), qt.Equals, uint64(4))
	c.Check(out.BytesSent.Load(), qt.Equals, a.Traffic().BytesReceived.Load()+b.Traffic().BytesReceived.Load())
	c.Check(out.BytesReceived.Load() > 0, qt.IsTrue)
	registry := prometheus.NewRegistry()
	peer.RegisterTraffic(registry, "test", out, a.Traffic())
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	c.Check(families, qt.HasLen, 2)
	c.Assert(pool.Close(), qt.IsNil)
	c.Check(pool.Call(a.Address(), func(*peer.Client) error { return nil }), qt.ErrorIs, peer.ErrClosed)
}
