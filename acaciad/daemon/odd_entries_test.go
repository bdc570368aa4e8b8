package daemon_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// oddEntries are values of rows that no writer of this project writes.
func oddEntries(address string) map[string]string {
	entry := func(change string) string {
		return fmt.Sprintf(`{"service":"shop","address":%q,"zone":"z","state":"ready","version":"v1",%s}`, address, change)
	}
	nested := strings.Repeat(`{"a":[`, 20_000) + strings.Repeat(`]}`, 20_000)
	return map[string]string{
		"nested":        nested,
		"nested-field":  entry(`"slots":8,"extra":` + nested),
		"number":        entry(`"slots":1e400`),
		"slots":         entry(`"slots":1e300`),
		"sequence":      entry(`"sequence":1e300`),
		"born":          entry(`"born":1e30`),
		"born-negative": entry(`"born":-9223372036854775808`),
		"leaves":        entry(`"state":"draining","leaves_ms":1e300`),
		"port":          `{"service":"shop","address":"10.0.0.1:99999","zone":"z","state":"ready"}`,
		"port-zero":     `{"service":"shop","address":"10.0.0.1:0","zone":"z","state":"ready"}`,
		"no-host":       `{"service":"shop","address":"0.0.0.0:80","zone":"z","state":"ready"}`,
		"bytes":         "\xff\xfe\x00",
		"cut":           `{"service":"shop","addr`,
		"long":          entry(`"zone":"` + strings.Repeat("z", 60_000) + `"`),
	}
}

// TestOddEntriesAreLeftOut has another writer leave odd entries in all tables that daemons
// follow, also through a reader, before they start and while they serve. They must go on
// following the tables.
func TestOddEntriesAreLeftOut(t *testing.T) {
	d := newDeployment(t)
	d.writeConfig(3, "k")
	d.registerShop("ready")
	write := func(prefix string) {
		for key, value := range oddEntries(d.shop.Address()) {
			d.store.WriteBytes("servers", prefix+key, []byte(value))
			d.store.WriteBytes("op", prefix+key, []byte(value))
			for _, table := range []string{"report/", "quarantine/", "limit/", "usage-reported"} {
				d.store.WriteBytes("backend-reports", table+prefix+key, []byte(value))
			}
		}
	}
	write("before-")
	var daemons []*runningDaemon
	for i := range 9 { // enough for a reader
		daemons = append(daemons, d.startWithNeighbours(fmt.Sprint("vm-", i)))
	}
	all := func(status int) func() bool {
		return func() bool {
			for _, r := range daemons {
				if r.lookStatus("k") != status {
					return false
				}
			}
			return true
		}
	}
	d.eventually("all serve", all(http.StatusOK))
	write("while-")
	time.Sleep(time.Second)
	d.Check(all(http.StatusOK)(), qt.IsTrue)
	second := platformtest.NewServer("i-2", 0)
	d.Cleanup(second.Close)
	d.store.Write("servers", "i-2", second.Entry("shop", "z", "ready"))
	d.store.Remove("servers", "i-1")
	d.shop.Close()
	d.eventually("the second server is used", func() bool { return all(http.StatusOK)() && len(second.ReceivedRequests()) > 0 })
	for _, r := range daemons {
		d.Check(strings.Contains(r.log.String(), "panic"), qt.IsFalse)
		select {
		case err := <-r.exited:
			d.Errorf("a daemon ended: %v", err)
		default:
		}
	}
}
