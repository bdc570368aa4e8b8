package command

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"acaciapath.example/acaciapath/output"
	"acaciapath.example/core/config"
	"acaciapath.example/core/finding"
	"acaciapath.example/core/platformapi"
	"acaciapath.example/core/revision"
	"acaciapath.example/core/settings"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
)

// Environment holds the inputs and outputs of the commands other than arguments and
// settings.
type Environment struct {
	// Stdout receives the results.
	Stdout io.Writer
	// Stderr receives errors, findings and logs.
	Stderr io.Writer
	// Now returns the current time.
	Now func() time.Time
	// Random is the source of randomness for keys.
	Random io.Reader
	// Author is the default author of new revisions: the operator's name.
	Author string
}

// program holds the state of one invocation of the command line.
type program struct {
	Environment
	settings *settings.Flags
	format   output.Format
	// commandStarted is true once the arguments have been parsed and the command
	// itself has started.
	commandStarted bool
}

// Run runs the command line with the given arguments, without the program's
// name, and returns its exit status.
func Run(ctx context.Context, environment Environment, arguments []string) Exit {
	p := &program{Environment: environment, format: output.Table}
	root := p.root()
	root.SetArgs(arguments)
	err := root.ExecuteContext(ctx)
	p.printError(err)
	return exitStatusOf(err, p.commandStarted)
}

// root returns the root command with all subcommands.
func (p *program) root() *cobra.Command {
	root := &cobra.Command{
		Use:   "acaciapath",
		Short: "Operate a router for language-model traffic",
		Long: `Operate a router for language-model traffic.

Exit status: 0 success; 1 other failure; 2 invalid arguments or settings; 3 the
folder has findings; 4 the base of the change is not the newest revision; 5 the
platform is unavailable; 6 some daemons did not answer or did not confirm the
revision.`,
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			if err := cmd.ValidateRequiredFlags(); err != nil {
				return err
			}
			p.commandStarted = true
			return nil
		},
		RunE: runGroup,
	}
	root.SetOut(p.Stdout)
	root.SetErr(p.Stderr)
	flags := root.PersistentFlags()
	p.settings = settings.NewFlags(flags, settings.RoleCommand)
	flags.VarP(&p.format, "output", "o", "format of the results: table or json")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(
		[]string{string(output.Table), string(output.JSON)}, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(
		p.check(), p.apply(), p.pull(), p.diff(), p.show(), p.history(),
		p.status(), p.keys(), p.explain(), p.try(), p.version(),
	)
	return root
}

// exactArgs requires one argument for each name. The names are used in the error
// message.
func exactArgs(names ...string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) == len(names) {
			return nil
		}
		return usageError(fmt.Sprintf("expected %s, got %d arguments", strings.Join(names, " and "), len(args)))
	}
}

// runGroup runs a command that only has subcommands: it prints the help and returns
// ErrUsage.
func runGroup(cmd *cobra.Command, _ []string) error {
	_ = cmd.Help()
	return merry.Wrap(ErrUsage, merry.AppendMessage("no subcommand given"))
}

// usageError returns ErrUsage with a message.
func usageError(message string) error {
	return merry.Wrap(ErrUsage, merry.AppendMessage(message))
}

// printError prints an error to standard error, or all findings if it holds findings.
func (p *program) printError(err error) {
	if err == nil {
		return
	}
	var findings *finding.List
	if errors.As(err, &findings) {
		fmt.Fprintln(p.Stderr, findings.Error())
		return
	}
	fmt.Fprintln(p.Stderr, "acaciapath:", err.Error())
	if hint := hintFor(err); hint != "" {
		fmt.Fprintln(p.Stderr, hint)
	}
	if exitStatusOf(err, p.commandStarted) == ExitUsage {
		fmt.Fprintln(p.Stderr, "Run with --help for usage.")
	}
}

// printResult prints a result to standard output in the format of the --output flag.
func (p *program) printResult(result output.Result) error {
	return output.Print(p.Stdout, p.format, result)
}

// clients are used to call the platform and the daemons.
type clients struct {
	platform *platformapi.Client
	store    *revision.Store
	// tls is the TLS configuration for the daemons' peer ports; nil means no TLS.
	tls *tls.Config
}

// connect returns clients for the addresses in the settings. It returns ErrUsage if
// the settings or the TLS files are invalid.
func (p *program) connect() (*clients, error) {
	loaded, err := p.settings.Load()
	if err != nil {
		return nil, usageError("settings:\n" + err.Error())
	}
	secure, err := loaded.TLS.Load()
	if err != nil {
		return nil, usageError(err.Error())
	}
	client := platformapi.New(loaded.PlatformAddress, loaded.PlatformTimeout)
	return &clients{platform: client, store: revision.NewStore(client), tls: secure}, nil
}

// readFolder returns the files of a folder and the configuration that they declare.
// If there are findings, its error is a *finding.List.
func readFolder(dir string) ([]config.File, *config.Config, error) {
	files, err := config.ReadFolder(dir)
	if err != nil {
		return nil, nil, err
	}
	parsed, err := config.Parse(files)
	return files, parsed, err
}
