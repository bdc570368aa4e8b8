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
	// ExitFailed means that the daemon could not start or had to stop.
	ExitFailed = 1
	// ExitInvalidSettings means that there are findings about the settings.
	ExitInvalidSettings = 2
	// ExitUnclean means that the daemon shut down but left work unfinished.
	ExitUnclean = 3
)

// Main runs a command until it ends and exits the process. SIGINT and SIGTERM
// cancel the command's context. The process exits with ExitUnclean if the
// command returns one of the unclean errors, which say that a shutdown left
// work unfinished.
func Main(command *cobra.Command, unclean ...error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, command, os.Stderr, unclean)
	stop()
	os.Exit(code)
}

// run runs a command, prints its error to stderr and returns the exit code.
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
