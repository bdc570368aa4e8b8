package settings_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"acaciapath.example/core/settings"
)

// TestExampleDaemonFiles checks that the example files of both daemons are
// valid and that their ports differ, because both daemons run on the same VM.
func TestExampleDaemonFiles(t *testing.T) {
	c := qt.New(t)
	entry, err := load(c, settings.RoleEntry, "--settings=../../examples/daemon/entryd.ini")
	c.Assert(err, qt.IsNil)
	control, err := load(c, settings.RoleControl, "--settings=../../examples/daemon/controld.ini")
	c.Assert(err, qt.IsNil)
	c.Assert(entry.ListenIP, qt.Equals, control.ListenIP)
	ports := map[int]bool{
		entry.CallersPort: true, entry.PeerPort: true, entry.OpsPort: true,
		control.PeerPort: true, control.OpsPort: true,
	}
	c.Assert(ports, qt.HasLen, 5)
}
