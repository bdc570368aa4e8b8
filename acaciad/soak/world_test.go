package soak_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"acaciapath.example/platform/standin"
	"acaciapath.example/standin/loopback"
	"acaciapath.example/standin/relay"

	qt "github.com/frankban/quicktest"
)

// Sizes of a run.
const (
	daemonCount = 3
	shopCount   = 3
	engineCount = 4
	callerCount = 12
	eventCount  = 12
	// eventPause is the time before an event, so that a stream outlasts the notice
	// of an engine that leaves.
	eventPause = 60 * time.Millisecond
	// grace is how long a daemon that is told to stop may take.
	grace = 8 * time.Second
)

// vm is an entry VM: a daemon behind a link to the store.
type vm struct {
	name    string
	callers string
	config  string
	log     *os.File
	store   *relay.Relay

	mu      sync.Mutex // guards the fields below
	process *exec.Cmd
	exited  chan error
	// killed says that what the daemon had counted may be lost.
	killed bool
	// thawed is when the process was last let go on.
	thawed time.Time
	// stopping says that the daemon was told to stop.
	stopping bool
}

// server is a backend server behind a link.
type server struct {
	*standin.Server
	service string
	link    *relay.Relay
}

// world is a platform of stand-ins with daemons before it.
type world struct {
	*qt.C
	binary  string
	store   *standin.Store
	duties  *standin.Duties
	vms     []*vm
	servers []*server
	version int
}

// newWorld starts everything. Logs go to dir.
func newWorld(c *qt.C, binary, dir string) *world {
	w := &world{C: c, binary: binary, store: standin.NewStore(), duties: standin.NewDuties()}
	c.Cleanup(w.store.Close)
	c.Cleanup(w.duties.Close)
	for i := range shopCount {
		w.addServer(fmt.Sprintf("shop-%d", i), "shop", 0)
	}
	for i := range engineCount {
		w.addServer(fmt.Sprintf("engine-%d", i), "llm", eventCount)
	}
	w.declare(true)
	for i := range daemonCount {
		w.addVM(fmt.Sprintf("vm-%d", i), dir)
	}
	return w
}

func (w *world) newRelay(target string) *relay.Relay {
	r, err := relay.New("127.0.0.1:0")
	w.Assert(err, qt.IsNil)
	r.Retarget(target)
	w.Cleanup(func() { _ = r.Close() })
	return r
}

func (w *world) addServer(id, service string, events int) {
	s := &server{Server: standin.NewServer(id, events), service: service}
	w.Cleanup(s.Close)
	s.SetPause(10 * time.Millisecond)
	if events > 0 {
		s.SetPause(eventPause)
	}
	s.link = w.newRelay(s.Address())
	w.servers = append(w.servers, s)
	w.register(s, "ready")
}

// register writes the entry of a backend server, at the address of its link.
func (w *world) register(s *server, state string) {
	entry := s.Entry(s.service, "z", state)
	entry["address"] = s.link.Address()
	w.store.Write("servers", s.ID, entry)
}

// declare writes the next configuration, with the second key or without it.
func (w *world) declare(second bool) {
	w.version += 3
	route := func(name, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "shop.example", "prefix": "/" + name + "/", "type": kind, "timeoutMs": 1500,
			"targetLatencyMs": 400, "service": service, "maxAttempts": 2, "sessionAffinity": service == "llm",
			"streamResume": name == "reply",
		}
	}
	accounts := []any{map[string]any{"name": "account-a", "apiKeys": []string{"key-a"}}}
	if second {
		accounts = append(accounts, map[string]any{"name": "account-b", "apiKeys": []string{"key-b"}})
	}
	w.store.Write("op", "config", map[string]any{
		"version": w.version,
		"routes": []any{
			route("look", "safe", "shop"), route("order", "unsafe", "shop"),
			route("quote", "streaming", "llm"), route("reply", "streaming", "llm"),
		},
		"services": []any{
			map[string]any{"name": "shop"},
			map[string]any{"name": "llm", "runtime": map[string]any{
				"slots": 8, "stride": 3, "moves": true, "kvTokenBytes": 1000, "linkMbps": 100_000,
			}},
		},
		"limits":  map[string]any{"maxBodyBytes": 1000},
		"tenants": accounts,
	})
}

// freeAddress returns an address that stays free while a daemon is restarted.
func freeAddress(c *qt.C) string {
	address, err := loopback.FreeAddress()
	c.Assert(err, qt.IsNil)
	return address
}

func (w *world) addVM(name, dir string) {
	v := &vm{name: name, callers: freeAddress(w.C), config: filepath.Join(dir, name+".json"), store: w.newRelay(w.store.Address())}
	neighbours, err := netip.ParseAddrPort(freeAddress(w.C))
	w.Assert(err, qt.IsNil)
	port := int(neighbours.Port())
	settings, err := json.Marshal(map[string]any{
		"nodeName": name, "zone": "z", "ip": "127.0.0.1", "zones": map[string]string{"z": "r"},
		"listen":      map[string]string{"frontend": v.callers, "ready": freeAddress(w.C)},
		"limits":      map[string]any{"memoryMb": 500, "maxFds": 4000},
		"heartbeatMs": 1000,
		"portRange":   []int{port, port},
		"bounds": map[string]any{
			"contactMs": 1000, "graceS": grace.Seconds(), "leaseMs": 1000, "usageWindowS": 1, "usageLateS": 4,
			"retryBudgetRatio": 0.2, "retryBudgetExtra": 20, "retryWindowS": 10, "drainMs": 2500,
		},
		"platform": map[string]string{"address": v.store.Address()},
		"cloud":    map[string]any{"address": w.duties.Address(), "duties": []string{"usage_report"}},
	})
	w.Assert(err, qt.IsNil)
	w.Assert(os.WriteFile(v.config, settings, 0o600), qt.IsNil)
	v.log, err = os.Create(filepath.Join(dir, name+".log"))
	w.Assert(err, qt.IsNil)
	w.Cleanup(func() { _ = v.log.Close() })
	w.vms = append(w.vms, v)
	w.Assert(v.start(w.binary), qt.IsNil)
	w.Cleanup(v.kill)
}

// start starts the daemon.
func (v *vm) start(binary string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.process = exec.Command(binary)
	v.process.Env = append(os.Environ(), "ACACIAPATH_CONFIG="+v.config)
	v.process.Stdout, v.process.Stderr = v.log, v.log
	if err := v.process.Start(); err != nil {
		return err
	}
	v.exited, v.stopping = make(chan error, 1), false
	process, exited := v.process, v.exited
	go func() { exited <- process.Wait() }()
	return nil
}

// signal sends a signal to the daemon.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.process.Process.Signal(s) // the process may have ended
	switch s {
	case syscall.SIGKILL:
		v.killed = true
	case syscall.SIGCONT:
		v.thawed = time.Now()
	case syscall.SIGTERM:
		v.stopping = true
	}
}

// kill ends the daemon and waits for its end.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	v.signal(syscall.SIGCONT)
	select {
	case <-v.exited:
	case <-time.After(grace):
	}
}

// build builds the daemon into dir.
func build(t *testing.T, dir string) string {
	binary := filepath.Join(dir, "acaciad")
	out, err := exec.Command("go", "build", "-o", binary, "..").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}
