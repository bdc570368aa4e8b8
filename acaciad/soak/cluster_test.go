package soak_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"acaciapath.example/platform/platformtest"
	"acaciapath.example/standin/loopback"
	"acaciapath.example/standin/relay"

	qt "github.com/frankban/quicktest"
)

// Parameters of a run.
const (
	daemonCount = 3
	// largeDaemonCount is enough for one daemon to read the store for the others.
	largeDaemonCount = 9
	shopCount        = 3
	engineCount      = 4
	callerCount      = 12
	eventCount       = 12
	// eventPause is the time before each event. It is long enough for a stream to
	// outlast the notice of a draining engine.
	eventPause = 60 * time.Millisecond
	// shutdownGrace is the time within which a daemon must exit after SIGTERM.
	shutdownGrace = 8 * time.Second
)

// vm is an entry VM: a daemon process, and its links to the store and to the cloud API.
type vm struct {
	name                 string
	callersAddress       string
	configPath           string
	log                  *os.File
	storeLink, cloudLink *relay.Relay

	mu sync.Mutex // guards the fields below
	// binary is the daemon that is started next.
	binary  string
	process *exec.Cmd
	exited  chan error
	// killed states that the daemon was killed, so that usage may be lost.
	killed bool
	// resumedAt is when the process was last resumed from a suspension.
	resumedAt time.Time
	// stopping states that the daemon received SIGTERM.
	stopping bool
}

// server is a backend server and the link through which it is reached.
type server struct {
	*platformtest.Server
	service string
	// version is the version of its software.
	version string
	link    *relay.Relay
	// gone states that it was replaced for good.
	gone bool
}

// cluster is a platform of stand-ins with daemons.
type cluster struct {
	*qt.C
	binary  string
	dir     string
	store   *platformtest.Store
	cloud   *platformtest.CloudAPI
	servers []*server
	version int

	mu sync.Mutex // guards vms
	// vms are the VMs that callers use.
	vms []*vm

	// written is held while the operator or a backend server writes, and while the store is
	// restored from a copy.
	written sync.Mutex
}

// newCluster starts the stand-ins and a number of daemons, which log to files in dir.
func newCluster(c *qt.C, binary, dir string, daemons int) *cluster {
	cl := &cluster{C: c, binary: binary, dir: dir, store: platformtest.NewStore(), cloud: platformtest.NewCloudAPI()}
	c.Cleanup(cl.store.Close)
	c.Cleanup(cl.cloud.Close)
	for i := range shopCount {
		cl.addServer(fmt.Sprintf("shop-%d", i), "shop", "v1", 0)
	}
	for i := range engineCount {
		cl.addServer(fmt.Sprintf("engine-%d", i), "llm", "v1", eventCount)
	}
	cl.writeConfig(true)
	for i := range daemons {
		cl.addVM(fmt.Sprintf("vm-%d", i), binary)
	}
	return cl
}

// newLink starts a link to target, on which faults can be injected.
func (cl *cluster) newLink(target string) *relay.Relay {
	r, err := relay.New(loopback.IP().String() + ":0")
	cl.Assert(err, qt.IsNil)
	r.SetTarget(target)
	cl.Cleanup(func() { _ = r.Close() })
	return r
}

// addServer starts a backend server whose streams have the given number of events, and
// registers it.
func (cl *cluster) addServer(id, service, version string, events int) {
	s := &server{Server: platformtest.NewServer(id, events), service: service, version: version}
	cl.Cleanup(s.Close)
	s.SetPause(10 * time.Millisecond)
	if events > 0 {
		s.SetPause(eventPause)
	}
	s.link = cl.newLink(s.Address())
	cl.servers = append(cl.servers, s)
	cl.register(s, "ready")
}

// register writes the entry of a backend server, with the address of its link.
func (cl *cluster) register(s *server, state string) {
	entry := s.Entry(s.service, "z", state)
	entry["address"], entry["version"] = s.link.Address(), s.version
	cl.written.Lock()
	defer cl.written.Unlock()
	cl.store.Write("servers", s.ID, entry)
}

// unregister removes the entry of a backend server.
func (cl *cluster) unregister(s *server) {
	cl.written.Lock()
	defer cl.written.Unlock()
	cl.store.Remove("servers", s.ID)
}

// restoreStore restores the store from a copy. The operator and the backend servers then
// write again what they wrote since.
func (cl *cluster) restoreStore(backup *platformtest.Backup) {
	cl.written.Lock()
	defer cl.written.Unlock()
	current := map[string][]platformtest.Row{"op": cl.store.Rows("op", ""), "servers": cl.store.Rows("servers", "")}
	cl.store.Restore(backup)
	for name, rows := range current {
		keys := make(map[string]bool)
		for _, row := range rows {
			keys[row.Key] = true
			cl.store.WriteBytes(name, row.Key, row.Data)
		}
		for _, row := range cl.store.Rows(name, "") {
			if !keys[row.Key] {
				cl.store.Remove(name, row.Key)
			}
		}
	}
}

// writeConfig writes the next configuration, with or without the second key.
func (cl *cluster) writeConfig(secondKey bool) {
	cl.version += 3
	route := func(name, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "shop.example", "prefix": "/" + name + "/", "type": kind, "timeoutMs": 1500,
			"targetLatencyMs": 400, "service": service, "maxAttempts": 2, "sessionAffinity": service == "llm",
			"streamResume": name == "reply",
		}
	}
	accounts := []any{map[string]any{"name": "account-a", "apiKeys": []string{"key-a"}}}
	if secondKey {
		accounts = append(accounts, map[string]any{"name": "account-b", "apiKeys": []string{"key-b"}})
	}
	cl.written.Lock()
	defer cl.written.Unlock()
	cl.store.Write("op", "config", map[string]any{
		"version": cl.version,
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

// pickVM returns one of the VMs that callers use.
func (cl *cluster) pickVM(random *rand.Rand) *vm {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.vms[random.IntN(len(cl.vms))]
}

// addVM writes the settings of a daemon and starts it.
func (cl *cluster) addVM(name, binary string) {
	v := &vm{
		name: name, binary: binary, callersAddress: freeAddress(cl.C), configPath: filepath.Join(cl.dir, name+".json"),
		storeLink: cl.newLink(cl.store.Address()), cloudLink: cl.newLink(cl.cloud.Address()),
	}
	neighbours, err := netip.ParseAddrPort(freeAddress(cl.C))
	cl.Assert(err, qt.IsNil)
	port := int(neighbours.Port())
	settings, err := json.Marshal(map[string]any{
		"nodeName": name, "zone": "z", "ip": "127.0.0.1", "zones": map[string]string{"z": "r"},
		"listen":      map[string]string{"frontend": v.callersAddress, "ready": freeAddress(cl.C)},
		"limits":      map[string]any{"memoryMb": 500, "maxFds": 4000},
		"heartbeatMs": 1000,
		"portRange":   []int{port, port},
		"bounds": map[string]any{
			"contactMs": 1000, "graceS": shutdownGrace.Seconds(), "leaseMs": 1000, "usageWindowS": 1, "usageLateS": 4,
			"retryBudgetRatio": 0.2, "retryBudgetExtra": 20, "retryWindowS": 10, "drainMs": 2500,
		},
		"platform": map[string]string{"address": v.storeLink.Address()},
		"cloud":    map[string]any{"address": v.cloudLink.Address(), "duties": []string{"usage_report"}},
	})
	cl.Assert(err, qt.IsNil)
	cl.Assert(os.WriteFile(v.configPath, settings, 0o600), qt.IsNil)
	v.log, err = os.Create(filepath.Join(cl.dir, name+".log"))
	cl.Assert(err, qt.IsNil)
	cl.Cleanup(func() { _ = v.log.Close() })
	cl.Assert(v.start(), qt.IsNil)
	cl.mu.Lock()
	cl.vms = append(cl.vms, v)
	cl.mu.Unlock()
	cl.Cleanup(v.kill)
}

// start starts the daemon process.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.process = exec.Command(v.binary)
	v.process.Env = append(os.Environ(), "ACACIAPATH_CONFIG="+v.configPath)
	v.process.Stdout, v.process.Stderr = v.log, v.log
	if err := v.process.Start(); err != nil {
		return err
	}
	v.exited, v.stopping = make(chan error, 1), false
	process, exited := v.process, v.exited
	go func() { exited <- process.Wait() }()
	return nil
}

// setBinary has another daemon started next.
func (v *vm) setBinary(binary string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.binary = binary
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
		v.resumedAt = time.Now()
	case syscall.SIGTERM:
		v.stopping = true
	}
}

// kill kills the daemon and waits until it has exited.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	v.signal(syscall.SIGCONT)
	select {
	case <-v.exited:
	case <-time.After(shutdownGrace):
	}
}

// build builds the daemon into dir and returns the path of the binary.
func build(t *testing.T, dir string) string {
	binary := filepath.Join(dir, "acaciad")
	out, err := exec.Command("go", "build", "-o", binary, "..").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}
