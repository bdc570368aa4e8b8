// Command controld is the control daemon: it orders backend servers and reports
// usage while it holds the lease for that.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"acaciapath.example/controld/daemon"
	"acaciapath.example/core/finding"
	"acaciapath.example/core/platform"
	"acaciapath.example/core/settings"
	"acaciapath.example/core/telemetry"

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
		Use:           "controld",
		Short:         "Orders backend servers and reports usage",
		Version:       version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := settings.NewFlags(command.Flags(), settings.RoleControl)
	command.RunE = func(command *cobra.Command, _ []string) error {
		loaded, err := flags.Load()
		if err != nil {
			return err
		}
		return run(command.Context(), *loaded)
	}
	return command
}

// run runs the daemon until ctx ends.
func run(ctx context.Context, s settings.Settings) error {
	logger, err := telemetry.NewLogger(s.LogLevel, s.LogFormat, os.Stderr)
	if err != nil {
		return err
	}
	client := platform.New(s.PlatformAddress, s.PlatformTimeout)
	d, err := daemon.New(s, client, logger, daemon.Options{Version: version})
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
	case errors.Is(err, daemon.ErrRelease):
		return exitUnclean
	}
	return exitFailed
}
