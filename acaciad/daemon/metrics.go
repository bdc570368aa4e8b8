package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// registerAge exposes how old what is believed of a table is: the time since the
// store last answered its feed.
func registerAge(registry prometheus.Registerer, f *feed) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name:        "acaciapath_belief_age_seconds",
		Help:        "Time since the store last answered the feed of a table; at most that for which it holds a call while all is well.",
		ConstLabels: prometheus.Labels{"table": f.name},
	}, func() float64 { return f.age(time.Now()).Seconds() }))
}
