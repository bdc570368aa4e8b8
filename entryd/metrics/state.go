package metrics

import (
	"acaciapath.example/core/peer"

	"github.com/prometheus/client_golang/prometheus"
)

// State is the part of the daemon's state that is exported as gauges.
type State struct {
	// Queues are the queues of the daemon's scheduler.
	Queues []peer.Queue
	// BackendServers are the backend servers that the daemon routes to.
	BackendServers []peer.BackendServer
	// Connections is the number of open connections of callers.
	Connections int
	// Revision is the revision of the configuration in force, or 0 if there is
	// none.
	Revision uint64
}

// stateCollector exports a State.
type stateCollector struct {
	state func() State

	waiting     *prometheus.Desc
	running     *prometheus.Desc
	oldest      *prometheus.Desc
	servers     *prometheus.Desc
	serverBusy  *prometheus.Desc
	connections *prometheus.Desc
	revision    *prometheus.Desc
}

var _ prometheus.Collector = (*stateCollector)(nil)

// RegisterState registers gauges that call state whenever the metrics are
// collected.
func RegisterState(registry *prometheus.Registry, state func() State) {
	queue := []string{labelModel, labelClass}
	registry.MustRegister(&stateCollector{
		state:       state,
		waiting:     describe("queue_depth", "Requests that wait.", queue),
		running:     describe("running_requests", "Requests that run.", queue),
		oldest:      describe("queue_oldest_seconds", "Time that the oldest waiting request has waited.", queue),
		servers:     describe("backend_servers", "Backend servers by state and kind.", []string{"state", labelKind}),
		serverBusy:  describe("backend_server_running_requests", "Requests of this daemon that run on a backend server.", []string{labelServer}),
		connections: describe("connections", "Connections of callers.", nil),
		revision:    describe("config_revision", "Revision of the configuration in force.", nil),
	})
}

func describe(name, help string, labels []string) *prometheus.Desc {
	return prometheus.NewDesc(Namespace+"_"+name, help, labels, nil)
}

// Describe implements prometheus.Collector.
func (s *stateCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{s.waiting, s.running, s.oldest, s.servers, s.serverBusy, s.connections, s.revision} {
		descriptions <- d
	}
}

// Collect implements prometheus.Collector.
func (s *stateCollector) Collect(values chan<- prometheus.Metric) {
	state := s.state()
	send := func(d *prometheus.Desc, value float64, labels ...string) {
		values <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	send(s.connections, float64(state.Connections))
	send(s.revision, float64(state.Revision))
	for _, q := range state.Queues {
		send(s.waiting, float64(q.Waiting), q.Model, q.ServiceClass)
		send(s.running, float64(q.Running), q.Model, q.ServiceClass)
		send(s.oldest, q.OldestWait.Seconds(), q.Model, q.ServiceClass)
	}
	type stateKind struct{ state, kind string }
	counts := make(map[stateKind]int)
	for _, b := range state.BackendServers {
		counts[stateKind{state: b.State, kind: b.Kind}]++
		send(s.serverBusy, float64(b.Running), b.Name)
	}
	for key, count := range counts {
		send(s.servers, float64(count), key.state, key.kind)
	}
}
