package command

import (
	"os"
	"path/filepath"

	"acaciapath.example/core/finding"
	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/ini"
	"acaciapath.example/core/value"
)

// Limits of the VM file.
const (
	maxFileBytes = 1 << 20
	maxPort      = 65535
)

// vmSection describes the section of one VM.
var vmSection = ini.SectionKind[vms.VM]{
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
			Name: "address", Required: true, Help: "IP address of the VM.",
			Binding: ini.Bind(func(vm *vms.VM) *string { return &vm.Address }, value.IP()),
		},
		{
			Name: "peer-port", Required: true, Help: "Port on which the entry daemon accepts peers.",
			Binding: ini.Bind(func(vm *vms.VM) *int { return &vm.PeerPort }, value.Int(1, maxPort)),
		},
		{
			Name: "control-port", Default: "0", Help: "Port on which the control daemon accepts peers; 0 if the VM has none.",
			Binding: ini.Bind(func(vm *vms.VM) *int { return &vm.ControlPort }, value.Int(0, maxPort)),
		},
	},
}

// readVMs returns the VMs in a file. The error is a *finding.List with all
// problems in the file.
func readVMs(path string) ([]*vms.VM, error) {
	var findings finding.List
	file, unreadable := ini.ReadFile(os.DirFS(filepath.Dir(path)), filepath.Base(path), maxFileBytes)
	if unreadable != nil {
		findings.Add(*unreadable)
		return nil, findings.Err()
	}
	sections := ini.Parse([]ini.File{file}, &findings)
	d := ini.NewDecoder(sections, &findings)
	d.CheckKinds(sections, vmSection.Name)
	var list []*vms.VM
	for _, s := range sections {
		vm := &vms.VM{}
		if s.Kind == vmSection.Name {
			vmSection.Decode(d, s, vm)
			list = append(list, vm)
		}
	}
	findings.Sort()
	return list, findings.Err()
}
