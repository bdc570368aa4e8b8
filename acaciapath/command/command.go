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
	"acaciapath.example/core/platform"
	"acaciapath.example/core/revision"
	"acaciapath.example/core/settings"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
)

// Environment is what the commands use of the world around them.
type Environment struct {
	// Stdout takes results.
	Stdout io.Writer
	// Stderr takes errors, findings and logs.
	Stderr io.Writer
	// Now returns the present time.
	Now func() time.Time
	// Random is the source of keys.
	Random io.Reader
	// Author is the operator's name, which revisions are stored with.
	Author string
}

// program is one run of the command line.
type program struct {
	Environment
	settings *settings.Flags
	format   output.Format
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

// root returns the command that all others are below.
func (p *program) root() *cobra.Command {
	root := &cobra.Command{
		Use:   "acaciapath",
		Short: "Operate a router for language-model traffic",
		Long: `Operate a router for language-model traffic.

Exit status: 0 success; 1 failure; 2 wrong usage or settings; 3 the folder has
findings; 4 the change was not made against the newest revision; 5 the platform
does not answer; 6 some daemons did not answer or confirm.`,
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
	flags.VarP(&p.format, "output", "o", "form of the results: table or json")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(
		[]string{string(output.Table), string(output.JSON)}, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(
		p.check(), p.apply(), p.pull(), p.diff(), p.show(), p.history(),
		p.status(), p.keys(), p.explain(), p.try(), p.version(),
	)
	return root
}

// exactArgs takes as many arguments as there are names.
func exactArgs(names ...string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) == len(names) {
			return nil
		}
		return usageError(fmt.Sprintf("expected %s, got %d arguments", strings.Join(names, " and "), len(args)))
	}
}

// group is what a command that only holds others does.
func runGroup(cmd *cobra.Command, _ []string) error {
	_ = cmd.Help()
	return merry.Wrap(ErrUsage, merry.AppendMessage("a command is missing"))
}

// usage returns an error of usage.
func usageError(message string) error {
	return merry.Wrap(ErrUsage, merry.AppendMessage(message))
}

// report prints an error, or all findings of it.
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
		fmt.Fprintln(p.Stderr, "Run with --help to see how it is used.")
	}
}

// print prints a result in the format that was asked for.
func (p *program) printResult(result output.Result) error {
	return output.Print(p.Stdout, p.format, result)
}

// ports are the ways to the platform and to the daemons.
type clients struct {
	platform *platform.Client
	store    *revision.Store
	// tls is for peers' ports; nil means no TLS.
	tls *tls.Config
}

// connect returns the ports that the settings name. It returns ErrUsage.
func (p *program) connect() (*clients, error) {
	loaded, err := p.settings.Load()
	if err != nil {
		return nil, usageError("settings:\n" + err.Error())
	}
	secure, err := loaded.TLS.Load()
	if err != nil {
		return nil, usageError(err.Error())
	}
	client := platform.New(loaded.PlatformAddress, loaded.PlatformTimeout)
	return &clients{platform: client, store: revision.NewStore(client), tls: secure}, nil
}

// read returns the files of a folder and the configuration that they declare.
// Its error holds the findings.
func readFolder(dir string) ([]config.File, *config.Config, error) {
	files, err := config.ReadFolder(dir)
	if err != nil {
		return nil, nil, err
	}
	parsed, err := config.Parse(files)
	return files, parsed, err
}
