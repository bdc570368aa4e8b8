package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"acaciapath.example/core/placement"
	"acaciapath.example/core/replica"

	"pgregory.net/rapid"
)

// TestStatementsHoldInAnyOrder plays histories of entries, restarts and answers of servers in
// any order. No request may be sent to an instance that said that it leaves, or within a
// pause that it asked for.
func TestStatementsHoldInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
		random := rand.New(rand.NewPCG(1, 2))
		var statements placement.Statements
		pool := &placement.Pool{}
		boots := map[string]int64{"a": 1, "b": 1, "c": 1}
		listed := make(map[string]replica.Spec)
		left := make(map[string]bool)
		paused := make(map[string]time.Time)
		name := func(t *rapid.T) string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server") }
		update := func() {
			var specs []replica.Spec
			for _, spec := range listed {
				specs = append(specs, spec)
			}
			pool.Update(specs, now)
			statements.Apply(pool, now)
		}
		entry := func(n string, draining bool) replica.Spec {
			return replica.Spec{Name: n, Address: "10.0.0.1:" + n, FailureDomain: "z", Slots: 4, StartedAt: time.UnixMilli(boots[n]), Draining: draining}
		}
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				n := name(t)
				listed[n] = entry(n, rapid.IntRange(0, 3).Draw(t, "draining") == 0)
				update()
			},
			"old entry": func(t *rapid.T) {
				n := name(t)
				spec := entry(n, false)
				spec.StartedAt = time.UnixMilli(rapid.Int64Range(1, boots[n]).Draw(t, "boot"))
				listed[n] = spec
				update()
			},
			"remove":  func(t *rapid.T) { delete(listed, name(t)); update() },
			"restart": func(t *rapid.T) { boots[name(t)]++ },
			"says that it leaves": func(t *rapid.T) {
				if spec, ok := listed[name(t)]; ok {
					statements.SetLeaving(spec.Instance(), now)
					statements.Apply(pool, now)
					left[spec.Instance()] = true
				}
			},
			"asks for a pause": func(t *rapid.T) {
				if spec, ok := listed[name(t)]; ok {
					until := now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
					statements.SetPause(spec.Instance(), until, now)
					statements.Apply(pool, now)
					if until.After(paused[spec.Instance()]) {
						paused[spec.Instance()] = until
					}
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				usable := 0
				for _, spec := range listed {
					if instance := spec.Instance(); !spec.Draining && !left[instance] && !now.Before(paused[instance]) {
						usable++
					}
				}
				s := pool.Choose(placement.Requirements{FailureDomain: "z"}, now, random)
				if (s != nil) != (usable > 0) {
					t.Fatalf("%d usable servers, chosen: %v", usable, s != nil)
				}
				if s == nil {
					return
				}
				if instance := s.Spec.Instance(); left[instance] || now.Before(paused[instance]) || s.Spec.Draining {
					t.Fatal(fmt.Sprint(instance, " gets a request: ", pool.Availability(s, now)))
				}
			},
		})
	})
}
