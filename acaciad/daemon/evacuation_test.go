package daemon_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// registerFar starts a backend server in the failure domain y.
func (d *deployment) registerFar() *platformtest.Server {
	far := platformtest.NewServer("i-2", 0)
	d.Cleanup(far.Close)
	d.store.Write("servers", "i-2", far.Entry("shop", "y", "ready"))
	return far
}

// evacuate writes the row by which the operator evacuates a failure domain.
func (d *deployment) evacuate(domain string) {
	d.store.Write("op", "evacuate/"+domain, map[string]any{})
}

// followed waits until a daemon has logged how the evacuation of a failure domain changed, n times
// in all.
func (d *deployment) followed(r *runningDaemon, message, domain string, n int) {
	d.Helper()
	d.eventually(message+" "+domain, func() bool {
		count := 0
		for _, line := range strings.Split(r.log.String(), "\n") {
			if strings.Contains(line, message) && strings.Contains(line, `"failure-domain":"`+domain+`"`) {
				count++
			}
		}
		return count >= n
	})
}

const (
	logEvacuated = "failure domain is evacuated"
	logEnded     = "evacuation of a failure domain ended"
	logHeld      = "missing from the restored store"
)

// TestEvacuationsAreFollowed evacuates the near failure domain, then the far one as well, and takes
// them back, while the store is away or drops its history. A daemon that starts meanwhile
// never sends a request there.
func TestEvacuationsAreFollowed(t *testing.T) {
	d := newDeployment(t)
	far := d.registerFar()
	d.registerShop("ready")
	d.writeConfig(3, "k")
	r := d.startWithNeighbours("vm-1")
	d.eventually("it serves", func() bool { return r.lookStatus("k") == http.StatusOK })
	d.evacuate("z")
	d.followed(r, logEvacuated, "z", 1)
	near := len(callersRequests(d.shop))
	for range 20 {
		d.Assert(r.lookStatus("k"), qt.Equals, http.StatusOK)
	}
	second := d.startWithNeighbours("vm-2")
	d.eventually("the second daemon serves", func() bool { return second.lookStatus("k") == http.StatusOK })
	d.evacuate("y")
	d.followed(r, logEvacuated, "y", 1)
	d.followed(second, logEvacuated, "y", 1)
	d.store.SetFault(func(string, string) platformtest.Fault { return platformtest.Unavailable })
	ran := len(callersRequests(far))
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		d.Assert(r.lookStatus("k"), qt.Equals, http.StatusServiceUnavailable)
		d.Assert(second.lookStatus("k"), qt.Equals, http.StatusServiceUnavailable)
	}
	d.Assert(callersRequests(d.shop), qt.HasLen, near)
	d.Assert(callersRequests(far), qt.HasLen, ran)
	d.store.Remove("op", "evacuate/y")
	d.store.DropHistory()
	d.store.SetFault(nil)
	for _, daemon := range []*runningDaemon{r, second} {
		d.followed(daemon, logEnded, "y", 1)
		d.Assert(daemon.lookStatus("k"), qt.Equals, http.StatusOK)
	}
	d.Assert(callersRequests(d.shop), qt.HasLen, near)
	d.store.Remove("op", "evacuate/z")
	d.followed(r, logEnded, "z", 1)
	d.eventually("the near server serves", func() bool {
		r.lookStatus("k")
		return len(callersRequests(d.shop)) > near
	})
}

// TestEvacuationOutlastsRestoration restores the store from a copy that lacks the evacuation. Until
// the operator has written it again, and later until it is taken back, nothing is sent.
func TestEvacuationOutlastsRestoration(t *testing.T) {
	d := newDeployment(t)
	d.registerShop("ready")
	d.writeConfig(3, "k")
	r := d.start("vm-1")
	d.eventually("it serves", func() bool { return r.lookStatus("k") == http.StatusOK })
	backup := d.store.Backup()
	d.evacuate("z")
	d.followed(r, logEvacuated, "z", 1)
	ran := len(callersRequests(d.shop))
	d.restore(backup, 4)
	d.followed(r, logHeld, "z", 1)
	d.Assert(r.lookStatus("k"), qt.Equals, http.StatusServiceUnavailable)
	d.evacuate("z")
	for end := time.Now().Add(11 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		d.Assert(r.lookStatus("k"), qt.Equals, http.StatusServiceUnavailable)
	}
	d.Assert(callersRequests(d.shop), qt.HasLen, ran)
	d.store.Remove("op", "evacuate/z")
	d.followed(r, logEnded, "z", 1)
	d.eventually("it serves again", func() bool { return r.lookStatus("k") == http.StatusOK })
}
