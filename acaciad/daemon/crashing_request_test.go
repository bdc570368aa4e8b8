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

// crashingBody is the body on which every backend server crashes.
const crashingBody = "crash"

// crashingServers are the backend servers of a service, each of which crashes when it
// begins to run a request with crashingBody, and is replaced after a while.
type crashingServers struct {
	*deployment
	// streams states that the service streams events.
	streams bool

	mu      sync.Mutex // guards the fields below
	crashes []time.Time
	// arrivals are the times at which requests with crashingBody reached servers.
	arrivals []time.Time
	boots    int
}

// startServer starts a server and lists it.
func (f *crashingServers) startServer() {
	f.mu.Lock()
	f.boots++
	id := fmt.Sprintf("server-%d", f.boots)
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
				f.startServer()
			})
		})
	}
	server = loopback.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(w, r, id, crash) }))
	f.Cleanup(server.CloseClientConnections)
	service := "shop"
	if f.streams {
		service = "llm"
	}
	f.store.Write("servers", id, map[string]any{
		"service": service, "address": strings.TrimPrefix(server.URL, "http://"), "zone": "z", "version": "v1",
		"slots": 64, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

// serve answers a request, or crashes while it runs.
func (f *crashingServers) serve(w http.ResponseWriter, r *http.Request, id string, crash func()) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if r.Header.Get("X-Expected-Replica") != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	crashes := string(body) == crashingBody
	if crashes {
		f.mu.Lock()
		f.arrivals = append(f.arrivals, time.Now())
		f.mu.Unlock()
	}
	controller := http.NewResponseController(w)
	w.Header().Set("X-Replica-Signature", platformtest.Signature)
	if f.streams {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		_ = controller.Flush()
	}
	time.Sleep(40 * time.Millisecond)
	switch {
	case crashes:
		crash()
	case f.streams:
		for i := 1; i <= 16; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		}
	default:
		_, _ = io.WriteString(w, "done")
	}
}

// sendBody sends a request with a body and reports whether it was served.
func (f *crashingServers) sendBody(d *runningDaemon, id, body string) bool {
	path := "/look/"
	if f.streams {
		path = "/ask/"
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+d.settings.CallersAddress+path+"7", strings.NewReader(body))
	if err != nil {
		return false
	}
	request.Host = "shop.example"
	h := request.Header
	h.Set("Authorization", "Bearer k")
	h.Set("X-Attempt-Id", id)
	h.Set("X-Deadline-Ms", "5000")
	if f.streams {
		h.Set("X-Model", "m")
		h.Set("X-Token-Usage", "400,50")
		h.Set("X-Prefix-Hash", "1:300,2:100")
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// TestCrashingRequestIsRefused has callers send one request again and again, to any daemon,
// that crashes each server which runs it, beside sound requests on the same path. From the
// contact time after the third crash on, at most three more of it may reach servers, and
// the sound ones must be served at least half as often as before.
func TestCrashingRequestIsRefused(t *testing.T) {
	for name, streams := range map[string]bool{"plain service": false, "model engines": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := &crashingServers{deployment: newDeployment(t), streams: streams}
			if streams {
				f.writeAskConfig()
			} else {
				f.writeConfig(3, "k")
			}
			f.testCrashingRequest()
		})
	}
}

func (f *crashingServers) testCrashingRequest() {
	const contact = 4 * time.Second // contactMs of the deployments
	for range 3 {
		f.startServer()
	}
	var daemons []*runningDaemon
	for i := range 3 {
		daemons = append(daemons, f.start(fmt.Sprintf("vm-%d", i)))
	}
	f.eventually("all serve", func() bool {
		for i, d := range daemons {
			if !f.sendBody(d, "probe-"+strconv.Itoa(i), "probe") {
				return false
			}
		}
		return true
	})
	stop := make(chan struct{})
	var group sync.WaitGroup
	send := func(name string, interval time.Duration, body func(n int) string, result func(sent time.Time, ok bool)) {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			group.Go(func() {
				sent := time.Now()
				result(sent, f.sendBody(daemons[rand.IntN(len(daemons))], fmt.Sprintf("%s-%d", name, n), body(n)))
			})
		}
	}
	type result struct {
		sent time.Time
		ok   bool
	}
	var mu sync.Mutex
	var results []result
	group.Go(func() {
		send("sound", 25*time.Millisecond, strconv.Itoa, func(sent time.Time, ok bool) {
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result{sent, ok})
		})
	})
	time.Sleep(2 * time.Second)
	began := time.Now()
	group.Go(func() {
		send("crashing", 150*time.Millisecond, func(int) string { return crashingBody }, func(time.Time, bool) {})
	})
	var third time.Time
	f.eventually("three servers crash", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		if len(f.crashes) >= 3 {
			third = f.crashes[2]
		}
		return len(f.crashes) >= 3
	})
	time.Sleep(time.Until(third.Add(2*contact + 3*time.Second)))
	close(stop)
	group.Wait()
	late := 0
	for _, at := range f.arrivals {
		if at.After(third.Add(contact)) {
			late++
		}
	}
	f.Check(late <= 3, qt.IsTrue, qt.Commentf("it reached servers %d times later, %d servers crashed", late, len(f.crashes)))
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
	before, after := share(began.Add(-2*time.Second), began.Add(-500*time.Millisecond)), share(third.Add(2*contact), time.Now())
	f.Check(after >= before/2, qt.IsTrue, qt.Commentf("%.2f of the sound requests served, %.2f before", after, before))
}
