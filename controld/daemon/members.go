package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/peer"
	"acaciapath.example/core/revision"

	"golang.org/x/sync/errgroup"
)

const (
	// statusCalls is the number of entry daemons that are asked at once.
	statusCalls = 16
	// gossipPeers is the number of peers that are asked in one round of gossip.
	gossipPeers = 3
)

// members are the daemons on the entry VMs. The last known list is kept while
// the platform does not answer. It is safe for concurrent use.
type members struct {
	self          string
	failureDomain string
	tls           *tls.Config
	vms           vms.Service

	mu      sync.Mutex // guards the fields below
	known   bool
	list    []*vms.VM
	clients map[string]*peer.Client // by address
}

func newMembers(self, failureDomain string, config *tls.Config, list vms.Service) *members {
	return &members{
		self: self, failureDomain: failureDomain, tls: config, vms: list,
		clients: make(map[string]*peer.Client),
	}
}

// refresh reads the platform's list of VMs.
func (m *members) refresh(ctx context.Context) error {
	list, err := m.vms.List(ctx)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known, m.list = true, list
	m.replace(list)
	return nil
}

// replace keeps the clients of the VMs in the list and closes all others. The
// caller holds the lock.
func (m *members) replace(list []*vms.VM) {
	clients := make(map[string]*peer.Client)
	for _, vm := range list {
		if m.asked(vm) {
			address := entryAddress(vm)
			clients[address] = m.clients[address]
			if clients[address] == nil {
				clients[address] = peer.NewClient(address, m.tls)
			}
		}
	}
	for address, client := range m.clients {
		if clients[address] == nil {
			_ = client.Close()
		}
	}
	m.clients = clients
}

// asked reports whether the entry daemon of a VM is asked for its state.
func (m *members) asked(vm *vms.VM) bool {
	return vm.FailureDomain == m.failureDomain && vm.PeerPort != 0
}

func entryAddress(vm *vms.VM) string {
	return net.JoinHostPort(vm.Address, strconv.Itoa(vm.PeerPort))
}

// candidates returns the number of control daemons that may acquire the lease
// of the failure domain's orders, and that of usage reports.
func (m *members) candidates() (orders, usage int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, vm := range m.list {
		if vm.ControlPort == 0 || vm.Leaving {
			continue
		}
		usage++
		if vm.FailureDomain == m.failureDomain {
			orders++
		}
	}
	return orders, usage
}

// entry is an entry daemon of the failure domain.
type entry struct {
	client  *peer.Client
	leaving bool
}

func (m *members) entries() (entries []entry, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, vm := range m.list {
		if m.asked(vm) {
			entries = append(entries, entry{client: m.clients[entryAddress(vm)], leaving: vm.Leaving})
		}
	}
	return entries, m.known
}

// statuses returns the state of the entry daemons of the failure domain that
// answer, and whether all that are not leaving are among them.
func (m *members) statuses(ctx context.Context) ([]peer.Status, bool, error) {
	entries, known := m.entries()
	answers := make([]peer.Status, len(entries))
	failures := make([]error, len(entries))
	var group errgroup.Group
	group.SetLimit(statusCalls)
	for i, e := range entries {
		group.Go(func() error {
			answers[i], failures[i] = e.client.Status(ctx)
			return nil
		})
	}
	_ = group.Wait() // its functions return no error
	var statuses []peer.Status
	for i, answer := range answers {
		switch {
		case failures[i] == nil:
			statuses = append(statuses, answer)
		case !entries[i].leaving:
			known = false
		}
	}
	return statuses, known, errors.Join(failures...)
}

// some returns a few entry daemons of the failure domain, at random.
func (m *members) some() []revision.Peer {
	entries, _ := m.entries()
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	var peers []revision.Peer
	for _, e := range entries[:min(len(entries), gossipPeers)] {
		peers = append(peers, e.client)
	}
	return peers
}

// close ends the connections.
func (m *members) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.replace(nil)
}
