package daemon

import (
	"time"

	"acaciapath.example/core/follow"

	"github.com/prometheus/client_golang/prometheus"
)

// registerFeedMetrics registers the metrics of a feed: the time since its latest news,
// how it gets them, and the number of its followers.
func registerFeedMetrics(registry prometheus.Registerer, f *feed) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name:        "acaciapath_belief_age_seconds",
		Help:        "Time since the store last answered the feed of a table; at most that for which it holds a call while all is well.",
		ConstLabels: prometheus.Labels{"table": f.table},
	}, func() float64 { return f.age(time.Now()).Seconds() }))
	for _, role := range []follow.Role{follow.Alone, follow.Reads, follow.Follows} {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "acaciapath_table_source",
			Help:        "1 for the way in which the daemon learns the changes of a table: alone, reads (for followers too) or follows.",
			ConstLabels: prometheus.Labels{"table": f.table, "role": role.String()},
		}, func() float64 {
			if f.currentRole() == role {
				return 1
			}
			return 0
		}))
	}
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name:        "acaciapath_table_followers",
		Help:        "Daemons that learn the changes of a table from this one.",
		ConstLabels: prometheus.Labels{"table": f.table},
	}, func() float64 { return float64(f.publisher.Followers()) }))
}
