package metrics

import (
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/refusal"

	"github.com/prometheus/client_golang/prometheus"
)

// Namespace is the prefix of the name of every metric.
const Namespace = "acaciapath_entry"

// Names of labels.
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
	resultMet    = "met"
	resultMissed = "missed"
	resultWhole  = "whole"
	resultBroken = "broken"
)

// ControlKind is a kind of control message. Control messages are counted
// separately from requests.
type ControlKind string

// Kinds of control messages.
const (
	ControlPeer              ControlKind = "peer"
	ControlCancel            ControlKind = "cancel"
	ControlClaim             ControlKind = "claim"
	ControlUsage             ControlKind = "usage"
	ControlConfig            ControlKind = "config"
	ControlRefusedConnection ControlKind = "refused-connection"
)

// Answer holds the measurements of one answered request.
type Answer struct {
	// Class is the service class.
	Class *config.ServiceClass
	// ClientAccount is the name of the client account.
	ClientAccount string
	// FirstTokenLatency is the time from the request's arrival to the first
	// token. It is 0 for an answer that is not streamed.
	FirstTokenLatency time.Duration
	// TotalTime is the time from the request's arrival to the end of its
	// answer.
	TotalTime time.Duration
	// InterTokenLatency is the average time between tokens, or 0 if it is not
	// known.
	InterTokenLatency time.Duration
	// Tokens is the number of tokens that were sent to the caller.
	Tokens int
}

// Metrics are the metrics of one entry daemon. They are safe for concurrent use.
type Metrics struct {
	firstToken        *prometheus.HistogramVec
	interToken        *prometheus.HistogramVec
	firstTokenTargets *prometheus.CounterVec
	interTokenTargets *prometheus.CounterVec
	goodput           *prometheus.CounterVec
	tokens            *prometheus.CounterVec
	wasted            *prometheus.CounterVec
	tokensByKind      *prometheus.CounterVec
	queueWait         *prometheus.HistogramVec
	refusals          *prometheus.CounterVec
	retries           prometheus.Counter
	preempted         *prometheus.CounterVec
	plainCalls        *prometheus.CounterVec
	controlMessages   *prometheus.CounterVec
	accounts          *accounts
}

// latencyBuckets are the histogram buckets of all latencies, in seconds.
var latencyBuckets = []float64{0.005, 0.01, 0.02, 0.035, 0.046, 0.06, 0.1, 0.2, 0.5, 0.8, 1.1, 2, 5, 10, 30, 60, 300, 1800}

// New returns metrics that are registered with the given registry.
func New(registry *prometheus.Registry) *Metrics {
	class := []string{labelClass}
	m := &Metrics{
		firstToken:        histogram("first_token_seconds", "Time from a request's arrival to its first token.", class),
		interToken:        histogram("inter_token_seconds", "Average time between the tokens of an answer.", class),
		firstTokenTargets: counter("first_token_targets_total", "Answers by whether they met their class's target for the first token.", []string{labelClass, labelResult}),
		interTokenTargets: counter("inter_token_targets_total", "Answers by whether they met their class's target between tokens.", []string{labelClass, labelResult}),
		goodput:           counter("goodput_tokens_total", "Tokens of whole answers that met their class's targets.", class),
		tokens:            counter("tokens_total", "Tokens that callers were sent.", class),
		preempted:         counter("preemptions_total", "Times that a request yielded its place to a more urgent one.", class),
		wasted:            counter("wasted_tokens_total", "Tokens that were generated for answers that did not reach their caller whole.", class),
		tokensByKind:      counter("backend_server_tokens_total", "Generated tokens by the kind of the backend server that ended the answer.", []string{labelKind, labelResult}),
		queueWait:         histogram("queue_wait_seconds", "Time that a request waited for a place.", class),
		refusals:          counter("refusals_total", "Refused requests by the code of their refusal.", []string{labelCode}),
		retries:           prometheus.NewCounter(prometheus.CounterOpts{Namespace: Namespace, Name: "retries_total", Help: "Requests that were sent again."}),
		plainCalls:        counter("plain_calls_total", "Calls of plain services by what became of them.", []string{"plain_service", labelResult}),
		controlMessages:   counter("control_messages_total", "Messages that are no requests of callers, by kind.", []string{labelKind}),
		accounts:          newAccounts(),
	}
	registry.MustRegister(m.firstToken, m.interToken, m.firstTokenTargets, m.interTokenTargets, m.goodput, m.tokens,
		m.wasted, m.preempted, m.tokensByKind, m.queueWait, m.refusals, m.retries, m.plainCalls, m.controlMessages, m.accounts)
	return m
}

// ObserveQueueWait records how long a request of a service class waited for a
// slot.
func (m *Metrics) ObserveQueueWait(class string, queueWait time.Duration) {
	m.queueWait.WithLabelValues(class).Observe(queueWait.Seconds())
}

// CountRefusal counts a refusal.
func (m *Metrics) CountRefusal(code refusal.Code) { m.refusals.WithLabelValues(string(code)).Inc() }

// CountRetry counts a retry.
func (m *Metrics) CountRetry() { m.retries.Inc() }

// CountPlainCall counts a call of a plain service. result is answered,
// replayed, failed or lost.
func (m *Metrics) CountPlainCall(service, result string) {
	m.plainCalls.WithLabelValues(service, result).Inc()
}

// CountPreemption counts a request of a service class that yielded its slot.
func (m *Metrics) CountPreemption(class string) { m.preempted.WithLabelValues(class).Inc() }

// CountControlMessage counts a control message.
func (m *Metrics) CountControlMessage(kind ControlKind) {
	m.controlMessages.WithLabelValues(string(kind)).Inc()
}

// RecordAnswer records a request whose answer is complete.
func (m *Metrics) RecordAnswer(a Answer) {
	class := a.Class.Name
	firstTokenMet, interTokenMet := a.meetsTargets()
	if a.FirstTokenLatency > 0 {
		m.firstToken.WithLabelValues(class).Observe(a.FirstTokenLatency.Seconds())
	}
	if a.InterTokenLatency > 0 {
		m.interToken.WithLabelValues(class).Observe(a.InterTokenLatency.Seconds())
	}
	m.firstTokenTargets.WithLabelValues(class, result(firstTokenMet)).Inc()
	m.interTokenTargets.WithLabelValues(class, result(interTokenMet)).Inc()
	m.tokens.WithLabelValues(class).Add(float64(a.Tokens))
	if firstTokenMet && interTokenMet {
		m.goodput.WithLabelValues(class).Add(float64(a.Tokens))
	}
	m.accounts.record(class, a.ClientAccount, firstTokenMet && interTokenMet)
}

// CountGeneratedTokens counts the tokens of an answer by the kind of the
// backend server that ended it, and by whether the answer is complete.
func (m *Metrics) CountGeneratedTokens(kind config.ServerKind, tokens int, complete bool) {
	result := resultBroken
	if complete {
		result = resultWhole
	}
	m.tokensByKind.WithLabelValues(string(kind), result).Add(float64(tokens))
}

// CountUnanswered counts an admitted request of a service class that was
// refused later or got no complete answer, and the tokens that were generated
// in vain.
func (m *Metrics) CountUnanswered(class, clientAccount string, wasted int) {
	m.firstTokenTargets.WithLabelValues(class, resultMissed).Inc()
	m.interTokenTargets.WithLabelValues(class, resultMissed).Inc()
	m.wasted.WithLabelValues(class).Add(float64(wasted))
	m.accounts.record(class, clientAccount, false)
}

// CountWastedTokens counts tokens that were generated in vain and are not passed
// to CountUnanswered.
func (m *Metrics) CountWastedTokens(class string, tokens int) {
	m.wasted.WithLabelValues(class).Add(float64(tokens))
}

// meetsTargets reports whether the answer met the targets of its class. An
// answer that is not streamed meets both targets if its total time is at most
// the sum that both targets allow.
func (a *Answer) meetsTargets() (firstTokenMet, interTokenMet bool) {
	if a.FirstTokenLatency == 0 {
		allowed := a.Class.FirstTokenTarget + time.Duration(a.Tokens)*a.Class.InterTokenTarget
		return a.TotalTime <= allowed, a.TotalTime <= allowed
	}
	return a.FirstTokenLatency <= a.Class.FirstTokenTarget, a.InterTokenLatency <= a.Class.InterTokenTarget
}

func result(met bool) string {
	if met {
		return resultMet
	}
	return resultMissed
}

func counter(name, help string, labels []string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, labels []string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: Namespace, Name: name, Help: help, Buckets: latencyBuckets,
	}, labels)
}
