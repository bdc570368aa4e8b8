package settings

import (
	"acaciapath.example/core/finding"
	"acaciapath.example/core/ini"
	"acaciapath.example/core/peer"
)

// check adds findings about settings that are valid alone but not together. It
// skips settings that already have a finding.
func (f *Flags) check(s *Settings, sections map[string]*ini.Section, findings *finding.List) {
	f.checkTLS(s, sections["tls"], findings)
	if !f.role.isDaemon() {
		return
	}
	withoutTLS := len(sections["tls"].Values) == 0
	if withoutTLS && s.ListenIP != "" && !s.listensOnLoopback() {
		findings.Add(sections["daemon"].Finding(finding.InvalidValue, "address",
			"a peers' port without TLS must be on a loopback address; set the files of [tls]"))
	}
	f.checkPorts(s, sections["listen"], findings)
}

// checkTLS adds a finding for each TLS file that is missing although another
// one is set.
func (f *Flags) checkTLS(s *Settings, section *ini.Section, findings *finding.List) {
	if s.TLS == (peer.TLSFiles{}) {
		return
	}
	for _, file := range []struct{ setting, name string }{
		{"certificate", s.TLS.Certificate}, {"key", s.TLS.Key}, {"authority", s.TLS.Authority},
	} {
		if file.name == "" && section.Value(file.setting) == nil {
			findings.Add(section.Finding(finding.Missing, file.setting,
				"the file is required because another file of mutual TLS is set"))
		}
	}
}

// checkPorts adds a finding for each port that is the same as an earlier one.
func (f *Flags) checkPorts(s *Settings, section *ini.Section, findings *finding.List) {
	ports := []struct {
		setting string
		port    int
	}{{"callers-port", s.CallersPort}, {"peer-port", s.PeerPort}, {"ops-port", s.OpsPort}}
	if f.role == RoleControl {
		ports = ports[1:]
	}
	for i, p := range ports {
		for _, earlier := range ports[:i] {
			if p.port != 0 && p.port == earlier.port {
				findings.Add(section.Finding(finding.Duplicate, p.setting, "the port is the same as "+earlier.setting))
			}
		}
	}
}
