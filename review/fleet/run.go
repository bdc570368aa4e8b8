// Package fleet has the stand-ins of the cases: a platform, replicas and clients that
// follow the users' pages, and the daemon of the deploy file as separate processes.
// All of them use loopback addresses and the real clock.
package fleet

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld       = 0
	exitBroken     = 1
	exitImpossible = 2
)

// runLimit bounds a case.
const runLimit = 115 * time.Second

// Run is one run of a case.
type Run struct {
	// Trouble states that the disruption is played (TROUBLE is not 0).
	Trouble bool
	// Dir is a temporary folder.
	Dir string
	// Command is the command of the deploy file that starts the daemon.
	Command []string

	began time.Time

	// ports are those that freePort has returned.
	ports map[int]bool

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	ends   []func()
}

// Main runs a case: its first argument is the file for the record. play returns whether
// the rule was broken.
func Main(play func(run *Run) (broken bool)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE RECORD")
		os.Exit(exitImpossible)
	}
	file, err := os.Create(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitImpossible)
	}
	run := &Run{Trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), ports: make(map[int]bool), file: file, record: bufio.NewWriter(file)}
	if run.Dir, err = os.MkdirTemp("", "review-"); err != nil {
		run.Impossible("temporary folder: %v", err)
	}
	run.OnEnd(func() { _ = os.RemoveAll(run.Dir) })
	run.readCommand()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			run.Impossible("interrupted")
		case <-time.After(runLimit):
			run.Impossible("not finished within %s", runLimit)
		}
	}()
	run.Logf("trouble=%t", run.Trouble)
	if play(run) {
		run.Logf("result: the rule was broken")
		run.exit(exitBroken)
	}
	run.Logf("result: the rule held")
	run.exit(exitHeld)
}

// readCommand reads the command of the deploy file.
func (r *Run) readCommand() {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		r.Impossible("deploy file: %v", err)
	}
	for line := range strings.Lines(string(data)) {
		if command, ok := strings.CutPrefix(strings.TrimSpace(line), `run = "`); ok {
			r.Command = strings.Fields(strings.TrimSuffix(command, `"`))
		}
	}
	if len(r.Command) == 0 {
		r.Impossible("the deploy file has no command")
	}
	if _, err := os.Stat(filepath.FromSlash(r.Command[0])); err != nil {
		r.Impossible("the deploy file's build has not run: %v", err)
	}
}

// Logf writes a line to the record, with the time since the start in milliseconds.
func (r *Run) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%6d ", time.Since(r.began).Milliseconds())
	fmt.Fprintf(r.record, format+"\n", args...)
}

// OnEnd adds a function that is called when the run ends, the last one first.
func (r *Run) OnEnd(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, f)
}

// Impossible ends the run because the case could not be played.
func (r *Run) Impossible(format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	fmt.Fprintln(os.Stderr, message)
	r.Logf("result: could not run: %s", message)
	r.exit(exitImpossible)
}

// exit ends everything that the run started, and the process.
func (r *Run) exit(code int) {
	r.mu.Lock()
	ends := r.ends
	r.ends = nil
	r.mu.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
	r.mu.Lock()
	_ = r.record.Flush()
	_ = r.file.Close()
	os.Exit(code)
}

// Await waits until a condition holds, and ends the run if it does not within the limit.
func (r *Run) Await(limit time.Duration, what string, condition func() bool) {
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			r.Impossible("%s: not within %s", what, limit)
		}
	}
}

// serve serves HTTP on a free loopback port until the run ends, and returns its address.
func (r *Run) serve(handler http.Handler) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		r.Impossible("listen: %v", err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	r.OnEnd(func() { _ = server.Close() })
	return listener.Addr().String()
}

// Ports of daemons lie below those that the kernel gives to outgoing connections, so that a
// port stays free while its daemon is restarted.
const (
	lowestPort  = 12_000
	highestPort = 30_000
	// portTries is the number of ports that are tried.
	portTries = 1000
)

// freePort returns a port on which nothing listens, and which was not returned before.
func (r *Run) freePort() int {
	for range portTries {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		if r.ports[port] {
			continue
		}
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = listener.Close() // nothing was accepted
		r.ports[port] = true
		return port
	}
	r.Impossible("no free port")
	return 0
}
