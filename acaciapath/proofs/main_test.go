package proofs

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	controld "acaciapath.example/controld/daemon"
	"acaciapath.example/core/lease"
	"acaciapath.example/core/platformapi"
	"acaciapath.example/core/settings"
	"acaciapath.example/core/telemetry"
	entryd "acaciapath.example/entryd/daemon"

	"github.com/sirupsen/logrus"
)

// launchVariable is the environment variable with a launch as JSON. If it is set, the test
// binary runs that daemon.
const launchVariable = "ACACIAPATH_PROOFS_LAUNCH"

// clockJump is how far the wall clock of a control daemon jumps forward on
// SIGUSR1, and back on SIGUSR2.
const clockJump = time.Hour

// controlInterval is the interval of all periodic tasks of a control daemon.
const controlInterval = 30 * time.Millisecond

// launch tells the test binary which daemon to run.
type launch struct {
	Role     settings.Role
	Settings settings.Settings
}

// addresses are the addresses of the ports that a daemon has bound. The daemon's process
// prints them as JSON.
type addresses struct {
	Callers, Peer, Ops string
}

func TestMain(m *testing.M) {
	text := os.Getenv(launchVariable)
	if text == "" {
		os.Exit(m.Run())
	}
	var l launch
	if err := json.Unmarshal([]byte(text), &l); err != nil {
		panic(err)
	}
	if err := l.run(); err != nil {
		fmt.Fprintln(os.Stderr, l.Settings.VMName, err)
		os.Exit(1)
	}
}

// run runs the daemon until SIGTERM. It exits when standard input is closed, so that the
// process does not outlive the test.
func (l launch) run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(1)
	}()
	logger, err := telemetry.NewLogger("error", l.Settings.LogFormat, os.Stderr)
	if err != nil {
		return err
	}
	client := platformapi.New(l.Settings.PlatformAddress, l.Settings.PlatformTimeout)
	if l.Role == settings.RoleControl {
		return l.runControl(ctx, client, logger)
	}
	d, err := entryd.New(l.Settings, client, logger, entryd.Options{})
	if err != nil {
		return err
	}
	printAddresses(addresses{Callers: d.CallersAddress(), Peer: d.PeerAddress(), Ops: d.OpsAddress()})
	return d.Run(ctx)
}

func (l launch) runControl(ctx context.Context, client *platformapi.Client, logger *logrus.Logger) error {
	d, err := controld.New(l.Settings, client, logger, controld.Options{
		Clock:             jumpingClock(),
		ReconcileInterval: controlInterval, UsageCheckInterval: controlInterval, VMListInterval: controlInterval,
	})
	if err != nil {
		return err
	}
	printAddresses(addresses{Peer: d.PeerAddress(), Ops: d.OpsAddress()})
	return d.Run(ctx)
}

func printAddresses(a addresses) {
	if err := json.NewEncoder(os.Stdout).Encode(a); err != nil {
		panic(err)
	}
}

// jumpingClock returns a clock whose wall clock jumps by clockJump on SIGUSR1 and SIGUSR2.
func jumpingClock() lease.Clock {
	var offset atomic.Int64
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		for s := range signals {
			if s == syscall.SIGUSR1 {
				offset.Add(int64(clockJump))
			} else {
				offset.Add(-int64(clockJump))
			}
		}
	}()
	origin := time.Now()
	return func() lease.Instant {
		now := time.Now()
		return lease.Instant{Monotonic: now.Sub(origin), Wall: now.Round(0).Add(time.Duration(offset.Load()))}
	}
}
