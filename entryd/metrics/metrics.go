package metrics

import (
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/refusal"

	"github.com/prometheus/client_golang/prometheus"
)

// Namespace begins the name of every metric.
const Namespace = "acaciapath_entry"

// Labels.
const (
	labelClass   = "service_class"
	labelAccount = "client_account"
	labelCode    = "code"
	labelResult  = "result"
	labelServer  = "backend_server"
	labelModel   = "model"
	labelKind    = "kind"
)

// Values of labelResult.
const (
	met    = "met"
	missed = "missed"
	whole  = "whole"
	broken = "broken"
)

// ControlKind is a kind of control traffic, which is counted apart from requests.
type ControlKind string

// The kinds of control traffic.
const (
	ControlPeer              ControlKind = "peer"
	ControlCancel            ControlKind = "cancel"
	ControlClaim             ControlKind = "claim"
	ControlUsage             ControlKind = "usage"
	ControlConfig            ControlKind = "config"
	ControlRefusedConnection ControlKind = "refused-connection"
)

// Answer is what is measured of one answered request.
type Answer struct {
	// Class is the service class.
	Class *config.ServiceClass
	// ClientAccount is the name of the client account.
	ClientAccount string
	// FirstTokenLatency is the time from the request's arrival to the first token. Of
	// a whole answer it is not known and 0.
	FirstTokenLatency time.Duration
	// TotalTime is the time from the request's arrival to the end of its answer.
	TotalTime time.Duration
	// InterTokenLatency is the average time between tokens; 0 if it is not known.
	InterTokenLatency time.Duration
	// Tokens is the number of tokens that the caller was sent.
	Tokens int
}

// Metrics are the metrics of one entry daemon. They are safe for concurrent use.
type Metrics struct {
	firstToken  *prometheus.HistogramVec
	interToken  *prometheus.HistogramVec
	firstTarget *prometheus.CounterVec
	interTarget *prometheus.CounterVec
	goodput     *prometheus.CounterVec
	tokens      *prometheus.CounterVec
	wasted      *prometheus.CounterVec
	byKind      *prometheus.CounterVec
	wait        *prometheus.HistogramVec
	refusals    *prometheus.CounterVec
	retries     prometheus.Counter
	preempted   *prometheus.CounterVec
	plain       *prometheus.CounterVec
	control     *prometheus.CounterVec
	accounts    *accounts
}

// latencyBuckets are in seconds.
var latencyBuckets = []float64{0.005, 0.01, 0.02, 0.035, 0.046, 0.06, 0.1, 0.2, 0.5, 0.8, 1.1, 2, 5, 10, 30, 60, 300, 1800}

// New returns metrics that are registered with registry.
func New(registry *prometheus.Registry) *Metrics {
	class := []string{labelClass}
	m := &Metrics{
		firstToken:  histogram("first_token_seconds", "Time from a request's arrival to its first token.", class),
		interToken:  histogram("inter_token_seconds", "Average time between the tokens of an answer.", class),
		firstTarget: counter("first_token_targets_total", "Answers by whether they met their class's target for the first token.", []string{labelClass, labelResult}),
		interTarget: counter("inter_token_targets_total", "Answers by whether they met their class's target between tokens.", []string{labelClass, labelResult}),
		goodput:     counter("goodput_tokens_total", "Tokens of whole answers that met their class's targets.", class),
		tokens:      counter("tokens_total", "Tokens that callers were sent.", class),
		preempted:   counter("preemptions_total", "Times that a request yielded its place to a more urgent one.", class),
		wasted:      counter("wasted_tokens_total", "Tokens that were generated for answers that did not reach their caller whole.", class),
		byKind:      counter("backend_server_tokens_total", "Generated tokens by the kind of the backend server that ended the answer.", []string{labelKind, labelResult}),
		wait:        histogram("queue_wait_seconds", "Time that a request waited for a place.", class),
		refusals:    counter("refusals_total", "Refused requests by the code of their refusal.", []string{labelCode}),
		retries:     prometheus.NewCounter(prometheus.CounterOpts{Namespace: Namespace, Name: "retries_total", Help: "Requests that were sent again."}),
		plain:       counter("plain_calls_total", "Calls of plain services by what became of them.", []string{"plain_service", labelResult}),
		control:     counter("control_messages_total", "Messages that are no requests of callers, by kind.", []string{labelKind}),
		accounts:    newAccounts(),
	}
	registry.MustRegister(m.firstToken, m.interToken, m.firstTarget, m.interTarget, m.goodput, m.tokens,
		m.wasted, m.preempted, m.byKind, m.wait, m.refusals, m.retries, m.plain, m.control, m.accounts)
	return m
}

// ObserveQueueWait counts how long a request of a class waited.
func (m *Metrics) ObserveQueueWait(class string, wait time.Duration) {
	m.wait.WithLabelValues(class).Observe(wait.Seconds())
}

// CountRefusal counts a refusal.
func (m *Metrics) CountRefusal(code refusal.Code) { m.refusals.WithLabelValues(string(code)).Inc() }

// CountRetry counts a retry.
func (m *Metrics) CountRetry() { m.retries.Inc() }

// CountPlainCall counts a call of a plain service.
func (m *Metrics) CountPlainCall(service, result string) {
	m.plain.WithLabelValues(service, result).Inc()
}

// CountPreemption counts a request of a class that yielded its place.
func (m *Metrics) CountPreemption(class string) { m.preempted.WithLabelValues(class).Inc() }

// CountControlMessage counts a message that is no request of a caller.
func (m *Metrics) CountControlMessage(kind ControlKind) {
	m.control.WithLabelValues(string(kind)).Inc()
}

// RecordAnswer counts a request whose answer reached its caller whole.
func (m *Metrics) RecordAnswer(a Answer) {
	class := a.Class.Name
	onFirst, onPace := a.met()
	if a.FirstTokenLatency > 0 {
		m.firstToken.WithLabelValues(class).Observe(a.FirstTokenLatency.Seconds())
	}
	if a.InterTokenLatency > 0 {
		m.interToken.WithLabelValues(class).Observe(a.InterTokenLatency.Seconds())
	}
	m.firstTarget.WithLabelValues(class, result(onFirst)).Inc()
	m.interTarget.WithLabelValues(class, result(onPace)).Inc()
	m.tokens.WithLabelValues(class).Add(float64(a.Tokens))
	if onFirst && onPace {
		m.goodput.WithLabelValues(class).Add(float64(a.Tokens))
	}
	m.accounts.count(class, a.ClientAccount, onFirst && onPace)
}

// CountGeneratedTokens counts the tokens of an answer by the kind of the backend server that
// ended it and by whether it reached its caller whole.
func (m *Metrics) CountGeneratedTokens(kind config.ServerKind, tokens int, isWhole bool) {
	result := broken
	if isWhole {
		result = whole
	}
	m.byKind.WithLabelValues(string(kind), result).Add(float64(tokens))
}

// CountUnanswered counts a request of a class that was refused or not answered whole
// after it was admitted, and the tokens that were generated in vain.
func (m *Metrics) CountUnanswered(class, clientAccount string, wasted int) {
	m.firstTarget.WithLabelValues(class, missed).Inc()
	m.interTarget.WithLabelValues(class, missed).Inc()
	m.wasted.WithLabelValues(class).Add(float64(wasted))
	m.accounts.count(class, clientAccount, false)
}

// CountWastedTokens counts tokens that were generated in vain for a reason that is the
// caller's.
func (m *Metrics) CountWastedTokens(class string, tokens int) {
	m.wasted.WithLabelValues(class).Add(float64(tokens))
}

// met reports whether the answer met the targets of its class. A whole answer
// meets both if it took no longer than both targets together allow.
func (a *Answer) met() (onFirst, onPace bool) {
	if a.FirstTokenLatency == 0 {
		allowed := a.Class.FirstTokenTarget + time.Duration(a.Tokens)*a.Class.InterTokenTarget
		return a.TotalTime <= allowed, a.TotalTime <= allowed
	}
	return a.FirstTokenLatency <= a.Class.FirstTokenTarget, a.InterTokenLatency <= a.Class.InterTokenTarget
}

func result(isMet bool) string {
	if isMet {
		return met
	}
	return missed
}

func counter(name, help string, labels []string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, labels []string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: Namespace, Name: name, Help: help, Buckets: latencyBuckets,
	}, labels)
}
