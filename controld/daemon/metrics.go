package daemon

import (
	"time"

	"acaciapath.example/core/order"
	"acaciapath.example/core/peer"

	"github.com/prometheus/client_golang/prometheus"
)

// namespace is the prefix of all metric names.
const namespace = "acaciapath_control"

// Label names.
const (
	labelLease = "lease"
	labelPool  = "pool"
	labelKind  = "kind"
	labelState = "state"
	labelPart  = "part"
)

// microsPerUnit is the number of millionths in a currency unit. Prices are stored in
// millionths.
const microsPerUnit = 1_000_000

// reportDelayBuckets are the upper bounds of the histogram of usage report delays, in
// seconds.
var reportDelayBuckets = []float64{1, 2, 5, 10, 30, 60, 300, 900, 3600, 14400}

// metrics holds the Prometheus metrics of a control daemon. docs/METRICS.md describes
// them. The lease and revision metrics are read from status when they are collected.
type metrics struct {
	failures        *prometheus.CounterVec
	reportedWindows prometheus.Counter
	reportDelay     prometheus.Histogram
	poolServers     *prometheus.GaugeVec
	spending        *prometheus.CounterVec
	status          func() peer.Status

	leaseHeld, leaseFence, configRevision *prometheus.Desc

	// lastPools are the pool states of the last call to recordPools, at lastPoolsAt.
	// Their cost since then has not been added to spending yet.
	lastPools   []order.PoolState
	lastPoolsAt time.Time
}

var _ prometheus.Collector = (*metrics)(nil)

func newMetrics(registry *prometheus.Registry, status func() peer.Status) *metrics {
	m := &metrics{
		failures: newCounterVec("failures_total", "Calls that failed, by part of the daemon.", labelPart),
		reportedWindows: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "usage_windows_total", Help: "Usage windows that this daemon reported.",
		}),
		reportDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "usage_report_delay_seconds", Buckets: reportDelayBuckets,
			Help: "Time from when a usage window was due until it was reported.",
		}),
		poolServers: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "backend_servers",
			Help: "Backend servers of a pool, while this daemon orders them.",
		}, []string{labelPool, labelKind, labelState}),
		spending:       newCounterVec("spending_total", "What the backend servers of a pool cost, in currency units, while this daemon ordered them.", labelPool, labelKind),
		status:         status,
		leaseHeld:      newDesc("lease_held", "Whether this daemon may send under a lease.", labelLease),
		leaseFence:     newDesc("lease_fence", "Last known fencing number of a lease.", labelLease),
		configRevision: newDesc("config_revision", "Revision of the configuration in force; 0 means none."),
	}
	registry.MustRegister(m.failures, m.reportedWindows, m.reportDelay, m.poolServers, m.spending, m)
	return m
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

// Describe sends the descriptions of the metrics that Collect reads from the status.
func (m *metrics) Describe(out chan<- *prometheus.Desc) {
	out <- m.leaseHeld
	out <- m.leaseFence
	out <- m.configRevision
}

// Collect sends the metrics that are read from the daemon's current status.
func (m *metrics) Collect(out chan<- prometheus.Metric) {
	status := m.status()
	out <- prometheus.MustNewConstMetric(m.configRevision, prometheus.GaugeValue, float64(status.Revision))
	for _, l := range status.Leases {
		held := 0.0
		if l.IsHolder {
			held = 1
		}
		out <- prometheus.MustNewConstMetric(m.leaseHeld, prometheus.GaugeValue, held, l.Name)
		out <- prometheus.MustNewConstMetric(m.leaseFence, prometheus.GaugeValue, float64(l.Fence), l.Name)
	}
}

// observeReport counts a reported usage window and records its delay: the time from
// when the window was due until it was reported. A negative delay counts as 0.
func (m *metrics) observeReport(delay time.Duration) {
	m.reportedWindows.Inc()
	m.reportDelay.Observe(max(0, delay).Seconds())
}

// recordPools adds to the spending what the previously recorded pools have cost since
// the last call, and then publishes the given pool states. No states means that this
// daemon does not order backend servers at present. It must be called from one
// goroutine only.
func (m *metrics) recordPools(states []order.PoolState, now time.Time) {
	hours := now.Sub(m.lastPoolsAt).Hours()
	for _, s := range m.lastPools {
		cost := float64(s.Pool.HourPriceMicros) / microsPerUnit * float64(s.Present+s.Draining) * hours
		m.spending.WithLabelValues(s.Pool.Name, string(s.Pool.Kind)).Add(max(0, cost))
	}
	m.lastPools, m.lastPoolsAt = states, now
	m.poolServers.Reset()
	for _, s := range states {
		for state, count := range map[string]int{
			"target": s.Target, "present": s.Present, "pending": s.Pending, "drained": s.Draining,
		} {
			m.poolServers.WithLabelValues(s.Pool.Name, string(s.Pool.Kind), state).Set(float64(count))
		}
	}
}
