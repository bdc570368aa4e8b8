// Package program runs the command of a daemon as a process, and its regular work.
package program

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"acaciapath.example/core/finding"

	"github.com/spf13/cobra"
)

// Exit codes of daemons.
const (
	// ExitFailed says that the daemon could not start or had to end.
	ExitFailed = 1
	// ExitInvalidSettings says that the settings have findings.
	ExitInvalidSettings = 2
	// ExitUnclean says that the daemon shut down but left something undone.
	ExitUnclean = 3
)

// Main runs a command until it ends by itself or the process is told to stop,
// which ends the command's context, and exits. Unclean are the errors of a
// shutdown that left something undone.
func Main(command *cobra.Command, unclean ...error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, command, os.Stderr, unclean)
	stop()
	os.Exit(code)
}

// run runs a command and returns the exit code for its end.
func run(ctx context.Context, command *cobra.Command, stderr io.Writer, unclean []error) int {
	err := command.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, err)
	var findings *finding.List
	if errors.As(err, &findings) {
		return ExitInvalidSettings
	}
	for _, target := range unclean {
		if errors.Is(err, target) {
			return ExitUnclean
		}
	}
	return ExitFailed
}
