// Command acaciad is the daemon of an entry VM on the users' platform: it serves
// callers and takes part in the duties towards the platform.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"acaciapath.example/acaciad/daemon"
	"acaciapath.example/core/program"
	"acaciapath.example/core/telemetry"
	"acaciapath.example/platform"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
)

// version is set by the linker.
var version = "development"

func main() {
	// Without a handler a hangup ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	program.Main(newCommand(hangups))
}

// newCommand returns the program's command.
func newCommand(hangups <-chan os.Signal) *cobra.Command {
	command := &cobra.Command{
		Use:           "acaciad",
		Short:         "Serves callers on an entry VM of the platform",
		Long:          "Serves callers on an entry VM of the platform. The settings file is the one that\n" + platform.SettingsPathEnv + " names.",
		Version:       version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	level := command.Flags().String("log-level", "info", "least severity that is logged: error, warning, info or debug")
	command.RunE = func(command *cobra.Command, _ []string) error { return run(command.Context(), *level, hangups) }
	return command
}

// run runs the daemon until ctx ends.
func run(ctx context.Context, level string, hangups <-chan os.Signal) error {
	output := telemetry.NewBounded(os.Stdout)
	defer output.Close()
	logger, err := telemetry.NewLogger(level, telemetry.FormatJSON, output)
	if err != nil {
		return err
	}
	path := platform.SettingsPath()
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	watchSettings(ctx, hangups, path, settings, logger)
	return daemon.New(settings, logger, time.Now()).Run(ctx)
}

// watchSettings reads the settings file anew on SIGHUP and says what changed.
func watchSettings(ctx context.Context, hangups <-chan os.Signal, path string, running platform.Settings, logger *logrus.Logger) {
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
			}
			reloaded, err := platform.ReadSettings(path)
			if err != nil {
				logger.WithError(err).Error("settings not reloaded, those in force stay")
				continue
			}
			logger.WithField("restart-needed", reloaded.StartupAddresses() != running.StartupAddresses()).Info("settings reloaded")
		}
	}()
}
