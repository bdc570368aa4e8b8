package daemon_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// TestRequestsLateInTheGrace stops a daemon while its backend server does not answer. Callers
// send requests, also when the daemon accepts no connections any more, on ones that they
// opened before. Each request must get a complete answer before the process exits, and those
// that come after the daemon has closed its other connections must not be passed on.
func TestRequestsLateInTheGrace(t *testing.T) {
	d := newDeployment(t)
	d.store.Write("op", "config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "look", "host": "shop.example", "prefix": "/look/", "type": "unsafe",
			"timeoutMs": 9000, "targetLatencyMs": 400, "service": "shop", "maxAttempts": 1,
		}},
		"services": []any{map[string]any{"name": "shop", "healthPath": "/healthz"}},
		"limits":   map[string]any{"maxBodyBytes": 1000},
		"tenants":  []any{map[string]any{"name": "account-a", "apiKeys": []string{"k"}}},
	})
	d.registerShop("ready")
	r := d.startProcess("vm-1")
	d.eventually("it serves", func() bool { return r.lookStatus("k") == http.StatusOK })
	d.shop.SetResponseMode(platformtest.Hangs)
	head := "GET /look/ HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer k\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 9000\r\n"
	withBody := head + "Content-Length: 10\r\n\r\n01234"
	began := time.Now()
	r.stop()
	ranFor := make(chan time.Duration, 1)
	go func() {
		d.Check(<-r.exited, qt.IsNil)
		ranFor <- time.Since(began)
	}()
	var callers sync.WaitGroup
	send := func(id string, at time.Duration, first, later string, pause time.Duration, statuses ...int) {
		callers.Go(func() {
			time.Sleep(time.Until(began.Add(at)))
			status, err := sendInPieces(r.settings.CallersAddress, fill(first, id), fill(later, id), pause)
			d.Check(err, qt.IsNil, qt.Commentf("%s", id))
			d.Check(statuses, qt.Contains, status, qt.Commentf("%s", id))
		})
	}
	for i := range 8 {
		at := time.Duration(i) * 280 * time.Millisecond
		send(fmt.Sprint("running-", i), at, head+"\r\n", "", 0, http.StatusGatewayTimeout, http.StatusBadGateway)
		send(fmt.Sprint("connected-", i), at, "", head+"\r\n", 900*time.Millisecond, http.StatusGatewayTimeout, http.StatusBadGateway)
	}
	for i := range 4 {
		pause := 3*time.Second + time.Duration(i)*300*time.Millisecond
		send(fmt.Sprint("late-", i), 1500*time.Millisecond, withBody, "56789", pause, http.StatusServiceUnavailable)
	}
	callers.Wait()
	select {
	case took := <-ranFor:
		d.Check(took < r.settings.ShutdownGrace, qt.IsTrue, qt.Commentf("exited after %s", took))
	case <-time.After(waitLimit):
		d.Fatal("the daemon does not exit")
	}
	for _, request := range d.shop.ReceivedRequests() {
		if id := request.Header.Get("X-Attempt-Id"); len(id) > 5 && id[:5] == "late-" {
			d.Errorf("%s was passed on", id)
		}
	}
}
