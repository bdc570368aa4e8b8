package platform

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"acaciapath.example/core/gen/vms"
)

// vmList is the list of VMs. Changes become visible after the lag.
type vmList struct {
	server    *Server
	lag       time.Duration
	mu        sync.Mutex   // guards the field below
	snapshots []vmSnapshot // oldest first, at least one
}

// vmSnapshot is the list of VMs from a point in time until the next snapshot.
type vmSnapshot struct {
	since time.Time
	vms   []*vms.VM
}

var _ vms.Service = (*vmList)(nil)

func newVMList(s *Server, lag time.Duration, initial []*vms.VM) *vmList {
	l := &vmList{server: s, lag: lag, snapshots: []vmSnapshot{{}}}
	for _, vm := range initial {
		l.snapshots[0].vms = upsertVM(l.snapshots[0].vms, *vm)
	}
	return l
}

// List returns the VMs as they were at the current time minus the lag.
func (l *vmList) List(ctx context.Context) ([]*vms.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(l.server.now())
	listed := []*vms.VM{}
	for _, vm := range l.snapshots[0].vms {
		clone := *vm
		listed = append(listed, &clone)
	}
	l.server.record(ctx, LogEntry{Outcome: Done})
	return listed, nil
}

// prune drops the snapshots that are older than the one listed at now. The caller
// must hold l.mu.
func (l *vmList) prune(now time.Time) {
	cutoff := now.Add(-l.lag)
	for len(l.snapshots) > 1 && !l.snapshots[1].since.After(cutoff) {
		l.snapshots = l.snapshots[1:]
	}
}

// update adds a snapshot that modify makes from a copy of the newest one.
func (l *vmList) update(modify func([]*vms.VM) []*vms.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.server.now()
	l.prune(now)
	newest := slices.Clone(l.snapshots[len(l.snapshots)-1].vms)
	l.snapshots = append(l.snapshots, vmSnapshot{since: now, vms: modify(newest)})
}

// upsertVM inserts vm into list, which is sorted by name, or replaces the VM with
// the same name.
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

// AddVM adds a VM to the list or replaces the VM with the same name.
func (s *Server) AddVM(vm vms.VM) {
	s.vmList.update(func(list []*vms.VM) []*vms.VM { return upsertVM(list, vm) })
}

// MarkLeaving marks the VM with the name as leaving.
func (s *Server) MarkLeaving(name string) {
	s.vmList.update(func(list []*vms.VM) []*vms.VM {
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

// RemoveVM removes the VM with the name from the list.
func (s *Server) RemoveVM(name string) {
	s.vmList.update(func(list []*vms.VM) []*vms.VM {
		return slices.DeleteFunc(list, func(vm *vms.VM) bool { return vm.Name == name })
	})
}
