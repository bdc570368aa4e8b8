package metrics

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// maxShownAccounts is the number of client accounts per service class that are
// exported by name: those with the lowest attainment. There may be tens of
// thousands of client accounts.
const maxShownAccounts = 20

// accounts records the attainment of each client account in each service class:
// the share of its requests that met their targets.
type accounts struct {
	attainment *prometheus.Desc
	requests   *prometheus.Desc
	worst      *prometheus.Desc

	counts sync.Map // of accountKey to *accountCount
}

var _ prometheus.Collector = (*accounts)(nil)

type accountKey struct{ class, account string }

// accountCount counts the requests of a client account in a class.
type accountCount struct {
	met   atomic.Int64
	total atomic.Int64
}

func newAccounts() *accounts {
	labels := []string{labelClass, labelAccount}
	return &accounts{
		attainment: prometheus.NewDesc(Namespace+"_client_account_attainment_ratio",
			"Share of a client account's requests that met their targets, of those with the lowest.", labels, nil),
		requests: prometheus.NewDesc(Namespace+"_client_account_requests",
			"Requests since the start of the client accounts that are shown.", labels, nil),
		worst: prometheus.NewDesc(Namespace+"_worst_client_account_attainment_ratio",
			"Lowest attainment of any client account of a class.", []string{labelClass}, nil),
	}
}

// record counts an admitted request of a client account.
func (a *accounts) record(class, account string, met bool) {
	key := accountKey{class: class, account: account}
	value, ok := a.counts.Load(key)
	if !ok {
		value, _ = a.counts.LoadOrStore(key, &accountCount{})
	}
	count := value.(*accountCount)
	count.total.Add(1)
	if met {
		count.met.Add(1)
	}
}

// Describe implements prometheus.Collector.
func (a *accounts) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- a.attainment
	descriptions <- a.requests
	descriptions <- a.worst
}

// accountRatio is the attainment of a client account in a service class.
type accountRatio struct {
	accountKey
	ratio float64
	total int64
}

// Collect implements prometheus.Collector. It exports the client accounts with
// the lowest attainment of each service class.
func (a *accounts) Collect(values chan<- prometheus.Metric) {
	shown := make(map[string]int)
	for _, r := range a.ratios() {
		if shown[r.class] == 0 {
			values <- prometheus.MustNewConstMetric(a.worst, prometheus.GaugeValue, r.ratio, r.class)
		}
		shown[r.class]++
		if shown[r.class] > maxShownAccounts {
			continue
		}
		values <- prometheus.MustNewConstMetric(a.attainment, prometheus.GaugeValue, r.ratio, r.class, r.account)
		values <- prometheus.MustNewConstMetric(a.requests, prometheus.GaugeValue, float64(r.total), r.class, r.account)
	}
}

// ratios returns the attainment of all client accounts, lowest first.
func (a *accounts) ratios() []accountRatio {
	var ratios []accountRatio
	a.counts.Range(func(key, value any) bool {
		count := value.(*accountCount)
		if total := count.total.Load(); total > 0 {
			ratio := float64(count.met.Load()) / float64(total)
			ratios = append(ratios, accountRatio{accountKey: key.(accountKey), ratio: ratio, total: total})
		}
		return true
	})
	slices.SortFunc(ratios, func(x, y accountRatio) int {
		return cmp.Or(cmp.Compare(x.ratio, y.ratio), cmp.Compare(x.class, y.class), cmp.Compare(x.account, y.account))
	})
	return ratios
}
