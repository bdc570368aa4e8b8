package proxy

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts requests, attempts, handovers and budget decisions.
type Metrics struct {
	requests  *prometheus.CounterVec
	attempts  *prometheus.CounterVec
	duration  *prometheus.HistogramVec
	handovers *prometheus.CounterVec
	budgets   *prometheus.CounterVec
}

// latencyBuckets are the bounds of latency histograms, in seconds.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 30}

// NewMetrics returns metrics that are registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciapath_requests_total",
			Help: "Requests of callers that ended, by route, status and outcome.",
		}, []string{"route", "status", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciapath_attempts_total",
			Help: "Sendings of requests to backend servers, by route and result.",
		}, []string{"route", "result"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "acaciapath_request_seconds",
			Help:    "Time from a request's arrival to the end of its answer, by route.",
			Buckets: latencyBuckets,
		}, []string{"route"}),
	}
	m.budgets = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "acaciapath_retry_budget_total",
		Help: "Retries and moves of runs that were asked of their budget, by kind and whether it had one.",
	}, []string{"kind", "result"})
	m.handovers = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "acaciapath_handovers_total",
		Help: "Running requests whose model engine was about to leave, by result.",
	}, []string{"result"})
	registry.MustRegister(m.requests, m.attempts, m.duration, m.handovers, m.budgets)
	return m
}

// recordRequest records a finished request and its attempts.
func (m *Metrics) recordRequest(x *exchange, duration time.Duration) {
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	m.requests.WithLabelValues(route, strconv.Itoa(x.status), x.outcome).Inc()
	m.duration.WithLabelValues(route).Observe(duration.Seconds())
	for _, a := range x.attempts {
		m.attempts.WithLabelValues(route, a.result).Inc()
	}
}

// recordHandover records the result of a handover.
func (m *Metrics) recordHandover(result string) { m.handovers.WithLabelValues(result).Inc() }

// Label values of budget decisions: the kind of budget, and the result.
const (
	budgetRetry  = "retry"
	budgetMove   = "move"
	budgetSpent  = "spent"
	budgetDenied = "denied"
)

// recordSpend records whether a budget allowed a retry or a move, and returns
// allowed.
func (m *Metrics) recordSpend(kind string, allowed bool) bool {
	result := budgetDenied
	if allowed {
		result = budgetSpent
	}
	m.budgets.WithLabelValues(kind, result).Inc()
	return allowed
}
