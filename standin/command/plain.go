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
		Short: "Serve a stand-in of a plain service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd, plain.New(options), listen)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, flagListen, anyPort, "IP number and port to listen on")
	flags.StringVar(&options.Name, "name", "", "name of the replica")
	flags.BoolVar(&options.ChecksIdempotency, "check-idempotency", false, "answer a call that was executed before as then")
	flags.DurationVar(&options.ExecutionTime, "execution-time", 0, "how long a call takes to execute")
	return cmd
}
