package daemon

import (
	"time"

	"acaciapath.example/core/order"
	"acaciapath.example/core/peer"

	"github.com/prometheus/client_golang/prometheus"
)

// namespace begins the name of every metric.
const namespace = "acaciapath_control"

// Labels.
const (
	labelLease = "lease"
	labelPool  = "pool"
	labelKind  = "kind"
	labelState = "state"
	labelPart  = "part"
)

// millionths is the number of millionths in a currency unit.
const millionths = 1_000_000

// delayBuckets are the bounds of the delays of usage reports, in seconds.
var delayBuckets = []float64{1, 2, 5, 10, 30, 60, 300, 900, 3600, 14400}

// metrics are the metrics of a control daemon. docs/METRICS.md documents them.
type metrics struct {
	failures *prometheus.CounterVec
	windows  prometheus.Counter
	delay    prometheus.Histogram
	servers  *prometheus.GaugeVec
	spending *prometheus.CounterVec
	status   func() peer.Status

	held, fence, revision *prometheus.Desc

	// charged are the pools that are paid for since chargedAt.
	charged   []order.PoolState
	chargedAt time.Time
}

var _ prometheus.Collector = (*metrics)(nil)

func newMetrics(registry *prometheus.Registry, status func() peer.Status) *metrics {
	m := &metrics{
		failures: counters("failures_total", "Calls that failed, by part of the daemon.", labelPart),
		windows: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "usage_windows_total", Help: "Usage windows that this daemon reported.",
		}),
		delay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "usage_report_delay_seconds", Buckets: delayBuckets,
			Help: "Time from when a usage window was due until it was reported.",
		}),
		servers: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "backend_servers",
			Help: "Backend servers of a pool, while this daemon orders them.",
		}, []string{labelPool, labelKind, labelState}),
		spending: counters("spending_total", "What the backend servers of a pool cost, in currency units, while this daemon ordered them.", labelPool, labelKind),
		status:   status,
		held:     description("lease_held", "Whether this daemon may send under a lease.", labelLease),
		fence:    description("lease_fence", "Last known fencing number of a lease.", labelLease),
		revision: description("config_revision", "Revision of the configuration in force; 0 means none."),
	}
	registry.MustRegister(m.failures, m.windows, m.delay, m.servers, m.spending, m)
	return m
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func description(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

// Describe sends the descriptions of what is read from the daemon's status.
func (m *metrics) Describe(out chan<- *prometheus.Desc) {
	out <- m.held
	out <- m.fence
	out <- m.revision
}

// Collect sends what is read from the daemon's status.
func (m *metrics) Collect(out chan<- prometheus.Metric) {
	status := m.status()
	out <- prometheus.MustNewConstMetric(m.revision, prometheus.GaugeValue, float64(status.Revision))
	for _, l := range status.Leases {
		held := 0.0
		if l.IsHolder {
			held = 1
		}
		out <- prometheus.MustNewConstMetric(m.held, prometheus.GaugeValue, held, l.Name)
		out <- prometheus.MustNewConstMetric(m.fence, prometheus.GaugeValue, float64(l.Fence), l.Name)
	}
}

// reported counts a usage window that was reported, with its delay.
func (m *metrics) reported(delay time.Duration) {
	m.windows.Inc()
	m.delay.Observe(max(0, delay).Seconds())
}

// pools shows the state of the pools from now on, and adds what those shown
// before have cost since then. It is called by one thread.
func (m *metrics) pools(states []order.PoolState, now time.Time) {
	hours := now.Sub(m.chargedAt).Hours()
	for _, s := range m.charged {
		cost := float64(s.Pool.HourPriceMicros) / millionths * float64(s.Present+s.Drained) * hours
		m.spending.WithLabelValues(s.Pool.Name, string(s.Pool.Kind)).Add(max(0, cost))
	}
	m.charged, m.chargedAt = states, now
	m.servers.Reset()
	for _, s := range states {
		for state, count := range map[string]int{
			"target": s.Target, "present": s.Present, "pending": s.Pending, "drained": s.Drained,
		} {
			m.servers.WithLabelValues(s.Pool.Name, string(s.Pool.Kind), state).Set(float64(count))
		}
	}
}
