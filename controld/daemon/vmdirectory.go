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
	// maxConcurrentStatusCalls is the maximum number of entry daemons that are queried
	// at the same time.
	maxConcurrentStatusCalls = 16
	// maxPolledPeers is the maximum number of peers that one call of pollConfig asks
	// for a newer configuration.
	maxPolledPeers = 3
)

// vmDirectory holds the platform's list of VMs and a client for each entry daemon of
// the daemon's failure domain. It keeps the last list while the platform does not
// answer. It is safe for concurrent use.
type vmDirectory struct {
	self          string
	failureDomain string
	tls           *tls.Config
	vmService     vms.Service

	mu      sync.Mutex // guards the fields below
	loaded  bool
	vms     []*vms.VM
	clients map[string]*peer.Client // by address
}

func newVMDirectory(self, failureDomain string, config *tls.Config, service vms.Service) *vmDirectory {
	return &vmDirectory{
		self: self, failureDomain: failureDomain, tls: config, vmService: service,
		clients: make(map[string]*peer.Client),
	}
}

// refresh reads the platform's list of VMs and updates the clients.
func (v *vmDirectory) refresh(ctx context.Context) error {
	list, err := v.vmService.List(ctx)
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.loaded, v.vms = true, list
	v.updateClients(list)
	return nil
}

// updateClients keeps or creates the clients of the entry daemons in the list and
// closes all others. v.mu must be held.
func (v *vmDirectory) updateClients(list []*vms.VM) {
	clients := make(map[string]*peer.Client)
	for _, vm := range list {
		if v.isLocalEntry(vm) {
			address := entryPeerAddress(vm)
			clients[address] = v.clients[address]
			if clients[address] == nil {
				clients[address] = peer.NewClient(address, v.tls)
			}
		}
	}
	for address, client := range v.clients {
		if clients[address] == nil {
			_ = client.Close()
		}
	}
	v.clients = clients
}

// isLocalEntry reports whether a VM runs an entry daemon in the failure domain of this
// daemon.
func (v *vmDirectory) isLocalEntry(vm *vms.VM) bool {
	return vm.FailureDomain == v.failureDomain && vm.PeerPort != 0
}

func entryPeerAddress(vm *vms.VM) string {
	return net.JoinHostPort(vm.Address, strconv.Itoa(vm.PeerPort))
}

// candidateCounts returns how many control daemons may acquire the orders lease of the
// failure domain, and how many may acquire the usage lease. VMs that are leaving are
// not counted.
func (v *vmDirectory) candidateCounts() (orders, usage int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, vm := range v.vms {
		if vm.ControlPort == 0 || vm.Leaving {
			continue
		}
		usage++
		if vm.FailureDomain == v.failureDomain {
			orders++
		}
	}
	return orders, usage
}

// entryPeer is an entry daemon of the failure domain.
type entryPeer struct {
	client  *peer.Client
	leaving bool
}

// localEntries returns the entry daemons of the daemon's failure domain. complete is
// false if the list of VMs has not been read yet.
func (v *vmDirectory) localEntries() (entries []entryPeer, complete bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, vm := range v.vms {
		if v.isLocalEntry(vm) {
			entries = append(entries, entryPeer{client: v.clients[entryPeerAddress(vm)], leaving: vm.Leaving})
		}
	}
	return entries, v.loaded
}

// statuses queries the entry daemons of the failure domain and returns the status of
// those that answered. The second result is true if the list of VMs has been read and
// all entry daemons on VMs that are not leaving have answered. The error joins the
// errors of all failed calls.
func (v *vmDirectory) statuses(ctx context.Context) ([]peer.Status, bool, error) {
	entries, complete := v.localEntries()
	answers := make([]peer.Status, len(entries))
	errs := make([]error, len(entries))
	var group errgroup.Group
	group.SetLimit(maxConcurrentStatusCalls)
	for i, e := range entries {
		group.Go(func() error {
			answers[i], errs[i] = e.client.Status(ctx)
			return nil
		})
	}
	_ = group.Wait() // the functions always return nil
	var statuses []peer.Status
	for i, answer := range answers {
		switch {
		case errs[i] == nil:
			statuses = append(statuses, answer)
		case !entries[i].leaving:
			complete = false
		}
	}
	return statuses, complete, errors.Join(errs...)
}

// randomPeers returns up to maxPolledPeers entry daemons of the failure domain,
// chosen at random.
func (v *vmDirectory) randomPeers() []revision.Peer {
	entries, _ := v.localEntries()
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	var peers []revision.Peer
	for _, e := range entries[:min(len(entries), maxPolledPeers)] {
		peers = append(peers, e.client)
	}
	return peers
}

// close closes the connections to all entry daemons.
func (v *vmDirectory) close() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.updateClients(nil)
}
