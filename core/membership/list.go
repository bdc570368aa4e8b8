package membership

import (
	"net"
	"slices"
	"strconv"
	"time"

	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/peer"
)

const (
	// minListInterval is the minimum time between two reads of the platform's
	// list.
	minListInterval = 5 * time.Second
	// listTimePerVM is the time between two reads for each VM of the list. It
	// bounds the bytes that are read per second.
	listTimePerVM = 250 * time.Millisecond
)

// VMListInterval returns the time to wait between two reads of a list with the
// given number of VMs. The bytes read per second do not grow with this number.
func VMListInterval(length int) time.Duration {
	return max(minListInterval, time.Duration(length)*listTimePerVM)
}

// SetVMs applies the platform's list of VMs. It adds the daemons that are not yet
// known and marks those whose VM is about to be removed. Whether a daemon is
// listed does not decide whether it is alive or dead; heartbeats decide that.
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
		for _, record := range daemonsOf(vm) {
			switch {
			case record.MemberID == t.self.MemberID:
			case vm.FailureDomain == t.self.FailureDomain:
				t.recordListedMember(record, vm.Leaving)
			case !vm.Leaving:
				others = append(others, record)
			}
		}
	}
	t.recordListedContacts(others)
}

// daemonsOf returns the records of the daemons that run on a VM.
func daemonsOf(vm *vms.VM) []Record {
	var records []Record
	for _, daemon := range []struct {
		role peer.Role
		port int
	}{{peer.RoleEntry, vm.PeerPort}, {peer.RoleControl, vm.ControlPort}} {
		if daemon.port != 0 {
			records = append(records, Record{
				MemberID:      ID{VM: vm.Name, Role: daemon.role},
				FailureDomain: vm.FailureDomain,
				Address:       net.JoinHostPort(vm.Address, strconv.Itoa(daemon.port)),
				State:         peer.MemberLive,
			})
		}
	}
	return records
}

// recordListedMember marks a daemon of this daemon's failure domain as listed,
// and adds it if it is not yet a member. leaving says whether its VM is about to
// be removed.
func (t *Table) recordListedMember(record Record, leaving bool) {
	m := t.members[record.MemberID]
	if m == nil {
		m = t.addMember(record)
	}
	if m == nil {
		return
	}
	if leaving && !m.isLeaving() {
		m.leavingSince = t.time
	}
	m.listed, m.listedLeaving = true, leaving
}

// recordListedContacts counts the listed daemons of other failure domains and
// adds them as contacts, in random order. In a failure domain with listed daemons
// it removes the contacts that are not listed and whose last probe failed.
func (t *Table) recordListedContacts(records []Record) {
	t.random.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	for _, record := range records {
		d := t.domain(record.FailureDomain)
		if d == nil {
			continue
		}
		d.listed++
		d.addContact(record, 0)
	}
	for _, d := range t.domains {
		if d.listed > 0 {
			d.dropContacts(func(c contact) bool { return c.failures > 0 && !isListed(records, c.record) })
		}
	}
}

func isListed(records []Record, record Record) bool {
	return slices.ContainsFunc(records, func(r Record) bool { return r.MemberID == record.MemberID })
}
