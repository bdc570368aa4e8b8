package membership

import (
	"net"
	"slices"
	"strconv"
	"time"

	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/peer"
)

// Times between two readings of the platform's list.
const (
	// listInterval is the least time.
	listInterval = 5 * time.Second
	// listRowTime is the time for each VM of the list, which bounds the bytes
	// a second.
	listRowTime = 250 * time.Millisecond
)

// VMListInterval returns the time between two readings of a list of VMs of the
// given length. The bytes a second do not grow with the length.
func VMListInterval(length int) time.Duration {
	return max(listInterval, time.Duration(length)*listRowTime)
}

// SetVMs takes in the platform's list of VMs. It adds daemons and marks those
// whose VM is about to be taken away. A daemon that is missing from the list is
// not dead for that, nor is one live that is listed: heartbeats decide.
func (t *Table) SetVMs(list []*vms.VM, now time.Time) {
	t.advance(now)
	for _, m := range t.members {
		m.listed = false
	}
	for _, d := range t.domains {
		d.listed = 0
	}
	var others []Record
	for _, vm := range list {
		for _, record := range daemons(vm) {
			switch {
			case record.MemberID == t.self.MemberID:
			case vm.FailureDomain == t.self.FailureDomain:
				t.list(record, vm.Leaving)
			case !vm.Leaving:
				others = append(others, record)
			}
		}
	}
	t.listOthers(others)
}

// daemons returns the daemons of a VM.
func daemons(vm *vms.VM) []Record {
	var records []Record
	for _, port := range []struct {
		role   peer.Role
		number int
	}{{peer.RoleEntry, vm.PeerPort}, {peer.RoleControl, vm.ControlPort}} {
		if port.number != 0 {
			records = append(records, Record{
				MemberID:      ID{VM: vm.Name, Role: port.role},
				FailureDomain: vm.FailureDomain,
				Address:       net.JoinHostPort(vm.Address, strconv.Itoa(port.number)),
				State:         peer.MemberLive,
			})
		}
	}
	return records
}

// list takes in a daemon of the own failure domain that is listed.
func (t *Table) list(record Record, leaving bool) {
	m := t.members[record.MemberID]
	if m == nil {
		m = t.add(record)
	}
	if m == nil {
		return
	}
	if leaving && !m.isLeaving() {
		m.leavingSince = t.time
	}
	m.listed, m.listedLeaving = true, leaving
}

// listOthers takes in the daemons of other failure domains. Contacts that are
// not listed and do not answer give way to listed ones, chosen at random.
func (t *Table) listOthers(records []Record) {
	t.random.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	for _, record := range records {
		d := t.domain(record.FailureDomain)
		if d == nil {
			continue
		}
		d.listed++
		d.meet(record, 0)
	}
	for _, d := range t.domains {
		if d.listed > 0 {
			d.drop(func(c contact) bool { return c.failures > 0 && !isListed(records, c.record) })
		}
	}
}

func isListed(records []Record, record Record) bool {
	return slices.ContainsFunc(records, func(r Record) bool { return r.MemberID == record.MemberID })
}
