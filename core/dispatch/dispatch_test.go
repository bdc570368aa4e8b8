package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/dispatch"
	"acaciapath.example/core/engine"
	"acaciapath.example/core/peer"
	"acaciapath.example/core/refusal"
	"acaciapath.example/core/replica"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var (
	chat = &config.ServiceClass{
		Name: "chat", Tier: 1, MaxWait: 10 * time.Second, QueueLimit: 4,
	}
	letters = &config.ServiceClass{
		Name: "letters", Tier: 3, MaxWait: time.Hour, QueueLimit: 100, CheapServers: true,
	}
	shop = &config.ClientAccount{Name: "shop", Classes: []string{"chat", "letters"}}
)

func newDispatcher(replicas ...replica.Spec) *dispatch.Dispatcher[int] {
	d := dispatch.New[int]("quito-a", 10, rand.New(rand.NewPCG(1, 2)), start)
	d.SetReplicas(replicas)
	return d
}

func spec(name string, places int) replica.Spec {
	return replica.Spec{
		Name:          name,
		Address:       "127.0.0.1:1",
		FailureDomain: "quito-a",
		Serves:        []string{"assistant"},
		Kind:          config.KindStandard,
		Places:        places,
	}
}

func request(class *config.ServiceClass) dispatch.Request {
	return dispatch.Request{Serves: "assistant", Account: shop, Class: class, PromptTokens: 10}
}

func TestStartsWhenAPlaceIsFree(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 1))
	first, r := d.Enter(request(letters), 1, start)
	c.Assert(r == nil, qt.IsTrue)
	c.Assert(d.Next(start), qt.Equals, first)
	late, r := d.Enter(request(letters), 2, start)
	c.Assert(r == nil, qt.IsTrue)
	urgent, r := d.Enter(request(chat), 3, start)
	c.Assert(r == nil, qt.IsTrue)
	c.Assert(d.Next(start), qt.IsNil)
	d.Finish(first, dispatch.Result{CompletionTokens: 5}, start.Add(time.Second))
	c.Assert(d.Next(start), qt.Equals, urgent)
	d.Finish(urgent, dispatch.Result{}, start)
	c.Assert(d.Next(start), qt.Equals, late)
}

func TestRefusals(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name    string
		prepare func(d *dispatch.Dispatcher[int])
		account config.ClientAccount
		want    refusal.Code
	}{
		{
			name:    "no backend server",
			prepare: func(d *dispatch.Dispatcher[int]) { d.SetReplicas(nil) },
			want:    refusal.NoBackendServer,
		},
		{
			name: "own class's queue is full",
			prepare: func(d *dispatch.Dispatcher[int]) {
				for range chat.QueueLimit {
					d.Enter(request(chat), 0, start)
				}
			},
			want: refusal.QueueFull,
		},
		{
			name:    "client account's limit",
			prepare: func(*dispatch.Dispatcher[int]) {},
			account: config.ClientAccount{Name: "small", RequestsPerMinute: 1},
			want:    refusal.RateLimited,
		},
		{
			name:    "client account's requests at once",
			prepare: func(*dispatch.Dispatcher[int]) {},
			account: config.ClientAccount{Name: "small", ConcurrentRequests: 1},
			want:    refusal.TooManyRequests,
		},
	} {
		c.Run(test.name, func(c *qt.C) {
			d := newDispatcher(spec("a", 1))
			test.prepare(d)
			req := request(chat)
			if test.account.Name != "" {
				req.Account = &test.account
				_, r := d.Enter(req, 0, start)
				c.Assert(r == nil, qt.IsTrue)
			}
			_, r := d.Enter(req, 0, start)
			c.Assert(r != nil, qt.IsTrue)
			c.Assert(r.Code, qt.Equals, test.want)
			c.Assert(r.Run, qt.Equals, refusal.NotRun)
		})
	}
}

// TestNotRefusedForLowerTier fills the queue of a patient class and checks that
// an urgent request still enters and is served next.
func TestNotRefusedForLowerTier(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 1))
	for range letters.QueueLimit {
		_, r := d.Enter(request(letters), 0, start)
		c.Assert(r == nil, qt.IsTrue)
	}
	urgent, r := d.Enter(request(chat), 1, start)
	c.Assert(r == nil, qt.IsTrue)
	c.Assert(d.Next(start), qt.Equals, urgent)
}

func TestRefusedWhenTheWaitIsTooLong(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 1))
	now := start
	for range 10 {
		ticket, r := d.Enter(request(chat), 0, now)
		c.Assert(r == nil, qt.IsTrue)
		c.Assert(d.Next(now), qt.Equals, ticket)
		now = now.Add(6 * time.Second)
		d.Finish(ticket, dispatch.Result{CompletionTokens: 50}, now)
	}
	for range 2 {
		_, r := d.Enter(request(chat), 0, now)
		c.Assert(r == nil, qt.IsTrue)
	}
	_, r := d.Enter(request(chat), 0, now)
	c.Assert(r != nil, qt.IsTrue)
	c.Assert(r.Code, qt.Equals, refusal.WaitTooLong)
	c.Assert(r.RetryAfter, qt.Equals, 2*time.Second)
}

func TestRetry(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 1), spec("b", 1))
	ticket, r := d.Enter(request(chat), 0, start)
	c.Assert(r == nil, qt.IsTrue)
	c.Assert(d.Next(start), qt.Equals, ticket)
	first := ticket.Replica
	c.Assert(d.Retry(ticket, start), qt.IsTrue)
	c.Assert(ticket.Waiting(), qt.IsTrue)
	c.Assert(d.Next(start), qt.Equals, ticket)
	c.Assert(ticket.Replica, qt.Not(qt.Equals), first)
	c.Assert(first.State(start), qt.Equals, replica.Failed)
	c.Assert(d.Retry(ticket, start), qt.IsFalse, qt.Commentf("no other replica is left"))
	d.Finish(ticket, dispatch.Result{Failed: true}, start)
	c.Assert(d.Queues(start)[0].Running, qt.Equals, 0)
}

// TestRetriesAreBounded fails 100 requests at once and checks that they are all
// sent again, but no faster than the budget allows.
func TestRetriesAreBounded(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 100), spec("b", 100), spec("c", 100))
	tickets := make([]*dispatch.Ticket[int], 100)
	for i := range tickets {
		tickets[i], _ = d.Enter(request(letters), i, start)
		c.Assert(d.Next(start), qt.Equals, tickets[i])
	}
	for _, ticket := range tickets {
		c.Assert(d.Retry(ticket, start), qt.IsTrue)
		c.Assert(ticket.Waiting(), qt.IsTrue)
	}
	now := start.Add(20 * time.Second)
	for range 10 {
		c.Assert(d.Next(now), qt.IsNotNil, qt.Commentf("the burst"))
	}
	c.Assert(d.Next(now), qt.IsNil)
	for range 90 {
		now = now.Add(100 * time.Millisecond)
		c.Assert(d.Next(now), qt.IsNotNil)
		c.Assert(d.Next(now), qt.IsNil)
	}
}

func TestFinishWhileParked(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 100), spec("b", 100))
	tickets := make([]*dispatch.Ticket[int], 11)
	for i := range tickets {
		tickets[i], _ = d.Enter(request(letters), i, start)
		c.Assert(d.Next(start), qt.Equals, tickets[i])
	}
	for _, ticket := range tickets {
		c.Assert(d.Retry(ticket, start), qt.IsTrue)
	}
	last := tickets[10]
	d.Finish(last, dispatch.Result{}, start)
	c.Assert(last.Waiting(), qt.IsFalse)
	now, started := start.Add(time.Hour), 0
	for d.Next(now) != nil {
		started++
	}
	c.Assert(started, qt.Equals, 10)
}

func TestNotSentForEver(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 1), spec("b", 1), spec("c", 1), spec("d", 1), spec("e", 1), spec("f", 1), spec("g", 1))
	now := start
	ticket, _ := d.Enter(request(letters), 1, now)
	sent := 0
	for again := true; again; sent++ {
		now = now.Add(time.Minute)
		c.Assert(d.Next(now), qt.Equals, ticket)
		again = d.Retry(ticket, now)
	}
	c.Assert(sent, qt.Equals, 5)
}

func TestResumeGoesFirst(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 1), spec("b", 1))
	first, _ := d.Enter(request(chat), 1, start)
	c.Assert(d.Next(start), qt.Equals, first)
	other, _ := d.Enter(request(chat), 2, start)
	c.Assert(d.Next(start), qt.Equals, other)
	later := start.Add(2 * time.Second)
	d.Enter(request(chat), 3, later)
	c.Assert(d.Resume(first, later), qt.IsTrue)
	d.Finish(other, dispatch.Result{}, later)
	c.Assert(d.Next(later), qt.Equals, first)
}

func TestSharedReplica(t *testing.T) {
	c := qt.New(t)
	both := spec("a", 1)
	both.Serves = []string{"assistant", "drafts"}
	d := newDispatcher(both)
	one, _ := d.Enter(request(chat), 1, start)
	other := request(chat)
	other.Serves = "drafts"
	_, r := d.Enter(other, 2, start)
	c.Assert(r == nil, qt.IsTrue)
	c.Assert(d.Next(start), qt.Equals, one)
	c.Assert(d.Next(start), qt.IsNil, qt.Commentf("the one place is taken"))
}

func TestGoneReplicaFinishes(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 1))
	ticket, _ := d.Enter(request(chat), 1, start)
	c.Assert(d.Next(start), qt.Equals, ticket)
	d.SetReplicas([]replica.Spec{spec("b", 1)})
	d.Finish(ticket, dispatch.Result{CompletionTokens: 3}, start)
	c.Assert(d.Replicas(start), qt.HasLen, 1)
	c.Assert(d.Queues(start)[0].Running, qt.Equals, 0)
}

// TestInvariants checks over random interleavings that no replica is given more
// than its places, that each ticket starts at most once between retries and
// ends once, that nothing starts while a more urgent request that could start
// waits (but for the guaranteed share), and that the counts agree.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDispatcher(spec("a", 2), spec("b", 3))
		now := start
		waiting := make(map[*dispatch.Ticket[int]]bool)
		running := make(map[*dispatch.Ticket[int]]bool)
		pick := func(t *rapid.T, from map[*dispatch.Ticket[int]]bool) *dispatch.Ticket[int] {
			want := rapid.IntRange(0, 50).Draw(t, "ticket")
			for ticket := range from {
				if ticket.Value%50 == want {
					return ticket
				}
			}
			return nil
		}
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				class := rapid.SampledFrom([]*config.ServiceClass{chat, letters}).Draw(t, "class")
				before := d.Queues(now)
				ticket, r := d.Enter(request(class), next, now)
				if r != nil {
					checkRefusal(t, class, before, r)
					return
				}
				next++
				waiting[ticket] = true
			},
			"next": func(t *rapid.T) {
				ticket := d.Next(now)
				if ticket == nil {
					return
				}
				if !waiting[ticket] || running[ticket] {
					t.Fatalf("ticket %d started twice", ticket.Value)
				}
				delete(waiting, ticket)
				running[ticket] = true
			},
			"finish": func(t *rapid.T) {
				ticket := pick(t, running)
				if ticket == nil {
					return
				}
				delete(running, ticket)
				result := dispatch.Result{
					PromptTokens:     10,
					CompletionTokens: rapid.IntRange(0, 500).Draw(t, "tokens"),
					Failed:           rapid.Bool().Draw(t, "failed"),
				}
				d.Finish(ticket, result, now)
				d.Finish(ticket, result, now)
			},
			"cancel": func(t *rapid.T) {
				if ticket := pick(t, waiting); ticket != nil {
					delete(waiting, ticket)
					d.Finish(ticket, dispatch.Result{}, now)
				}
			},
			"retry": func(t *rapid.T) {
				ticket := pick(t, running)
				if ticket != nil && d.Retry(ticket, now) {
					delete(running, ticket)
					waiting[ticket] = true
				}
			},
			"report": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "replica")
				age := time.Duration(rapid.IntRange(0, 5).Draw(t, "age")) * time.Second
				d.Report(name, engine.Load{At: now.Add(-age), Running: rapid.IntRange(0, 5).Draw(t, "running")})
			},
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) { checkCounts(t, d, now, len(waiting), len(running)) },
		})
	})
}

func checkRefusal(t *rapid.T, class *config.ServiceClass, before []peer.Queue, r *refusal.Refusal) {
	ahead := 0
	for _, q := range before {
		if q.ServiceClass == class.Name || q.ServiceClass == chat.Name {
			ahead += q.Waiting
		}
	}
	if ahead == 0 {
		t.Fatalf("a %s request was refused (%s) with nothing at least as urgent ahead", class.Name, r.Code)
	}
}

func checkCounts(t *rapid.T, d *dispatch.Dispatcher[int], now time.Time, waiting, running int) {
	for _, q := range d.Queues(now) {
		waiting -= q.Waiting
		running -= q.Running
	}
	if waiting != 0 || running != 0 {
		t.Fatalf("counts differ by %d waiting and %d running", waiting, running)
	}
	for _, b := range d.Replicas(now) {
		if b.Running > b.Places || b.Running < 0 {
			t.Fatalf("%s runs %d in %d places", b.Name, b.Running, b.Places)
		}
	}
}

// TestPatientQueueDoesNotCount checks that requests of a less urgent tier count
// for nothing in the expected wait of an urgent one.
func TestPatientQueueDoesNotCount(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 1))
	now := start
	for range 10 {
		ticket, r := d.Enter(request(letters), 0, now)
		c.Assert(r == nil, qt.IsTrue)
		c.Assert(d.Next(now), qt.Equals, ticket)
		now = now.Add(6 * time.Second)
		d.Finish(ticket, dispatch.Result{CompletionTokens: 50}, now)
	}
	for range 50 {
		_, r := d.Enter(request(letters), 0, now)
		c.Assert(r == nil, qt.IsTrue)
	}
	_, r := d.Enter(request(chat), 0, now)
	c.Assert(r == nil, qt.IsTrue)
}

func TestSecondFinishDoesNothing(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 9))
	req := request(chat)
	req.Account = &config.ClientAccount{Name: "small", ConcurrentRequests: 2}
	first, _ := d.Enter(req, 1, start)
	_, r := d.Enter(req, 2, start)
	c.Assert(r == nil, qt.IsTrue)
	d.Finish(first, dispatch.Result{}, start)
	d.Finish(first, dispatch.Result{}, start)
	_, r = d.Enter(req, 3, start)
	c.Assert(r == nil, qt.IsTrue)
	_, r = d.Enter(req, 4, start)
	c.Assert(r != nil, qt.IsTrue)
}

// TestNothingRanTellsNothing checks that requests that gave their places back at
// once do not make the pool look fast, nor a failed replica well.
func TestNothingRanTellsNothing(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 1))
	now := start
	for _, tokens := range []int{50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 0, 0, 0, 0, 0, 0} {
		ticket, r := d.Enter(request(chat), 0, now)
		c.Assert(r == nil, qt.IsTrue)
		c.Assert(d.Next(now), qt.Equals, ticket)
		if tokens > 0 {
			now = now.Add(6 * time.Second)
		}
		d.Finish(ticket, dispatch.Result{CompletionTokens: tokens}, now)
	}
	for range 2 {
		_, r := d.Enter(request(chat), 0, now)
		c.Assert(r == nil, qt.IsTrue)
	}
	_, r := d.Enter(request(chat), 0, now)
	c.Assert(r != nil, qt.IsTrue)
	c.Assert(r.Code, qt.Equals, refusal.WaitTooLong)
}

func TestMostUrgentOfAllModels(t *testing.T) {
	c := qt.New(t)
	both := spec("a", 1)
	both.Serves = []string{"assistant", "drafts"}
	d := newDispatcher(both)
	_, r := d.Enter(request(letters), 1, start)
	c.Assert(r == nil, qt.IsTrue)
	other := request(chat)
	other.Serves = "drafts"
	urgent, _ := d.Enter(other, 2, start.Add(time.Second))
	c.Assert(d.Next(start.Add(time.Second)), qt.Equals, urgent)
}

func resumable(class *config.ServiceClass) dispatch.Request {
	r := request(class)
	r.Resumable = true
	return r
}

func TestPreempt(t *testing.T) {
	c := qt.New(t)
	hurried := &config.ServiceClass{
		Name: "chat", Tier: 1, FirstTokenTarget: time.Second, MaxWait: 10 * time.Second, QueueLimit: 4,
	}
	for _, test := range []struct {
		name    string
		running dispatch.Request
		waiting *config.ServiceClass
		earned  int
		waited  time.Duration
		want    bool
	}{
		{name: "lower tier yields", running: resumable(letters), waiting: hurried, earned: 100_000, waited: 300 * time.Millisecond, want: true},
		{name: "not yet pressing", running: resumable(letters), waiting: hurried, earned: 100_000, waited: 200 * time.Millisecond},
		{name: "too late to help", running: resumable(letters), waiting: hurried, earned: 100_000, waited: 800 * time.Millisecond},
		{name: "same tier keeps its place", running: resumable(hurried), waiting: hurried, earned: 100_000, waited: 300 * time.Millisecond},
		{name: "cannot be resumed", running: request(letters), waiting: hurried, earned: 100_000, waited: 300 * time.Millisecond},
		{name: "no budget", running: resumable(letters), waiting: hurried, earned: 100, waited: 300 * time.Millisecond},
	} {
		c.Run(test.name, func(c *qt.C) {
			d := newDispatcher(spec("a", 1))
			first, _ := d.Enter(request(letters), 0, start)
			c.Assert(d.Next(start), qt.Equals, first)
			d.Finish(first, dispatch.Result{CompletionTokens: test.earned}, start)
			victim, _ := d.Enter(test.running, 1, start)
			c.Assert(d.Next(start), qt.Equals, victim)
			urgent, _ := d.Enter(request(test.waiting), 2, start)
			now := start.Add(test.waited)
			c.Assert(d.Next(now), qt.IsNil)
			got := d.Preempt(now)
			c.Assert(got == victim, qt.Equals, test.want)
			if !test.want {
				c.Assert(got, qt.IsNil)
				return
			}
			c.Assert(d.Preempt(now), qt.IsNil, qt.Commentf("one place is enough for one request"))
			d.Yield(victim, now)
			c.Assert(victim.Waiting(), qt.IsTrue)
			c.Assert(d.Next(now), qt.Equals, urgent)
			c.Assert(d.Next(now), qt.IsNil)
			d.Finish(urgent, dispatch.Result{}, now)
			c.Assert(d.Next(now), qt.Equals, victim)
		})
	}
}

// TestPastDemandKeepsNothing checks that a class that stopped asking does not
// keep the only place for ever.
func TestPastDemandKeepsNothing(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 1))
	urgent, _ := d.Enter(request(chat), 0, start)
	c.Assert(d.Next(start), qt.Equals, urgent)
	now := start.Add(time.Minute)
	d.Finish(urgent, dispatch.Result{}, now)
	patient, _ := d.Enter(request(letters), 1, now)
	c.Assert(d.Next(now), qt.IsNil)
	c.Assert(d.Next(now.Add(time.Minute)), qt.Equals, patient)
}

// TestPlacesAreKept checks that the last standard places are kept for the
// demand of more urgent classes, and cheap ones are not.
func TestPlacesAreKept(t *testing.T) {
	c := qt.New(t)
	cheap := spec("b", 1)
	cheap.Kind = config.KindCheap
	d := newDispatcher(spec("a", 4), cheap)
	now := start
	for range 200 {
		ticket, _ := d.Enter(request(chat), 0, now)
		c.Assert(d.Next(now), qt.Equals, ticket)
		now = now.Add(time.Second)
		d.Finish(ticket, dispatch.Result{CompletionTokens: 1}, now)
	}
	var started []string
	for i := range 5 {
		d.Enter(request(letters), i, now)
	}
	for t := d.Next(now); t != nil; t = d.Next(now) {
		started = append(started, t.Replica.Spec.Name)
	}
	c.Assert(started, qt.DeepEquals, []string{"b", "a"}, qt.Commentf("3 of 4 places are kept for an average of 1"))
	urgent, _ := d.Enter(request(chat), 9, now)
	c.Assert(d.Next(now), qt.Equals, urgent)
}
