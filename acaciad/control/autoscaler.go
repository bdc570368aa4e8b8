package control

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"acaciapath.example/acaciad/directory"
	"acaciapath.example/core/catalog"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/lease"
	"acaciapath.example/core/order"
	"acaciapath.example/core/platformapi"
	"acaciapath.example/core/sleep"

	"github.com/sirupsen/logrus"
)

// reconcileInterval is how often the holder of the lease compares the replicas that
// it wants with those that are present.
const reconcileInterval = 500 * time.Millisecond

// Scaler sends orders of backend servers to the platform.
type Scaler interface {
	// Scale orders count replicas of one purchase kind, in total, for a service in
	// a failure domain. available is false if the platform has none of the kind.
	// fence is the fencing token of the lease.
	Scale(ctx context.Context, fence uint64, service, failureDomain string, cheap bool, count int) (available bool, err error)
}

// Autoscaler orders backend servers while the daemon holds the lease.
type Autoscaler struct {
	// Directory provides the catalog and the backend servers.
	Directory *directory.Directory
	// Scaler sends the orders.
	Scaler Scaler
	// Keeper holds the lease of the control tasks.
	Keeper *lease.Keeper
	// Table stores the baseline, the replicas that were deployed before anything
	// was ordered.
	Table table.Service
	// FailureDomains lists all failure domains of the deployment.
	FailureDomains []string
	// Logger logs the orders and the reasons for them.
	Logger *logrus.Logger

	// baseline has the number of replicas that were deployed before anything was
	// ordered. It is nil until it is known.
	baseline *order.Baseline
	// lastOrders holds the last order for each group that this daemon sent since it
	// acquired the lease.
	lastOrders map[order.ReplicaGroup]order.LastOrder
	// surpluses holds the replicas that each service needs beyond its baseline, as a
	// share of the baseline.
	surpluses map[string]order.Surplus
	// restored states that the store was restored from a copy, which may lack the baseline.
	restored atomic.Bool
}

// HandleRestore has the baseline stored again if this daemon knows it, because the store was
// restored from a copy that may lack it. Otherwise a later holder of the lease would take
// ordered servers for deployed ones.
func (a *Autoscaler) HandleRestore() { a.restored.Store(true) }

// Run orders backend servers until ctx is done.
func (a *Autoscaler) Run(ctx context.Context) {
	a.lastOrders = make(map[order.ReplicaGroup]order.LastOrder)
	a.surpluses = make(map[string]order.Surplus)
	for ctx.Err() == nil {
		sleep.For(ctx, reconcileInterval)
		if a.Keeper.Held() == nil {
			clear(a.lastOrders)
			continue
		}
		a.reconcile(ctx)
	}
}

// reconcile updates the surplus of each service with scaling, and sends the orders
// that are due.
func (a *Autoscaler) reconcile(ctx context.Context) {
	view := a.Directory.View()
	if view == nil || !a.Directory.Ready() {
		return
	}
	baselineKnown := a.ensureBaseline(ctx, view.Index)
	for i := range view.Index.Catalog.Services {
		s := &view.Index.Catalog.Services[i]
		if s.Scaling == nil {
			continue
		}
		a.updateSurplus(s)
		evacuated := a.Directory.Evacuated()
		baselines := order.MoveBaselines(a.baselines(s.Name, baselineKnown), evacuated)
		for _, domain := range a.FailureDomains {
			if !evacuated[domain] {
				a.scaleDomain(ctx, s, domain, baselines[domain], baselineKnown)
			}
		}
	}
}

// updateSurplus computes the surplus of a service from its pressure, and logs a
// change.
func (a *Autoscaler) updateSurplus(s *catalog.Service) {
	mean, n := a.Directory.Pressure(s.Name, time.Now())
	last := a.surpluses[s.Name]
	next := last.Next(mean, n, s.Scaling.StartupTime, time.Now())
	a.surpluses[s.Name] = next
	if next.Share != last.Share {
		a.Logger.WithFields(logrus.Fields{
			"service": s.Name, "pressure": mean, "requests": n, "surplus": next.Share, "last-surplus": last.Share,
		}).Info("surplus of backend servers changed")
	}
}

// ensureBaseline loads the baseline, or stores it if no daemon has done so and the
// number of standard servers is stable. It reports whether the baseline is known.
func (a *Autoscaler) ensureBaseline(ctx context.Context, index *catalog.Index) bool {
	if a.baseline != nil {
		a.storeAgain(ctx)
		return true
	}
	baseline, err := order.LoadBaseline(ctx, a.Table)
	if err == nil && baseline == nil && order.BaselineStable(a.Directory.StandardChangedAt(), time.Now()) {
		err = order.StoreBaseline(ctx, a.Table, a.countReplicas(index))
	}
	if err != nil {
		a.Logger.WithField("error", platformapi.Reason(err)).Warn("cannot load or store the baseline of backend servers, will retry")
		return false
	}
	a.baseline = baseline
	return baseline != nil
}

// storeAgain stores the baseline after the store was restored, unless it has one.
func (a *Autoscaler) storeAgain(ctx context.Context) {
	if !a.restored.Swap(false) {
		return
	}
	if err := order.StoreBaseline(ctx, a.Table, *a.baseline); err != nil {
		a.restored.Store(true)
		a.Logger.WithField("error", platformapi.Reason(err)).Warn("cannot store the baseline of backend servers again, will retry")
	}
}

// countReplicas returns the baseline that consists of the standard replicas that are
// present now.
func (a *Autoscaler) countReplicas(index *catalog.Index) order.Baseline {
	baseline := order.Baseline{Counts: make(map[string]map[string]int)}
	for _, s := range index.Catalog.Services {
		if s.Scaling == nil {
			continue
		}
		baseline.Counts[s.Name] = make(map[string]int)
		for _, domain := range a.FailureDomains {
			if c := a.Directory.Count(s.Name, domain); c.Standard > 0 {
				baseline.Counts[s.Name][domain] = c.Standard
			}
		}
	}
	return baseline
}

// baselines returns the baseline of a service in each failure domain. While it is not known,
// the standard servers that are present serve as the baseline.
func (a *Autoscaler) baselines(service string, known bool) map[string]int {
	baselines := make(map[string]int)
	for _, domain := range a.FailureDomains {
		if known {
			baselines[domain] = a.baseline.Count(service, domain)
		} else {
			baselines[domain] = a.Directory.Count(service, domain).Standard
		}
	}
	return baselines
}

// scaleDomain sends the orders that are due for a service in a failure domain.
// While the baseline is not known, only cheap servers are ordered.
func (a *Autoscaler) scaleDomain(ctx context.Context, s *catalog.Service, domain string, baseline int, baselineKnown bool) {
	present := a.Directory.Count(s.Name, domain)
	group := order.ReplicaGroup{Service: s.Name, FailureDomain: domain}
	if baseline == 0 {
		return
	}
	cheapGroup := group
	cheapGroup.Cheap = true
	standard, cheap := order.DesiredCounts(s.Scaling, order.ScalingInputs{
		Baseline:         baseline,
		Surplus:          a.surpluses[s.Name].Share,
		CheapUnavailable: a.lastOrders[cheapGroup].NoCapacity,
		Present:          present,
	})
	if cheap > 0 {
		a.sendOrder(ctx, cheapGroup, cheap, present.Cheap, s.Scaling.StartupTime)
	}
	if baselineKnown && (standard != present.Standard || !a.lastOrders[group].SentAt.IsZero()) {
		a.sendOrder(ctx, group, standard, present.Standard, s.Scaling.StartupTime)
	}
}

// sendOrder sends an order if it is due.
func (a *Autoscaler) sendOrder(ctx context.Context, group order.ReplicaGroup, count, present int, boot time.Duration) {
	last := a.lastOrders[group]
	if !order.IsDue(count, present, last, boot, time.Now()) {
		return
	}
	available := false
	err := a.Keeper.Do(ctx, func(ctx context.Context, grant *lease.Grant) error {
		var err error
		available, err = a.Scaler.Scale(ctx, grant.Fence, group.Service, group.FailureDomain, group.Cheap, count)
		return err
	})
	entry := a.Logger.WithFields(logrus.Fields{
		"service": group.Service, "failure-domain": group.FailureDomain, "cheap": group.Cheap,
		"count": count, "present": present, "last-count": last.Count,
	})
	switch {
	case errors.Is(err, lease.ErrNotHeld):
		return
	case err != nil:
		entry.WithField("error", platformapi.Reason(err)).Warn("order of backend servers failed, will retry")
		return
	}
	a.lastOrders[group] = order.LastOrder{Count: count, SentAt: time.Now(), NoCapacity: !available}
	entry.WithField("available", available).Info("backend servers ordered")
}
