package directory

import (
	"slices"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/placement"

	"github.com/prometheus/client_golang/prometheus"
)

// Descriptions of the metrics of a directory.
var (
	descServers = prometheus.NewDesc("acaciapath_backend_servers",
		"Backend servers that are believed to be there, by service, kind and state.",
		[]string{"service", "kind", "state"}, nil)
	descRunning = prometheus.NewDesc("acaciapath_running_requests",
		"Requests that this daemon runs on backend servers, by service.", []string{"service"}, nil)
	descReading = prometheus.NewDesc("acaciapath_reading_tokens",
		"Prompt tokens that this daemon sent and that are not read yet, by service.", []string{"service"}, nil)
	descLimited = prometheus.NewDesc("acaciapath_limited_servers",
		"Backend servers that name a limit of requests a second, by service.", []string{"service"}, nil)
	descCold = prometheus.NewDesc("acaciapath_cold_servers",
		"Backend servers that may be cold, which get a part of the requests that they tolerate, by service.", []string{"service"}, nil)
	descBrittle = prometheus.NewDesc("acaciapath_brittle_servers",
		"Backend servers that may be brittle, of whose slots the daemon uses its part, by service.", []string{"service"}, nil)
	descWaiting = prometheus.NewDesc("acaciapath_waiting_requests",
		"Requests that wait in the daemon for room at brittle backend servers, by service.", []string{"service"}, nil)
	descEvacuated = prometheus.NewDesc("acaciapath_evacuated_since_seconds",
		"When the daemon learned that a failure domain is evacuated, in Unix seconds.", []string{"failure_domain"}, nil)
	descRouteHomes = prometheus.NewDesc("acaciapath_route_homes",
		"1 for each region among the homes of a route.", []string{"route", "region"}, nil)
	descBusiest = prometheus.NewDesc("acaciapath_busiest_server_ratio",
		"Requests of this daemon at its busiest backend server, divided by their mean over the servers, by service and lane.",
		[]string{"service", "lane"}, nil)
	descCrowded = prometheus.NewDesc("acaciapath_crowded_servers",
		"Backend servers at which this daemon exceeds its part of the slots, by service and lane.", []string{"service", "lane"}, nil)
	descSlow = prometheus.NewDesc("acaciapath_slow_servers",
		"Backend servers whose streams take 1.5 times as long as the mean of their lane, by service and lane.", []string{"service", "lane"}, nil)
	descRevision = prometheus.NewDesc("acaciapath_catalog_revision",
		"Revision of the catalog in force.", nil, nil)
)

// States of backend servers in metrics.
const (
	stateReady   = "ready"
	stateLeaving = "leaving"
	stateAbsent  = "absent"
	statePaused  = "paused"

	stateEvacuated = "evacuated"
)

var _ prometheus.Collector = (*Directory)(nil)

// Describe implements prometheus.Collector.
func (d *Directory) Describe(descriptions chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{
		descServers, descRunning, descReading, descLimited, descCold, descBrittle, descWaiting, descEvacuated, descRouteHomes,
		descBusiest, descCrowded, descSlow, descRevision,
	} {
		descriptions <- desc
	}
}

// serverGroup holds the labels by which backend servers are counted.
type serverGroup struct {
	service, state string
	kind           config.ServerKind
}

// Collect implements prometheus.Collector.
func (d *Directory) Collect(metrics chan<- prometheus.Metric) {
	if view := d.view.Load(); view != nil {
		metrics <- prometheus.MustNewConstMetric(descRevision, prometheus.GaugeValue, float64(view.Index.Catalog.Revision))
		for _, r := range view.Index.Catalog.Routes {
			for _, region := range slices.Compact(slices.Sorted(slices.Values(r.Homes))) {
				metrics <- prometheus.MustNewConstMetric(descRouteHomes, prometheus.GaugeValue, 1, r.Name, region)
			}
		}
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for domain, since := range d.evacuatedSince {
		metrics <- prometheus.MustNewConstMetric(descEvacuated, prometheus.GaugeValue, float64(since.UnixMilli())/1000, domain)
	}
	for name, pool := range d.pools {
		running, unreadTokens := pool.Load()
		groups := make(map[serverGroup]int)
		for _, s := range pool.Servers {
			group := serverGroup{service: name, kind: s.Spec.Kind, state: stateReady}
			switch pool.Availability(s, now) {
			case placement.Leaving:
				group.state = stateLeaving
			case placement.Misdirected:
				group.state = stateAbsent
			case placement.Paused:
				group.state = statePaused
			case placement.Evacuated:
				group.state = stateEvacuated
			}
			groups[group]++
		}
		metrics <- prometheus.MustNewConstMetric(descRunning, prometheus.GaugeValue, float64(running), name)
		metrics <- prometheus.MustNewConstMetric(descReading, prometheus.GaugeValue, float64(unreadTokens), name)
		metrics <- prometheus.MustNewConstMetric(descLimited, prometheus.GaugeValue, float64(pool.Limited()), name)
		metrics <- prometheus.MustNewConstMetric(descCold, prometheus.GaugeValue, float64(len(pool.ColdServers(now))), name)
		metrics <- prometheus.MustNewConstMetric(descBrittle, prometheus.GaugeValue, float64(pool.BrittleServers(now)), name)
		metrics <- prometheus.MustNewConstMetric(descWaiting, prometheus.GaugeValue, float64(d.lines[name].len()), name)
		for lane := placement.Patient; lane <= placement.ShortPauses; lane++ {
			collectBalance(metrics, pool.Balance(lane, now), name, lane.String())
		}
		for g, n := range groups {
			metrics <- prometheus.MustNewConstMetric(descServers, prometheus.GaugeValue, float64(n), g.service, string(g.kind), g.state)
		}
	}
}

// collectBalance sends the metrics of the balance of a lane, if it has servers.
func collectBalance(metrics chan<- prometheus.Metric, b placement.Balance, service, lane string) {
	if b.Servers == 0 {
		return
	}
	metrics <- prometheus.MustNewConstMetric(descBusiest, prometheus.GaugeValue, b.BusiestRatio, service, lane)
	metrics <- prometheus.MustNewConstMetric(descCrowded, prometheus.GaugeValue, float64(b.Crowded), service, lane)
	metrics <- prometheus.MustNewConstMetric(descSlow, prometheus.GaugeValue, float64(b.Slow), service, lane)
}
