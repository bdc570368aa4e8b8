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

// Directory is the daemon's view of the catalog and of the backend servers, with the
// load that the daemon has there. It is safe for concurrent use.
type Directory struct {
	// FailureDomain is the failure domain of the daemon.
	FailureDomain string
	// Regions maps all failure domains to their regions. It must not change once there is a
	// catalog.
	Regions map[string]string
	// ColdOvershoot and ColdSlack state how many requests cold backend servers get within a
	// second at most, as in platform.Settings. They must not change once it is used.
	ColdOvershoot, ColdSlack float64

	view atomic.Pointer[View]

	mu    sync.Mutex // guards the fields below
	pools map[string]*placement.Pool
	// pressures holds the latency pressure of each service that generates tokens.
	pressures map[string]*order.Pressure
	random    *rand.Rand
	// drainStates holds the drain states of the listed backend servers that a request
	// has been sent to, or that drain.
	drainStates drainStates
	// lines are the requests that wait for room at brittle servers, by service.
	lines map[string]*line
	// statements holds what backend servers say of themselves in answers.
	statements placement.Statements
	// defaultDrainTime is how long a draining backend server is expected to serve
	// if its entry does not state the time left.
	defaultDrainTime time.Duration
	// serversListed states that the list of backend servers has been read.
	serversListed bool
	// peers are the daemons among which the limits of backend servers are divided.
	peers placement.Peers
	// standardChangedAt is when the number of standard backend servers that do not
	// drain, standardCount, last changed.
	standardChangedAt time.Time
	standardCount     int
	// evacuated are the failure domains that are evacuated, and evacuatedSince is since when
	// the daemon knows that. SetEvacuated replaces them.
	evacuated      map[string]bool
	evacuatedSince map[string]time.Time
}

// New returns a directory without a catalog and without backend servers.
// defaultDrainTime is how long a draining backend server is expected to serve if its
// entry does not state the time left.
func New(failureDomain string, defaultDrainTime time.Duration, random *rand.Rand) *Directory {
	return &Directory{
		FailureDomain:    failureDomain,
		pools:            make(map[string]*placement.Pool),
		pressures:        make(map[string]*order.Pressure),
		drainStates:      make(drainStates),
		lines:            make(map[string]*line),
		defaultDrainTime: defaultDrainTime,
		random:           random,
	}
}

// View returns the catalog in use, or nil if there is none yet.
func (d *Directory) View() *View { return d.view.Load() }

// Ready reports whether the daemon has a catalog and a list of backend servers, which
// it needs to serve.
func (d *Directory) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.serversListed && d.view.Load() != nil
}

// SetCatalog replaces the catalog unless the one in use has the same or a higher
// revision. It reports whether it did.
func (d *Directory) SetCatalog(c catalog.Catalog, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.view.Load(); old != nil && old.Index.Catalog.Revision >= c.Revision {
		return false
	}
	d.view.Store(newView(c, d.Regions, now))
	for name, pool := range d.pools {
		d.configure(name, pool, now)
	}
	return true
}

// configure sets what a pool takes from the catalog in use, if there is one. The caller holds
// d.mu.
func (d *Directory) configure(service string, pool *placement.Pool, now time.Time) {
	view := d.view.Load()
	if view == nil {
		return
	}
	pool.KVCacheTokens = 0
	if s := view.Index.Service(service); s != nil && s.Engine != nil {
		pool.KVCacheTokens = s.Engine.KVCacheTokens
	}
	pool.SetShares(placement.SharesOf(view.Index, service))
	pool.SetCold(d.coldLimit(service), now)
}

// Change describes a change of the servers of a service.
type Change struct {
	// Service is the name of the service.
	Service string
	// Added and Removed are the names of the backend servers concerned.
	Added, Removed []string
	// Cold are the names of those that may be cold now and were not believed to be before, and
	// LongestCold is the longest time for which one of them may be.
	Cold        []string
	LongestCold time.Duration
}

// SetServers replaces the list of backend servers. It returns the changes by
// service.
func (d *Directory) SetServers(specs []replica.Spec, now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.serversListed = true
	byService := make(map[string][]replica.Spec)
	for _, spec := range specs {
		for _, service := range spec.Serves {
			byService[service] = append(byService[service], spec)
		}
	}
	for name := range byService {
		if d.pools[name] == nil {
			d.pools[name] = &placement.Pool{}
			d.configure(name, d.pools[name], now)
			d.pools[name].SetPeers(d.peers, now)
			d.pools[name].SetEvacuated(d.evacuated, now)
		}
	}
	var changes []Change
	for name, pool := range d.pools {
		known := pool.ColdServers(now)
		added, removed := pool.Update(byService[name], now)
		change := Change{Service: name, Added: added, Removed: removed}
		change.setCold(known, pool.ColdServers(now))
		if len(added)+len(removed)+len(change.Cold) > 0 {
			changes = append(changes, change)
		}
	}
	d.drainStates.update(d.pools, d.defaultDrainTime, now)
	d.applyStatementsLocked(now)
	standard := 0
	for _, spec := range specs {
		if spec.Kind == config.KindStandard && !spec.Draining {
			standard++
		}
	}
	if standard != d.standardCount {
		d.standardCount, d.standardChangedAt = standard, now
	}
	return changes
}

// SetPeers sets the daemons among which the limits of backend servers are divided.
func (d *Directory) SetPeers(peers placement.Peers, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = peers
	for _, pool := range d.pools {
		pool.SetPeers(peers, now)
	}
}

// LearnLimit records the limit of requests a second that an instance of a backend server
// named to another daemon at named. It reports whether it is new or changed. A limit that
// was named to this daemon later stays.
func (d *Directory) LearnLimit(instance string, perSecond float64, named, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for _, pool := range d.pools {
		for _, s := range pool.Servers {
			if s.Spec.Instance() == instance && (s.Limit == nil || named.After(s.Limit.NamedAt)) {
				changed = pool.SetLimit(s, perSecond, now) || changed
				s.Limit.NamedAt = named
			}
		}
	}
	return changed
}

// ForgetLimit records that an instance of a backend server names no limit any more, by
// what another daemon reports. It reports whether it had one.
func (d *Directory) ForgetLimit(instance string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	forgotten := false
	for _, pool := range d.pools {
		for _, s := range pool.Servers {
			if s.Limit != nil && s.Spec.Instance() == instance {
				s.Limit, forgotten = nil, true
			}
		}
	}
	return forgotten
}

// ReturnTime returns when a caller should return if the limits of the backend servers of a
// service that meet the requirements are used up or they are in a pause, or false if they
// are not.
func (d *Directory) ReturnTime(service string, requirements placement.Requirements, now time.Time) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pool := d.pools[service]
	if pool == nil {
		return 0, false
	}
	return pool.ReturnTime(requirements, now)
}

// StandardChangedAt returns when the number of standard backend servers last
// changed, or the zero time if there never was one.
func (d *Directory) StandardChangedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.standardChangedAt
}

// PickService picks the service that runs a request of a route, at random by the weights of its
// splits. It avoids services whose servers are all outside of the homes or evacuated.
func (d *Directory) PickService(r *catalog.Route, homes placement.Homes) string {
	if len(r.Splits) == 1 {
		return r.Splits[0].Service
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	picked := r.PickService(d.random)
	if d.barrierLocked(picked, homes) == placement.NoBarrier {
		return picked
	}
	var open catalog.Route
	for _, s := range r.Splits {
		if s.Weight > 0 && d.barrierLocked(s.Service, homes) == placement.NoBarrier {
			open.Splits = append(open.Splits, s)
		}
	}
	if len(open.Splits) == 0 {
		return picked
	}
	return open.PickService(d.random)
}

// Reserve chooses a backend server of a service that meets the requirements and
// reserves a slot on it. It returns nil if no backend server does.
func (d *Directory) Reserve(service string, requirements placement.Requirements, now time.Time) *Reservation {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !isRestricted(requirements) && d.lines[service].isBefore(requirements.Priority) {
		return nil
	}
	return d.reserveLocked(service, requirements, now)
}

// reserveLocked reserves a slot, as Reserve does, before the requests that wait for room. The caller
// holds d.mu.
func (d *Directory) reserveLocked(service string, requirements placement.Requirements, now time.Time) *Reservation {
	pool := d.pools[service]
	if pool == nil {
		return nil
	}
	s := pool.Choose(requirements, now, d.random)
	if s == nil {
		return nil
	}
	reservation := &Reservation{
		Spec: s.Spec, Running: s.Running, UnreadTokens: s.PendingPromptTokens, reservedAt: now, service: service,
		directory: d, pool: pool, server: s, requirements: requirements, drainState: d.drainStates.of(s),
	}
	reservation.heldTokens = s.BeginRequest(requirements, now)
	if requirements.Generates && requirements.FirstEventTarget > 0 {
		reservation.pressure = d.pressureLocked(service)
		reservation.pressureID = reservation.pressure.Begin(requirements.FirstEventTarget, now)
	}
	return reservation
}

// pressureLocked returns the pressure of a service and creates it if necessary. The
// caller holds d.mu.
func (d *Directory) pressureLocked(service string) *order.Pressure {
	p := d.pressures[service]
	if p == nil {
		p = order.NewPressure()
		d.pressures[service] = p
	}
	return p
}

// Pressure returns the mean time to the first event of the requests of a service, as
// a share of their target, and the number of requests in the mean.
func (d *Directory) Pressure(service string, now time.Time) (mean float64, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pressureLocked(service).Mean(now)
}

// Count returns the number of backend servers of a service in a failure domain that
// do not drain.
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
		case s.Spec.Draining || s.SaysLeaving || s.Spec.FailureDomain != failureDomain:
		case s.Spec.Kind == config.KindCheap:
			c.Cheap++
		default:
			c.Standard++
		}
	}
	return c
}

// Load returns the number of requests that this daemon runs on the backend servers of
// a service, and the number of their prompt tokens that are not read yet.
func (d *Directory) Load(service string) (running, unreadTokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pool := d.pools[service]
	if pool == nil {
		return 0, 0
	}
	return pool.Load()
}
