package origins

import "github.com/prometheus/client_golang/prometheus"

// Results of lookups in metrics.
const (
	lookupKnown    = "known"
	lookupReported = "reported"
	lookupUnknown  = "unknown"
)

// Metrics counts lookups of the versions that began streams.
type Metrics struct {
	lookups *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{lookups: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "acaciapath_stream_origins_total",
		Help: "Streams that callers took up again, by how the version that began them was found.",
	}, []string{"result"})}
	registry.MustRegister(m.lookups)
	return m
}

// count counts a lookup.
func (m *Metrics) count(result string) { m.lookups.WithLabelValues(result).Inc() }
