package queue_test

import (
	"fmt"
	"testing"
	"time"

	"acaciapath.example/core/queue"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func always[T any](*queue.Entry[T], bool) bool { return true }

func push(q *queue.Queue[int], value, tier int, account string) *queue.Entry[int] {
	e := &queue.Entry[int]{
		Value:   value,
		Account: account,
		Tier:    tier,
		Arrived: start.Add(time.Duration(value) * time.Millisecond),
	}
	e.StartDeadline = e.Arrived.Add(time.Second)
	q.Push(e)
	return e
}

func take(q *queue.Queue[int], cost float64) *queue.Entry[int] {
	e := q.Next(start, cost, always)
	if e != nil {
		q.Take(e, cost)
	}
	return e
}

func TestOrder(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name    string
		prepare func(q *queue.Queue[int])
		want    []int
	}{
		{
			name: "arrival within a client account",
			prepare: func(q *queue.Queue[int]) {
				push(q, 1, 1, "a")
				push(q, 3, 1, "a")
				push(q, 2, 1, "a")
			},
			want: []int{1, 2, 3},
		},
		{
			name: "more urgent tier first",
			prepare: func(q *queue.Queue[int]) {
				push(q, 1, 3, "a")
				push(q, 2, 1, "a")
				push(q, 3, 2, "a")
			},
			want: []int{2, 3, 1},
		},
		{
			name: "client account with the lowest charge first",
			prepare: func(q *queue.Queue[int]) {
				push(q, 1, 1, "a")
				push(q, 2, 1, "b")
				q.Charge(1, "a", 10)
			},
			want: []int{2, 1},
		},
		{
			name: "correction of a charge",
			prepare: func(q *queue.Queue[int]) {
				push(q, 1, 1, "a")
				push(q, 2, 1, "b")
				q.Charge(1, "a", 10)
				q.Charge(1, "a", -10)
			},
			want: []int{1, 2},
		},
		{
			name: "removed entry is not served",
			prepare: func(q *queue.Queue[int]) {
				e := push(q, 1, 1, "a")
				push(q, 2, 1, "a")
				q.Remove(e)
			},
			want: []int{2},
		},
	} {
		c.Run(test.name, func(c *qt.C) {
			q := queue.New[int]()
			test.prepare(q)
			var got []int
			for e := take(q, 1); e != nil; e = take(q, 1) {
				got = append(got, e.Value)
			}
			c.Assert(got, qt.DeepEquals, test.want)
			c.Assert(q.Empty(), qt.IsTrue)
		})
	}
}

// TestIdleAccountGainsNoPriority checks that a client account does not
// accumulate an advantage over others while it has no requests.
func TestIdleAccountGainsNoPriority(t *testing.T) {
	c := qt.New(t)
	q := queue.New[int]()
	push(q, 1, 1, "busy")
	c.Assert(take(q, 1).Value, qt.Equals, 1)
	q.Charge(1, "busy", 1000)
	push(q, 2, 1, "busy")
	c.Assert(take(q, 1).Value, qt.Equals, 2)
	push(q, 3, 1, "idle")
	push(q, 4, 1, "busy")
	q.Charge(1, "idle", 1)
	c.Assert(take(q, 1).Value, qt.Equals, 4)
}

// TestOnTimeRequestsGoFirst checks that a request that can still be served on
// time goes before an older one of its tier that cannot.
func TestOnTimeRequestsGoFirst(t *testing.T) {
	c := qt.New(t)
	q := queue.New[int]()
	push(q, 1, 1, "a")
	push(q, 500, 1, "a")
	push(q, 2, 2, "a")
	now := start.Add(1200 * time.Millisecond)
	var got []int
	for e := q.Next(now, 1, always); e != nil; e = q.Next(now, 1, always) {
		q.Take(e, 1)
		got = append(got, e.Value)
	}
	c.Assert(got, qt.DeepEquals, []int{500, 1, 2})
}

func TestOldestArrival(t *testing.T) {
	c := qt.New(t)
	q := queue.New[int]()
	_, ok := q.OldestArrival(1)
	c.Assert(ok, qt.IsFalse)
	push(q, 500, 1, "a")
	push(q, 1, 1, "b")
	q.Next(start.Add(1200*time.Millisecond), 1, always)
	arrived, ok := q.OldestArrival(1)
	c.Assert(ok, qt.IsTrue)
	c.Assert(arrived, qt.Equals, start.Add(time.Millisecond))
}

func TestRemoveTwice(t *testing.T) {
	c := qt.New(t)
	q := queue.New[int]()
	e := push(q, 1, 1, "a")
	c.Assert(q.Remove(e), qt.IsTrue)
	c.Assert(q.Remove(e), qt.IsFalse)
	c.Assert(e.Waiting(), qt.IsFalse)
}

// TestNoClassStarves keeps requests of all tiers waiting, and bounds the number
// of tokens that are generated before each tier is served again.
func TestNoClassStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cost := float64(rapid.IntRange(1, 1000).Draw(t, "cost"))
		tiers := rapid.IntRange(2, 6).Draw(t, "tiers")
		q := queue.New[int]()
		for tier := 1; tier <= tiers; tier++ {
			push(q, tier, tier, "a")
			push(q, tier, tier, "a")
		}
		served := make([]float64, tiers+1)
		total := 0.0
		bound := float64(tiers) * (cost/queue.GuaranteedShare + cost)
		for range int(3*bound/cost) + 1 {
			e := take(q, cost)
			push(q, e.Value, e.Tier, "a")
			q.Charge(e.Tier, "a", cost)
			total += cost
			served[e.Tier] = total
			for tier := 1; tier <= tiers; tier++ {
				if total-served[tier] > bound {
					t.Fatalf("tier %d was not served for %g tokens, bound %g", tier, total-served[tier], bound)
				}
			}
		}
	})
}

// TestEachEntryComesOutOnce checks over random interleavings that each pushed
// entry comes out at most once, and that the counts of waiting entries are
// right.
func TestEachEntryComesOutOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New[int]()
		waiting := make(map[int]*queue.Entry[int])
		perTier := make(map[int]int)
		next := 0
		drop := func(e *queue.Entry[int]) {
			if _, ok := waiting[e.Value]; !ok {
				t.Fatalf("entry %d came out twice", e.Value)
			}
			delete(waiting, e.Value)
			perTier[e.Tier]--
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				tier := rapid.IntRange(1, 4).Draw(t, "tier")
				account := fmt.Sprint(rapid.IntRange(1, 5).Draw(t, "account"))
				waiting[next] = push(q, next, tier, account)
				perTier[tier]++
				next++
			},
			"take": func(*rapid.T) {
				if e := take(q, 10); e != nil {
					drop(e)
				}
			},
			"remove": func(t *rapid.T) {
				if next == 0 {
					return
				}
				e, ok := waiting[rapid.IntRange(0, next-1).Draw(t, "entry")]
				if ok && q.Remove(e) {
					drop(e)
				}
			},
			"charge": func(t *rapid.T) {
				tokens := rapid.IntRange(-50, 100).Draw(t, "tokens")
				q.Charge(rapid.IntRange(1, 4).Draw(t, "tier"), fmt.Sprint(rapid.IntRange(1, 5).Draw(t, "account")), float64(tokens))
			},
			"": func(t *rapid.T) {
				for tier, n := range perTier {
					if q.Waiting(tier) != n {
						t.Fatalf("tier %d: %d entries wait, want %d", tier, q.Waiting(tier), n)
					}
				}
				if q.Empty() != (len(waiting) == 0) {
					t.Fatalf("Empty is %v with %d waiting", q.Empty(), len(waiting))
				}
			},
		})
	})
}

// TestFairShares checks that two client accounts that always have a waiting
// request get the same number of tokens, regardless of the length of their
// answers.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lengths := map[string]int{
			"a": rapid.IntRange(1, 500).Draw(t, "a"),
			"b": rapid.IntRange(1, 500).Draw(t, "b"),
		}
		q := queue.New[int]()
		got := make(map[string]int)
		push(q, 1, 1, "a")
		push(q, 1, 1, "b")
		for range 200 {
			e := take(q, 1)
			got[e.Account] += lengths[e.Account]
			q.Charge(1, e.Account, float64(lengths[e.Account]))
			push(q, 1, 1, e.Account)
			if diff := got["a"] - got["b"]; max(diff, -diff) > 2*max(lengths["a"], lengths["b"]) {
				t.Fatalf("a got %d tokens, b %d", got["a"], got["b"])
			}
		}
	})
}
