package proofs

import (
	"bufio"
	"encoding/json"
	"os"
	"os/exec"
	"syscall"
	"time"

	"acaciapath.example/core/settings"

	qt "github.com/frankban/quicktest"
)

// process is a daemon in a process of its own.
type process struct {
	c       *qt.C
	name    string
	command *exec.Cmd
	addresses

	killed bool
	done   chan struct{} // closed once the process has ended with err
	err    error
}

// startProcess starts a daemon and waits until its ports are bound.
func startProcess(c *qt.C, l launch) *process {
	text, err := json.Marshal(l)
	c.Assert(err, qt.IsNil)
	p := &process{c: c, name: l.Settings.VMName, command: exec.Command(os.Args[0]), done: make(chan struct{})}
	p.command.Env = append(os.Environ(), launchVariable+"="+string(text), "GORACE=halt_on_error=1")
	p.command.Stderr = os.Stderr
	stdin, err := p.command.StdinPipe()
	c.Assert(err, qt.IsNil)
	stdout, err := p.command.StdoutPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(p.command.Start(), qt.IsNil)
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	c.Assert(err, qt.IsNil)
	c.Assert(json.Unmarshal(line, &p.addresses), qt.IsNil)
	go func() {
		defer close(p.done)
		defer stdin.Close()
		p.err = p.command.Wait()
	}()
	c.Cleanup(p.end)
	return p
}

// end kills the process, and reports one that ended by itself.
func (p *process) end() {
	if !p.killed {
		select {
		case <-p.done:
			p.c.Errorf("%s ended by itself: %v", p.name, p.err)
		default:
			p.kill()
		}
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.killed = true
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop asks for a graceful shutdown and returns how the process ended.
func (p *process) stop() error {
	p.killed = true
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(patience):
		p.c.Errorf("%s did not stop", p.name)
		p.kill()
	}
	return p.err
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) thaw() { p.signal(syscall.SIGCONT) }

func (p *process) signal(s syscall.Signal) { p.c.Check(p.command.Process.Signal(s), qt.IsNil) }

// entry returns the launch of an entry daemon.
func entry(name, platformAddress string) launch {
	s := settings.Default()
	s.VMName, s.FailureDomain, s.ListenIP, s.PlatformAddress = name, domain, "127.0.0.1", platformAddress
	s.CallersPort, s.PeerPort, s.OpsPort = 0, 0, 0
	s.PlatformTimeout, s.ConfigPollInterval, s.DrainTimeout = callTimeout, 50*time.Millisecond, patience
	s.LeaseDuration = leaseDuration
	return launch{Role: settings.RoleEntry, Settings: s}
}

// control returns the launch of a control daemon.
func control(name, failureDomain, platformAddress string) launch {
	l := entry(name, platformAddress)
	l.Role, l.Settings.FailureDomain = settings.RoleControl, failureDomain
	return l
}
