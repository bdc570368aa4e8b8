package main

import (
	"context"
	"os"

	"acaciapath.example/controld/daemon"
	"acaciapath.example/core/platformapi"
	"acaciapath.example/core/program"
	"acaciapath.example/core/settings"
	"acaciapath.example/core/telemetry"

	"github.com/spf13/cobra"
)

// version is the version of the program, set by the linker.
var version = "development"

func main() { program.Main(newCommand(), daemon.ErrLeaseNotReleased) }

// newCommand returns the command that loads the settings and runs the daemon.
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

// run runs the daemon until ctx ends and it has shut down.
func run(ctx context.Context, s settings.Settings) error {
	logger, err := telemetry.NewLogger(s.LogLevel, s.LogFormat, os.Stderr)
	if err != nil {
		return err
	}
	client := platformapi.New(s.PlatformAddress, s.PlatformTimeout)
	d, err := daemon.New(s, client, logger, daemon.Options{Version: version})
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
