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

// process is a daemon that runs as a separate process.
type process struct {
	c    *qt.C
	name string
	cmd  *exec.Cmd
	addresses

	endedByTest bool          // set when the test kills or stops the process
	done        chan struct{} // closed once the process has ended with err
	err         error
}

// startProcess starts a daemon and waits until it has bound its ports. The process is killed
// at the end of the test.
func startProcess(c *qt.C, l launch) *process {
	text, err := json.Marshal(l)
	c.Assert(err, qt.IsNil)
	p := &process{c: c, name: l.Settings.VMName, cmd: exec.Command(os.Args[0]), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), launchVariable+"="+string(text), "GORACE=halt_on_error=1")
	p.cmd.Stderr = os.Stderr
	stdin, err := p.cmd.StdinPipe()
	c.Assert(err, qt.IsNil)
	stdout, err := p.cmd.StdoutPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(p.cmd.Start(), qt.IsNil)
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	c.Assert(err, qt.IsNil)
	c.Assert(json.Unmarshal(line, &p.addresses), qt.IsNil)
	go func() {
		defer close(p.done)
		defer stdin.Close()
		p.err = p.cmd.Wait()
	}()
	c.Cleanup(p.cleanup)
	return p
}

// cleanup kills the process if it still runs. It fails the test if the process has ended by
// itself.
func (p *process) cleanup() {
	if !p.endedByTest {
		select {
		case <-p.done:
			p.c.Errorf("%s ended by itself: %v", p.name, p.err)
		default:
			p.kill()
		}
	}
}

// kill kills the process and waits until it has ended.
func (p *process) kill() {
	p.endedByTest = true
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop asks the process to shut down gracefully, waits until it has ended and returns its
// error. It kills a process that does not stop within maxWait.
func (p *process) stop() error {
	p.endedByTest = true
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(maxWait):
		p.c.Errorf("%s did not stop", p.name)
		p.kill()
	}
	return p.err
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) resume() { p.signal(syscall.SIGCONT) }

func (p *process) signal(s syscall.Signal) { p.c.Check(p.cmd.Process.Signal(s), qt.IsNil) }

// entryLaunch returns the launch of an entry daemon.
func entryLaunch(name, platformAddress string) launch {
	s := settings.Default()
	s.VMName, s.FailureDomain, s.ListenIP, s.PlatformAddress = name, domain, "127.0.0.1", platformAddress
	s.CallersPort, s.PeerPort, s.OpsPort = 0, 0, 0
	s.PlatformTimeout, s.ConfigPollInterval, s.DrainTimeout = callTimeout, 50*time.Millisecond, maxWait
	s.LeaseDuration = leaseDuration
	return launch{Role: settings.RoleEntry, Settings: s}
}

// controlLaunch returns the launch of a control daemon.
func controlLaunch(name, failureDomain, platformAddress string) launch {
	l := entryLaunch(name, platformAddress)
	l.Role, l.Settings.FailureDomain = settings.RoleControl, failureDomain
	return l
}
