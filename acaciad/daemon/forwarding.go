package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"acaciapath.example/acaciad/forwarding"
	"acaciapath.example/acaciad/proxy"
	"acaciapath.example/core/detour"
	reach "acaciapath.example/core/forwarding"
	"acaciapath.example/core/replica"
	"acaciapath.example/platform"
)

// defaultForwardedBody is the maximum size of the body of a forwarded request if the catalog sets
// none.
const defaultForwardedBody = 4 << 20

// newForwarding creates what sends requests through neighbours. dial opens connections to backend
// servers.
func (d *Daemon) newForwarding(dial proxy.DialFunc, now time.Time) {
	metrics := forwarding.NewMetrics(d.registry)
	d.monitor = forwarding.NewMonitor(dial, d.targets, d.logger, d.registry, rand.New(rand.NewPCG(uint64(now.UnixNano()), 4)))
	d.monitor.ProbeRequest = d.probeRequest
	d.asker = forwarding.NewAsker(d.settings.Name, d.settings.FailureDomain, metrics, d.logger, rand.New(rand.NewPCG(uint64(now.UnixNano()), 5)))
	d.lender = forwarding.NewLender(metrics)
}

// lendPath completes the lender, once there is a handler of the daemon's own requests. dial opens
// connections to backend servers for checks, which are no evidence of the own path.
func (d *Daemon) lendPath(dial proxy.DialFunc) {
	l, h := d.lender, d.handler
	l.Admission = reach.NewAdmission(d.settings.Cores, d.settings.MemoryBytes, d.ports.maxCallers, d.ports.neighbours.Limits().Connections)
	l.Directory, l.Await, l.Hanging = d.directory, d.awaitPath, d.monitor.Hanging
	l.Detoured = h.Detours.Choose
	l.OwnRequests, l.Send, l.Accepts = h.InProgress, h.Client.Send, proxy.NewClient(dial).Accepts
	l.OnAnswer, l.OnLost = h.HearForwarded, h.RecordForwardedLoss
	l.Timeout = func(header http.Header) time.Duration { return h.Wire.ParseRequest(header).Timeout }
	l.MaxBodyBytes = d.maxForwardedBody
	l.Memory, l.Draining, l.Ending, l.Logger = d.memory, d.draining, d.ending, d.logger
}

// awaitPath returns the state of the own path. While that is in doubt, it waits for the outcome.
func (d *Daemon) awaitPath(ctx context.Context) reach.State {
	if state := d.monitor.State(); state != reach.Suspect {
		return state
	}
	return d.monitor.Await(ctx)
}

// maxForwardedBody returns the maximum size of the body of a forwarded request.
func (d *Daemon) maxForwardedBody() int64 {
	if view := d.directory.View(); view != nil && view.Index.Catalog.Limits.BodyBytes > 0 {
		return view.Index.Catalog.Limits.BodyBytes
	}
	return defaultForwardedBody
}

// probeRequest returns the request by which the backend server at an address is probed, or an empty
// one if there is none.
func (d *Daemon) probeRequest(address string) []byte {
	server, listed := d.directory.At(address)
	view := d.directory.View()
	if !listed || view == nil {
		return nil
	}
	service := view.Index.Service(firstService(server))
	if service == nil {
		return nil
	}
	return platform.ProbeRequest(address, service.Engine != nil, service.HealthPath)
}

// targets returns the backend servers that can be probed.
func (d *Daemon) targets() []reach.Target {
	specs := d.directory.All()
	targets := make([]reach.Target, len(specs))
	for i, s := range specs {
		targets[i] = reach.Target{Name: s.Name, Address: s.Address, FailureDomain: s.FailureDomain, Service: firstService(s)}
	}
	return targets
}

// knownNeighbours are the neighbours that the registry found last.
type knownNeighbours struct {
	// near are those of the own failure domain, or all if it has none, and distant some of each
	// other failure domain.
	near, distant []detour.Neighbour
}

// all returns all of them, each once.
func (k knownNeighbours) all() []detour.Neighbour {
	all := slices.Clone(k.near)
	for _, n := range k.distant {
		if !slices.Contains(all, n) {
			all = append(all, n)
		}
	}
	return all
}

// setNeighbours passes the neighbours of the own failure domain to what uses them. The registry
// calls it and setDistantNeighbours one after the other.
func (d *Daemon) setNeighbours(neighbours []detour.Neighbour) {
	d.storeTransport.SetNeighbours(neighbours)
	d.known.near = neighbours
	d.asker.SetNeighbours(d.known.all())
}

// setDistantNeighbours passes neighbours of other failure domains to what uses them.
func (d *Daemon) setDistantNeighbours(neighbours []detour.Neighbour) {
	d.known.distant = neighbours
	d.asker.SetNeighbours(d.known.all())
}

// firstService returns the first service that a backend server serves, or an empty string.
func firstService(s replica.Spec) string {
	if len(s.Serves) == 0 {
		return ""
	}
	return s.Serves[0]
}
