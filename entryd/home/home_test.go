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

// patience bounds the waits of tests.
const patience = 20 * time.Second

var (
	chat = config.ServiceClass{
		Name: "chat", Tier: 1, MaxWait: time.Minute, FirstTokenTarget: time.Second, QueueLimit: 100,
	}
	letters = config.ServiceClass{
		Name: "letters", Tier: 3, MaxWait: time.Minute, FirstTokenTarget: time.Minute, QueueLimit: 2,
	}
	shop = config.ClientAccount{Name: "shop", Classes: []string{"chat", "letters"}, ConcurrentRequests: 3}
)

// known is the configuration of a home daemon.
func known() *config.Index {
	return config.NewIndex(&config.Config{
		Classes:  []config.ServiceClass{chat, letters},
		Accounts: []config.ClientAccount{shop},
	}, 1)
}

// handler answers the methods that every daemon has.
type handler struct{}

var _ peer.Handler = handler{}

func (handler) Status(context.Context) (peer.Status, error)        { return peer.Status{}, nil }
func (handler) Head(context.Context, peer.Head) (peer.Head, error) { return peer.Head{}, nil }
func (handler) GetConfig(context.Context, peer.GetConfig) (peer.ConfigContent, error) {
	return peer.ConfigContent{}, nil
}

func newScheduler(places int) *scheduler.Scheduler {
	s := scheduler.New("quito-a", time.Now, rand.New(rand.NewPCG(1, 2)))
	s.SetLimits(config.Limits{RetryBudget: 10})
	s.SetReplicas([]replica.Spec{{
		Name: "engine-1", Address: "127.0.0.1:1", FailureDomain: "quito-a",
		Serves: []string{"assistant"}, Kind: config.KindStandard, Places: places,
	}})
	return s
}

// startHome starts a home daemon with a number of places.
func startHome(c *qt.C, places int, index *config.Index) (*scheduler.Scheduler, *peer.Server) {
	s := newScheduler(places)
	var list access.List
	list.Replace(index)
	server, err := peer.Listen("127.0.0.1:0", nil, handler{}, home.NewServer(s, &list).Methods()...)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = server.Close() })
	return s, server
}

// chooser names one home daemon, which can be changed.
type chooser struct{ address atomic.Value }

func (h *chooser) Home(string) string { return h.address.Load().(string) }

func newChooser(address string) *chooser {
	h := &chooser{}
	h.address.Store(address)
	return h
}

// newSource returns the source of a daemon that is not the home and has one
// place to give out alone.
func newSource(c *qt.C, h *chooser) *home.Source {
	s := home.NewSource(newScheduler(1), h, nil, time.Now)
	c.Cleanup(s.Close)
	return s
}

func request(class *config.ServiceClass) dispatch.Request {
	return dispatch.Request{Serves: "assistant", Account: &shop, Class: class, PromptTokens: 10}
}

// enter asks for a place in the background.
func enter(ctx context.Context, s *home.Source, class *config.ServiceClass) <-chan result {
	done := make(chan result, 1)
	go func() {
		place, err := s.Enter(ctx, request(class))
		done <- result{place, err}
	}()
	return done
}

type result struct {
	place *scheduler.Place
	err   error
}

func wait(c *qt.C, done <-chan result) result {
	select {
	case r := <-done:
		return r
	case <-time.After(patience):
		c.Fatal("no answer")
		return result{}
	}
}

func eventually(c *qt.C, what string, ok func() bool) {
	for deadline := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			c.Fatal("not in time: " + what)
		}
	}
}

// counts returns how many requests wait and run.
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

// TestOneOrderOfTiers checks that an urgent request at one daemon goes before a
// patient one that another daemon asked for earlier.
func TestOneOrderOfTiers(t *testing.T) {
	c := qt.New(t)
	s, server := startHome(c, 1, known())
	a, b := newSource(c, newChooser(server.Address())), newSource(c, newChooser(server.Address()))
	first := wait(c, enter(c.Context(), a, &letters))
	c.Assert(first.err, qt.IsNil)
	c.Assert(first.place.Server.Address, qt.Equals, "127.0.0.1:1")
	patient := enter(c.Context(), a, &letters)
	eventually(c, "the patient request waits", hasCounts(s, 1, 1))
	urgent := enter(c.Context(), b, &chat)
	eventually(c, "both wait", hasCounts(s, 2, 1))
	first.place.Finish(dispatch.Result{CompletionTokens: 1})
	got := wait(c, urgent)
	c.Assert(got.err, qt.IsNil)
	eventually(c, "the patient request still waits", hasCounts(s, 1, 1))
	got.place.Finish(dispatch.Result{CompletionTokens: 1})
	c.Assert(wait(c, patient).err, qt.IsNil)
}

func TestRefusalsComeThrough(t *testing.T) {
	c := qt.New(t)
	s, server := startHome(c, 1, known())
	other := newSource(c, newChooser(server.Address()))
	wait(c, enter(c.Context(), other, &letters))
	enter(c.Context(), other, &letters)
	enter(c.Context(), other, &letters)
	eventually(c, "two wait", hasCounts(s, 2, 1))
	var refused *refusal.Refusal
	got := wait(c, enter(c.Context(), newSource(c, newChooser(server.Address())), &letters))
	c.Assert(errors.As(got.err, &refused), qt.IsTrue)
	c.Assert(refused.Code, qt.Equals, refusal.QueueFull)
	c.Assert(refused.Run, qt.Equals, refusal.NotRun)
	got = wait(c, enter(c.Context(), other, &chat))
	c.Assert(errors.As(got.err, &refused), qt.IsTrue)
	c.Assert(refused.Code, qt.Equals, refusal.TooManyRequests, qt.Commentf("limits are held where the caller is connected"))
}

func TestWaitEndsWithItsContext(t *testing.T) {
	c := qt.New(t)
	s, server := startHome(c, 1, known())
	source := newSource(c, newChooser(server.Address()))
	wait(c, enter(c.Context(), source, &letters))
	gone := errors.New("gone")
	ctx, cancel := context.WithCancelCause(c.Context())
	waiting := enter(ctx, source, &letters)
	eventually(c, "one waits", hasCounts(s, 1, 1))
	cancel(gone)
	c.Assert(wait(c, waiting).err, qt.Equals, gone)
	eventually(c, "none waits", hasCounts(s, 0, 1))
}

// TestCancellationBeforeTheRequest sends the two messages in the order in which
// the threads of the home daemon may take them.
func TestCancellationBeforeTheRequest(t *testing.T) {
	c := qt.New(t)
	s, server := startHome(c, 1, known())
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

func TestPlacesOfALostDaemonComeBack(t *testing.T) {
	c := qt.New(t)
	s, server := startHome(c, 1, known())
	lost := newSource(c, newChooser(server.Address()))
	wait(c, enter(c.Context(), lost, &letters))
	enter(c.Context(), lost, &letters)
	eventually(c, "one waits", hasCounts(s, 1, 1))
	lost.Close()
	eventually(c, "all is given back", hasCounts(s, 0, 0))
}

// TestSuccessorTakesTheQueue stops a home daemon while a request waits, and
// checks that it waits at the successor.
func TestSuccessorTakesTheQueue(t *testing.T) {
	c := qt.New(t)
	old, oldServer := startHome(c, 1, known())
	successor, newServer := startHome(c, 1, known())
	choice := newChooser(oldServer.Address())
	source := newSource(c, choice)
	wait(c, enter(c.Context(), source, &letters))
	waiting := enter(c.Context(), source, &letters)
	eventually(c, "one waits", hasCounts(old, 1, 1))
	choice.address.Store(newServer.Address())
	c.Assert(oldServer.Close(), qt.IsNil)
	c.Assert(wait(c, waiting).err, qt.IsNil)
	c.Assert(hasCounts(successor, 0, 1)(), qt.IsTrue)
}

func TestAlone(t *testing.T) {
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
			source := newSource(c, newChooser(test.start(c)))
			c.Assert(source.Dispatches("assistant"), qt.IsFalse)
			got := wait(c, enter(c.Context(), source, &chat))
			c.Assert(got.err, qt.IsNil)
			c.Assert(got.place.Server.Name, qt.Equals, "engine-1")
			c.Assert(source.Dispatches("assistant"), qt.IsTrue)
		})
	}
}

// TestPreemptionThroughTheHome lets a request of one daemon need the place that a
// resumable one of another holds.
func TestPreemptionThroughTheHome(t *testing.T) {
	c := qt.New(t)
	s, server := startHome(c, 1, known())
	a, b := newSource(c, newChooser(server.Address())), newSource(c, newChooser(server.Address()))
	earned := wait(c, enter(c.Context(), a, &chat))
	earned.place.Finish(dispatch.Result{CompletionTokens: 100_000})
	eventually(c, "the place is given back", hasCounts(s, 0, 0))
	patient := request(&letters)
	patient.Resumable = true
	place, err := a.Enter(c.Context(), patient)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(c.Context())
	defer cancel()
	go s.Run(ctx)
	urgent := enter(c.Context(), b, &chat)
	select {
	case <-place.Preempted():
	case <-time.After(patience):
		c.Fatal("the place was not asked for")
	}
	yielded := make(chan result, 1)
	go func() {
		moved, err := place.Yield(c.Context())
		c.Check(moved, qt.IsTrue)
		yielded <- result{place, err}
	}()
	got := wait(c, urgent)
	c.Assert(got.err, qt.IsNil)
	eventually(c, "the patient request waits", hasCounts(s, 1, 1))
	got.place.Finish(dispatch.Result{CompletionTokens: 1})
	c.Assert(wait(c, yielded).err, qt.IsNil)
	place.Finish(dispatch.Result{})
	eventually(c, "all is given back", hasCounts(s, 0, 0))
}

func TestRetryAtTheHome(t *testing.T) {
	c := qt.New(t)
	s, server := startHome(c, 1, known())
	source := newSource(c, newChooser(server.Address()))
	got := wait(c, enter(c.Context(), source, &chat))
	again, err := got.place.Retry(c.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.IsFalse, qt.Commentf("there is no other replica"))
	s.SetReplicas([]replica.Spec{
		{Name: "engine-1", Address: "127.0.0.1:1", Serves: []string{"assistant"}, Places: 1},
		{Name: "engine-2", Address: "127.0.0.1:2", Serves: []string{"assistant"}, Places: 1},
	})
	again, err = got.place.Retry(c.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.IsTrue)
	c.Assert(got.place.Server.Name, qt.Equals, "engine-2")
	got.place.Finish(dispatch.Result{})
	got.place.Finish(dispatch.Result{})
	eventually(c, "the place is given back", hasCounts(s, 0, 0))
}
