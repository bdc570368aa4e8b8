// Package directory holds what the daemon believes of the catalog and of the
// backend servers, from the platform's store.
package directory

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"acaciapath.example/core/catalog"
	"acaciapath.example/core/config"
	"acaciapath.example/core/order"
	"acaciapath.example/core/placement"
	"acaciapath.example/core/replica"
)

// View is the catalog in force. It is read-only.
type View struct {
	// Index is the catalog's.
	Index *catalog.Index
	// Since is when the daemon took it over.
	Since time.Time
}

// Directory is what the daemon believes. It is safe for concurrent use.
type Directory struct {
	// FailureDomain is that of the daemon.
	FailureDomain string

	view atomic.Pointer[View]

	mu    sync.Mutex // guards the fields below
	pools map[string]*placement.Pool
	// pressures are those of the services that generate.
	pressures map[string]*order.Pressure
	random    *rand.Rand
	// departures are those of the backend servers on which requests ran.
	departures departures
	// notice is how long a backend server serves on that leaves without saying
	// when.
	notice time.Duration
	// listed says whether the list of backend servers has been read.
	listed bool
	// changed is when the number of standard backend servers last changed.
	changed  time.Time
	standard int
}

// New returns a directory of a daemon that knows nothing yet. Notice is how long
// a backend server serves on that leaves without saying when.
func New(failureDomain string, notice time.Duration, random *rand.Rand) *Directory {
	return &Directory{
		FailureDomain: failureDomain,
		pools:         make(map[string]*placement.Pool),
		pressures:     make(map[string]*order.Pressure),
		departures:    make(departures),
		notice:        notice,
		random:        random,
	}
}

// View returns the catalog in force, or nil before the first.
func (d *Directory) View() *View { return d.view.Load() }

// Ready reports whether the daemon knows enough to serve.
func (d *Directory) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed && d.view.Load() != nil
}

// SetCatalog takes over a catalog unless a newer one is in force, and reports
// whether it did.
func (d *Directory) SetCatalog(c catalog.Catalog, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.view.Load(); old != nil && old.Index.Catalog.Revision >= c.Revision {
		return false
	}
	d.view.Store(&View{Index: catalog.NewIndex(c), Since: now})
	for name, pool := range d.pools {
		pool.SetShares(d.shares(name))
	}
	return true
}

// shares returns the shares of a service's servers that are kept for lanes.
func (d *Directory) shares(service string) placement.Shares {
	view := d.view.Load()
	if view == nil {
		return placement.Shares{}
	}
	return placement.SharesOf(view.Index, service)
}

// Change is how the servers of a service changed.
type Change struct {
	// Service is the name of the service.
	Service string
	// Added and Removed are the names of backend servers.
	Added, Removed []string
}

// SetServers takes over the list of backend servers.
func (d *Directory) SetServers(specs []replica.Spec, now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed = true
	byService := make(map[string][]replica.Spec)
	for _, spec := range specs {
		for _, service := range spec.Serves {
			byService[service] = append(byService[service], spec)
		}
	}
	for name := range byService {
		if d.pools[name] == nil {
			d.pools[name] = &placement.Pool{Shares: d.shares(name)}
		}
	}
	var changes []Change
	for name, pool := range d.pools {
		added, removed := pool.Update(byService[name])
		if len(added)+len(removed) > 0 {
			changes = append(changes, Change{Service: name, Added: added, Removed: removed})
		}
	}
	d.departures.update(d.pools, d.notice, now)
	standard := 0
	for _, spec := range specs {
		if spec.Kind == config.KindStandard && !spec.Draining {
			standard++
		}
	}
	if standard != d.standard {
		d.standard, d.changed = standard, now
	}
	return changes
}

// StandardChangedAt returns when the number of standard backend servers last
// changed, or zero if there never was one.
func (d *Directory) StandardChangedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// PickService draws the service that runs a request of a route.
func (d *Directory) PickService(r *catalog.Route) string {
	if len(r.Splits) == 1 {
		return r.Splits[0].Service
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return r.PickService(d.random)
}

// Reserve chooses a backend server of a service, or returns nil if there is none.
func (d *Directory) Reserve(service string, wish placement.Requirements, now time.Time) *Reservation {
	d.mu.Lock()
	defer d.mu.Unlock()
	pool := d.pools[service]
	if pool == nil {
		return nil
	}
	s := pool.Choose(wish, now, d.random)
	if s == nil {
		return nil
	}
	place := &Reservation{
		Spec: s.Spec, Running: s.Running, UnreadTokens: s.PendingPromptTokens,
		directory: d, pool: pool, server: s, wish: wish, departure: d.departures.of(s),
	}
	s.BeginRequest(wish, now)
	if wish.Generates && wish.FirstEventTarget > 0 {
		place.pressure = d.pressure(service)
		place.number = place.pressure.Begin(wish.FirstEventTarget, now)
	}
	return place
}

// pressure returns the pressure of a service.
func (d *Directory) pressure(service string) *order.Pressure {
	p := d.pressures[service]
	if p == nil {
		p = order.NewPressure()
		d.pressures[service] = p
	}
	return p
}

// Pressure returns the mean share of their objectives that requests of a service
// use up until their first event, and the number of requests it was taken over.
func (d *Directory) Pressure(service string, now time.Time) (mean float64, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pressure(service).Mean(now)
}

// Count returns how many backend servers of a service are in a failure domain.
func (d *Directory) Count(service, failureDomain string) order.ReplicaCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	var c order.ReplicaCounts
	pool := d.pools[service]
	if pool == nil {
		return c
	}
	for _, s := range pool.Servers {
		switch {
		case s.Spec.Draining || s.Spec.FailureDomain != failureDomain:
		case s.Spec.Kind == config.KindCheap:
			c.Cheap++
		default:
			c.Standard++
		}
	}
	return c
}

// Load returns the requests that this daemon runs on the backend servers of a
// service, and the prompt tokens of them that are not read yet.
func (d *Directory) Load(service string) (running, reading int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pool := d.pools[service]
	if pool == nil {
		return 0, 0
	}
	return pool.Load()
}
