package soak_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// lateRows are the prefixes of the rows that daemons write in TestLateWritesOfAllRows. The rows of crashes and
// limits are tested in their packages.
var lateRows = []string{"stream-origins/", "neighbour/", "usage/part/", "lease/"}

// TestLateWritesOfAllRows has a store perform a quarter of the writes late, at any time and in any
// order, while daemons are killed, stopped and started again, and the store is restored from copies. No
// late write may replace a row that was written after it had been sent.
func TestLateWritesOfAllRows(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(c, build(t, t.TempDir()), t.TempDir(), daemonCount)
	injector := newFaultInjector(cl, *firstSeed)
	cl.waitUntilServing()
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(*firstSeed, 3))
	cl.store.SetFault(func(method, _ string) platformtest.Fault {
		mu.Lock()
		defer mu.Unlock()
		if method == http.MethodPost && random.IntN(4) == 0 {
			return platformtest.AppliedLate
		}
		return platformtest.NoFault
	})
	ctx, stop := context.WithTimeout(c.Context(), *soakLength)
	defer stop()
	var load callers
	load.start(ctx, cl, *firstSeed)
	for i := 0; ctx.Err() == nil || missingLateRow(cl) != "" && i < maxRestarts; i++ {
		injector.restart(cl.vms[i%len(cl.vms)], []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[i%2])
		time.Sleep(700 * time.Millisecond)
		if late := cl.store.Late(); late > 0 {
			cl.store.ApplyLateAt(injector.random.IntN(late))
		}
		if i%4 == 2 {
			backup := cl.store.Backup()
			time.Sleep(500 * time.Millisecond)
			cl.restoreStore(backup)
		}
	}
	load.group.Wait()
	injector.group.Wait()
	cl.store.SetFault(nil)
	c.Logf("%d writes are late: %q", cl.store.Late(), cl.store.LateKeys())
	c.Check(missingLateRow(cl), qt.Equals, "")
	c.Check(cl.store.LateReplacements(), qt.HasLen, 0)
}

// maxRestarts bounds the restarts until all rows have been written late.
const maxRestarts = 60

// missingLateRow returns the prefix of rows of which no write is late yet, or an empty string.
func missingLateRow(cl *cluster) string {
	keys := cl.store.LateKeys()
	for _, prefix := range lateRows {
		if !slices.ContainsFunc(keys, func(key string) bool { return strings.HasPrefix(key, prefix) }) {
			return prefix
		}
	}
	return ""
}
