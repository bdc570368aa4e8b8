package command

import (
	"strings"

	"acaciapath.example/acaciapath/try"
	"acaciapath.example/core/telemetry"

	"github.com/spf13/cobra"
)

// defaultDeployment is the example deployment that try runs by default.
const defaultDeployment = "sock-club"

// defaultTryLogLevel is the default minimum level of the daemons' log lines.
const defaultTryLogLevel = "warning"

func (p *program) try() *cobra.Command {
	var deployment, logLevel string
	options := try.Options{Now: p.Now, Random: p.Random}
	cmd := &cobra.Command{
		Use:   "try",
		Short: "Run an example deployment in this process, with stand-ins",
		Long: `Run an example deployment in this process on loopback, with stand-ins of the
platform, the model engines and the plain services, and an entry daemon and a
control daemon for each failure domain. Once every model and plain service can be
called, the command prints "ready" and curl commands that can be run unchanged. An
interrupt shuts the deployment down gracefully.`,
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
	cmd.Flags().StringVar(&logLevel, "log-level", defaultTryLogLevel, "minimum level of log lines")
	cmd.Flags().IntVar(&options.CallersPort, "callers-port", 0, "callers' port of the first entry daemon; the others use the next ports; 0 for any free ports")
	cmd.Flags().IntVar(&options.PlatformPort, "platform-port", 0, "port of the platform stand-in; 0 for any free port")
	_ = cmd.RegisterFlagCompletionFunc("deployment", cobra.FixedCompletions(try.Deployments(), cobra.ShellCompDirectiveNoFileComp))
	return cmd
}
