package daemons

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/peer"
)

const (
	// statusTimeout is the maximum time of the query of one daemon.
	statusTimeout = 3 * time.Second
	// maxConcurrentQueries is the maximum number of daemons that are queried at the
	// same time.
	maxConcurrentQueries = 64
)

// Daemon is a daemon in the platform's list of VMs.
type Daemon struct {
	// VM is the name of its VM.
	VM string `json:"vm"`
	// Role is the role of the daemon.
	Role peer.Role `json:"role"`
	// FailureDomain is the failure domain of its VM.
	FailureDomain string `json:"failure-domain"`
	// Address is the address of its peer port.
	Address string `json:"address"`
}

// Answer is the answer of a daemon to a status query.
type Answer struct {
	Daemon
	// Status is the status of the daemon; nil if it did not answer.
	Status *peer.Status `json:"status"`
	// Error tells why the daemon did not answer; empty if it did.
	Error string `json:"error,omitempty"`
}

// FromVMs returns the daemons on the VMs, sorted by failure domain, VM and role, the
// entry daemon of a VM first.
func FromVMs(list []*vms.VM) []Daemon {
	var found []Daemon
	for _, vm := range list {
		add := func(role peer.Role, port int) {
			if port == 0 {
				return
			}
			address := net.JoinHostPort(vm.Address, strconv.Itoa(port))
			found = append(found, Daemon{VM: vm.Name, Role: role, FailureDomain: vm.FailureDomain, Address: address})
		}
		add(peer.RoleEntry, vm.PeerPort)
		add(peer.RoleControl, vm.ControlPort)
	}
	slices.SortStableFunc(found, func(a, b Daemon) int {
		return cmp.Or(
			cmp.Compare(a.FailureDomain, b.FailureDomain),
			cmp.Compare(a.VM, b.VM),
			-cmp.Compare(a.Role, b.Role),
		)
	})
	return found
}

// QueryStatus queries the status of all daemons concurrently and returns the answers in
// the order of the list. A nil config means no TLS.
func QueryStatus(ctx context.Context, list []Daemon, config *tls.Config) []Answer {
	answers := make([]Answer, len(list))
	semaphore := make(chan struct{}, maxConcurrentQueries)
	var wg sync.WaitGroup
	for i, d := range list {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			answers[i] = queryStatus(ctx, d, config)
		})
	}
	wg.Wait()
	return answers
}

// queryStatus queries the status of one daemon.
func queryStatus(ctx context.Context, d Daemon, config *tls.Config) Answer {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	client := peer.NewClient(d.Address, config)
	defer client.Close()
	status, err := client.Status(ctx)
	if err != nil {
		return Answer{Daemon: d, Error: err.Error()}
	}
	return Answer{Daemon: d, Status: &status}
}
