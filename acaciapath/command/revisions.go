package command

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"acaciapath.example/acaciapath/output"
	"acaciapath.example/core/config"
	"acaciapath.example/core/revision"

	"github.com/spf13/cobra"
)

// defaultHistoryLimit is the default maximum number of revisions that the history
// command lists.
const defaultHistoryLimit = 20

// showResult is the result of the show command.
type showResult struct {
	// Meta describes the revision.
	revision.Meta
	// Files are the files of the revision.
	Files []showFile `json:"files"`
}

// showFile is a file of a revision.
type showFile struct {
	// Name is the name of the file.
	Name string `json:"name"`
	// Text is the content of the file.
	Text string `json:"text"`
}

var _ output.Result = showResult{}

// WriteText writes the metadata of the revision, followed by each file under its name.
func (r showResult) WriteText(w io.Writer) error {
	if err := historyResult([]revision.Meta{r.Meta}).WriteText(w); err != nil {
		return err
	}
	for _, f := range r.Files {
		if _, err := fmt.Fprintf(w, "\n# %s\n%s", f.Name, f.Text); err != nil {
			return err
		}
	}
	return nil
}

func (p *program) show() *cobra.Command {
	return &cobra.Command{
		Use:   "show [REVISION]",
		Short: "Show a revision and its files, by default the newest",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			clients, err := p.connect()
			if err != nil {
				return err
			}
			number, err := resolveRevision(cmd.Context(), clients.store, args)
			if err != nil {
				return err
			}
			meta, err := clients.store.Get(cmd.Context(), number)
			if err != nil {
				return err
			}
			files, err := clients.store.Files(cmd.Context(), number)
			if err != nil {
				return err
			}
			result := showResult{Meta: meta, Files: make([]showFile, len(files))}
			for i, f := range files {
				result.Files[i] = showFile(f)
			}
			return p.printResult(result)
		},
	}
}

// historyResult is the result of the history command, newest revision first.
type historyResult []revision.Meta

var _ output.Result = historyResult{}

// WriteText writes a line for each revision.
func (r historyResult) WriteText(w io.Writer) error {
	grid := output.Grid{Header: []string{"REVISION", "AT", "AUTHOR", "SIZE", "MESSAGE"}}
	for _, m := range r {
		grid.Add(m.Revision, m.AppliedAt.Format(time.RFC3339), m.Author, m.Size, m.Message)
	}
	return grid.WriteText(w)
}

func (p *program) history() *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List the newest revisions, newest first",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			clients, err := p.connect()
			if err != nil {
				return err
			}
			metas, err := clients.store.History(cmd.Context(), limit)
			if err != nil {
				return err
			}
			return p.printResult(historyResult(metas))
		},
	}
	cmd.Flags().IntVar(&limit, "limit", defaultHistoryLimit, "maximum number of revisions to list")
	return cmd
}

// resolveRevision returns the revision number in the first argument, or the number of
// the newest revision if there are no arguments. It returns ErrUsage if the argument is
// not a number, ErrNoRevision if there is no revision, or the error of the platform.
func resolveRevision(ctx context.Context, store *revision.Store, args []string) (uint64, error) {
	if len(args) > 0 {
		return parseRevision(args[0])
	}
	head, err := store.Head(ctx)
	if err != nil {
		return 0, err
	}
	if head == 0 {
		return 0, ErrNoRevision
	}
	return head, nil
}

// parseRevision returns the revision number in text. It returns ErrUsage if text is
// not a positive number.
func parseRevision(text string) (uint64, error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || number == 0 {
		return 0, usageError(fmt.Sprintf("%q is not a revision number", text))
	}
	return number, nil
}

// revisionFiles returns the files of a revision. Revision 0 has none.
func revisionFiles(ctx context.Context, store *revision.Store, number uint64) ([]config.File, error) {
	if number == 0 {
		return nil, nil
	}
	return store.Files(ctx, number)
}
