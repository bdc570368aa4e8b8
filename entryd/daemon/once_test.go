package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"acaciapath.example/standin/fault"
	"acaciapath.example/standin/plain"
	"acaciapath.example/standin/platform"

	qt "github.com/frankban/quicktest"
)

// TestCallRunsOnce sends each of 20 calls several times, concurrently and
// through two daemons, while replies of the platform's table and of the service
// are lost. It checks that no call is executed twice.
func TestCallRunsOnce(t *testing.T) {
	s := start(t, systemOptions{orders: plain.Options{ExecutionTime: 5 * time.Millisecond}})
	other := *s
	other.daemon = s.startDaemon(t, "vm-2", systemOptions{})
	s.platform.SetFaults(platform.Table, fault.Faults{LoseReplies: 10})
	s.orders.SetFaults(fault.Faults{LoseReplies: 3})
	var wait sync.WaitGroup
	for i := range 80 {
		via := []*system{s, &other}[i%2]
		wait.Go(func() {
			key := fmt.Sprint("renewal-", i%20)
			got := via.do(orderRequest(shopKey, key, key)(via))
			s.c.Check(got.status == 200 || got.status == 409 || got.status == 502 || got.status == 503, qt.IsTrue, qt.Commentf("%v", got))
		})
	}
	wait.Wait()
	s.orders.SetFaults(fault.Faults{})
	s.platform.SetFaults(platform.Table, fault.Faults{})
	for i := range 20 {
		key := fmt.Sprint("renewal-", i)
		got := other.do(orderRequest(shopKey, key, key)(&other))
		s.c.Assert(got.status == 200 || got.status == 409, qt.IsTrue, qt.Commentf("%v", got))
		s.c.Assert(s.orders.Executions(key) <= 1, qt.IsTrue)
		s.c.Assert(got.status == 200 && s.orders.Executions(key) == 0, qt.IsFalse)
	}
}

func TestStoredOutcome(t *testing.T) {
	s := start(t, systemOptions{})
	first := s.do(orderRequest(shopKey, "k", "x")(s))
	second := s.do(orderRequest(shopKey, "k", "x")(s))
	s.c.Assert(second.status, qt.Equals, 200)
	s.c.Assert(second.body, qt.Equals, first.body)
	s.c.Assert(second.header.Get("Content-Type"), qt.Equals, first.header.Get("Content-Type"))
	s.c.Assert(second.header.Get("Idempotency-Replayed"), qt.Equals, "true")
	s.c.Assert(s.do(orderRequest(roofersKey, "k", "x")(s)).body, qt.Not(qt.Equals), first.body) // idempotency keys are separate for each client account
	s.c.Assert(s.orders.Executions("k"), qt.Equals, 2)
	s.stop()
	<-s.ended
	s.c.Assert(s.chargedUsage(), qt.HasLen, 2)
	for _, line := range s.chargedUsage() {
		s.c.Assert(line.Requests, qt.Equals, uint64(1))
		s.c.Assert(line.Amount, qt.Equals, int64(2000))
	}
}

// TestLostReplyOfClaim checks that the daemon recognizes its own claim if the
// reply to the insertion was lost, and sends the call once.
func TestLostReplyOfClaim(t *testing.T) {
	s := start(t, systemOptions{})
	s.platform.SetFaults(platform.Table, fault.Faults{LoseReplies: 1})
	s.c.Assert(s.do(orderRequest(shopKey, "k", "x")(s)).status, qt.Equals, 200)
	s.c.Assert(s.orders.Executions("k"), qt.Equals, 1)
}

func TestPlatformDown(t *testing.T) {
	s := start(t, systemOptions{})
	s.platform.SetFaults(platform.All, down)
	s.c.Assert(s.do(orderRequest(shopKey, "k", "x")(s)).status, qt.Equals, 503)
	s.c.Assert(s.orders.TotalExecutions(), qt.Equals, 0)
	// A plain service that checks idempotency keys itself, repeatable routes
	// and chat requests are still served.
	ledger := s.request("POST", "/ledger/1", shopKey, "x", "Idempotency-Key", "k")
	s.c.Assert(s.do(ledger).status, qt.Equals, 200)
	s.c.Assert(s.ledger.Executions("k"), qt.Equals, 1)
	s.c.Assert(s.do(s.request("GET", "/status/1", shopKey, "")).status, qt.Equals, 200)
	s.c.Assert(s.do(s.request("POST", "/v1/chat/completions", shopKey, chatBody(1, true))).status, qt.Equals, 200)
	s.platform.SetFaults(platform.All, fault.Faults{})
	s.c.Assert(s.do(orderRequest(shopKey, "k", "x")(s)).status, qt.Equals, 200)
}

// TestClaimIsReleased checks that a call that reached no replica can be
// repeated with the same idempotency key.
func TestClaimIsReleased(t *testing.T) {
	s := start(t, systemOptions{closesServers: true})
	address := s.orders.Address()
	s.c.Assert(s.orders.Close(), qt.IsNil)
	got := s.do(orderRequest(shopKey, "k", "x")(s))
	s.c.Assert(got.body, qt.Contains, `"run":"not-run"`)
	s.c.Assert(s.rows("claim/"), qt.HasLen, 0)
	again := plain.New(plain.Options{})
	s.c.Assert(again.Start(address), qt.IsNil)
	defer again.Close()
	s.eventually(func() bool { return s.do(orderRequest(shopKey, "k", "x")(s)).status == 200 })
	s.c.Assert(again.Executions("k"), qt.Equals, 1)
}

// TestDisconnectedCallerOfPlainCall checks that a call continues after its
// caller has disconnected, and that the caller gets the stored outcome when it
// repeats the call.
func TestDisconnectedCallerOfPlainCall(t *testing.T) {
	s := start(t, systemOptions{orders: plain.Options{ExecutionTime: 100 * time.Millisecond}})
	ctx, disconnect := context.WithCancel(context.Background())
	go func() {
		time.Sleep(30 * time.Millisecond)
		disconnect()
	}()
	_, err := http.DefaultClient.Do(orderRequest(shopKey, "k", "x")(s).WithContext(ctx))
	s.c.Assert(err, qt.ErrorIs, context.Canceled)
	s.eventually(func() bool { return s.do(orderRequest(shopKey, "k", "x")(s)).status == 200 })
	s.c.Assert(s.orders.Executions("k"), qt.Equals, 1)
}

// TestEmptyCallIsSentOnce checks that net/http does not send a call again if a
// reused connection turns out to be closed. It would do so for a call with an
// idempotency key and no body.
func TestEmptyCallIsSentOnce(t *testing.T) {
	s := start(t, systemOptions{})
	s.c.Assert(s.do(s.request("GET", "/status/1", shopKey, "")).status, qt.Equals, 200)
	s.c.Assert(s.do(orderRequest(shopKey, "first", "")(s)).status, qt.Equals, 200)
	s.orders.SetFaults(fault.Faults{LoseReplies: 1})
	s.c.Assert(s.do(orderRequest(shopKey, "second", "")(s)).status, qt.Equals, 502)
	s.c.Assert(s.orders.Executions("second"), qt.Equals, 1)
}
