package daemon_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// BenchmarkOrdinaryRequest measures requests with a small body on a kept connection, through a
// whole daemon.
func BenchmarkOrdinaryRequest(b *testing.B) {
	d := newDeployment(b)
	d.writeConfig(3, "k")
	d.registerShop("ready")
	r := d.start("vm-1")
	d.eventually("it serves", func() bool { return r.lookStatus("k") == http.StatusOK })
	body := strings.Repeat("x", 900)
	b.ReportAllocs()
	for b.Loop() {
		request, err := http.NewRequest(http.MethodPost, "http://"+r.settings.CallersAddress+"/look/", strings.NewReader(body))
		d.Assert(err, qt.IsNil)
		request.Host = "shop.example"
		request.Header.Set("Authorization", "Bearer k")
		request.Header.Set("X-Attempt-Id", "id-1")
		response, err := http.DefaultTransport.RoundTrip(request)
		d.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, response.Body)
		d.Assert(err, qt.IsNil)
		d.Assert(response.StatusCode, qt.Equals, http.StatusOK)
		_ = response.Body.Close() // the answer was read
	}
}
