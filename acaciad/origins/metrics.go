package origins

import "github.com/prometheus/client_golang/prometheus"

// Results of lookups in metrics.
const (
	lookupKnown    = "known"
	lookupReported = "reported"
	lookupUnknown  = "unknown"
)

// What a version was guessed by in metrics.
const (
	guessedByReports = "reports"
	guessedByList    = "list"
)

// Metrics counts lookups of the versions that began streams, and versions that were guessed for new
// ones.
type Metrics struct {
	lookups, guesses *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{lookups: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "acaciapath_stream_origins_total",
		Help: "Streams that callers took up again, by how the version that began them was found.",
	}, []string{"result"}), guesses: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "acaciapath_stream_versions_guessed_total",
		Help: "Streams that began before other daemons could read a plan of this one, by what their version was guessed by.",
	}, []string{"by"})}
	registry.MustRegister(m.lookups, m.guesses)
	return m
}

// count counts a lookup.
func (m *Metrics) count(result string) { m.lookups.WithLabelValues(result).Inc() }

// countGuess counts a version that was guessed, by the reports of other daemons or by the list of
// servers.
func (m *Metrics) countGuess(byReports bool) {
	by := guessedByList
	if byReports {
		by = guessedByReports
	}
	m.guesses.WithLabelValues(by).Inc()
}
