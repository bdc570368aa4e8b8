package daemon_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciapath.example/standin/engine"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"
)

// benchCallers is the number of concurrent callers.
const benchCallers = 8

// BenchmarkOverhead alternately sends the same load directly to a stand-in
// engine and through a daemon. It reports the time to the first token, the
// requests per second and their ratio.
func BenchmarkOverhead(b *testing.B) {
	s := start(b, systemOptions{
		engines:     []engine.Options{{Slots: 64, StepTime: 200 * time.Microsecond}},
		extraConfig: "\n[backend-server engine-1]\nplaces = 64\n",
	})
	direct, through := newLoadGenerator("http://"+s.engines[0].Address()), newLoadGenerator("http://"+s.daemon.CallersAddress())
	direct.run(b, benchCallers)
	through.run(b, benchCallers) // opens all connections
	direct.reset()
	through.reset()
	const round = 10 * benchCallers
	for b.Loop() {
		direct.run(b, round)
		through.run(b, round)
	}
	for _, quantile := range []struct {
		name  string
		value float64
	}{{name: "p50", value: 50}, {name: "p99", value: 99}} {
		d := float64(direct.firstToken.ValueAtQuantile(quantile.value))
		t := float64(through.firstToken.ValueAtQuantile(quantile.value))
		b.ReportMetric(d/1000, "direct-first-token-"+quantile.name+"-ms")
		b.ReportMetric(t/1000, "through-first-token-"+quantile.name+"-ms")
		b.ReportMetric((t-d)/1000, "added-"+quantile.name+"-ms")
	}
	b.ReportMetric(direct.rate(), "direct-requests/s")
	b.ReportMetric(through.rate(), "through-requests/s")
	b.ReportMetric(through.rate()/direct.rate(), "through/direct")
}

// loadGenerator sends requests to one server and records their latencies.
type loadGenerator struct {
	url    string
	client *http.Client

	mu         sync.Mutex
	firstToken *hdrhistogram.Histogram // in microseconds
	elapsed    time.Duration
	count      int
}

func newLoadGenerator(base string) *loadGenerator {
	l := &loadGenerator{
		url:    base + "/v1/chat/completions",
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchCallers}},
	}
	l.reset()
	return l
}

func (l *loadGenerator) reset() {
	l.firstToken = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	l.elapsed, l.count = 0, 0
}

// run sends n requests from benchCallers callers.
func (l *loadGenerator) run(b *testing.B, n int) {
	startTime := time.Now()
	var callers sync.WaitGroup
	for range benchCallers {
		callers.Go(func() {
			for range n / benchCallers {
				l.send(b)
			}
		})
	}
	callers.Wait()
	l.elapsed += time.Since(startTime)
	l.count += n
}

// send sends one request and records the time to the event with the first
// token.
func (l *loadGenerator) send(b *testing.B) {
	r, err := http.NewRequest(http.MethodPost, l.url, strings.NewReader(chatBody(16, true)))
	qt.Check(b, err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+shopKey)
	startTime := time.Now()
	response, err := l.client.Do(r)
	if !qt.Check(b, err, qt.IsNil) {
		return
	}
	defer response.Body.Close()
	buffer := make([]byte, 4<<10)
	read := 0
	for events := 0; events < 2; { // the first event contains only the role
		n, err := response.Body.Read(buffer[read:])
		read += n
		events = strings.Count(string(buffer[:read]), "\n\n")
		if err != nil {
			break
		}
	}
	took := time.Since(startTime)
	_, err = io.Copy(io.Discard, response.Body)
	qt.Check(b, err, qt.IsNil)
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.firstToken.RecordValue(took.Microseconds())
}

// rate returns the number of requests per second.
func (l *loadGenerator) rate() float64 { return float64(l.count) / l.elapsed.Seconds() }
