package replica_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/engine"
	"acaciapath.example/core/replica"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func standard(name string) *replica.Replica {
	return replica.New(replica.Spec{
		Name:          name,
		Address:       "127.0.0.1:1",
		FailureDomain: "quito-a",
		Kind:          config.KindStandard,
		Slots:         4,
	})
}

func TestChoose(t *testing.T) {
	c := qt.New(t)
	local := replica.Requirements{FailureDomain: "quito-a"}
	for _, test := range []struct {
		name          string
		prepare       func(a, b *replica.Replica)
		requirements  replica.Requirements
		medianLatency time.Duration
		want          string
	}{
		{
			name:         "least occupied",
			prepare:      func(a, _ *replica.Replica) { a.BeginRequest(nil, start) },
			requirements: local,
			want:         "b",
		},
		{
			name:         "none free",
			prepare:      func(a, b *replica.Replica) { fill(a); fill(b) },
			requirements: local,
			want:         "",
		},
		{
			name:         "own failure domain first",
			prepare:      func(a, b *replica.Replica) { a.BeginRequest(nil, start); b.Spec.FailureDomain = "cuenca-a" },
			requirements: local,
			want:         "a",
		},
		{
			name:         "other failure domain when own is full",
			prepare:      func(a, b *replica.Replica) { fill(a); b.Spec.FailureDomain = "cuenca-a" },
			requirements: local,
			want:         "b",
		},
		{
			name:         "cheap only for requests that allow it",
			prepare:      func(a, b *replica.Replica) { a.BeginRequest(nil, start); b.Spec.Kind = config.KindCheap },
			requirements: local,
			want:         "a",
		},
		{
			name:         "cheap preferred by requests that allow it",
			prepare:      func(_, b *replica.Replica) { b.Spec.Kind = config.KindCheap },
			requirements: replica.Requirements{FailureDomain: "quito-a", AllowCheap: true},
			want:         "b",
		},
		{
			name:         "draining replica gets no requests",
			prepare:      func(a, b *replica.Replica) { a.Spec.Draining = true; b.BeginRequest(nil, start) },
			requirements: local,
			want:         "b",
		},
		{
			name:         "failed replica is in cooldown",
			prepare:      func(a, b *replica.Replica) { a.RecordFailure(start); b.BeginRequest(nil, start) },
			requirements: local,
			want:         "b",
		},
		{
			name:         "cached prefix",
			prepare:      func(a, _ *replica.Replica) { a.BeginRequest([]uint64{1, 2}, start) },
			requirements: replica.Requirements{FailureDomain: "quito-a", Prefixes: []uint64{1, 2}},
			want:         "a",
		},
		{
			name: "straggler",
			prepare: func(a, b *replica.Replica) {
				a.ObserveInterTokenLatency(90 * time.Millisecond)
				b.ObserveInterTokenLatency(30 * time.Millisecond)
				b.BeginRequest(nil, start)
			},
			requirements:  local,
			medianLatency: 30 * time.Millisecond,
			want:          "b",
		},
		{
			name:         "failed replica only as a last resort",
			prepare:      func(_, b *replica.Replica) { b.BeginRequest(nil, start) },
			requirements: replica.Requirements{FailureDomain: "quito-a", FailedReplicas: []string{"a"}},
			want:         "b",
		},
		{
			name: "published load of other daemons",
			prepare: func(a, _ *replica.Replica) {
				a.UpdateLoad(engine.Load{At: start, Running: 3})
			},
			requirements: local,
			want:         "b",
		},
	} {
		c.Run(test.name, func(c *qt.C) {
			a, b := standard("a"), standard("b")
			test.prepare(a, b)
			got := ""
			random := rand.New(rand.NewPCG(1, 2))
			if r := replica.Choose([]*replica.Replica{a, b}, test.requirements, test.medianLatency, start, random); r != nil {
				got = r.Spec.Name
			}
			c.Assert(got, qt.Equals, test.want)
		})
	}
}

func fill(r *replica.Replica) {
	for r.FreeSlots() > 0 {
		r.BeginRequest(nil, start)
	}
}

func TestOccupiedSlots(t *testing.T) {
	c := qt.New(t)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	r := standard("a")
	r.BeginRequest(nil, at(1))
	r.BeginRequest(nil, at(3))
	r.UpdateLoad(engine.Load{At: at(2), Running: 2, Waiting: 1})
	c.Assert(r.OccupiedSlots(), qt.Equals, 4, qt.Commentf("two of other daemons; of this daemon one at the time of the load and one since"))
	r.EndRequest(at(4))
	c.Assert(r.OccupiedSlots(), qt.Equals, 3)
	r.UpdateLoad(engine.Load{At: at(1), Running: 4})
	c.Assert(r.OccupiedSlots(), qt.Equals, 3, qt.Commentf("an older load is ignored"))
	r.UpdateLoad(engine.Load{At: at(5), Running: 1})
	c.Assert(r.OccupiedSlots(), qt.Equals, 1)
}

func TestCooldownGrows(t *testing.T) {
	c := qt.New(t)
	r := standard("a")
	last := time.Duration(0)
	for range 10 {
		r.RecordFailure(start)
		cooldown := r.CooldownUntil.Sub(start)
		c.Assert(cooldown >= last, qt.IsTrue)
		last = cooldown
	}
	c.Assert(last, qt.Equals, 15*time.Second)
	c.Assert(r.State(start), qt.Equals, replica.Failed)
	r.RecordSuccess()
	c.Assert(r.State(start), qt.Equals, replica.Ready)
}

func TestPrefixesAreBounded(t *testing.T) {
	c := qt.New(t)
	r := standard("a")
	for i := range uint64(1000) {
		r.ApplyCacheEvent(engine.CacheEvent{Stored: true, PrefixHash: i})
	}
	c.Assert(r.Cached(0), qt.IsFalse)
	c.Assert(r.Cached(999), qt.IsTrue)
	r.ApplyCacheEvent(engine.CacheEvent{PrefixHash: 999})
	c.Assert(r.Cached(999), qt.IsFalse)
}
