package platform

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"acaciapath.example/core/gen/vms"
)

// vmList is the list of VMs, which lags behind.
type vmList struct {
	server *Server
	lag    time.Duration
	mu     sync.Mutex
	states []vmState // oldest first, at least one
}

// vmState is the list of VMs from a time on.
type vmState struct {
	since time.Time
	vms   []*vms.VM
}

var _ vms.Service = (*vmList)(nil)

func newVMList(s *Server, lag time.Duration, initial []*vms.VM) *vmList {
	l := &vmList{server: s, lag: lag, states: []vmState{{}}}
	for _, vm := range initial {
		l.states[0].vms = upsertVM(l.states[0].vms, *vm)
	}
	return l
}

// List returns the VMs as they were the lag ago.
func (l *vmList) List(ctx context.Context) ([]*vms.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(l.server.now())
	listed := []*vms.VM{}
	for _, vm := range l.states[0].vms {
		clone := *vm
		listed = append(listed, &clone)
	}
	l.server.record(ctx, LogEntry{Outcome: Done})
	return listed, nil
}

// prune drops the states before the one that is listed at now. l.mu is held.
func (l *vmList) prune(now time.Time) {
	shown := now.Add(-l.lag)
	for len(l.states) > 1 && !l.states[1].since.After(shown) {
		l.states = l.states[1:]
	}
}

// change adds a state that is made from the newest.
func (l *vmList) change(update func([]*vms.VM) []*vms.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.server.now()
	l.prune(now)
	newest := slices.Clone(l.states[len(l.states)-1].vms)
	l.states = append(l.states, vmState{since: now, vms: update(newest)})
}

// upsertVM returns list with vm in it, in the order of names.
func upsertVM(list []*vms.VM, vm vms.VM) []*vms.VM {
	i, ok := slices.BinarySearchFunc(list, vm.Name, func(have *vms.VM, name string) int {
		return cmp.Compare(have.Name, name)
	})
	if ok {
		list[i] = &vm
		return list
	}
	return slices.Insert(list, i, &vm)
}

// AddVM adds a VM to the list, or replaces the one of the same name.
func (s *Server) AddVM(vm vms.VM) {
	s.vmList.change(func(list []*vms.VM) []*vms.VM { return upsertVM(list, vm) })
}

// MarkLeaving marks the VM with the name as leaving.
func (s *Server) MarkLeaving(name string) {
	s.vmList.change(func(list []*vms.VM) []*vms.VM {
		for i, vm := range list {
			if vm.Name == name {
				leaving := *vm
				leaving.Leaving = true
				list[i] = &leaving
			}
		}
		return list
	})
}

// RemoveVM takes the VM with the name off the list.
func (s *Server) RemoveVM(name string) {
	s.vmList.change(func(list []*vms.VM) []*vms.VM {
		return slices.DeleteFunc(list, func(vm *vms.VM) bool { return vm.Name == name })
	})
}
