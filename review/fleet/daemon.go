package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// graceS is the time from SIGTERM to SIGKILL, in seconds (graceS of the sites).
const graceS = 8

// Zones are the zones of a small deployment, with their regions.
var Zones = map[string]string{"quito-a": "sierra", "guayaquil-a": "costa", "cuenca-a": "austro"}

// Daemon is an entry machine: a process with the command of the deploy file, and its links
// to the platform.
type Daemon struct {
	// Name is the name of the machine.
	Name string
	// Frontend and Ready are its addresses for clients and for the platform's check.
	Frontend, Ready string
	// StoreLink and CloudLink are its links to the platform.
	StoreLink, CloudLink *Link

	run      *Run
	settings string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// NewDaemon starts a daemon with the settings of a small deployment (fleetbench wire).
func NewDaemon(run *Run, name, zone string, store *Store, cloud *Cloud) *Daemon {
	address := func() string { return fmt.Sprintf("127.0.0.1:%d", run.freePort()) }
	d := &Daemon{
		Name: name, Frontend: address(), Ready: address(), run: run, settings: filepath.Join(run.Dir, name+".json"),
		StoreLink: NewLink(run, store.Address), CloudLink: NewLink(run, cloud.Address),
	}
	port := run.freePort()
	data, err := json.Marshal(map[string]any{
		"nodeName": name, "role": "entry", "machineClass": "edge", "serves": []string{"edge"},
		"ip": "127.0.0.1", "zone": zone, "region": Zones[zone], "zones": Zones,
		"listen":    map[string]string{"frontend": d.Frontend, "ready": d.Ready},
		"portRange": []int{port, port}, "seeds": []string{}, "bootstrap": false, "countsAsLoss": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": HeartbeatMS,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "leader", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 2500, "graceS": graceS,
			"lossSlackMs": 200, "configApplyMs": 2500, "rollbackSlackMs": 250, "stretchMaxMs": 6000, "strictRevocation": false,
			"revokeMs": 5000, "retryBudgetRatio": 0.2, "retryWindowS": 10, "retryBudgetExtra": 58, "fencingEnforced": false,
			"leaseMs": 3000, "thawSlackMs": 300, "usageWindowS": 5, "usageTolerance": 0.05, "usageLateS": 10, "recoveryS": 12,
			"deliveryLagMs": 300, "reuseWindowS": 10,
		},
		"platform": map[string]any{
			"address": d.StoreLink.Address, "form": "table", "writesPerS": 400, "readsPerS": 2000, "txnMs": 5.0, "partitionWritesS": 200,
			"rowBytes": 65536, "crossPartition": false, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0,
		},
		"cloud": map[string]any{"address": d.CloudLink.Address, "ratePerS": 50.0, "duties": []string{"usage_report", "autoscale"}, "dutyPerS": 50.0},
	})
	if err != nil {
		run.Impossible("settings: %v", err)
	}
	if err := os.WriteFile(d.settings, data, 0o600); err != nil {
		run.Impossible("settings: %v", err)
	}
	run.OnEnd(d.Kill)
	d.Start()
	return d
}

// Start starts the process.
func (d *Daemon) Start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(d.run.logDir(), d.Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		d.run.Impossible("log: %v", err)
	}
	defer log.Close()
	command := exec.Command(d.run.Command[0], d.run.Command[1:]...)
	command.Env = []string{"ACACIAPATH_CONFIG=" + d.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		d.run.Impossible("start %s: %v", d.Name, err)
	}
	exited := make(chan struct{})
	d.command, d.exited = command, exited
	go func() {
		_ = command.Wait() // the code of a killed process says nothing
		close(exited)
	}()
	d.run.Logf("%s started", d.Name)
}

// logDir returns the folder of the logs of processes: LOGS, or the temporary folder.
func (r *Run) logDir() string {
	if dir := os.Getenv("LOGS"); dir != "" {
		return dir
	}
	return r.Dir
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.run.Logf("%s gets %v", d.Name, s)
	_ = d.command.Process.Signal(s) // it may have ended
}

// Stop stops the process as the platform does: SIGTERM, and SIGKILL after the grace period.
func (d *Daemon) Stop() {
	d.Signal(syscall.SIGTERM)
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(graceS * time.Second):
		d.Kill()
	}
	d.run.Logf("%s has ended", d.Name)
}

// Kill kills the process and waits until it has ended.
func (d *Daemon) Kill() {
	d.mu.Lock()
	command, exited := d.command, d.exited
	d.mu.Unlock()
	_ = command.Process.Kill() // it may have ended
	<-exited
}

// Cut cuts the machine off from the platform.
func (d *Daemon) Cut() {
	d.StoreLink.Cut()
	d.CloudLink.Cut()
}

// Heal ends the cut.
func (d *Daemon) Heal() {
	d.StoreLink.Heal()
	d.CloudLink.Heal()
}

// IsReady reports whether the daemon says that it is ready.
func (d *Daemon) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + d.Ready + "/acaciapath/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
