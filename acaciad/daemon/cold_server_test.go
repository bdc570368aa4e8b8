package daemon_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// crashingEngine is a model engine that goes down and comes back cold at the same address.
type crashingEngine struct {
	limitedEngine
	down atomic.Bool
	// entry is its entry in the store.
	entry map[string]any
}

// startCrashingEngine starts an engine that streams one event, and lists it.
func (d *deployment) startCrashingEngine(id string) *crashingEngine {
	e := &crashingEngine{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.down.Load() {
			panic(http.ErrAbortHandler)
		}
		e.mu.Lock()
		e.arrivals = append(e.arrivals, time.Now())
		e.mu.Unlock()
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Replica-Signature", platformtest.Signature)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, "id: 1\ndata: x\n\n")
	}))
	d.Cleanup(server.Close)
	e.entry = map[string]any{
		"service": "llm", "address": strings.TrimPrefix(server.URL, "http://"), "zone": "z", "version": "v1",
		"slots": 64, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": int64(1000),
	}
	d.store.Write("servers", id, e.entry)
	return e
}

// TestColdServersGetWhatTheyTolerate has all engines crash and come back cold, with entries
// that say so a second later, before daemons that send far more than they tolerate. None may
// get more than that within a second, callers are refused meanwhile, and once the engines are
// warm all are served again.
func TestColdServersGetWhatTheyTolerate(t *testing.T) {
	const (
		coldTime = 4 * time.Second
		most     = 2*1.5 + 3
	)
	d := newDeployment(t)
	d.writeColdConfig(coldTime, 2)
	engines := []*crashingEngine{d.startCrashingEngine("i-a"), d.startCrashingEngine("i-b")}
	var daemons []*runningDaemon
	for i := range 3 {
		daemons = append(daemons, d.startWithNeighbours(fmt.Sprintf("vm-%d", i)))
	}
	d.eventually("the daemons serve and know each other", func() bool {
		for i, r := range daemons {
			if !r.send("probe-"+strconv.Itoa(i), "1") || !strings.Contains(r.log.String(), `"neighbours":2`) {
				return false
			}
		}
		return true
	})
	var served, failed atomic.Int32
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		d.sendSteadily(daemons, "ask", 20*time.Millisecond, stop, func(n int) []string { return []string{strconv.Itoa(n)} }, func(_ time.Time, ok bool) {
			if ok {
				served.Add(1)
			} else {
				failed.Add(1)
			}
		})
	}()
	time.Sleep(time.Second)
	d.Check(failed.Load(), qt.Equals, int32(0))
	for _, e := range engines {
		e.down.Store(true)
	}
	time.Sleep(1500 * time.Millisecond)
	back := time.Now()
	for _, e := range engines {
		e.down.Store(false)
	}
	time.Sleep(time.Second)
	d.writeColdEntries(engines, 2, coldTime-time.Since(back))
	time.Sleep(coldTime - time.Since(back))
	warm := time.Now()
	for i, e := range engines {
		n := e.mostBetween(time.Second, back, warm)
		d.Check(n <= most, qt.IsTrue, qt.Commentf("engine %d got %d requests in a second", i, n))
		d.Check(n > 0, qt.IsTrue, qt.Commentf("engine %d stays without requests", i))
	}
	d.Check(failed.Load() > 0, qt.IsTrue)
	d.writeColdEntries(engines, 5, 0)
	d.eventually("all are served again", func() bool {
		before, beforeFailed := served.Load(), failed.Load()
		time.Sleep(500 * time.Millisecond)
		return served.Load() >= before+10 && failed.Load() == beforeFailed
	})
	close(stop)
	<-ended
	logs := daemons[0].log.String() + daemons[1].log.String() + daemons[2].log.String()
	d.Check(strings.Contains(logs, `"outcome":"servers-cold"`), qt.IsTrue)
	d.Check(strings.Contains(logs, "servers may come back cold"), qt.IsTrue)
}

// mostBetween returns the largest number of requests that came within a window, in a span of
// time.
func (e *crashingEngine) mostBetween(window time.Duration, from, to time.Time) int {
	most := 0
	for at := from; at.Before(to.Add(-window)); at = at.Add(10 * time.Millisecond) {
		most = max(most, e.arrivalsBetween(at, at.Add(window)))
	}
	return most
}

// writeColdEntries writes the entries of engines that say how long they stay cold.
func (d *deployment) writeColdEntries(engines []*crashingEngine, sequence int, coldFor time.Duration) {
	for i, e := range engines {
		e.entry["sequence"], e.entry["coldRemainingMs"] = sequence, coldFor.Milliseconds()
		d.store.Write("servers", []string{"i-a", "i-b"}[i], e.entry)
	}
}

// writeColdConfig writes a configuration with the route /ask/ to a service whose servers are
// cold after their start.
func (d *deployment) writeColdConfig(coldTime time.Duration, perSecond float64) {
	d.store.Write("op", "config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "ask", "host": "shop.example", "prefix": "/ask/", "type": "streaming", "sessionAffinity": true,
			"timeoutMs": 5000, "targetLatencyMs": 500, "service": "llm", "maxAttempts": 1,
		}},
		"services": []any{map[string]any{
			"name": "llm", "healthPath": "/healthz", "coldStartS": coldTime.Seconds(), "coldPerS": perSecond,
			"runtime": map[string]any{"slots": 64, "kvCapacity": 500000, "stride": 3},
		}},
		"limits":  map[string]any{"maxBodyBytes": 1000},
		"tenants": []any{map[string]any{"name": "account-a", "apiKeys": []string{"k"}}},
	})
}
