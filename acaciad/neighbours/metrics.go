package neighbours

import (
	"net/http"

	"acaciapath.example/core/detour"

	"github.com/prometheus/client_golang/prometheus"
)

// Ways and results of calls in metrics.
const (
	wayDirect      = "direct"
	wayNeighbour   = "neighbour"
	callAnswered   = "answered"
	callTurnedAway = "turned-away"
	callFailed     = "failed"
)

// Metrics counts the calls of the store.
type Metrics struct {
	calls *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered at registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{calls: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "acaciapath_store_calls_total",
		Help: "Calls of the platform's store, by way (direct or neighbour) and result.",
	}, []string{"way", "result"})}
	registry.MustRegister(m.calls)
	return m
}

// count counts a call.
func (m *Metrics) count(way string, response *http.Response, err error) {
	label := wayNeighbour
	if way == detour.Direct {
		label = wayDirect
	}
	result := callAnswered
	switch {
	case err != nil:
		result = callFailed
	case turnedAway(response):
		result = callTurnedAway
	}
	m.calls.WithLabelValues(label, result).Inc()
}
