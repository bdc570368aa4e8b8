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

// kindCheap is the kind of backend servers that are evicted.
const kindCheap = "cheap"

// goneRetention is how long a backend server that is gone stays listed.
const goneRetention = time.Minute

// Errors of the ordering of backend servers.
var (
	errNoCapacity = merry.Sentinel("platform: no backend server of this kind is to be had")
	errStaleFence = merry.Sentinel("platform: the fencing number is older than one seen before")
)

// serverService orders backend servers.
type serverService struct {
	server   *Server
	options  Options
	wait     sync.WaitGroup
	mu       sync.Mutex
	closed   bool
	byName   map[string]*backendServer
	byOrder  map[string]*backendServer
	fences   map[string]uint64 // highest fencing number by failure domain
	capacity map[ServerGroup]int
	timers   map[*time.Timer]struct{}
}

// backendServer is a backend server with what runs it.
type backendServer struct {
	servers.BackendServer
	stop   func() // nil unless the Launcher started it
	goneAt time.Time
}

var _ servers.Service = (*serverService)(nil)

func newServerService(s *Server, options Options) *serverService {
	b := &serverService{
		server:   s,
		options:  options,
		byName:   make(map[string]*backendServer),
		byOrder:  make(map[string]*backendServer),
		fences:   make(map[string]uint64),
		capacity: make(map[ServerGroup]int),
		timers:   make(map[*time.Timer]struct{}),
	}
	for stock, n := range options.Capacity {
		b.capacity[stock] = n
	}
	for _, initial := range options.Servers {
		b.byName[initial.Name] = &backendServer{BackendServer: *initial}
	}
	return b
}

// List returns the backend servers of a failure domain, or of all if it is
// empty, in the order of their names.
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

// Order orders one backend server. An order-id that was seen before orders
// nothing and returns what it brought.
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
	if bs := b.byOrder[p.OrderID]; bs != nil {
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

// Release gives a backend server back. One that is gone or unknown is no error.
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

// checkFence reports whether an order with the fencing number is to be carried
// out, and remembers the highest. b.mu is held.
func (b *serverService) checkFence(domain string, fence uint64) bool {
	if b.options.ChecksFencing && fence < b.fences[domain] {
		return false
	}
	b.fences[domain] = max(b.fences[domain], fence)
	return true
}

// hasCapacity reports whether one more backend server is to be had. b.mu is
// held.
func (b *serverService) hasCapacity(stock ServerGroup) bool {
	capacity, bounded := b.capacity[stock]
	if !bounded {
		return true
	}
	n := 0
	for _, bs := range b.byName {
		if bs.State != stateGone && bs.FailureDomain == stock.FailureDomain && bs.Kind == stock.Kind {
			n++
		}
	}
	return n < capacity
}

// add adds an ordered backend server and starts it. b.mu is held.
func (b *serverService) add(p *servers.OrderPayload) *backendServer {
	bs := &backendServer{BackendServer: servers.BackendServer{
		Name:          fmt.Sprintf("%s-%s-%d", p.FailureDomain, p.Kind, len(b.byOrder)+1),
		OrderID:       p.OrderID,
		FailureDomain: p.FailureDomain,
		Kind:          p.Kind,
		Model:         p.Model,
		State:         stateStarting,
	}}
	b.byName[bs.Name] = bs
	b.byOrder[p.OrderID] = bs
	b.after(b.options.StartDelay, func() { b.start(bs) })
	return bs
}

// clone returns the backend server as it is listed.
func (bs *backendServer) clone() *servers.BackendServer {
	clone := bs.BackendServer
	return &clone
}
