package daemon_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
)

// crashingPart is the id of the prompt part on which engines crash.
const crashingPart = "dead"

// crashingFleet is a service of model engines that crash when they begin to answer a
// prompt with crashingPart. A crashed engine is replaced after a while.
type crashingFleet struct {
	*deployment

	mu      sync.Mutex // guards the fields below
	crashes []time.Time
	// arrivals are the times at which requests with crashingPart reached engines.
	arrivals []time.Time
	boots    int
}

// replacementDelay is the time from a crash to the start of the replacing engine.
const replacementDelay = 400 * time.Millisecond

// writeAskConfig writes a configuration with the streaming route /ask/ of the service llm,
// which requires the key "k".
func (d *deployment) writeAskConfig() {
	d.store.Write("op", "config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "ask", "host": "shop.example", "prefix": "/ask/", "type": "streaming", "sessionAffinity": true,
			"timeoutMs": 5000, "targetLatencyMs": 500, "service": "llm", "maxAttempts": 1,
		}},
		"services": []any{map[string]any{"name": "llm", "healthPath": "/healthz", "runtime": map[string]any{"slots": 64, "kvCapacity": 500000, "stride": 3}}},
		"limits":   map[string]any{"maxBodyBytes": 1000},
		"tenants":  []any{map[string]any{"name": "account-a", "apiKeys": []string{"k"}}},
	})
}

// startEngine starts an engine and lists it.
func (f *crashingFleet) startEngine() {
	f.mu.Lock()
	f.boots++
	id := fmt.Sprintf("engine-%d", f.boots)
	f.mu.Unlock()
	var server *httptest.Server
	var crashOnce sync.Once
	crash := func() {
		crashOnce.Do(func() {
			f.mu.Lock()
			f.crashes = append(f.crashes, time.Now())
			f.mu.Unlock()
			_ = server.Listener.Close()
			server.CloseClientConnections()
			time.AfterFunc(replacementDelay, func() {
				f.store.Remove("servers", id)
				f.startEngine()
			})
		})
	}
	server = loopback.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.serve(w, r, id, crash)
	}))
	f.Cleanup(server.CloseClientConnections)
	f.store.Write("servers", id, map[string]any{
		"service": "llm", "address": strings.TrimPrefix(server.URL, "http://"), "zone": "z", "version": "v1",
		"slots": 64, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

// serve streams 16 events, or crashes once the response has begun.
func (f *crashingFleet) serve(w http.ResponseWriter, r *http.Request, id string, crash func()) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if r.Header.Get("X-Expected-Replica") != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	crashes := strings.Contains(r.Header.Get("X-Prefix-Hash"), crashingPart)
	if crashes {
		f.mu.Lock()
		f.arrivals = append(f.arrivals, time.Now())
		f.mu.Unlock()
	}
	w.Header().Set("X-Replica-Signature", platformtest.Signature)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	for i := 1; i <= 16; i++ {
		time.Sleep(25 * time.Millisecond)
		if crashes {
			crash()
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		_ = controller.Flush()
	}
}

// send sends a request with the given parts of its prompt and reports whether it was
// served.
func (r *runningDaemon) send(id string, parts ...string) bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+r.settings.CallersAddress+"/ask/", strings.NewReader("x"))
	if err != nil {
		return false
	}
	request.Host = "shop.example"
	h := request.Header
	h.Set("Authorization", "Bearer k")
	h.Set("X-Attempt-Id", id)
	h.Set("X-Deadline-Ms", "5000")
	h.Set("X-Model", "m")
	h.Set("X-Token-Usage", "400,50")
	h.Set("X-Prefix-Hash", strings.Join(parts, ":100,")+":100")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// sendSteadily sends requests to random daemons every interval until stop is closed. parts
// returns the parts of the prompt of the n-th request. The n-th result is stored in served
// under the time at which it was sent.
func (d *deployment) sendSteadily(daemons []*runningDaemon, name string, interval time.Duration, stop <-chan struct{}, parts func(n int) []string, served func(sent time.Time, ok bool)) {
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		group.Go(func() {
			sent := time.Now()
			ok := daemons[rand.IntN(len(daemons))].send(fmt.Sprintf("%s-%d", name, n), parts(n)...)
			served(sent, ok)
		})
	}
}

// TestCrashingPartIsRefused has callers send prompts with one part on which every engine
// crashes, through several daemons, beside sound prompts that share all other parts. From
// the contact time after the fifth crash on, at most three more of them may reach
// engines, and twice that time after it the sound ones must be served at least half as
// often as before.
func TestCrashingPartIsRefused(t *testing.T) {
	const contact = 4 * time.Second // contactMs of the deployments
	f := &crashingFleet{deployment: newDeployment(t)}
	f.writeAskConfig()
	for range 6 {
		f.startEngine()
	}
	var daemons []*runningDaemon
	for i := range 3 {
		daemons = append(daemons, f.start(fmt.Sprintf("vm-%d", i)))
	}
	f.eventually("all serve", func() bool {
		for i, d := range daemons {
			if !d.send("probe-"+strconv.Itoa(i), "1", "2", "3") {
				return false
			}
		}
		return true
	})
	stop := make(chan struct{})
	var group sync.WaitGroup
	type result struct {
		sent time.Time
		ok   bool
	}
	var mu sync.Mutex
	var results []result
	sound := func(n int) []string {
		return []string{strconv.Itoa(n % 4), strconv.Itoa(10 + n%20), strconv.Itoa(1000 + n)}
	}
	group.Go(func() {
		f.sendSteadily(daemons, "sound", 25*time.Millisecond, stop, sound, func(sent time.Time, ok bool) {
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result{sent, ok})
		})
	})
	time.Sleep(2 * time.Second)
	began := time.Now()
	group.Go(func() {
		parts := func(n int) []string {
			return []string{strconv.Itoa(n % 4), crashingPart, strconv.Itoa(100_000 + n)}
		}
		f.sendSteadily(daemons, "crashing", 200*time.Millisecond, stop, parts, func(time.Time, bool) {})
	})
	var fifth time.Time
	f.eventually("five engines crash", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		if len(f.crashes) >= 5 {
			fifth = f.crashes[4]
		}
		return len(f.crashes) >= 5
	})
	time.Sleep(time.Until(fifth.Add(2*contact + 3*time.Second)))
	close(stop)
	group.Wait()
	late := 0
	for _, at := range f.arrivals {
		if at.After(fifth.Add(contact)) {
			late++
		}
	}
	f.Check(late <= 3, qt.IsTrue, qt.Commentf("%d requests with the part reached engines later, %d engines crashed", late, len(f.crashes)))
	share := func(from, to time.Time) float64 {
		n, ok := 0, 0
		for _, r := range results {
			if r.sent.After(from) && r.sent.Before(to) {
				n++
				if r.ok {
					ok++
				}
			}
		}
		f.Assert(n >= 20, qt.IsTrue)
		return float64(ok) / float64(n)
	}
	before, after := share(began.Add(-2*time.Second), began.Add(-500*time.Millisecond)), share(fifth.Add(2*contact), time.Now())
	f.Check(after >= before/2, qt.IsTrue, qt.Commentf("%.2f of the sound requests served, %.2f before", after, before))
}
