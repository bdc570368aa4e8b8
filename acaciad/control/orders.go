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

// Orders orders backend servers while the daemon holds the lease.
type Orders struct {
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
	base *order.Base
	// standing are the orders that this daemon sent.
	standing map[order.Subject]order.Standing
	// surplus is what services need beyond the base.
	surplus map[string]order.Surplus
}

// Run orders until ctx ends.
func (o *Orders) Run(ctx context.Context) {
	o.standing = make(map[order.Subject]order.Standing)
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

func (o *Orders) step(ctx context.Context) {
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
func (o *Orders) measure(s *catalog.Service) {
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
func (o *Orders) know(ctx context.Context, index *catalog.Index) bool {
	if o.base != nil {
		return true
	}
	base, err := order.LoadBase(ctx, o.Table)
	if err == nil && base == nil && order.Settled(o.Directory.StandardChanged(), time.Now()) {
		err = order.StoreBase(ctx, o.Table, o.count(index))
	}
	if err != nil {
		o.Logger.WithField("error", platform.Reason(err)).Warn("the number of backend servers deployed is not known yet")
		return false
	}
	o.base = base
	return base != nil
}

// count returns the number of replicas that are there.
func (o *Orders) count(index *catalog.Index) order.Base {
	base := order.Base{Counts: make(map[string]map[string]int)}
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
func (o *Orders) domain(ctx context.Context, s *catalog.Service, domain string, known bool) {
	present := o.Directory.Count(s.Name, domain)
	key := order.Subject{Service: s.Name, FailureDomain: domain}
	base := present.Standard
	if known {
		base = o.base.Of(s.Name, domain)
	}
	if base == 0 {
		return
	}
	cheapKey := key
	cheapKey.Cheap = true
	standard, cheap := order.Counts(s.Scaling, order.Need{
		Base:    base,
		Surplus: o.surplus[s.Name].Share,
		Scarce:  o.standing[cheapKey].Refused,
		Present: present,
	})
	if cheap > 0 {
		o.send(ctx, cheapKey, cheap, present.Cheap, s.Scaling.Boot)
	}
	if known && (standard != present.Standard || !o.standing[key].At.IsZero()) {
		o.send(ctx, key, standard, present.Standard, s.Scaling.Boot)
	}
}

// send sends an order if it is due.
func (o *Orders) send(ctx context.Context, subject order.Subject, count, present int, boot time.Duration) {
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
	o.standing[subject] = order.Standing{Count: count, At: time.Now(), Refused: !available}
	entry.WithField("available", available).Info("backend servers ordered")
}
