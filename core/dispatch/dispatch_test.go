package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/dispatch"
	"acaciapath.example/core/refusal"
	"acaciapath.example/core/replica"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var (
	chat = &config.ServiceClass{
		Name: "chat", Tier: 1, MaxWait: 10 * time.Second, QueueLimit: 4,
	}
	letters = &config.ServiceClass{
		Name: "letters", Tier: 3, MaxWait: time.Hour, QueueLimit: 100, AllowCheapServers: true,
	}
	shop = &config.ClientAccount{Name: "shop", Classes: []string{"chat", "letters"}}
)

func newDispatcher(replicas ...replica.Spec) *dispatch.Dispatcher[int] {
	d := dispatch.New[int]("quito-a", 10, rand.New(rand.NewPCG(1, 2)), start)
	d.SetReplicas(replicas)
	return d
}

func spec(name string, slots int) replica.Spec {
	return replica.Spec{
		Name:          name,
		Address:       "127.0.0.1:1",
		FailureDomain: "quito-a",
		Serves:        []string{"assistant"},
		Kind:          config.KindStandard,
		Slots:         slots,
	}
}

func request(class *config.ServiceClass) dispatch.Request {
	return dispatch.Request{Service: "assistant", Account: shop, Class: class, PromptTokens: 10}
}

func TestStartsWhenASlotIsFree(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 1))
	first, r := d.Enqueue(request(letters), 1, start)
	c.Assert(r == nil, qt.IsTrue)
	c.Assert(d.StartNext(start), qt.Equals, first)
	lessUrgent, r := d.Enqueue(request(letters), 2, start)
	c.Assert(r == nil, qt.IsTrue)
	urgent, r := d.Enqueue(request(chat), 3, start)
	c.Assert(r == nil, qt.IsTrue)
	c.Assert(d.StartNext(start), qt.IsNil)
	d.Finish(first, dispatch.Result{CompletionTokens: 5}, start.Add(time.Second))
	c.Assert(d.StartNext(start), qt.Equals, urgent)
	d.Finish(urgent, dispatch.Result{}, start)
	c.Assert(d.StartNext(start), qt.Equals, lessUrgent)
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
					d.Enqueue(request(chat), 0, start)
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
				_, r := d.Enqueue(req, 0, start)
				c.Assert(r == nil, qt.IsTrue)
			}
			_, r := d.Enqueue(req, 0, start)
			c.Assert(r != nil, qt.IsTrue)
			c.Assert(r.Code, qt.Equals, test.want)
			c.Assert(r.RunState, qt.Equals, refusal.NotRun)
		})
	}
}

// TestNotRefusedForLessUrgentQueue checks that an urgent request is accepted
// and served next while the queue of a less urgent class is full.
func TestNotRefusedForLessUrgentQueue(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 1))
	for range letters.QueueLimit {
		_, r := d.Enqueue(request(letters), 0, start)
		c.Assert(r == nil, qt.IsTrue)
	}
	urgent, r := d.Enqueue(request(chat), 1, start)
	c.Assert(r == nil, qt.IsTrue)
	c.Assert(d.StartNext(start), qt.Equals, urgent)
}

func TestRefusedWhenTheWaitIsTooLong(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 1))
	now := start
	for range 10 {
		ticket, r := d.Enqueue(request(chat), 0, now)
		c.Assert(r == nil, qt.IsTrue)
		c.Assert(d.StartNext(now), qt.Equals, ticket)
		now = now.Add(6 * time.Second)
		d.Finish(ticket, dispatch.Result{CompletionTokens: 50}, now)
	}
	for range 2 {
		_, r := d.Enqueue(request(chat), 0, now)
		c.Assert(r == nil, qt.IsTrue)
	}
	_, r := d.Enqueue(request(chat), 0, now)
	c.Assert(r != nil, qt.IsTrue)
	c.Assert(r.Code, qt.Equals, refusal.WaitTooLong)
	c.Assert(r.RetryAfter, qt.Equals, 2*time.Second)
}

func TestSharedReplica(t *testing.T) {
	c := qt.New(t)
	both := spec("a", 1)
	both.Serves = []string{"assistant", "drafts"}
	d := newDispatcher(both)
	one, _ := d.Enqueue(request(chat), 1, start)
	other := request(chat)
	other.Service = "drafts"
	_, r := d.Enqueue(other, 2, start)
	c.Assert(r == nil, qt.IsTrue)
	c.Assert(d.StartNext(start), qt.Equals, one)
	c.Assert(d.StartNext(start), qt.IsNil, qt.Commentf("the only slot is taken"))
}

func TestFinishOnRemovedReplica(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 1))
	ticket, _ := d.Enqueue(request(chat), 1, start)
	c.Assert(d.StartNext(start), qt.Equals, ticket)
	d.SetReplicas([]replica.Spec{spec("b", 1)})
	d.Finish(ticket, dispatch.Result{CompletionTokens: 3}, start)
	c.Assert(d.Replicas(start), qt.HasLen, 1)
	c.Assert(d.Queues(start)[0].Running, qt.Equals, 0)
}

// TestLessUrgentQueueDoesNotCount checks that requests of a less urgent tier do
// not add to the expected wait of an urgent one.
func TestLessUrgentQueueDoesNotCount(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 1))
	now := start
	for range 10 {
		ticket, r := d.Enqueue(request(letters), 0, now)
		c.Assert(r == nil, qt.IsTrue)
		c.Assert(d.StartNext(now), qt.Equals, ticket)
		now = now.Add(6 * time.Second)
		d.Finish(ticket, dispatch.Result{CompletionTokens: 50}, now)
	}
	for range 50 {
		_, r := d.Enqueue(request(letters), 0, now)
		c.Assert(r == nil, qt.IsTrue)
	}
	_, r := d.Enqueue(request(chat), 0, now)
	c.Assert(r == nil, qt.IsTrue)
}

func TestSecondFinishHasNoEffect(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 9))
	req := request(chat)
	req.Account = &config.ClientAccount{Name: "small", ConcurrentRequests: 2}
	first, _ := d.Enqueue(req, 1, start)
	_, r := d.Enqueue(req, 2, start)
	c.Assert(r == nil, qt.IsTrue)
	d.Finish(first, dispatch.Result{}, start)
	d.Finish(first, dispatch.Result{}, start)
	_, r = d.Enqueue(req, 3, start)
	c.Assert(r == nil, qt.IsTrue)
	_, r = d.Enqueue(req, 4, start)
	c.Assert(r != nil, qt.IsTrue)
}

// TestRequestWithoutTokensIsNotASample checks that requests that release their
// slots without generating a token do not lower the average service time.
// Otherwise the pool would look fast and accept requests that wait too long.
func TestRequestWithoutTokensIsNotASample(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(spec("a", 1))
	now := start
	for _, tokens := range []int{50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 0, 0, 0, 0, 0, 0} {
		ticket, r := d.Enqueue(request(chat), 0, now)
		c.Assert(r == nil, qt.IsTrue)
		c.Assert(d.StartNext(now), qt.Equals, ticket)
		if tokens > 0 {
			now = now.Add(6 * time.Second)
		}
		d.Finish(ticket, dispatch.Result{CompletionTokens: tokens}, now)
	}
	for range 2 {
		_, r := d.Enqueue(request(chat), 0, now)
		c.Assert(r == nil, qt.IsTrue)
	}
	_, r := d.Enqueue(request(chat), 0, now)
	c.Assert(r != nil, qt.IsTrue)
	c.Assert(r.Code, qt.Equals, refusal.WaitTooLong)
}

func TestMostUrgentAcrossModels(t *testing.T) {
	c := qt.New(t)
	both := spec("a", 1)
	both.Serves = []string{"assistant", "drafts"}
	d := newDispatcher(both)
	_, r := d.Enqueue(request(letters), 1, start)
	c.Assert(r == nil, qt.IsTrue)
	other := request(chat)
	other.Service = "drafts"
	urgent, _ := d.Enqueue(other, 2, start.Add(time.Second))
	c.Assert(d.StartNext(start.Add(time.Second)), qt.Equals, urgent)
}
