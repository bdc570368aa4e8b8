package daemon

import (
	"context"
	"crypto/tls"
	mathrand "math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/peer"
	"acaciapath.example/core/revision"
	"acaciapath.example/entryd/metrics"
)

// peerHandler answers the calls of peers.
type peerHandler Daemon

var _ peer.Handler = (*peerHandler)(nil)

// Status returns the state of the daemon.
func (h *peerHandler) Status(context.Context) (peer.Status, error) {
	h.metrics.Controlled(metrics.ControlPeer)
	return (*Daemon)(h).Status(), nil
}

// Head takes a peer's head and returns the daemon's own. If the peer is ahead,
// the next round of gossip asks for its revision.
func (h *peerHandler) Head(_ context.Context, _ peer.Head) (peer.Head, error) {
	h.metrics.Controlled(metrics.ControlPeer)
	return h.watcher.Head(h.settings.Name), nil
}

// GetConfig returns the content of a revision.
func (h *peerHandler) GetConfig(_ context.Context, get peer.GetConfig) (peer.ConfigContent, error) {
	h.metrics.Controlled(metrics.ControlPeer)
	return h.watcher.Content(get)
}

// Bounds of gossip.
const (
	// gossipPeers is the number of peers that are asked in one round.
	gossipPeers = 3
	// gossipTimeout bounds one round.
	gossipTimeout = 2 * time.Second
	// listInterval is how often the platform's list of VMs is read.
	listInterval = 5 * time.Second
)

// mates are the other entry daemons, from which configurations are heard of
// too. The last known list is kept while the platform does not answer.
type mates struct {
	self    string
	tls     *tls.Config
	vms     vms.Service
	watcher *revision.Watcher
	clock   func() time.Time

	mu      sync.Mutex
	clients map[string]*peer.Client // by address
	listed  time.Time
}

func newMates(self string, config *tls.Config, list vms.Service, watcher *revision.Watcher, clock func() time.Time) *mates {
	return &mates{
		self: self, tls: config, vms: list, watcher: watcher, clock: clock,
		clients: make(map[string]*peer.Client),
	}
}

// run exchanges heads with some peers once an interval until ctx ends.
func (m *mates) run(ctx context.Context, interval time.Duration, counts *metrics.Metrics) {
	every(ctx, interval, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
		defer cancel()
		m.list(ctx)
		chosen := m.choose()
		if len(chosen) == 0 {
			return
		}
		counts.Controlled(metrics.ControlGossip)
		_, _ = m.watcher.Gossip(ctx, m.self, chosen, m.clock()) // the next round asks others
	})
}

// list reads the platform's list of VMs if it is old.
func (m *mates) list(ctx context.Context) {
	now := m.clock()
	if now.Sub(m.listed) < listInterval {
		return
	}
	list, err := m.vms.List(ctx)
	if err != nil {
		return
	}
	m.listed = now
	m.replace(list)
}

// replace keeps the clients of the VMs in the list and closes all others.
func (m *mates) replace(list []*vms.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clients := make(map[string]*peer.Client, len(list))
	for _, vm := range list {
		if vm.Name == m.self || vm.PeerPort == 0 {
			continue
		}
		address := net.JoinHostPort(vm.Address, strconv.Itoa(vm.PeerPort))
		if client := m.clients[address]; client != nil {
			clients[address] = client
			continue
		}
		clients[address] = peer.NewClient(address, m.tls)
	}
	for address, client := range m.clients {
		if clients[address] == nil {
			_ = client.Close()
		}
	}
	m.clients = clients
}

// choose returns some peers at random.
func (m *mates) choose() []revision.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]revision.Peer, 0, len(m.clients))
	for _, client := range m.clients {
		all = append(all, client)
	}
	mathrand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), gossipPeers)]
}

// close ends the connections to peers.
func (m *mates) close() {
	if m != nil {
		m.replace(nil)
	}
}
