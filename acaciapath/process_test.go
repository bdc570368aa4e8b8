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

// Times that end a test that hangs.
const (
	commandTimeout = 2 * time.Minute
	stopTimeout    = time.Minute
)

// root is the directory of the repository.
const root = ".."

// section is the part of README.md that the test follows.
const section = "## As separate processes"

// portPattern matches the ports in README.md and in examples/processes.
var portPattern = regexp.MustCompile(`\b[78][0-9]{3}\b`)

// bench runs the command lines of README.md in a directory of its own, on free
// ports.
type bench struct {
	c *qt.C
	// dir is where command lines run.
	dir string
	// ports are the free ports that take the place of those in README.md.
	ports map[string]string
	// key is what the last key issued is.
	key string
}

// newBench builds the programs and prepares a directory.
func newBench(c *qt.C) *bench {
	b := &bench{c: c, dir: c.TempDir(), ports: make(map[string]string)}
	b.execute(root, "go", "build", "-o", filepath.Join(b.dir, "bin")+"/", "./acaciapath", "./entryd", "./controld", "./standin")
	c.Assert(os.CopyFS(filepath.Join(b.dir, "examples"), os.DirFS(filepath.Join(root, "examples"))), qt.IsNil)
	files, err := filepath.Glob(filepath.Join(b.dir, "examples/processes/*.ini"))
	c.Assert(err, qt.IsNil)
	for _, file := range files {
		text, err := os.ReadFile(file)
		c.Assert(err, qt.IsNil)
		c.Assert(os.WriteFile(file, []byte(b.replacePorts(string(text))), 0o600), qt.IsNil)
	}
	return b
}

// lines returns the command lines of README.md, with free ports.
func (b *bench) lines() []string {
	text, err := os.ReadFile(filepath.Join(root, "README.md"))
	b.c.Assert(err, qt.IsNil)
	_, after, ok := strings.Cut(string(text), section)
	b.c.Assert(ok, qt.IsTrue)
	after, _, _ = strings.Cut(after, "\n## ")
	var lines []string
	for i, block := range strings.Split(after, "```") {
		if i%2 == 1 {
			block = strings.TrimPrefix(block, "sh\n")
			lines = append(lines, strings.Split(strings.TrimSpace(b.replacePorts(block)), "\n")...)
		}
	}
	return lines
}

// port returns the free port that takes the place of one in README.md.
func (b *bench) port(written int) string { return b.replacePorts(strconv.Itoa(written)) }

func (b *bench) replacePorts(text string) string {
	return portPattern.ReplaceAllStringFunc(text, func(written string) string {
		if b.ports[written] == "" {
			b.ports[written] = freePort(b.c)
		}
		return b.ports[written]
	})
}

// freePort returns a port that nothing listens on.
func freePort(c *qt.C) string {
	port, err := loopback.FreePort()
	c.Assert(err, qt.IsNil)
	return strconv.Itoa(port)
}

// execute runs a program in a directory and returns its standard output.
func (b *bench) execute(dir, name string, arguments ...string) string {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, name, arguments...)
	cmd.Dir = dir
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	b.c.Assert(err, qt.IsNil, qt.Commentf("%s %v\n%s%s", name, arguments, out, &stderr))
	return string(out)
}

// run runs a line by the shell and returns its standard output. A line that
// sets KEY sets the bench's key.
func (b *bench) run(line string) string {
	if command, ok := strings.CutPrefix(line, "KEY=$("); ok {
		b.key = strings.TrimSpace(b.execute(b.dir, "sh", "-c", strings.TrimSuffix(command, ")")))
		return b.key
	}
	return b.execute(b.dir, "sh", "-c", "KEY='"+b.key+"'\n"+line)
}

// process is a program that runs until it is told to stop.
type process struct {
	cmd  *exec.Cmd
	line string
	logs logs
}

// start starts the program of a line.
func (b *bench) start(line string) *process {
	fields := strings.Fields(line)
	p := &process{line: line, cmd: exec.Command(filepath.Join(b.dir, fields[0]), fields[1:]...)}
	p.cmd.Dir, p.cmd.Stderr = b.dir, &p.logs
	b.c.Assert(p.cmd.Start(), qt.IsNil)
	b.c.Cleanup(func() {
		if p.cmd.ProcessState == nil {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
		if b.c.Failed() {
			b.c.Logf("%s\n%s", line, p.logs.String())
		}
	})
	return p
}

// interrupt tells the program to stop.
func (p *process) interrupt(c *qt.C) {
	c.Assert(p.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
}

// await waits until the program has ended without an error.
func (p *process) await(c *qt.C) {
	timer := time.AfterFunc(stopTimeout, func() { _ = p.cmd.Process.Kill() })
	defer timer.Stop()
	c.Assert(p.cmd.Wait(), qt.IsNil, qt.Commentf("%s\n%s", p.line, p.logs.String()))
}

// logs is a buffer that is safe for concurrent use.
type logs struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write adds to the logs.
func (l *logs) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns all that was logged.
func (l *logs) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
