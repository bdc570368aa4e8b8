package home_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/dispatch"
	"acaciapath.example/core/peer"
	"acaciapath.example/core/refusal"
	"acaciapath.example/core/replica"
	"acaciapath.example/entryd/access"
	"acaciapath.example/entryd/home"
	"acaciapath.example/entryd/scheduler"
	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
)

// waitTimeout bounds the waits of the tests.
const waitTimeout = 20 * time.Second

var (
	chat = config.ServiceClass{
		Name: "chat", Tier: 1, MaxWait: time.Minute, FirstTokenTarget: time.Second, QueueLimit: 100,
	}
	letters = config.ServiceClass{
		Name: "letters", Tier: 3, MaxWait: time.Minute, FirstTokenTarget: time.Minute, QueueLimit: 2,
	}
	shop = config.ClientAccount{Name: "shop", Classes: []string{"chat", "letters"}, ConcurrentRequests: 3}
)

// newIndex returns the configuration of a home daemon.
func newIndex() *config.Index {
	return config.NewIndex(&config.Config{
		Classes:  []config.ServiceClass{chat, letters},
		Accounts: []config.ClientAccount{shop},
	}, 1)
}

// stubHandler implements the methods that every daemon provides.
type stubHandler struct{}

var _ peer.Handler = stubHandler{}

func (stubHandler) Status(context.Context) (peer.Status, error) { return peer.Status{}, nil }
func (stubHandler) ExchangeHead(context.Context, peer.ConfigHead) (peer.ConfigHead, error) {
	return peer.ConfigHead{}, nil
}

func (stubHandler) GetConfig(context.Context, peer.ConfigRequest) (peer.ConfigContent, error) {
	return peer.ConfigContent{}, nil
}

func newScheduler(slots int) *scheduler.Scheduler {
	s := scheduler.New("quito-a", time.Now, rand.New(rand.NewPCG(1, 2)))
	s.SetLimits(config.Limits{RetryBudgetPercent: 10})
	s.SetReplicas([]replica.Spec{{
		Name: "engine-1", Address: "127.0.0.1:1", FailureDomain: "quito-a",
		Serves: []string{"assistant"}, Kind: config.KindStandard, Slots: slots,
	}})
	return s
}

// startHome starts a home daemon whose backend server has the given number of
// slots.
func startHome(c *qt.C, slots int, index *config.Index) (*scheduler.Scheduler, *peer.Server) {
	s := newScheduler(slots)
	var manager access.Manager
	manager.Replace(index)
	server, err := peer.Listen("127.0.0.1:0", nil, stubHandler{}, home.NewServer(s, &manager).Methods()...)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = server.Close() })
	return s, server
}

// fakeLocator returns a home daemon's address, which the test can change.
type fakeLocator struct{ address atomic.Value }

func (h *fakeLocator) Home(string) string { return h.address.Load().(string) }

func newFakeLocator(address string) *fakeLocator {
	h := &fakeLocator{}
	h.address.Store(address)
	return h
}

// newClient returns the client of a daemon that is not the home daemon and has
// one slot to assign locally.
func newClient(c *qt.C, h *fakeLocator) *home.Client {
	s := home.NewClient(newScheduler(1), h, nil, time.Now)
	c.Cleanup(s.Close)
	return s
}

func request(class *config.ServiceClass) dispatch.Request {
	return dispatch.Request{Service: "assistant", Account: &shop, Class: class, PromptTokens: 10}
}

// acquire requests a slot in the background.
func acquire(ctx context.Context, s *home.Client, class *config.ServiceClass) <-chan acquired {
	done := make(chan acquired, 1)
	go func() {
		slot, err := s.Acquire(ctx, request(class))
		done <- acquired{slot, err}
	}()
	return done
}

type acquired struct {
	slot *scheduler.Slot
	err  error
}

func wait(c *qt.C, done <-chan acquired) acquired {
	select {
	case r := <-done:
		return r
	case <-time.After(waitTimeout):
		c.Fatal("Acquire did not return in time")
		return acquired{}
	}
}

func eventually(c *qt.C, what string, ok func() bool) {
	for deadline := time.Now().Add(waitTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			c.Fatal("condition not met in time: " + what)
		}
	}
}

// counts returns the number of waiting and running requests.
func counts(s *scheduler.Scheduler) (waiting, running int) {
	queues, _ := s.Status()
	for _, q := range queues {
		waiting += q.Waiting
		running += q.Running
	}
	return waiting, running
}

func hasCounts(s *scheduler.Scheduler, waiting, running int) func() bool {
	return func() bool {
		w, r := counts(s)
		return w == waiting && r == running
	}
}

// TestTierOrderAcrossDaemons checks that an urgent request of one daemon starts
// before a less urgent request that another daemon sent earlier.
func TestTierOrderAcrossDaemons(t *testing.T) {
	c := qt.New(t)
	s, server := startHome(c, 1, newIndex())
	a, b := newClient(c, newFakeLocator(server.Address())), newClient(c, newFakeLocator(server.Address()))
	first := wait(c, acquire(c.Context(), a, &letters))
	c.Assert(first.err, qt.IsNil)
	c.Assert(first.slot.Server.Address, qt.Equals, "127.0.0.1:1")
	lessUrgent := acquire(c.Context(), a, &letters)
	eventually(c, "the less urgent request waits", hasCounts(s, 1, 1))
	urgent := acquire(c.Context(), b, &chat)
	eventually(c, "both wait", hasCounts(s, 2, 1))
	first.slot.Finish(dispatch.Result{CompletionTokens: 1})
	got := wait(c, urgent)
	c.Assert(got.err, qt.IsNil)
	eventually(c, "the less urgent request still waits", hasCounts(s, 1, 1))
	got.slot.Finish(dispatch.Result{CompletionTokens: 1})
	c.Assert(wait(c, lessUrgent).err, qt.IsNil)
}

func TestRefusalsAreForwarded(t *testing.T) {
	c := qt.New(t)
	s, server := startHome(c, 1, newIndex())
	other := newClient(c, newFakeLocator(server.Address()))
	wait(c, acquire(c.Context(), other, &letters))
	acquire(c.Context(), other, &letters)
	acquire(c.Context(), other, &letters)
	eventually(c, "two wait", hasCounts(s, 2, 1))
	var refused *refusal.Refusal
	got := wait(c, acquire(c.Context(), newClient(c, newFakeLocator(server.Address())), &letters))
	c.Assert(errors.As(got.err, &refused), qt.IsTrue)
	c.Assert(refused.Code, qt.Equals, refusal.QueueFull)
	c.Assert(refused.RunState, qt.Equals, refusal.NotRun)
	got = wait(c, acquire(c.Context(), other, &chat))
	c.Assert(errors.As(got.err, &refused), qt.IsTrue)
	c.Assert(refused.Code, qt.Equals, refusal.TooManyRequests, qt.Commentf("limits are checked by the daemon that the caller is connected to"))
}

func TestWaitEndsWithContext(t *testing.T) {
	c := qt.New(t)
	s, server := startHome(c, 1, newIndex())
	client := newClient(c, newFakeLocator(server.Address()))
	wait(c, acquire(c.Context(), client, &letters))
	gone := errors.New("gone")
	ctx, cancel := context.WithCancelCause(c.Context())
	waiting := acquire(ctx, client, &letters)
	eventually(c, "one waits", hasCounts(s, 1, 1))
	cancel(gone)
	c.Assert(wait(c, waiting).err, qt.Equals, gone)
	eventually(c, "none waits", hasCounts(s, 0, 1))
}

// TestCancellationBeforeRequest sends a cancellation before its request, the
// order in which the home daemon may process the two messages, and checks that
// the request does not start.
func TestCancellationBeforeRequest(t *testing.T) {
	c := qt.New(t)
	s, server := startHome(c, 1, newIndex())
	client := peer.NewClient(server.Address(), nil)
	c.Cleanup(func() { _ = client.Close() })
	type message struct {
		Ticket        uint64 `json:"ticket"`
		Model         string `json:"model"`
		ClientAccount string `json:"client-account"`
		ServiceClass  string `json:"service-class"`
	}
	m := message{Ticket: 7, Model: "assistant", ClientAccount: "shop", ServiceClass: "chat"}
	var answer struct {
		Unknown bool `json:"unknown"`
	}
	c.Assert(client.Call(c.Context(), "place-cancel", m, nil), qt.IsNil)
	c.Assert(client.Call(c.Context(), "place-enter", m, &answer), qt.IsNil)
	c.Assert(answer.Unknown, qt.IsTrue)
	c.Assert(hasCounts(s, 0, 0)(), qt.IsTrue)
}

func TestSlotsOfLostDaemonAreReleased(t *testing.T) {
	c := qt.New(t)
	s, server := startHome(c, 1, newIndex())
	lost := newClient(c, newFakeLocator(server.Address()))
	wait(c, acquire(c.Context(), lost, &letters))
	acquire(c.Context(), lost, &letters)
	eventually(c, "one waits", hasCounts(s, 1, 1))
	lost.Close()
	eventually(c, "all slots are released", hasCounts(s, 0, 0))
}

// TestWaitingRequestMovesToNewHome stops a home daemon while a request waits,
// and checks that the request then acquires a slot from the new home daemon.
func TestWaitingRequestMovesToNewHome(t *testing.T) {
	c := qt.New(t)
	old, oldServer := startHome(c, 1, newIndex())
	successor, newServer := startHome(c, 1, newIndex())
	locator := newFakeLocator(oldServer.Address())
	client := newClient(c, locator)
	wait(c, acquire(c.Context(), client, &letters))
	waiting := acquire(c.Context(), client, &letters)
	eventually(c, "one waits", hasCounts(old, 1, 1))
	locator.address.Store(newServer.Address())
	c.Assert(oldServer.Close(), qt.IsNil)
	c.Assert(wait(c, waiting).err, qt.IsNil)
	c.Assert(hasCounts(successor, 0, 1)(), qt.IsTrue)
}

func TestLocalSlotWithoutHome(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name  string
		start func(c *qt.C) string
	}{
		{name: "home daemon is gone", start: func(c *qt.C) string {
			address, err := loopback.FreeAddress()
			c.Assert(err, qt.IsNil)
			return address
		}},
		{name: "home daemon is frozen", start: func(c *qt.C) string {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = listener.Close() })
			return listener.Addr().String()
		}},
		{name: "home daemon has another configuration", start: func(c *qt.C) string {
			_, server := startHome(c, 1, config.NewIndex(&config.Config{}, 1))
			return server.Address()
		}},
	} {
		c.Run(test.name, func(c *qt.C) {
			client := newClient(c, newFakeLocator(test.start(c)))
			c.Assert(client.Dispatches("assistant"), qt.IsFalse)
			got := wait(c, acquire(c.Context(), client, &chat))
			c.Assert(got.err, qt.IsNil)
			c.Assert(got.slot.Server.Name, qt.Equals, "engine-1")
			c.Assert(client.Dispatches("assistant"), qt.IsTrue)
		})
	}
}

// TestPreemptionAcrossDaemons checks that a request of one daemon preempts a
// less urgent, resumable request of another daemon.
func TestPreemptionAcrossDaemons(t *testing.T) {
	c := qt.New(t)
	s, server := startHome(c, 1, newIndex())
	a, b := newClient(c, newFakeLocator(server.Address())), newClient(c, newFakeLocator(server.Address()))
	// The tokens of a finished request add to the preemption credit.
	earlier := wait(c, acquire(c.Context(), a, &chat))
	earlier.slot.Finish(dispatch.Result{CompletionTokens: 100_000})
	eventually(c, "the slot is released", hasCounts(s, 0, 0))
	lessUrgent := request(&letters)
	lessUrgent.Resumable = true
	slot, err := a.Acquire(c.Context(), lessUrgent)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(c.Context())
	defer cancel()
	go s.Run(ctx)
	urgent := acquire(c.Context(), b, &chat)
	select {
	case <-slot.Preempted():
	case <-time.After(waitTimeout):
		c.Fatal("the slot was not preempted")
	}
	yielded := make(chan acquired, 1)
	go func() {
		reassigned, err := slot.Yield(c.Context())
		c.Check(reassigned, qt.IsTrue)
		yielded <- acquired{slot, err}
	}()
	got := wait(c, urgent)
	c.Assert(got.err, qt.IsNil)
	eventually(c, "the less urgent request waits", hasCounts(s, 1, 1))
	got.slot.Finish(dispatch.Result{CompletionTokens: 1})
	c.Assert(wait(c, yielded).err, qt.IsNil)
	slot.Finish(dispatch.Result{})
	eventually(c, "all slots are released", hasCounts(s, 0, 0))
}

func TestRetryAtHome(t *testing.T) {
	c := qt.New(t)
	s, server := startHome(c, 1, newIndex())
	client := newClient(c, newFakeLocator(server.Address()))
	got := wait(c, acquire(c.Context(), client, &chat))
	retried, err := got.slot.Retry(c.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(retried, qt.IsFalse, qt.Commentf("there is no other backend server"))
	s.SetReplicas([]replica.Spec{
		{Name: "engine-1", Address: "127.0.0.1:1", Serves: []string{"assistant"}, Slots: 1},
		{Name: "engine-2", Address: "127.0.0.1:2", Serves: []string{"assistant"}, Slots: 1},
	})
	retried, err = got.slot.Retry(c.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(retried, qt.IsTrue)
	c.Assert(got.slot.Server.Name, qt.Equals, "engine-2")
	got.slot.Finish(dispatch.Result{})
	got.slot.Finish(dispatch.Result{})
	eventually(c, "the slot is released", hasCounts(s, 0, 0))
}
