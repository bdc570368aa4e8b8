// Package lab runs real daemons as processes beside stand-ins of the platform, for the cases of
// the third review.
package lab

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/loopback"
)

// Exit codes of a case.
const (
	// Held means that the rule held.
	Held = 0
	// Broken means that the rule was broken.
	Broken = 1
	// CannotRun means that the case could not run.
	CannotRun = 2
)

// Times of the lab.
const (
	// readyTimeout bounds the wait until a daemon says that it is ready.
	readyTimeout = 20 * time.Second
	// grace is the time from SIGTERM to SIGKILL (graceS of the small deployments).
	grace = 8 * time.Second
)

// Lab has the stand-ins and the daemons of one case.
type Lab struct {
	// Trouble states that the disruption is to happen.
	Trouble bool
	// Store and Cloud are the platform's stand-ins.
	Store *platformtest.Store
	Cloud *platformtest.CloudAPI
	// Daemons are the entry VMs.
	Daemons []*Daemon

	dir    string
	began  time.Time
	mu     sync.Mutex // guards record
	record *os.File
}

// Daemon is an entry VM with one process.
type Daemon struct {
	// Name is the VM's name, and Zone its failure domain.
	Name, Zone string
	// Callers and Ready are its addresses.
	Callers, Ready string

	lab     *Lab
	config  string
	log     *os.File
	process *exec.Cmd
	exited  chan struct{}
	err     error
}

// New returns a lab that writes record.txt into the folder of the case.
func New(folder string) *Lab {
	l := &Lab{Trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	if l.dir, err = os.MkdirTemp("", "review-third-"); err != nil {
		l.Fail("no temporary folder: %v", err)
	}
	if l.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		l.Fail("no record: %v", err)
	}
	l.Store, l.Cloud = platformtest.NewStore(), platformtest.NewCloudAPI()
	l.Note("trouble=%t", l.Trouble)
	return l
}

// Note writes a line with the time since the start into the record.
func (l *Lab) Note(format string, a ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, a...))
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.record.WriteString(line) // a full disk shows in the missing lines
}

// Fail ends the case, which could not run.
func (l *Lab) Fail(format string, a ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", a...)
	if l.record != nil {
		l.Note("cannot run: "+format, a...)
	}
	l.End(CannotRun)
}

// End ends all processes and the program.
func (l *Lab) End(code int) {
	for _, d := range l.Daemons {
		d.Kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(l.dir) // the system clears the temporary folder otherwise
	} else {
		fmt.Println("logs:", l.dir)
	}
	os.Exit(code)
}

// Verdict records whether the rule held, and ends the program.
func (l *Lab) Verdict(broken bool, format string, a ...any) {
	word, code := "held", Held
	if broken {
		word, code = "BROKEN", Broken
	}
	line := word + ": " + fmt.Sprintf(format, a...)
	l.Note("%s", line)
	fmt.Println(line)
	l.End(code)
}

// Bounds are those of the small deployments.
func Bounds() map[string]any {
	return map[string]any{
		"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 2500, "graceS": 8,
		"lossSlackMs": 200, "configApplyMs": 2500, "rollbackSlackMs": 250, "stretchMaxMs": 6000, "strictRevocation": false,
		"revokeMs": 5000, "retryBudgetRatio": 0.2, "retryWindowS": 10, "retryBudgetExtra": 58, "fencingEnforced": false,
		"leaseMs": 3000, "thawSlackMs": 300, "usageWindowS": 5, "usageTolerance": 0.05, "usageLateS": 10, "recoveryS": 12,
		"deliveryLagMs": 300, "reuseWindowS": 10,
	}
}

// Zones maps failure domains to regions.
var Zones = map[string]string{"quito-a": "sierra", "guayaquil-a": "costa", "cuenca-a": "austro"}

// ZoneNames are the failure domains in a fixed order.
var ZoneNames = []string{"quito-a", "guayaquil-a", "cuenca-a"}

// DaemonOptions change the settings of a daemon.
type DaemonOptions struct {
	// MemoryMB and MaxFDs are the limits of the VM; 0 means those of the small deployments.
	MemoryMB, MaxFDs int
	// Store and Cloud are the addresses by which the daemon reaches them, if not the direct ones.
	Store, Cloud string
	// Duties are the control tasks.
	Duties []string
}

// AddDaemon adds an entry VM with its own loopback address, without starting its process.
func (l *Lab) AddDaemon(zone string, o DaemonOptions) *Daemon {
	n := len(l.Daemons)
	base := loopback.IP().To4()
	ip := net.IPv4(127, base[1], base[2], byte(1+(int(base[3])+n)%254)).String()
	port := func() string {
		p, err := loopback.FreePort()
		if err != nil {
			l.Fail("no free port: %v", err)
		}
		return strconv.Itoa(p)
	}
	if o.MemoryMB == 0 {
		o.MemoryMB = 284
	}
	if o.MaxFDs == 0 {
		o.MaxFDs = 4100
	}
	if o.Store == "" {
		o.Store = l.Store.Address()
	}
	if o.Cloud == "" {
		o.Cloud = l.Cloud.Address()
	}
	d := &Daemon{lab: l, Name: fmt.Sprintf("edge-%s-%d", zone, n), Zone: zone}
	d.Callers, d.Ready = ip+":"+port(), ip+":"+port()
	peer, _ := strconv.Atoi(port()) // a port is a number
	settings, err := json.Marshal(map[string]any{
		"nodeName": d.Name, "role": "entry", "machineClass": "edge", "serves": []string{"edge"}, "ip": ip,
		"zone": zone, "region": Zones[zone], "zones": Zones,
		"listen":    map[string]string{"frontend": d.Callers, "ready": d.Ready},
		"portRange": []int{peer, peer}, "bootstrap": false, "heartbeatMs": 1200,
		"limits":    map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": o.MemoryMB, "maxFds": o.MaxFDs, "linkMbps": 1000},
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "leader", "platform"},
		"bounds":    Bounds(),
		"platform":  map[string]any{"address": o.Store, "form": "table", "writesPerS": 400, "readsPerS": 2000, "rowBytes": 65536, "historyS": 20},
		"cloud":     map[string]any{"address": o.Cloud, "ratePerS": 50, "duties": o.Duties},
	})
	if err != nil {
		l.Fail("settings: %v", err)
	}
	d.config = filepath.Join(l.dir, d.Name+".json")
	if err := os.WriteFile(d.config, settings, 0o600); err != nil {
		l.Fail("settings: %v", err)
	}
	if d.log, err = os.Create(filepath.Join(l.dir, d.Name+".log")); err != nil {
		l.Fail("log: %v", err)
	}
	l.Daemons = append(l.Daemons, d)
	return d
}

// binary returns the program of the deploy file.
func binary() string {
	if path := os.Getenv("ACACIAD"); path != "" {
		return path
	}
	return "target/acaciad"
}

// Start starts the process.
func (d *Daemon) Start() {
	d.process = exec.Command(binary())
	d.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ACACIAPATH_CONFIG=" + d.config}
	d.process.Stdout, d.process.Stderr = d.log, d.log
	d.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.process.Start(); err != nil {
		d.lab.Fail("start %s: %v", d.Name, err)
	}
	process, exited := d.process, make(chan struct{})
	d.exited = exited
	go func() {
		err := process.Wait()
		d.lab.Note("process %d of %s ended: %v", process.Process.Pid, d.Name, err)
		close(exited)
	}()
	d.lab.Note("%s started, process %d, callers at %s", d.Name, process.Process.Pid, d.Callers)
}

// PID returns the id of the process.
func (d *Daemon) PID() int { return d.process.Process.Pid }

// Exited returns a channel that is closed when the process has ended.
func (d *Daemon) Exited() <-chan struct{} { return d.exited }

// HasEnded reports whether the process has ended.
func (d *Daemon) HasEnded() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(s syscall.Signal) {
	d.lab.Note("%s gets signal %v", d.Name, s)
	_ = d.process.Process.Signal(s) // it may have ended
}

// Kill ends the process and waits for that.
func (d *Daemon) Kill() {
	if d.process == nil || d.process.Process == nil {
		return
	}
	_ = d.process.Process.Kill() // it may have ended
	select {
	case <-d.exited:
	case <-time.After(grace):
	}
}

// AwaitReady waits until the daemon says that it is ready.
func (d *Daemon) AwaitReady() {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.IsReady() {
			d.lab.Note("%s is ready", d.Name)
			return
		}
	}
	d.lab.Fail("%s did not become ready", d.Name)
}

// IsReady asks the daemon whether it is ready, within a second.
func (d *Daemon) IsReady() bool {
	c, err := net.DialTimeout("tcp4", d.Ready, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second)) // an error shows in the read
	_, _ = fmt.Fprintf(c, "GET /acaciapath/readyz HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", d.Ready)
	buffer := make([]byte, 64)
	n, _ := c.Read(buffer)
	return strings.HasPrefix(string(buffer[:n]), "HTTP/1.1 200")
}

// MemoryMB returns the resident memory of the process and its peak, in MB.
func (d *Daemon) MemoryMB() (now, peak float64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.PID()))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kb, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "RssAnon:":
			now = kb / 1024
		case "VmHWM:":
			peak = kb / 1024
		}
	}
	return now, peak
}
