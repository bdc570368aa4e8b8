// Command entryd is the entry daemon: it terminates callers, checks their keys,
// admits, queues and routes their requests to backend servers, streams the
// answers back and meters what ran.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"acaciapath.example/core/finding"
	"acaciapath.example/core/platform"
	"acaciapath.example/core/settings"
	"acaciapath.example/core/telemetry"
	"acaciapath.example/entryd/daemon"

	"github.com/spf13/cobra"
)

// version is set by the linker.
var version = "development"

// Exit codes.
const (
	exitFailed   = 1
	exitFindings = 2
	exitUnclean  = 3
)

// defaultLeaveDelay is how long connections are accepted after the daemon has
// said that it is not ready.
const defaultLeaveDelay = 5 * time.Second

// traceTimeout bounds the export of the last spans.
const traceTimeout = 5 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := newCommand().ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	stop()
	os.Exit(exitCode(err))
}

// newCommand returns the program's command.
func newCommand() *cobra.Command {
	command := &cobra.Command{
		Use:           "entryd",
		Short:         "Routes callers' requests to backend servers",
		Version:       version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := settings.NewFlags(command.Flags(), settings.RoleEntry)
	leaveDelay := command.Flags().Duration("leave-delay", defaultLeaveDelay,
		"how long connections are accepted after the daemon has said that it is not ready")
	command.RunE = func(command *cobra.Command, _ []string) error {
		loaded, err := flags.Load()
		if err != nil {
			return err
		}
		return run(command.Context(), *loaded, *leaveDelay)
	}
	return command
}

// run runs the daemon until ctx ends.
func run(ctx context.Context, s settings.Settings, leaveDelay time.Duration) error {
	logger, err := telemetry.NewLogger(s.LogLevel, s.LogFormat, os.Stderr)
	if err != nil {
		return err
	}
	tracers, err := telemetry.NewTracerProvider(ctx, s.TraceEndpoint, "entryd", s.Name)
	if err != nil {
		return err
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), traceTimeout)
		defer cancel()
		_ = tracers.Shutdown(ctx)
	}()
	client := platform.New(s.PlatformAddress, s.PlatformTimeout)
	options := daemon.Options{Version: version, Tracers: tracers, LeaveDelay: leaveDelay}
	d, err := daemon.New(s, client, logger, options)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

// exitCode returns the exit code for the end of the program.
func exitCode(err error) int {
	var findings *finding.List
	switch {
	case err == nil:
		return 0
	case errors.As(err, &findings):
		return exitFindings
	case errors.Is(err, daemon.ErrCut), errors.Is(err, daemon.ErrUsage):
		return exitUnclean
	}
	return exitFailed
}
