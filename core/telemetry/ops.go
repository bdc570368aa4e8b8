package telemetry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Paths of the operations port.
const (
	// PathMetrics serves the metrics.
	PathMetrics = "/metrics"
	// PathHealthz answers 200 as long as the process runs.
	PathHealthz = "/healthz"
	// PathReadyz answers 200 while the daemon is ready for work, and 503
	// otherwise.
	PathReadyz = "/readyz"
)

// OpsHandler returns a handler for the operations port. Ready returns nil if
// the daemon is ready for work, or an error that says why it is not.
func OpsHandler(registry *prometheus.Registry, ready func() error) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+PathMetrics, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+PathHealthz, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET "+PathReadyz, func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	return mux
}
