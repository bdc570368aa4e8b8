// Package daemons asks the daemons of all VMs for their state.
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

// Limits of a survey.
const (
	askTimeout  = 3 * time.Second
	concurrency = 64
)

// Daemon is one daemon as the platform's list of VMs has it.
type Daemon struct {
	// VM is the name of its VM.
	VM string `json:"vm"`
	// Role is the role of the daemon.
	Role peer.Role `json:"role"`
	// FailureDomain is the failure domain of its VM.
	FailureDomain string `json:"failure-domain"`
	// Address is where it accepts peers.
	Address string `json:"address"`
}

// Answer is a daemon and its state.
type Answer struct {
	Daemon
	// Status is the state, or nil if the daemon did not answer.
	Status *peer.Status `json:"status"`
	// Error says why the daemon did not answer.
	Error string `json:"error,omitempty"`
}

// FromVMs returns the daemons of the VMs, by failure domain, VM and role.
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

// QueryStatus returns the answers of the daemons, in their order. A nil config means no
// TLS.
func QueryStatus(ctx context.Context, list []Daemon, config *tls.Config) []Answer {
	answers := make([]Answer, len(list))
	places := make(chan struct{}, concurrency)
	var wait sync.WaitGroup
	for i, d := range list {
		places <- struct{}{}
		wait.Go(func() {
			defer func() { <-places }()
			answers[i] = ask(ctx, d, config)
		})
	}
	wait.Wait()
	return answers
}

// ask returns the answer of one daemon.
func ask(ctx context.Context, d Daemon, config *tls.Config) Answer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	client := peer.NewClient(d.Address, config)
	defer client.Close()
	status, err := client.Status(ctx)
	if err != nil {
		return Answer{Daemon: d, Error: err.Error()}
	}
	return Answer{Daemon: d, Status: &status}
}
