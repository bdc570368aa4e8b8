package crashreports

import "github.com/prometheus/client_golang/prometheus"

// Label values of changes of quarantines.
const (
	changeDecided   = "decided"
	changeLearned   = "learned"
	changeDisproved = "disproved"
	changeEnded     = "ended"
	changeTrial     = "trial"
	changeExtended  = "extended"
)

// Metrics counts crashes under prompts and refused requests.
type Metrics struct {
	crashes prometheus.Counter
	refused prometheus.Counter
	changes *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "acaciapath_prompt_crashes_total",
			Help: "Requests of this daemon that broke off in their beginning together with their backend server.",
		}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "acaciapath_quarantine_refusals_total",
			Help: "Requests that were not sent because they, or a part of their prompt, are quarantined.",
		}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciapath_quarantine_changes_total",
			Help: "Changes of quarantined parts of prompts and requests, by change.",
		}, []string{"change"}),
	}
	registry.MustRegister(m.crashes, m.refused, m.changes)
	return m
}

// registerGauges registers the numbers of accused and quarantined parts.
func registerGauges(registry prometheus.Registerer, g *Guard) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "acaciapath_suspect_parts",
		Help: "Parts of prompts, and requests, under which a backend server ended, and which are not quarantined.",
	}, func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.ledger.Suspects())
	}))
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "acaciapath_quarantined_parts",
		Help: "Parts of prompts whose requests are refused, and refused requests.",
	}, func() float64 { return float64(len(*g.refused.Load())) }))
}
