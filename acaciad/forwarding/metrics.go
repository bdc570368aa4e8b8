package forwarding

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// Label values: the role of this daemon.
const (
	roleAsker  = "asker"
	roleLender = "lender"
)

// Metrics counts requests that go through neighbours, as asker and as lender.
type Metrics struct {
	requests   *prometheus.CounterVec
	registerer prometheus.Registerer
}

// NewMetrics returns metrics that are registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{requests: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "acaciapath_forwarded_requests_total",
		Help: "Requests to backend servers that went through a neighbour and ended, by the role of this VM (asker or lender) and result.",
	}, []string{"role", "result"}), registerer: registry}
	registry.MustRegister(m.requests)
	return m
}

// observeAsker registers the number of requests in progress of an asker.
func (m *Metrics) observeAsker(a *Asker) { m.observe(roleAsker, a.InProgress) }

// observeLender is the same for a lender.
func (m *Metrics) observeLender(l *Lender) { m.observe(roleLender, l.InProgress) }

// observe registers the number of requests in progress in a role.
func (m *Metrics) observe(role string, inProgress func() int) {
	m.registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name:        "acaciapath_forwarded_requests",
		Help:        "Requests to backend servers that go through a neighbour at present, by the role of this VM (asker or lender).",
		ConstLabels: prometheus.Labels{"role": role},
	}, func() float64 { return float64(inProgress()) }))
}

// countAsked counts a request that a neighbour was asked to forward.
func (m *Metrics) countAsked(how Transmission, err error) {
	result := resultAnswered
	switch {
	case errors.Is(err, ErrBroken):
		result = resultBroken
	case err != nil && how.Reason != ReasonNone:
		result = string(how.Reason)
	case err != nil:
		result = "unreached"
	}
	m.requests.WithLabelValues(roleAsker, result).Inc()
}

// countLent counts a request that was forwarded for a neighbour, or not.
func (m *Metrics) countLent(result string) { m.requests.WithLabelValues(roleLender, result).Inc() }
