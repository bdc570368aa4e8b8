package command

import (
	"strings"

	"acaciapath.example/acaciapath/try"
	"acaciapath.example/core/telemetry"

	"github.com/spf13/cobra"
)

// defaultDeployment is the example that try runs.
const defaultDeployment = "sock-club"

// defaultTryLogLevel is the least level that try logs.
const defaultTryLogLevel = "warning"

func (p *program) try() *cobra.Command {
	var deployment, logLevel string
	options := try.Options{Now: p.Now, Random: p.Random}
	cmd := &cobra.Command{
		Use:   "try",
		Short: "Run an example deployment in this process, on stand-ins",
		Long: `Run an example deployment in this process on loopback, with stand-ins of the
platform, the model engines and the plain services, and an entry daemon and a
control daemon for each failure domain. Once all is served, the command prints
"ready" and command lines of curl that can be run as they stand. An interrupt is
a graceful shutdown.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if options.Files, err = try.Files(deployment); err != nil {
				return usageError(err.Error())
			}
			options.Logger, err = telemetry.NewLogger(logLevel, telemetry.FormatText, p.Stderr)
			if err != nil {
				return usageError(err.Error())
			}
			return try.Run(cmd.Context(), options, p.Stdout)
		},
	}
	names := strings.Join(try.Deployments(), " or ")
	cmd.Flags().StringVar(&deployment, "deployment", defaultDeployment, names)
	cmd.Flags().StringVar(&logLevel, "log-level", defaultTryLogLevel, "least level that is logged")
	cmd.Flags().IntVar(&options.CallersPort, "callers-port", 0, "callers' port of the first entry daemon, which the others follow; 0 for any free ones")
	cmd.Flags().IntVar(&options.PlatformPort, "platform-port", 0, "port of the platform; 0 for any free one")
	_ = cmd.RegisterFlagCompletionFunc("deployment", cobra.FixedCompletions(try.Deployments(), cobra.ShellCompDirectiveNoFileComp))
	return cmd
}
