package command

import (
	"acaciapath.example/standin/plain"

	"github.com/spf13/cobra"
)

func newPlain() *cobra.Command {
	var options plain.Options
	var listen string
	cmd := &cobra.Command{
		Use:   "plain",
		Short: "Serve a simulated plain service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd, plain.New(options), listen)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, listenFlag, defaultListenAddress, "IP address and port to listen on")
	flags.StringVar(&options.Name, "name", "", "name of the replica")
	flags.BoolVar(&options.ChecksIdempotency, "check-idempotency", false, "replay the earlier response to a repeated idempotency key")
	flags.DurationVar(&options.ExecutionTime, "execution-time", 0, "duration of the execution of a call")
	return cmd
}
