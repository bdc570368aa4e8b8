// Package fleet starts the daemon of the deploy file as separate processes beside stand-ins of
// the platform, for the cases of the second review.
package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/loopback"
)

// Exit codes of a case.
const (
	Held       = 0
	Broken     = 1
	CannotRun  = 2
	stopTime   = 3 * time.Second
	readyLimit = 15 * time.Second
)

// Host is the host of all routes.
const Host = "fleet.example"

// Fleet is a small deployment: a store, a receiver of duties and daemons.
type Fleet struct {
	Store *platformtest.Store
	Cloud *platformtest.CloudAPI
	VMs   []*VM

	dir   string
	began time.Time

	mu     sync.Mutex // guards the fields below
	record *os.File
	// children are the processes that are killed if this one is told to stop.
	children map[int]*os.Process
}

// VM is a daemon process.
type VM struct {
	Name, Frontend, Ready string

	fleet   *Fleet
	config  string
	log     *os.File
	mu      sync.Mutex // guards the fields below
	process *exec.Cmd
	exited  chan struct{}
}

// New creates a fleet without daemons that records to the file at path.
func New(path string) (*Fleet, error) {
	record, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "acaciapath-review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Store: platformtest.NewStore(), Cloud: platformtest.NewCloudAPI(), dir: dir, began: time.Now(), record: record,
		children: make(map[int]*os.Process),
	}
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stops
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, child := range f.children {
			_ = child.Kill() // it may have ended
		}
		_ = os.RemoveAll(dir)
		os.Exit(CannotRun)
	}()
	return f, nil
}

// Start starts a process that is killed if this one is told to stop. Wait must be called.
func (f *Fleet) Start(process *exec.Cmd) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := process.Start(); err != nil {
		return err
	}
	f.children[process.Process.Pid] = process.Process
	return nil
}

// Wait waits for the end of a process that Start started. How it ended does not matter.
func (f *Fleet) Wait(process *exec.Cmd) {
	_ = process.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.children, process.Process.Pid)
}

// Record writes a line to the record, with the time since the start.
func (f *Fleet) Record(format string, values ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, values...))
}

// Close ends all processes and stand-ins.
func (f *Fleet) Close() {
	for _, v := range f.VMs {
		v.Kill()
		_ = v.log.Close()
	}
	f.Store.Close()
	f.Cloud.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
	_ = f.record.Close()
}

// Options are the settings of a daemon that differ between cases.
type Options struct {
	Name, Zone string
	Zones      map[string]string
	// Store is the address at which the daemon reaches the store.
	Store string
	// Duties are the duties of the daemon.
	Duties []string
	// MemoryMB, MaxFDs, Cores and CPUShare are the limits of the machine.
	MemoryMB, MaxFDs int
	// Bounds replaces some of the bounds.
	Bounds map[string]any
}

// AddVM writes the settings of a daemon. The daemon is not started.
func (f *Fleet) AddVM(o Options) (*VM, error) {
	var addresses [3]string
	for i := range addresses {
		address, err := loopback.FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	between := netip.MustParseAddrPort(addresses[2])
	bounds := map[string]any{
		"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 2500, "graceS": 8,
		"lossSlackMs": 200, "configApplyMs": 2500, "rollbackSlackMs": 250, "stretchMaxMs": 6000, "strictRevocation": false,
		"revokeMs": 5000, "retryBudgetRatio": 0.2, "retryWindowS": 10, "retryBudgetExtra": 58, "fencingEnforced": false,
		"leaseMs": 3000, "thawSlackMs": 300, "usageWindowS": 5, "usageTolerance": 0.05, "usageLateS": 10, "recoveryS": 12,
		"deliveryLagMs": 300, "reuseWindowS": 10,
	}
	for name, value := range o.Bounds {
		bounds[name] = value
	}
	if o.MemoryMB == 0 {
		o.MemoryMB = 284
	}
	if o.MaxFDs == 0 {
		o.MaxFDs = 4100
	}
	settings, err := json.MarshalIndent(map[string]any{
		"nodeName": o.Name, "role": "entry", "machineClass": "edge", "serves": []string{"edge"}, "ip": between.Addr().String(),
		"zone": o.Zone, "region": o.Zones[o.Zone], "zones": o.Zones,
		"listen":    map[string]string{"frontend": addresses[0], "ready": addresses[1]},
		"portRange": []int{int(between.Port()), int(between.Port())}, "bootstrap": true, "countsAsLoss": false,
		"limits":    map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": o.MemoryMB, "maxFds": o.MaxFDs, "linkMbps": 1000.0, "diskMb": 0},
		"discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "leader", "platform"},
		"bounds":    bounds,
		"platform": map[string]any{
			"address": o.Store, "form": "table", "writesPerS": 400, "readsPerS": 2000, "txnMs": 5.0, "partitionWritesS": 200,
			"rowBytes": 65536, "crossPartition": false, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0,
		},
		"cloud": map[string]any{"address": f.Cloud.Address(), "ratePerS": 50.0, "duties": o.Duties, "dutyPerS": 50.0},
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	v := &VM{fleet: f, Name: o.Name, Frontend: addresses[0], Ready: addresses[1], config: filepath.Join(f.dir, o.Name+".json")}
	if err := os.WriteFile(v.config, settings, 0o600); err != nil {
		return nil, err
	}
	if v.log, err = os.Create(filepath.Join(f.dir, o.Name+".log")); err != nil {
		return nil, err
	}
	f.VMs = append(f.VMs, v)
	return v, nil
}

// Start starts the daemon with the command of the deploy file.
func (v *VM) Start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.process = exec.Command("target/acaciad")
	v.process.Env = []string{"ACACIAPATH_CONFIG=" + v.config, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	v.process.Stdout, v.process.Stderr = v.log, v.log
	if err := v.fleet.Start(v.process); err != nil {
		return err
	}
	process, exited := v.process, make(chan struct{})
	v.exited = exited
	go func() {
		v.fleet.Wait(process)
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the daemon.
func (v *VM) Signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		_ = v.process.Process.Signal(s) // it may have ended
	}
}

// Kill kills the daemon and waits for its end.
func (v *VM) Kill() {
	v.Signal(syscall.SIGCONT)
	v.Signal(syscall.SIGKILL)
	if v.exited == nil {
		return
	}
	select {
	case <-v.exited:
	case <-time.After(stopTime):
	}
}
