package neighbours

import (
	"net/http"

	"acaciapath.example/core/detour"

	"github.com/prometheus/client_golang/prometheus"
)

// Label values of calls: their path, and their result.
const (
	viaDirect    = "direct"
	viaNeighbour = "neighbour"
	callAnswered = "answered"
	callRefused  = "turned-away"
	callFailed   = "failed"
)

// Metrics counts calls of the store.
type Metrics struct {
	calls *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{calls: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "acaciapath_store_calls_total",
		Help: "Calls of the platform's store, by way (direct or neighbour) and result.",
	}, []string{"way", "result"})}
	registry.MustRegister(m.calls)
	return m
}

// count counts a call by its path and result.
func (m *Metrics) count(via string, response *http.Response, err error) {
	label := viaNeighbour
	if via == detour.Direct {
		label = viaDirect
	}
	result := callAnswered
	switch {
	case err != nil:
		result = callFailed
	case storeRefused(response):
		result = callRefused
	}
	m.calls.WithLabelValues(label, result).Inc()
}
