package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// registerFeedAge registers the metric of the age of a feed, which is the time since the
// store last answered it.
func registerFeedAge(registry prometheus.Registerer, f *feed) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name:        "acaciapath_belief_age_seconds",
		Help:        "Time since the store last answered the feed of a table; at most that for which it holds a call while all is well.",
		ConstLabels: prometheus.Labels{"table": f.table},
	}, func() float64 { return f.age(time.Now()).Seconds() }))
}
