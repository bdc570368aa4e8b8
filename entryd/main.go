package main

import (
	"context"
	"os"
	"time"

	"acaciapath.example/core/platformapi"
	"acaciapath.example/core/program"
	"acaciapath.example/core/settings"
	"acaciapath.example/core/telemetry"
	"acaciapath.example/entryd/daemon"

	"github.com/spf13/cobra"
)

// version is set by the linker.
var version = "development"

// defaultLeaveDelay is how long connections are accepted after the daemon has
// reported that it is not ready.
const defaultLeaveDelay = 5 * time.Second

// traceTimeout limits the export of the last spans.
const traceTimeout = 5 * time.Second

func main() { program.Main(newCommand(), daemon.ErrRequestsCancelled, daemon.ErrUsageNotWritten) }

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

// run runs the daemon until ctx is done.
func run(ctx context.Context, s settings.Settings, leaveDelay time.Duration) error {
	logger, err := telemetry.NewLogger(s.LogLevel, s.LogFormat, os.Stderr)
	if err != nil {
		return err
	}
	tracers, err := telemetry.NewTracerProvider(ctx, s.TraceEndpoint, "entryd", s.VMName)
	if err != nil {
		return err
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), traceTimeout)
		defer cancel()
		_ = tracers.Shutdown(ctx)
	}()
	client := platformapi.New(s.PlatformAddress, s.PlatformTimeout)
	options := daemon.Options{Version: version, TracerProvider: tracers, LeaveDelay: leaveDelay}
	d, err := daemon.New(s, client, logger, options)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
