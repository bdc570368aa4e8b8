package daemon_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
)

// limitedEngine is a model engine that names a limit in its answers.
type limitedEngine struct {
	mu sync.Mutex // guards the fields below
	// limit is the limit in requests a second, or 0 for none.
	limit float64
	// arrivals are the times at which requests came.
	arrivals []time.Time
}

// setLimit sets the limit that the engine names.
func (e *limitedEngine) setLimit(limit float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = limit
}

// arrivalsBetween returns the number of requests that came in a span of time.
func (e *limitedEngine) arrivalsBetween(from, to time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, at := range e.arrivals {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// mostWithin returns the largest number of requests that came within a window, after a
// time.
func (e *limitedEngine) mostWithin(window time.Duration, after time.Time) int {
	e.mu.Lock()
	arrivals := e.arrivals
	e.mu.Unlock()
	most := 0
	for _, at := range arrivals {
		if at.After(after) {
			most = max(most, e.arrivalsBetween(at, at.Add(window)))
		}
	}
	return most
}

// startLimitedEngine starts an engine that streams 4 events, and lists it.
func (d *deployment) startLimitedEngine(id string) *limitedEngine {
	e := &limitedEngine{}
	server := loopback.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.arrivals = append(e.arrivals, time.Now())
		limit := e.limit
		e.mu.Unlock()
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Replica-Signature", platformtest.Signature)
		w.Header().Set("Content-Type", "text/event-stream")
		if limit > 0 {
			w.Header().Set("Server-Limit", strconv.FormatFloat(limit, 'f', 2, 64))
		}
		controller := http.NewResponseController(w)
		for i := 1; i <= 4; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
			_ = controller.Flush()
			time.Sleep(20 * time.Millisecond)
		}
	}))
	d.Cleanup(server.Close)
	d.store.Write("servers", id, map[string]any{
		"service": "llm", "address": strings.TrimPrefix(server.URL, "http://"), "zone": "z", "version": "v1",
		"slots": 64, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": int64(1000),
	})
	return e
}

// TestNamedLimitIsKept has two of three engines name a limit of half of what they get,
// through several daemons. From the contact time on, none may get more in 4 s than one and
// a half times the limit and five requests. All requests must be served meanwhile, and
// once the limits end, the engines must be in use again.
func TestNamedLimitIsKept(t *testing.T) {
	const (
		contact = 4 * time.Second // contactMs of the deployments
		limit   = 2.0
	)
	d := newDeployment(t)
	d.writeAskConfig()
	engines := []*limitedEngine{d.startLimitedEngine("i-a"), d.startLimitedEngine("i-b"), d.startLimitedEngine("i-c")}
	var daemons []*runningDaemon
	for i := range 3 {
		daemons = append(daemons, d.startWithNeighbours(fmt.Sprintf("vm-%d", i)))
	}
	d.eventually("all serve", func() bool {
		for i, r := range daemons {
			if !r.send("probe-"+strconv.Itoa(i), "1", "2", "3") {
				return false
			}
		}
		return true
	})
	d.eventually("the daemons know each other", func() bool {
		for _, r := range daemons {
			if !strings.Contains(r.log.String(), `"neighbours":2`) {
				return false
			}
		}
		return true
	})
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	var limited atomic.Bool
	limited.Store(true)
	group.Go(func() {
		d.sendSteadily(daemons, "ask", 40*time.Millisecond, stop, func(n int) []string {
			if limited.Load() {
				return []string{strconv.Itoa(n % 12), strconv.Itoa(1000 + n)}
			}
			return []string{strconv.Itoa(100_000 + n), strconv.Itoa(1000 + n)} // no engine has it cached
		}, func(_ time.Time, ok bool) {
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				failed++
			}
		})
	})
	time.Sleep(time.Second)
	named := time.Now()
	for _, e := range engines[:2] {
		e.setLimit(limit)
	}
	time.Sleep(contact + 12*time.Second)
	ended := time.Now()
	for i, e := range engines[:2] {
		most := e.mostWithin(4*time.Second, named.Add(contact))
		d.Check(most <= int(1.5*limit*4+5), qt.IsTrue, qt.Commentf("engine %d got %d requests in 4 s", i, most))
		share := float64(e.arrivalsBetween(named.Add(contact), ended)) / ended.Sub(named.Add(contact)).Seconds()
		d.Check(share >= limit/2, qt.IsTrue, qt.Commentf("engine %d got only %.2f requests a second", i, share))
		e.setLimit(0)
	}
	limited.Store(false)
	time.Sleep(6 * time.Second)
	for i, e := range engines[:2] {
		n := e.arrivalsBetween(ended.Add(3*time.Second), ended.Add(6*time.Second))
		d.Check(n > int(3*limit), qt.IsTrue, qt.Commentf("engine %d got %d requests in 3 s after the limit", i, n))
	}
	close(stop)
	group.Wait()
	d.Check(failed, qt.Equals, 0)
}
