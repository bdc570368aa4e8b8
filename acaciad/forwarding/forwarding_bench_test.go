package forwarding_test

import (
	"io"
	"net/http"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
)

// BenchmarkForwardedRequest measures a small request through asker, lender and backend server, all
// in one process.
func BenchmarkForwardedRequest(b *testing.B) {
	p := newPair(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	r := p.request(http.MethodPost, "/look/", "body", true)
	b.ReportAllocs()
	for b.Loop() {
		response, _, err := p.send(r)
		p.Assert(err, qt.IsNil)
		read(response)
	}
}

// BenchmarkRequestInProgress measures the memory of requests in progress at asker, lender and
// backend server together, in bytes for each.
func BenchmarkRequestInProgress(b *testing.B) {
	const n = 500
	release := make(chan struct{})
	p := newPair(b, func(http.ResponseWriter, *http.Request) { <-release })
	p.lender.Admission.Total, p.lender.Admission.PerAsker, p.lender.Admission.Capacity = n, n, n
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	done := make(chan struct{}, n)
	for range n {
		go func() {
			if response, _, err := p.send(p.request(http.MethodPost, "/order/", "x", false)); err == nil {
				_ = response.Body.Close()
			}
			done <- struct{}{}
		}()
	}
	p.eventually(func() bool { return len(p.requests()) == n })
	runtime.GC()
	runtime.ReadMemStats(&after)
	close(release)
	for range n {
		<-done
	}
	for b.Loop() {
	}
	b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/n, "B/request")
}
