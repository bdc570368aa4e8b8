package command

import (
	"os"
	"path/filepath"

	"acaciapath.example/core/finding"
	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/ini"
	"acaciapath.example/core/value"
)

// Limits of the file of the VMs.
const (
	maxFileBytes = 1 << 20
	maxPort      = 65535
)

// vmKind describes the section of one VM.
var vmKind = ini.SectionKind[vms.VM]{
	Name:       "vm",
	Help:       "One entry VM.",
	SetName:    func(vm *vms.VM, name string) { vm.Name = name },
	NameParser: value.Name(),
	Settings: []ini.Setting[vms.VM]{
		{
			Name: "failure-domain", Required: true, Help: "Failure domain of the VM.",
			Binding: ini.Bind(func(vm *vms.VM) *string { return &vm.FailureDomain }, value.Name()),
		},
		{
			Name: "address", Required: true, Help: "IP number of the VM.",
			Binding: ini.Bind(func(vm *vms.VM) *string { return &vm.Address }, value.IP()),
		},
		{
			Name: "peer-port", Required: true, Help: "Port of the entry daemon for its peers.",
			Binding: ini.Bind(func(vm *vms.VM) *int { return &vm.PeerPort }, value.Int(1, maxPort)),
		},
		{
			Name: "control-port", Default: "0", Help: "Port of the control daemon for its peers; 0 if none runs.",
			Binding: ini.Bind(func(vm *vms.VM) *int { return &vm.ControlPort }, value.Int(0, maxPort)),
		},
	},
}

// readVMs returns the VMs that a file lists. Its error is a *finding.List with
// all that is wrong.
func readVMs(path string) ([]*vms.VM, error) {
	var findings finding.List
	file, unreadable := ini.ReadFile(os.DirFS(filepath.Dir(path)), filepath.Base(path), maxFileBytes)
	if unreadable != nil {
		findings.Add(*unreadable)
		return nil, findings.Err()
	}
	sections := ini.Parse([]ini.File{file}, &findings)
	d := ini.NewDecoder(sections, &findings)
	d.CheckKinds(sections, vmKind.Name)
	var list []*vms.VM
	for _, s := range sections {
		vm := &vms.VM{}
		if s.Kind == vmKind.Name {
			vmKind.Decode(d, s, vm)
			list = append(list, vm)
		}
	}
	findings.Sort()
	return list, findings.Err()
}
