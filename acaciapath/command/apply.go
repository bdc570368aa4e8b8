package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"acaciapath.example/acaciapath/folder"
	"acaciapath.example/acaciapath/output"
	"acaciapath.example/core/config"
	"acaciapath.example/core/revision"

	"github.com/spf13/cobra"
)

// maxConflictRevisions is how many revisions a racing operator is shown.
const maxConflictRevisions = 20

// applyResult is what apply prints.
type applyResult struct {
	// Meta is the newest revision, which has the files of the folder.
	revision.Meta
	// Unchanged says that no revision was made, because the newest one has
	// these files already.
	Unchanged bool `json:"unchanged"`
	// Daemons say which daemons have it in force, if that was waited for.
	Daemons []confirmation `json:"daemons,omitempty"`
}

var _ output.Result = applyResult{}

// WriteText writes the revision and the daemons.
func (r applyResult) WriteText(w io.Writer) error {
	format := "revision %d applied\n"
	if r.Unchanged {
		format = "revision %d has these files already\n"
	}
	if _, err := fmt.Fprintf(w, format, r.Revision); err != nil {
		return err
	}
	if r.Daemons == nil {
		return nil
	}
	return confirmations(r.Daemons).WriteText(w)
}

// applyFlags are the flags of commands that apply a folder.
type applyFlags struct {
	// base is used in place of the folder's own if baseSet.
	base    uint64
	baseSet bool
	author  string
	message string
	wait    time.Duration
}

func (p *program) apply() *cobra.Command {
	var flags applyFlags
	cmd := &cobra.Command{
		Use:   "apply DIR",
		Short: "Store a folder as the new revision",
		Long: `Store a folder as the new revision of the configuration.

The folder is checked first. It is stored only if it was made against the newest
revision: the one in DIR/` + folder.BaseRevisionFile + `, which apply and pull write, or
that of --base. Otherwise the command shows what has changed since, and ends
with status 4.`,
		Args: exactArgs("a folder"),
		RunE: func(cmd *cobra.Command, args []string) error {
			flags.baseSet = cmd.Flags().Changed("base")
			files, _, err := readFolder(args[0])
			if err != nil {
				return err
			}
			clients, err := p.connect()
			if err != nil {
				return err
			}
			result, err := p.applyFolder(cmd.Context(), clients, args[0], files, flags)
			if result.Revision == 0 {
				return err
			}
			return errors.Join(p.printResult(result), err)
		},
	}
	cmd.Flags().Uint64Var(&flags.base, "base", 0, "revision that the folder was made against (default: that in DIR/"+folder.BaseRevisionFile+")")
	cmd.Flags().StringVarP(&flags.message, "message", "m", "", "what was changed")
	flags.register(cmd, p.Author)
	return cmd
}

// add adds the flags that all commands have that apply a folder.
func (f *applyFlags) register(cmd *cobra.Command, author string) {
	cmd.Flags().StringVar(&f.author, "author", author, "operator that the revision is stored with")
	cmd.Flags().DurationVar(&f.wait, "wait", f.wait, "how long to wait until all daemons have confirmed the revision")
}

// applyFolder stores the files of a folder and waits for the daemons, if asked
// to. Unless it fails before, the result has the revision that was stored.
func (p *program) applyFolder(ctx context.Context, clients *clients, dir string, files []config.File, flags applyFlags) (applyResult, error) {
	base, err := flags.baseRevision(dir)
	if err != nil {
		return applyResult{}, err
	}
	change := revision.Change{Base: base, Files: files, Author: flags.author, Message: flags.message}
	applied, err := clients.store.Apply(ctx, change, p.Now())
	var conflict *revision.ConflictError
	if errors.As(err, &conflict) {
		p.printConflict(ctx, clients, conflict)
	}
	if err != nil {
		return applyResult{}, err
	}
	result := applyResult{Meta: applied.Meta, Unchanged: applied.Unchanged}
	if err := folder.SetBaseRevision(dir, applied.Meta.Revision); err != nil {
		return result, err
	}
	if flags.wait <= 0 {
		return result, nil
	}
	result.Daemons, err = waitForDaemons(ctx, clients, applied.Meta.Revision, flags.wait)
	return result, err
}

// baseOf returns the revision that a folder was made against.
func (f *applyFlags) baseRevision(dir string) (uint64, error) {
	if f.baseSet {
		return f.base, nil
	}
	return folder.BaseRevision(dir)
}

// printConflict prints what has changed since the base of a change that lost a
// conflict. What cannot be read is left out.
func (p *program) printConflict(ctx context.Context, clients *clients, conflict *revision.ConflictError) {
	since := conflict.Newest.Revision - min(conflict.Base, conflict.Newest.Revision)
	metas, err := clients.store.History(ctx, int(min(since, maxConflictRevisions)))
	if err == nil && len(metas) > 0 {
		fmt.Fprintf(p.Stderr, "Since revision %d:\n", conflict.Base)
		_ = historyResult(metas).WriteText(p.Stderr) // a failed write to standard error can be told nowhere
	}
	changes, err := compareRevisions(ctx, clients, conflict.Base, conflict.Newest.Revision)
	if err == nil {
		_ = changes.WriteText(p.Stderr) // likewise
	}
}
