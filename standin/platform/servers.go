package platform

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"acaciapath.example/core/gen/servers"

	"github.com/ansel1/merry/v2"
)

// States of backend servers.
const (
	stateStarting = "starting"
	stateRunning  = "running"
	stateLeaving  = "leaving"
	stateGone     = "gone"
)

// kindCheap is the kind of backend servers that can be evicted.
const kindCheap = "cheap"

// goneRetention is how long a backend server stays listed after it is gone.
const goneRetention = time.Minute

// Errors of orders and releases.
var (
	errNoCapacity = merry.Sentinel("platform: no backend server of this kind is to be had")
	errStaleFence = merry.Sentinel("platform: the fencing number is older than one seen before")
)

// serverService is the interface for ordering backend servers.
type serverService struct {
	server        *Server
	options       Options
	wg            sync.WaitGroup
	mu            sync.Mutex // guards the fields below
	closed        bool
	byName        map[string]*backendServer
	byOrderID     map[string]*backendServer
	highestFences map[string]uint64 // by failure domain
	capacity      map[ServerGroup]int
	timers        map[*time.Timer]struct{}
}

// backendServer is a backend server and the state of its process.
type backendServer struct {
	servers.BackendServer
	stop   func() // stops the process; nil if it was not launched by the Launcher
	goneAt time.Time
}

var _ servers.Service = (*serverService)(nil)

func newServerService(s *Server, options Options) *serverService {
	b := &serverService{
		server:        s,
		options:       options,
		byName:        make(map[string]*backendServer),
		byOrderID:     make(map[string]*backendServer),
		highestFences: make(map[string]uint64),
		capacity:      make(map[ServerGroup]int),
		timers:        make(map[*time.Timer]struct{}),
	}
	for group, n := range options.Capacity {
		b.capacity[group] = n
	}
	for _, initial := range options.Servers {
		b.byName[initial.Name] = &backendServer{BackendServer: *initial}
	}
	return b
}

// List returns the backend servers of a failure domain in the order of their
// names. An empty failure domain means all.
func (b *serverService) List(ctx context.Context, p *servers.ListPayload) ([]*servers.BackendServer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.server.now()
	listed := []*servers.BackendServer{}
	for _, bs := range b.byName {
		if p.FailureDomain != "" && bs.FailureDomain != p.FailureDomain {
			continue
		}
		if bs.State == stateGone && now.Sub(bs.goneAt) > goneRetention {
			continue
		}
		listed = append(listed, bs.clone())
	}
	slices.SortFunc(listed, func(x, y *servers.BackendServer) int { return cmp.Compare(x.Name, y.Name) })
	b.server.record(ctx, LogEntry{ID: p.FailureDomain, Outcome: Done})
	return listed, nil
}

// Order orders one backend server. If the order ID was used before, Order
// returns the backend server of that order and does nothing else.
func (b *serverService) Order(ctx context.Context, p *servers.OrderPayload) (*servers.BackendServer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := LogEntry{
		ID:            p.OrderID,
		Holder:        p.Holder,
		Fence:         p.Fence,
		FailureDomain: p.FailureDomain,
		Outcome:       Done,
	}
	if !b.checkFence(p.FailureDomain, p.Fence) {
		e.Outcome = StaleFence
		b.server.record(ctx, e)
		return nil, servers.MakeStaleFence(errStaleFence)
	}
	if bs := b.byOrderID[p.OrderID]; bs != nil {
		e.Outcome = Repeated
		b.server.record(ctx, e)
		return bs.clone(), nil
	}
	if !b.hasCapacity(ServerGroup{FailureDomain: p.FailureDomain, Kind: p.Kind}) {
		e.Outcome = NoCapacity
		b.server.record(ctx, e)
		return nil, servers.MakeNoCapacity(errNoCapacity)
	}
	bs := b.add(p)
	b.server.record(ctx, e)
	return bs.clone(), nil
}

// Release removes a backend server. It is not an error if the server is unknown
// or gone.
func (b *serverService) Release(ctx context.Context, p *servers.ReleasePayload) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := LogEntry{ID: p.Name, Holder: p.Holder, Fence: p.Fence, Outcome: Done}
	bs := b.byName[p.Name]
	if bs != nil {
		e.FailureDomain = bs.FailureDomain
	}
	switch {
	case bs == nil:
		e.Outcome = NotFound
	case !b.checkFence(bs.FailureDomain, p.Fence):
		e.Outcome = StaleFence
		b.server.record(ctx, e)
		return servers.MakeStaleFence(errStaleFence)
	case bs.State == stateGone:
		e.Outcome = Repeated
	default:
		b.remove(bs)
	}
	b.server.record(ctx, e)
	return nil
}

// checkFence reports whether an order or release with the fencing token is
// accepted. If so, it updates the highest token of the failure domain. The caller
// must hold b.mu.
func (b *serverService) checkFence(domain string, fence uint64) bool {
	if b.options.ChecksFencing && fence < b.highestFences[domain] {
		return false
	}
	b.highestFences[domain] = max(b.highestFences[domain], fence)
	return true
}

// hasCapacity reports whether one more backend server can be ordered in the
// group. The caller must hold b.mu.
func (b *serverService) hasCapacity(group ServerGroup) bool {
	capacity, limited := b.capacity[group]
	if !limited {
		return true
	}
	n := 0
	for _, bs := range b.byName {
		if bs.State != stateGone && bs.FailureDomain == group.FailureDomain && bs.Kind == group.Kind {
			n++
		}
	}
	return n < capacity
}

// add adds an ordered backend server and schedules its launch. The caller must
// hold b.mu.
func (b *serverService) add(p *servers.OrderPayload) *backendServer {
	bs := &backendServer{BackendServer: servers.BackendServer{
		Name:          fmt.Sprintf("%s-%s-%d", p.FailureDomain, p.Kind, len(b.byOrderID)+1),
		OrderID:       p.OrderID,
		FailureDomain: p.FailureDomain,
		Kind:          p.Kind,
		Model:         p.Model,
		State:         stateStarting,
	}}
	b.byName[bs.Name] = bs
	b.byOrderID[p.OrderID] = bs
	b.schedule(b.options.StartDelay, func() { b.launch(bs) })
	return bs
}

// clone returns a copy of the backend server for a reply.
func (bs *backendServer) clone() *servers.BackendServer {
	clone := bs.BackendServer
	return &clone
}
