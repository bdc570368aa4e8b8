package dispatch_test

import (
	"testing"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/dispatch"
	"acaciapath.example/core/engine"
	"acaciapath.example/core/peer"
	"acaciapath.example/core/refusal"

	"pgregory.net/rapid"
)

// TestInvariants checks over random interleavings that no replica runs more
// requests than it has slots, that each ticket starts at most once between
// retries, that a second Finish has no effect, that no request is refused unless
// requests at least as urgent are waiting, and that the counts of waiting and
// running requests are right.
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
				ticket, r := d.Enqueue(request(class), next, now)
				if r != nil {
					checkRefusal(t, class, before, r)
					return
				}
				next++
				waiting[ticket] = true
			},
			"next": func(t *rapid.T) {
				ticket := d.StartNext(now)
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
					ReplicaFailed:    rapid.Bool().Draw(t, "failed"),
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
				d.UpdateLoad(name, engine.Load{At: now.Add(-age), Running: rapid.IntRange(0, 5).Draw(t, "running")})
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
		t.Fatalf("a %s request was refused (%s) although no request at least as urgent was waiting", class.Name, r.Code)
	}
}

func checkCounts(t *rapid.T, d *dispatch.Dispatcher[int], now time.Time, waiting, running int) {
	for _, q := range d.Queues(now) {
		waiting -= q.Waiting
		running -= q.Running
	}
	if waiting != 0 || running != 0 {
		t.Fatalf("counts are off by %d waiting and %d running requests", waiting, running)
	}
	for _, b := range d.Replicas(now) {
		if b.Running > b.Slots || b.Running < 0 {
			t.Fatalf("%s runs %d requests in %d slots", b.Name, b.Running, b.Slots)
		}
	}
}
