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

// maxConflictRevisions is the maximum number of revisions that are listed when a
// change conflicts with newer ones.
const maxConflictRevisions = 20

// applyResult is the result of the apply command.
type applyResult struct {
	// Meta describes the newest revision, which has the files of the folder.
	revision.Meta
	// Unchanged is true if no revision was stored because the newest one already
	// has these files.
	Unchanged bool `json:"unchanged"`
	// Daemons tells which daemons have the revision in force; nil if the command did
	// not wait for that.
	Daemons []confirmation `json:"daemons,omitempty"`
}

var _ output.Result = applyResult{}

// WriteText writes the number of the revision and a table of the daemons.
func (r applyResult) WriteText(w io.Writer) error {
	format := "revision %d applied\n"
	if r.Unchanged {
		format = "revision %d already has these files\n"
	}
	if _, err := fmt.Fprintf(w, format, r.Revision); err != nil {
		return err
	}
	if r.Daemons == nil {
		return nil
	}
	return confirmations(r.Daemons).WriteText(w)
}

// applyFlags are the flags shared by all commands that apply a folder.
type applyFlags struct {
	// base replaces the base revision that the folder records, if baseSet is true.
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

The folder is checked first. It is stored only if its base revision is the newest
one. The base revision is read from DIR/` + folder.BaseRevisionFile + `, which apply and pull write, or
given by --base. If it is not the newest, the command shows what has changed since
and exits with status 4.`,
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
	cmd.Flags().Uint64Var(&flags.base, "base", 0, "base revision of the folder (default: the one in DIR/"+folder.BaseRevisionFile+")")
	cmd.Flags().StringVarP(&flags.message, "message", "m", "", "description of the change")
	flags.register(cmd, p.Author)
	return cmd
}

// register adds the flags for the author and the wait to cmd. author is the default
// author, and the value of f.wait before the call is the default wait.
func (f *applyFlags) register(cmd *cobra.Command, author string) {
	cmd.Flags().StringVar(&f.author, "author", author, "name of the operator, stored with the revision")
	cmd.Flags().DurationVar(&f.wait, "wait", f.wait, "maximum time to wait until all daemons have confirmed the revision")
}

// applyFolder stores the files of a folder as a new revision and, if flags.wait is
// positive, waits until the daemons have confirmed it. The result describes the newest
// revision even if a later step fails. Its revision is 0 if Store.Apply failed.
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

// baseRevision returns the base revision of a folder.
func (f *applyFlags) baseRevision(dir string) (uint64, error) {
	if f.baseSet {
		return f.base, nil
	}
	return folder.BaseRevision(dir)
}

// printConflict prints the revisions and the differences between the base revision of
// a rejected change and the newest revision. It omits what it cannot read.
func (p *program) printConflict(ctx context.Context, clients *clients, conflict *revision.ConflictError) {
	since := conflict.Newest.Revision - min(conflict.Base, conflict.Newest.Revision)
	metas, err := clients.store.History(ctx, int(min(since, maxConflictRevisions)))
	if err == nil && len(metas) > 0 {
		fmt.Fprintf(p.Stderr, "Since revision %d:\n", conflict.Base)
		_ = historyResult(metas).WriteText(p.Stderr) // a failed write to standard error cannot be reported
	}
	changes, err := compareRevisions(ctx, clients, conflict.Base, conflict.Newest.Revision)
	if err == nil {
		_ = changes.WriteText(p.Stderr) // likewise
	}
}
