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

// benchCallers is the number of callers that send requests at the same time.
const benchCallers = 8

// BenchmarkOverhead sends the same load straight to a stand-in engine and
// through a daemon, in turns, and reports the time to the first token, the
// requests a second and their ratio.
func BenchmarkOverhead(b *testing.B) {
	s := start(b, plan{
		engines: []engine.Options{{Slots: 64, StepTime: 200 * time.Microsecond}},
		extra:   "\n[backend-server engine-1]\nplaces = 64\n",
	})
	direct, through := newLoad("http://"+s.engines[0].Address()), newLoad("http://"+s.daemon.CallersAddress())
	direct.run(b, benchCallers)
	through.run(b, benchCallers) // so that all connections are open
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
		d := float64(direct.first.ValueAtQuantile(quantile.value))
		t := float64(through.first.ValueAtQuantile(quantile.value))
		b.ReportMetric(d/1000, "direct-first-token-"+quantile.name+"-ms")
		b.ReportMetric(t/1000, "through-first-token-"+quantile.name+"-ms")
		b.ReportMetric((t-d)/1000, "added-"+quantile.name+"-ms")
	}
	b.ReportMetric(direct.rate(), "direct-requests/s")
	b.ReportMetric(through.rate(), "through-requests/s")
	b.ReportMetric(through.rate()/direct.rate(), "through/direct")
}

// load is a load that one server is sent.
type load struct {
	url    string
	client *http.Client

	mu    sync.Mutex
	first *hdrhistogram.Histogram // in microseconds
	took  time.Duration
	count int
}

func newLoad(base string) *load {
	l := &load{
		url:    base + "/v1/chat/completions",
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchCallers}},
	}
	l.reset()
	return l
}

func (l *load) reset() {
	l.first = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	l.took, l.count = 0, 0
}

// run sends n requests from several callers.
func (l *load) run(b *testing.B, n int) {
	begun := time.Now()
	var callers sync.WaitGroup
	for range benchCallers {
		callers.Go(func() {
			for range n / benchCallers {
				l.send(b)
			}
		})
	}
	callers.Wait()
	l.took += time.Since(begun)
	l.count += n
}

// send sends one request and notes the time to the event with its first token.
func (l *load) send(b *testing.B) {
	r, err := http.NewRequest(http.MethodPost, l.url, strings.NewReader(chatBody(16, true)))
	qt.Check(b, err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+shopKey)
	begun := time.Now()
	response, err := l.client.Do(r)
	if !qt.Check(b, err, qt.IsNil) {
		return
	}
	defer response.Body.Close()
	buffer := make([]byte, 4<<10)
	read := 0
	for events := 0; events < 2; { // the first event has the role alone
		n, err := response.Body.Read(buffer[read:])
		read += n
		events = strings.Count(string(buffer[:read]), "\n\n")
		if err != nil {
			break
		}
	}
	took := time.Since(begun)
	_, err = io.Copy(io.Discard, response.Body)
	qt.Check(b, err, qt.IsNil)
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.first.RecordValue(took.Microseconds())
}

// rate returns the requests a second.
func (l *load) rate() float64 { return float64(l.count) / l.took.Seconds() }
