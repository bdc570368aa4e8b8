package daemon_test

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"acaciapath.example/acaciad/daemon"
	"acaciapath.example/core/telemetry"
	"acaciapath.example/platform"

	qt "github.com/frankban/quicktest"
)

// settingsVariable is set in processes that run a daemon instead of the tests, to its settings
// in JSON.
const settingsVariable = "ACACIAD_TEST_SETTINGS"

func TestMain(m *testing.M) {
	if text := os.Getenv(settingsVariable); text != "" {
		if err := runProcess(text); err != nil {
			panic(err)
		}
		return
	}
	os.Exit(m.Run())
}

// runProcess runs a daemon until SIGTERM.
func runProcess(text string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer cancel()
	var s platform.Settings
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		return err
	}
	logger, err := telemetry.NewLogger("info", telemetry.FormatJSON, os.Stdout)
	if err != nil {
		return err
	}
	return daemon.New(s, daemon.DefaultOptions(), logger, time.Now()).Run(ctx)
}

// startProcess starts a daemon in a process of its own, whose exit cuts its connections.
func (d *deployment) startProcess(name string) *runningDaemon {
	r, _ := d.startProcessWith(d.newSettings(name, ""))
	return r
}

// startProcessWith is like startProcess, with other settings. It returns the id of the process
// as well.
func (d *deployment) startProcessWith(s platform.Settings) (r *runningDaemon, pid int) {
	r = &runningDaemon{settings: s, log: &logBuffer{}, exited: make(chan error, 1)}
	text, err := json.Marshal(r.settings)
	d.Assert(err, qt.IsNil)
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), settingsVariable+"="+string(text))
	command.Stdout, command.Stderr = r.log, os.Stderr
	d.Assert(command.Start(), qt.IsNil)
	r.signal = func(sent os.Signal) { _ = command.Process.Signal(sent) } // the process may have ended
	r.stop = func() { r.signal(syscall.SIGTERM) }
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.exited <- command.Wait()
	}()
	d.Cleanup(func() {
		_ = command.Process.Kill() // the process may have ended
		<-ended
	})
	return r, command.Process.Pid
}
