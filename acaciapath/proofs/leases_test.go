package proofs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"acaciapath.example/core/gen/servers"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/lease"
	"acaciapath.example/core/usage"
	"acaciapath.example/standin/engine"
	"acaciapath.example/standin/fault"
	"acaciapath.example/standin/platform"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
)

// leaseSeeds are the seeds of TestSingleLeaseHolder.
var leaseSeeds = []uint64{1, 2, 3}

// leaseFaultRounds is the number of times that a run of TestSingleLeaseHolder injects two
// faults.
const leaseFaultRounds = 5

// leaseDomains are the failure domains of TestSingleLeaseHolder. Each has two control
// daemons.
var leaseDomains = []string{domain, "guayaquil-a"}

// minPoolServers is the total minimum size of the pools in poolsConfig.
const minPoolServers = 4

// poolsConfig declares a pool in each failure domain.
const poolsConfig = `
[pool quito]
model = assistant
failure-domain = quito-a
kind = cheap
min = 2
max = 4
places = 4
hour-price = 0.40 USD/h

[pool guayaquil]
model = assistant
failure-domain = guayaquil-a
kind = cheap
min = 2
max = 4
places = 4
hour-price = 0.40 USD/h
`

// TestSingleLeaseHolder guards against two control daemons that act under the same lease, and
// against lost or duplicate orders and usage reports. Control daemons are frozen for longer
// than their leases, are partitioned from the platform (one or a whole failure domain), have
// clocks that jump, and have requests and replies that are lost or slow; two of these faults
// at a time. Meanwhile there are always backend servers to order and usage to report. The
// platform does not check fencing tokens here; the test checks them in the platform's log.
func TestSingleLeaseHolder(t *testing.T) {
	for _, seed := range leaseSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, 0, engine.Options{}, poolsConfig)
			g := newControlGroup(env)
			for _, failureDomain := range leaseDomains {
				for i := range 2 {
					g.start(failureDomain, i)
				}
			}
			stop := g.writeUsage()
			random := rand.New(rand.NewPCG(seed, 0))
			for range leaseFaultRounds {
				g.awaitPools()
				g.injectFaults(random)
				g.evictedServers += env.platform.EvictCheapServers(leaseDomains[random.IntN(2)], 0)
			}
			g.awaitPools()
			stop()
			g.checkResults()
		})
	}
}

// controlGroup is a test environment with control daemons.
type controlGroup struct {
	env     *testEnv
	writers []*usage.Writer
	daemons []*process
	// writtenRequests is the number of requests that were added to the writers. While
	// writeUsage runs, only its goroutine may access it.
	writtenRequests uint64
	// evictedServers is the number of backend servers that were evicted.
	evictedServers int
}

// writerLag is how far the clock of each usage writer is behind that of the writer before
// it. It is longer than a usage window.
const writerLag = 1500 * time.Millisecond

func newControlGroup(env *testEnv) *controlGroup {
	g := &controlGroup{env: env}
	for _, vm := range []string{"vm-0", "vm-9"} {
		g.writers = append(g.writers, usage.NewWriter(env.platform.Client(vm).Table, vm, "a"))
	}
	return g
}

func (g *controlGroup) start(failureDomain string, i int) {
	name := fmt.Sprintf("%s-vm-%d", failureDomain, i)
	g.env.platform.AddVM(vms.VM{Name: name, FailureDomain: failureDomain, Address: "127.0.0.1", ControlPort: 1})
	g.daemons = append(g.daemons, startProcess(g.env.c, controlLaunch(name, failureDomain, g.env.platformAddressFor(name))))
}

// writeUsage writes usage in the background, one request of each writer at a time, until
// stop is called. stop waits until all usage is written.
func (g *controlGroup) writeUsage() (stop func()) {
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
				g.addUsage()
				_ = g.flushUsage()
			}
		}
	})
	return func() {
		close(done)
		wait.Wait()
		g.env.eventually("all usage is written", func() bool { return g.flushUsage() == nil })
	}
}

// addUsage adds one request to each writer.
func (g *controlGroup) addUsage() {
	key := usage.Key{ClientAccount: "shop", ServiceClass: "chat", Model: "assistant"}
	for _, writer := range g.writers {
		writer.Add(usage.Part{Lines: []usage.Line{{Key: key, Work: usage.Work{Requests: 1}}}})
		g.writtenRequests++
	}
}

func (g *controlGroup) flushUsage() error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var errs []error
	for i, writer := range g.writers {
		now := time.Now().Add(-time.Duration(i) * writerLag)
		errs = append(errs, writer.Flush(ctx, now, time.Second))
	}
	return errors.Join(errs...)
}

// injectFaults injects two faults at the same time, for one to two lease durations.
func (g *controlGroup) injectFaults(random *rand.Rand) {
	var faults fault.Faults
	var undo []func()
	for _, kind := range random.Perm(6)[:2] {
		p := g.daemons[random.IntN(len(g.daemons))]
		if holder := g.holder(leaseDomains[random.IntN(2)]); holder != nil && random.IntN(3) > 0 {
			p = holder
		}
		switch kind {
		case 0:
			p.freeze()
			undo = append(undo, p.resume)
		case 1:
			direction := []fault.Direction{fault.Both, fault.Requests, fault.Replies}[random.IntN(3)]
			faults.Partitions = append(faults.Partitions, fault.Partition{Caller: p.name, Direction: direction})
		case 2:
			for _, d := range g.daemons {
				if strings.HasPrefix(d.name, leaseDomains[0]) {
					faults.Partitions = append(faults.Partitions, fault.Partition{Caller: d.name})
				}
			}
		case 3:
			faults.LoseReplies, faults.LoseRequests = 6, 3
		case 4:
			p.signal(syscall.SIGUSR1)
			undo = append(undo, func() { p.signal(syscall.SIGUSR2) })
		case 5:
			faults.Delay = fault.Duration(80 * time.Millisecond)
		}
	}
	g.env.platform.SetFaults(platform.All, faults)
	time.Sleep(leaseDuration + time.Duration(random.Int64N(int64(leaseDuration))))
	for _, f := range undo {
		f()
	}
	g.env.platform.SetFaults(platform.All, fault.Faults{})
}

// holder returns the daemon that the orders lease row of a failure domain names, or nil if
// there is none.
func (g *controlGroup) holder(failureDomain string) *process {
	rows, err := g.env.platform.Client("observer").Read(context.Background(), lease.RowKey(lease.OrdersName(failureDomain)))
	if err != nil || rows[0].Version == 0 {
		return nil
	}
	row, err := lease.ParseRow(rows[0].Value)
	g.env.c.Assert(err, qt.IsNil)
	vm, _, _ := strings.Cut(row.Holder, "/")
	for _, p := range g.daemons {
		if p.name == vm {
			return p
		}
	}
	return nil
}

// awaitPools waits until both pools have their minimum size.
func (g *controlGroup) awaitPools() {
	g.env.eventually("the pools have their minimum size", func() bool {
		list, err := g.env.platform.Client("observer").Servers.List(context.Background(), &servers.ListPayload{})
		g.env.c.Assert(err, qt.IsNil)
		alive := 0
		for _, s := range list {
			if s.State == "starting" || s.State == "running" {
				alive++
			}
		}
		return alive == minPoolServers
	})
}

// checkResults checks the log and the reports of the platform: no usage is lost or counted
// twice, each eviction led to exactly one order, fencing tokens never decrease, and all
// reports of a window are equal.
func (g *controlGroup) checkResults() {
	g.env.eventually("all usage is reported or stored", func() bool { return g.recordedRequests() >= g.writtenRequests })
	g.env.c.Check(g.recordedRequests(), qt.Equals, g.writtenRequests)
	requestsByLease := map[string][]platform.LogEntry{}
	orders := 0
	for _, e := range g.env.platform.Log().Entries() {
		switch {
		case e.Outcome == platform.RequestLost, e.Outcome == platform.Unavailable: // not received
		case e.Interface == platform.Usage:
			requestsByLease[lease.UsageReportsName] = append(requestsByLease[lease.UsageReportsName], e)
		case e.Interface == platform.Servers && e.FailureDomain != "":
			requestsByLease[e.FailureDomain] = append(requestsByLease[e.FailureDomain], e)
		}
		if e.Method == "order" && e.Outcome == platform.Done {
			orders++
		}
	}
	g.env.c.Check(orders, qt.Equals, minPoolServers+g.evictedServers)
	fences := 0
	for name, list := range requestsByLease {
		g.env.c.Check(checkFencing(list), qt.IsNil, qt.Commentf("%s", name))
		fences += int(list[len(list)-1].Fence)
	}
	g.env.c.Check(requestsByLease, qt.HasLen, 3)
	reports := g.env.platform.UsageReports()
	result := porcupine.CheckOperationsTimeout(windowModel.ToModel(), reportHistory(reports), maxWait)
	g.env.c.Check(result, qt.Equals, porcupine.Ok)
	g.env.c.Logf("%d orders, %d reports, %d of %d requests reported, %d fencing tokens",
		orders, len(reports), g.reportedRequests(), g.writtenRequests, fences)
}

// reportedRequests returns the number of requests in the reports, counting each window once.
func (g *controlGroup) reportedRequests() uint64 {
	windows := make(map[string]uint64)
	for _, r := range g.env.platform.UsageReports() {
		windows[r.Window] = 0
		for _, line := range r.Lines {
			windows[r.Window] += line.Requests
		}
	}
	var sum uint64
	for _, requests := range windows {
		sum += requests
	}
	return sum
}

// recordedRequests returns the number of requests in the reports and in the stored parts of
// windows that are not reported yet.
func (g *controlGroup) recordedRequests() uint64 {
	stored := g.storedRequests()
	reported := make(map[string]bool)
	for _, r := range g.env.platform.UsageReports() {
		reported[r.Window] = true
	}
	sum := g.reportedRequests()
	for window, requests := range stored {
		if !reported[window] {
			sum += requests
		}
	}
	return sum
}

// storedRequests returns the number of requests in the usage parts in the platform's table,
// by window. Parts of a window that is already reported may still be there.
func (g *controlGroup) storedRequests() map[string]uint64 {
	rows, err := g.env.platform.Client("observer").Table.List(context.Background(), &table.ListPayload{Prefix: "usage/part/", Limit: 1000})
	g.env.c.Assert(err, qt.IsNil)
	stored := make(map[string]uint64)
	for _, row := range rows {
		var part usage.Part
		g.env.c.Assert(json.Unmarshal(row.Value, &part), qt.IsNil)
		for _, line := range part.Lines {
			stored[usage.FormatWindowStart(part.Window)] += line.Requests
		}
	}
	return stored
}

// maxReportDelay is the maximum time until usage is reported after the clock was set back.
const maxReportDelay = 10 * time.Second

// TestClockJumpDelaysNoUsage guards against usage that waits for the time to which the clock
// had jumped. The wall clock of the daemon that reports usage jumps forward and back; usage
// that is written afterwards must be reported within maxReportDelay.
func TestClockJumpDelaysNoUsage(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 0, engine.Options{}, "")
	g := newControlGroup(env)
	g.start(domain, 0)
	g.addUsage()
	env.eventually("usage is written", func() bool { return g.flushUsage() == nil })
	env.eventually("usage is reported", func() bool { return g.reportedRequests() == g.writtenRequests })
	g.daemons[0].signal(syscall.SIGUSR1)
	time.Sleep(3 * leaseDuration) // the daemon may have to acquire its lease again
	g.daemons[0].signal(syscall.SIGUSR2)
	time.Sleep(leaseDuration)
	g.addUsage()
	env.eventually("usage is written", func() bool { return g.flushUsage() == nil })
	for end := time.Now().Add(maxReportDelay); g.reportedRequests() < g.writtenRequests && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	env.c.Assert(g.reportedRequests(), qt.Equals, g.writtenRequests)
}

// checkFencing returns an error if the fencing token of a call is 0, is lower than that of an
// earlier call, or is used by two holders.
func checkFencing(list []platform.LogEntry) error {
	holders := make(map[uint64]string)
	var fence uint64
	for _, e := range list {
		if e.Fence == 0 || e.Fence < fence {
			return fmt.Errorf("%s of %s with fence %d after %d", e.Method, e.Holder, e.Fence, fence)
		}
		fence = e.Fence
		if holder, ok := holders[fence]; ok && holder != e.Holder {
			return fmt.Errorf("fence %d of %s and of %s", fence, holder, e.Holder)
		}
		holders[fence] = e.Holder
	}
	return nil
}

// windowModel models each usage window as a register that is written once: the first report
// writes it, and all later ones must be equal.
var windowModel = porcupine.NondeterministicModel{
	Partition: partitionByInput,
	Init:      func() []any { return []any{""} },
	Step: func(state, _, output any) []any {
		if state == "" || state == output {
			return []any{output}
		}
		return nil
	},
}

func reportHistory(reports []platform.UsageReport) []porcupine.Operation {
	var history []porcupine.Operation
	for i, r := range reports {
		lines := slices.Clone(r.Lines)
		history = append(history, porcupine.Operation{
			Input: r.Window, Output: fmt.Sprint(lines), Call: int64(2 * i), Return: int64(2*i + 1),
		})
	}
	return history
}
