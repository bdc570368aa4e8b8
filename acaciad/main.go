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
	// SIGHUP would end the process until it is caught.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	program.Main(newCommand(hangups))
}

// newCommand returns the root command. A signal on hangups makes the daemon check its
// settings file again.
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
	options := daemon.DefaultOptions()
	q := &options.Quarantine
	command.Flags().IntVar(&q.Crashes, "quarantine-crashes", q.Crashes, "model engines that must have ended under a prompt part until its requests are refused; 0 refuses none")
	command.Flags().DurationVar(&q.Memory, "quarantine-memory", q.Memory, "how long a crash under a prompt part is remembered")
	command.Flags().DurationVar(&q.Hold, "quarantine-hold", q.Hold, "how long requests with a quarantined prompt part are refused until one is tried")
	command.Flags().DurationVar(&q.MaxHold, "quarantine-max-hold", q.MaxHold, "longest hold, which doubles with each failed trial")
	command.Flags().DurationVar(&options.LimitMemory, "limit-memory", options.LimitMemory, "how long a limit that a backend server named is remembered without news")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := options.Validate(); err != nil {
			return err
		}
		return run(command.Context(), *level, options, hangups)
	}
	return command
}

// run runs the daemon until ctx is done.
func run(ctx context.Context, level string, options daemon.Options, hangups <-chan os.Signal) error {
	stdout := telemetry.NewNonBlockingWriter(os.Stdout)
	defer stdout.Close()
	logger, err := telemetry.NewLogger(level, telemetry.FormatJSON, stdout)
	if err != nil {
		return err
	}
	path := platform.SettingsPath()
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	watchSettings(ctx, hangups, path, settings, logger)
	return daemon.New(settings, options, logger, time.Now()).Run(ctx)
}

// watchSettings reads the settings file again on each SIGHUP, but does not apply it. It
// logs errors in the file, and whether the addresses that the daemon uses have changed, so
// that it must be restarted.
func watchSettings(ctx context.Context, hangups <-chan os.Signal, path string, current platform.Settings, logger *logrus.Logger) {
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
			}
			reloaded, err := platform.ReadSettings(path)
			if err != nil {
				logger.WithError(err).Error("cannot read the settings file, keeping the current settings")
				continue
			}
			logger.WithField("restart-needed", reloaded.StartupAddresses() != current.StartupAddresses()).Info("settings file read again, not applied until a restart")
		}
	}()
}
