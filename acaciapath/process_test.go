package main_test

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
)

// Timeouts of a command or condition, and of the graceful shutdown of a program.
const (
	commandTimeout = 2 * time.Minute
	stopTimeout    = time.Minute
)

// repositoryRoot is the directory of the repository.
const repositoryRoot = ".."

// readmeSection is the heading of the section in README.md whose commands the test runs.
const readmeSection = "## As separate processes"

// portPattern matches the ports in README.md and in examples/processes.
var portPattern = regexp.MustCompile(`\b[78][0-9]{3}\b`)

// commandRunner runs the command lines of README.md in a temporary directory, with free
// ports in place of those in README.md.
type commandRunner struct {
	c *qt.C
	// dir is the directory in which command lines run.
	dir string
	// ports are the free ports by the ports in README.md that they replace.
	ports map[string]string
	// key is the API key that was issued last.
	key string
}

// newCommandRunner builds the programs and copies the examples to a temporary directory.
func newCommandRunner(c *qt.C) *commandRunner {
	r := &commandRunner{c: c, dir: c.TempDir(), ports: make(map[string]string)}
	r.execute(repositoryRoot, "go", "build", "-o", filepath.Join(r.dir, "bin")+"/", "./acaciapath", "./entryd", "./controld", "./standin")
	c.Assert(os.CopyFS(filepath.Join(r.dir, "examples"), os.DirFS(filepath.Join(repositoryRoot, "examples"))), qt.IsNil)
	files, err := filepath.Glob(filepath.Join(r.dir, "examples/processes/*.ini"))
	c.Assert(err, qt.IsNil)
	for _, file := range files {
		text, err := os.ReadFile(file)
		c.Assert(err, qt.IsNil)
		c.Assert(os.WriteFile(file, []byte(r.replacePorts(string(text))), 0o600), qt.IsNil)
	}
	return r
}

// lines returns the command lines in the section of README.md, with free ports.
func (r *commandRunner) lines() []string {
	text, err := os.ReadFile(filepath.Join(repositoryRoot, "README.md"))
	r.c.Assert(err, qt.IsNil)
	_, after, ok := strings.Cut(string(text), readmeSection)
	r.c.Assert(ok, qt.IsTrue)
	after, _, _ = strings.Cut(after, "\n## ")
	var lines []string
	for i, block := range strings.Split(after, "```") {
		if i%2 == 1 {
			block = strings.TrimPrefix(block, "sh\n")
			lines = append(lines, strings.Split(strings.TrimSpace(r.replacePorts(block)), "\n")...)
		}
	}
	return lines
}

// port returns the free port that replaces a port in README.md.
func (r *commandRunner) port(written int) string { return r.replacePorts(strconv.Itoa(written)) }

func (r *commandRunner) replacePorts(text string) string {
	return portPattern.ReplaceAllStringFunc(text, func(written string) string {
		if r.ports[written] == "" {
			r.ports[written] = freePort(r.c)
		}
		return r.ports[written]
	})
}

// freePort returns a port that nothing listens on.
func freePort(c *qt.C) string {
	port, err := loopback.FreePort()
	c.Assert(err, qt.IsNil)
	return strconv.Itoa(port)
}

// execute runs a program in a directory and returns its standard output.
func (r *commandRunner) execute(dir, name string, arguments ...string) string {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, name, arguments...)
	cmd.Dir = dir
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	r.c.Assert(err, qt.IsNil, qt.Commentf("%s %v\n%s%s", name, arguments, out, &stderr))
	return string(out)
}

// run runs a command line in a shell and returns its standard output. A line that sets KEY
// sets r.key.
func (r *commandRunner) run(line string) string {
	if command, ok := strings.CutPrefix(line, "KEY=$("); ok {
		r.key = strings.TrimSpace(r.execute(r.dir, "sh", "-c", strings.TrimSuffix(command, ")")))
		return r.key
	}
	return r.execute(r.dir, "sh", "-c", "KEY='"+r.key+"'\n"+line)
}

// process is a program that runs until it is stopped.
type process struct {
	cmd  *exec.Cmd
	line string
	logs logBuffer
}

// start starts the program of a command line. If the test fails, its logs are printed.
func (r *commandRunner) start(line string) *process {
	fields := strings.Fields(line)
	p := &process{line: line, cmd: exec.Command(filepath.Join(r.dir, fields[0]), fields[1:]...)}
	p.cmd.Dir, p.cmd.Stderr = r.dir, &p.logs
	r.c.Assert(p.cmd.Start(), qt.IsNil)
	r.c.Cleanup(func() {
		if p.cmd.ProcessState == nil {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
		if r.c.Failed() {
			r.c.Logf("%s\n%s", line, p.logs.String())
		}
	})
	return p
}

// interrupt asks the program to shut down gracefully.
func (p *process) interrupt(c *qt.C) {
	c.Assert(p.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
}

// awaitExit waits until the program has ended, and fails the test if it ended with an
// error. It kills the program after stopTimeout.
func (p *process) awaitExit(c *qt.C) {
	timer := time.AfterFunc(stopTimeout, func() { _ = p.cmd.Process.Kill() })
	defer timer.Stop()
	c.Assert(p.cmd.Wait(), qt.IsNil, qt.Commentf("%s\n%s", p.line, p.logs.String()))
}

// logBuffer is a buffer that is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends p to the buffer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns everything that was written.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
