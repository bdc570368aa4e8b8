package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"acaciapath.example/acaciapath/folder"
	"acaciapath.example/acaciapath/output"
	"acaciapath.example/core/apikey"
	"acaciapath.example/core/config"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
)

// defaultConfirmWait is the default of --wait for the commands that change keys.
const defaultConfirmWait = 30 * time.Second

func (p *program) keys() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "keys",
		Short: "Issue, withdraw and list API keys of client accounts",
		Args:  cobra.NoArgs,
		RunE:  runGroup,
	}
	cmd.AddCommand(p.keysIssue(), p.keysWithdraw(), p.keysList())
	return cmd
}

// issueResult is the result of the command "keys issue".
type issueResult struct {
	// Key is the secret key. It is printed once and not stored.
	Key string `json:"key"`
	// Name is the name of the key.
	Name string `json:"name"`
	// ClientAccount is the client account that it belongs to.
	ClientAccount string `json:"client-account"`
	// DefaultClass is the service class of requests that do not specify one.
	DefaultClass string `json:"default-class"`
	// File is the name of the file that declares the key.
	File string `json:"file"`
	// Applied describes the revision that contains the key; nil if it was not applied.
	Applied *applyResult `json:"applied,omitempty"`
}

var _ output.Result = issueResult{}

// WriteText writes only the key, so that a shell script can capture it.
func (r issueResult) WriteText(w io.Writer) error {
	_, err := fmt.Fprintln(w, r.Key)
	return err
}

// issueFlags are the flags of keys issue.
type issueFlags struct {
	applyFlags
	account string
	name    string
	class   string
	file    string
	apply   bool
}

func (p *program) keysIssue() *cobra.Command {
	flags := issueFlags{applyFlags: applyFlags{wait: defaultConfirmWait}}
	cmd := &cobra.Command{
		Use:   "issue DIR",
		Short: "Issue a key for a client account",
		Long: `Issue a key for a client account and print it. Only its hash is written to the
folder, so the key cannot be printed again. With --apply the folder is applied, and
the command waits until all daemons accept the key.`,
		Args: exactArgs("a folder"),
		RunE: func(cmd *cobra.Command, args []string) error {
			result, err := p.issue(cmd.Context(), args[0], flags)
			if result.Key == "" {
				return err
			}
			err = errors.Join(p.printResult(result), err)
			if result.Applied != nil && p.format == output.Table {
				err = errors.Join(err, result.Applied.WriteText(p.Stderr))
			}
			return err
		},
	}
	cmd.Flags().StringVar(&flags.account, "client-account", "", "client account that the key belongs to")
	cmd.Flags().StringVar(&flags.name, "name", "", "name of the key, by which logs refer to it")
	cmd.Flags().StringVar(&flags.class, "default-class", "", "service class of requests that do not specify one")
	cmd.Flags().StringVar(&flags.file, "file", "", "file in the folder to write to (default: the file with the last key of the client account, or "+folder.DefaultKeysFile+")")
	cmd.Flags().BoolVar(&flags.apply, "apply", false, "apply the folder")
	for _, name := range []string{"client-account", "name", "default-class"} {
		_ = cmd.MarkFlagRequired(name)
	}
	flags.register(cmd, p.Author)
	return cmd
}

// issue creates a key, writes its hash to the folder and applies the folder if
// flags.apply is set. The result has the key if the hash was written, even if a
// later step fails.
func (p *program) issue(ctx context.Context, dir string, flags issueFlags) (issueResult, error) {
	files, parsed, err := readFolder(dir)
	if err != nil {
		return issueResult{}, err
	}
	if err := checkKeyOwner(parsed, flags.account, flags.class); err != nil {
		return issueResult{}, err
	}
	clients, err := p.connectIfApplying(flags.apply)
	if err != nil {
		return issueResult{}, err
	}
	secret, err := apikey.New(p.Random)
	if err != nil {
		return issueResult{}, err
	}
	key := config.Key{Name: flags.name, ClientAccount: flags.account, DefaultClass: flags.class, Hash: apikey.Hash(secret)}
	file, err := folder.AddKey(files, flags.file, key)
	if err != nil {
		return issueResult{}, err
	}
	files, err = updateFile(dir, files, file)
	if err != nil {
		return issueResult{}, err
	}
	result := issueResult{Key: secret, Name: key.Name, ClientAccount: key.ClientAccount, DefaultClass: key.DefaultClass, File: file.Name}
	flags.message = "issue key " + key.Name
	result.Applied, err = p.applyIfRequested(ctx, clients, dir, files, flags.applyFlags)
	return result, err
}

// checkKeyOwner returns ErrUnknownClientAccount if the client account is not in the
// configuration, and ErrClassNotBought if it has not bought the service class.
func checkKeyOwner(c *config.Config, account, class string) error {
	found := config.NewIndex(c, 0).Account(account)
	if found == nil {
		return merry.Wrap(ErrUnknownClientAccount, merry.AppendMessage(account))
	}
	if !found.HasClass(class) {
		return merry.Wrap(ErrClassNotBought, merry.AppendMessagef("%s, %s", account, class))
	}
	return nil
}

// withdrawResult is the result of the command "keys withdraw".
type withdrawResult struct {
	// Name is the name of the key.
	Name string `json:"name"`
	// File is the name of the file that declares the key.
	File string `json:"file"`
	// Applied describes the revision that withdraws the key; nil if it was not applied.
	Applied *applyResult `json:"applied,omitempty"`
}

var _ output.Result = withdrawResult{}

// WriteText writes the key and the file, and the revision if the folder was applied.
func (r withdrawResult) WriteText(w io.Writer) error {
	if r.Applied == nil {
		_, err := fmt.Fprintf(w, "key %s is withdrawn in %s; apply the folder for this to take effect\n", r.Name, r.File)
		return err
	}
	if _, err := fmt.Fprintf(w, "key %s is withdrawn in %s\n", r.Name, r.File); err != nil {
		return err
	}
	return r.Applied.WriteText(w)
}

func (p *program) keysWithdraw() *cobra.Command {
	var apply bool
	flags := applyFlags{wait: defaultConfirmWait}
	cmd := &cobra.Command{
		Use:   "withdraw DIR NAME",
		Short: "Withdraw a key",
		Long: `Withdraw a key in the folder. With --apply the folder is applied, and the command
waits and shows which daemons have confirmed the revision. It exits with status 6 if
some have not; these daemons may still accept the key.`,
		Args: exactArgs("a folder", "the name of a key"),
		RunE: func(cmd *cobra.Command, args []string) error {
			result, err := p.withdraw(cmd.Context(), args[0], args[1], apply, flags)
			if result.Name == "" {
				return err
			}
			return errors.Join(p.printResult(result), err)
		},
	}
	cmd.Flags().BoolVar(&apply, "apply", false, "apply the folder and wait for the daemons")
	flags.register(cmd, p.Author)
	return cmd
}

// withdraw withdraws a key in the folder and applies the folder if apply is set. The
// result has the name of the key if the folder was written, even if a later step
// fails.
func (p *program) withdraw(ctx context.Context, dir, name string, apply bool, flags applyFlags) (withdrawResult, error) {
	files, _, err := readFolder(dir)
	if err != nil {
		return withdrawResult{}, err
	}
	clients, err := p.connectIfApplying(apply)
	if err != nil {
		return withdrawResult{}, err
	}
	file, err := folder.WithdrawKey(files, name)
	if err != nil {
		return withdrawResult{}, err
	}
	files, err = updateFile(dir, files, file)
	if err != nil {
		return withdrawResult{}, err
	}
	result := withdrawResult{Name: name, File: file.Name}
	flags.message = "withdraw key " + name
	result.Applied, err = p.applyIfRequested(ctx, clients, dir, files, flags)
	return result, err
}

// keyRow is a key in the result of the command "keys list".
type keyRow struct {
	// Name is the name of the key.
	Name string `json:"name"`
	// ClientAccount is the client account that it belongs to.
	ClientAccount string `json:"client-account"`
	// DefaultClass is the service class of requests that do not specify one.
	DefaultClass string `json:"default-class"`
	// Withdrawn is true if the key has been withdrawn.
	Withdrawn bool `json:"withdrawn"`
}

// keysResult is the result of the command "keys list", sorted by name.
type keysResult []keyRow

var _ output.Result = keysResult{}

// WriteText writes a line for each key.
func (r keysResult) WriteText(w io.Writer) error {
	grid := output.Grid{Header: []string{"NAME", "CLIENT ACCOUNT", "DEFAULT CLASS", "WITHDRAWN"}}
	for _, k := range r {
		grid.Add(k.Name, k.ClientAccount, k.DefaultClass, yesNo(k.Withdrawn))
	}
	return grid.WriteText(w)
}

func (p *program) keysList() *cobra.Command {
	return &cobra.Command{
		Use:   "list DIR",
		Short: "List the keys that a folder declares",
		Args:  exactArgs("a folder"),
		RunE: func(_ *cobra.Command, args []string) error {
			_, parsed, err := readFolder(args[0])
			if err != nil {
				return err
			}
			result := make(keysResult, len(parsed.Keys))
			for i, k := range parsed.Keys {
				result[i] = keyRow{Name: k.Name, ClientAccount: k.ClientAccount, DefaultClass: k.DefaultClass, Withdrawn: k.Withdrawn}
			}
			return p.printResult(result)
		},
	}
}

// connectIfApplying returns clients if the folder is to be applied, else nil. It is
// called before the folder is changed, so that invalid settings are reported first.
func (p *program) connectIfApplying(apply bool) (*clients, error) {
	if !apply {
		return nil, nil
	}
	return p.connect()
}

// applyIfRequested applies a folder, or does nothing and returns a nil result if
// clients is nil. The result is also nil if Store.Apply failed.
func (p *program) applyIfRequested(ctx context.Context, clients *clients, dir string, files []config.File, flags applyFlags) (*applyResult, error) {
	if clients == nil {
		return nil, nil
	}
	result, err := p.applyFolder(ctx, clients, dir, files, flags)
	if result.Revision == 0 {
		return nil, err
	}
	return &result, err
}

// updateFile writes a changed file to the folder, unless the check of the folder with
// this file has findings. It returns all files of the folder.
func updateFile(dir string, files []config.File, file config.File) ([]config.File, error) {
	files = folder.WithFile(files, file)
	if _, err := config.Parse(files); err != nil {
		return nil, err
	}
	return files, folder.WriteFile(dir, file)
}
