package control

import (
	"context"
	"errors"
	"time"

	"acaciapath.example/acaciad/directory"
	"acaciapath.example/core/catalog"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/lease"
	"acaciapath.example/core/order"
	"acaciapath.example/core/platform"
	"acaciapath.example/core/sleep"

	"github.com/sirupsen/logrus"
)

// orderInterval is how often the holder of the lease compares what it ordered
// with what is there.
const orderInterval = 500 * time.Millisecond

// Scaler takes orders.
type Scaler interface {
	// Scale orders that a service has count replicas of one purchase kind in a
	// failure domain. Available is false if there are none of the kind.
	Scale(ctx context.Context, fence uint64, service, failureDomain string, cheap bool, count int) (available bool, err error)
}

// Autoscaler orders backend servers while the daemon holds the lease.
type Autoscaler struct {
	// Directory tells the catalog and the backend servers.
	Directory *directory.Directory
	// Scaler takes the orders.
	Scaler Scaler
	// Keeper holds the lease of the duties.
	Keeper *lease.Keeper
	// Table holds what was there before anything was ordered.
	Table table.Service
	// FailureDomains are all that the deployment has.
	FailureDomains []string
	// Logger logs what was ordered and why.
	Logger *logrus.Logger

	// base is what was there before anything was ordered, or nil if it is not
	// known yet.
	base *order.Baseline
	// standing are the orders that this daemon sent.
	standing map[order.ReplicaGroup]order.LastOrder
	// surplus is what services need beyond the base.
	surplus map[string]order.Surplus
}

// Run orders until ctx ends.
func (o *Autoscaler) Run(ctx context.Context) {
	o.standing = make(map[order.ReplicaGroup]order.LastOrder)
	o.surplus = make(map[string]order.Surplus)
	for ctx.Err() == nil {
		sleep.For(ctx, orderInterval)
		if o.Keeper.Held() == nil {
			clear(o.standing)
			continue
		}
		o.step(ctx)
	}
}

func (o *Autoscaler) step(ctx context.Context) {
	view := o.Directory.View()
	if view == nil || !o.Directory.Ready() {
		return
	}
	known := o.know(ctx, view.Index)
	for i := range view.Index.Catalog.Services {
		s := &view.Index.Catalog.Services[i]
		if s.Scaling == nil {
			continue
		}
		o.measure(s)
		for _, domain := range o.FailureDomains {
			o.domain(ctx, s, domain, known)
		}
	}
}

// measure takes the pressure of a service and says if that changes what is wanted.
func (o *Autoscaler) measure(s *catalog.Service) {
	mean, n := o.Directory.Pressure(s.Name, time.Now())
	last := o.surplus[s.Name]
	next := last.Next(mean, n, s.Scaling.Boot, time.Now())
	o.surplus[s.Name] = next
	if next.Share != last.Share {
		o.Logger.WithFields(logrus.Fields{
			"service": s.Name, "pressure": mean, "requests": n, "surplus": next.Share, "last-surplus": last.Share,
		}).Info("surplus of backend servers changed")
	}
}

// know reports whether the base is known, after reading it, or storing it if no
// daemon has.
func (o *Autoscaler) know(ctx context.Context, index *catalog.Index) bool {
	if o.base != nil {
		return true
	}
	base, err := order.LoadBaseline(ctx, o.Table)
	if err == nil && base == nil && order.BaselineStable(o.Directory.StandardChangedAt(), time.Now()) {
		err = order.StoreBaseline(ctx, o.Table, o.count(index))
	}
	if err != nil {
		o.Logger.WithField("error", platform.Reason(err)).Warn("the number of backend servers deployed is not known yet")
		return false
	}
	o.base = base
	return base != nil
}

// count returns the number of replicas that are there.
func (o *Autoscaler) count(index *catalog.Index) order.Baseline {
	base := order.Baseline{Counts: make(map[string]map[string]int)}
	for _, s := range index.Catalog.Services {
		if s.Scaling == nil {
			continue
		}
		base.Counts[s.Name] = make(map[string]int)
		for _, domain := range o.FailureDomains {
			if c := o.Directory.Count(s.Name, domain); c.Standard > 0 {
				base.Counts[s.Name][domain] = c.Standard
			}
		}
	}
	return base
}

// domain sends the orders that are due for a service in a failure domain. While
// the base is not known, only cheap servers are ordered, as standard ones come.
func (o *Autoscaler) domain(ctx context.Context, s *catalog.Service, domain string, known bool) {
	present := o.Directory.Count(s.Name, domain)
	key := order.ReplicaGroup{Service: s.Name, FailureDomain: domain}
	base := present.Standard
	if known {
		base = o.base.Count(s.Name, domain)
	}
	if base == 0 {
		return
	}
	cheapKey := key
	cheapKey.Cheap = true
	standard, cheap := order.DesiredCounts(s.Scaling, order.ScalingInputs{
		Baseline:         base,
		Surplus:          o.surplus[s.Name].Share,
		CheapUnavailable: o.standing[cheapKey].NoCapacity,
		Present:          present,
	})
	if cheap > 0 {
		o.send(ctx, cheapKey, cheap, present.Cheap, s.Scaling.Boot)
	}
	if known && (standard != present.Standard || !o.standing[key].SentAt.IsZero()) {
		o.send(ctx, key, standard, present.Standard, s.Scaling.Boot)
	}
}

// send sends an order if it is due.
func (o *Autoscaler) send(ctx context.Context, subject order.ReplicaGroup, count, present int, boot time.Duration) {
	last := o.standing[subject]
	if !order.Due(count, present, last, boot, time.Now()) {
		return
	}
	available := false
	err := o.Keeper.Do(ctx, func(ctx context.Context, grant *lease.Grant) error {
		var err error
		available, err = o.Scaler.Scale(ctx, grant.Fence, subject.Service, subject.FailureDomain, subject.Cheap, count)
		return err
	})
	entry := o.Logger.WithFields(logrus.Fields{
		"service": subject.Service, "failure-domain": subject.FailureDomain, "cheap": subject.Cheap,
		"count": count, "present": present, "last-count": last.Count,
	})
	switch {
	case errors.Is(err, lease.ErrNotHeld):
		return
	case err != nil:
		entry.WithField("error", platform.Reason(err)).Warn("an order of backend servers failed and is repeated")
		return
	}
	o.standing[subject] = order.LastOrder{Count: count, SentAt: time.Now(), NoCapacity: !available}
	entry.WithField("available", available).Info("backend servers ordered")
}
