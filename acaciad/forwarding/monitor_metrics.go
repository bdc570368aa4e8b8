package forwarding

import (
	"acaciapath.example/core/forwarding"

	"github.com/prometheus/client_golang/prometheus"
)

// monitorMetrics shows the state of the own path and counts probes.
type monitorMetrics struct {
	state   prometheus.Gauge
	changes *prometheus.CounterVec
	probes  *prometheus.CounterVec
}

// newMonitorMetrics returns metrics that are registered with registry.
func newMonitorMetrics(registry prometheus.Registerer) *monitorMetrics {
	m := &monitorMetrics{
		state: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "acaciapath_server_path_state",
			Help: "State of the VM's own path to the backend servers: 0 direct, 1 suspect, 2 cut off.",
		}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciapath_server_path_changes_total",
			Help: "Changes of the state of the VM's own path to the backend servers, by new state.",
		}, []string{"state"}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciapath_server_path_probes_total",
			Help: "Probes of backend servers on the VM's own path, by result.",
		}, []string{"result"}),
	}
	registry.MustRegister(m.state, m.changes, m.probes)
	return m
}

// record records a change of the state.
func (m *monitorMetrics) record(state forwarding.State) {
	m.state.Set(float64(state))
	m.changes.WithLabelValues(state.String()).Inc()
}
