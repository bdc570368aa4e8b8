package daemon_test

import (
	"net/http"
	"testing"

	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// TestConfigurationAfterRestoreIsNotSkipped has a daemon lose the store, which comes back
// from a copy and has passed the daemon's last version again before the daemon reaches it.
func TestConfigurationAfterRestoreIsNotSkipped(t *testing.T) {
	d := newDeployment(t)
	d.writeConfig(3, "k")
	d.registerShop("ready")
	r := d.start("vm-1")
	d.eventually("it serves", func() bool { return r.lookStatus("k") == http.StatusOK })
	backup := d.store.Backup()
	for version := 4; version < 8; version++ {
		d.writeConfig(version, "second")
	}
	d.eventually("the second key is in force", func() bool { return r.lookStatus("second") == http.StatusOK })
	lost := d.store.Version()
	d.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Unavailable })
	d.store.Restore(backup)
	d.writeConfig(8, "third")
	for d.store.Version() <= lost+10 {
		d.store.Write("other", "row", "x")
	}
	d.store.SetFault(nil)
	d.eventually("the third key is in force", func() bool { return r.lookStatus("third") == http.StatusOK })
	d.Assert(r.lookStatus("second"), qt.Equals, http.StatusUnauthorized)
}
