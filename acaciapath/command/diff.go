package command

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"acaciapath.example/acaciapath/linediff"
	"acaciapath.example/acaciapath/output"
	"acaciapath.example/core/config"

	"github.com/spf13/cobra"
)

// fileDiff is the difference between two versions of a file.
type fileDiff struct {
	// Name is the name of the file.
	Name string `json:"name"`
	// Change is added, removed or changed.
	Change string `json:"change"`
	// Diff is the difference in the unified diff format.
	Diff string `json:"diff"`
}

// Values of fileDiff.Change.
const (
	changeAdded   = "added"
	changeRemoved = "removed"
	changeChanged = "changed"
)

// diffResult is the result of the diff command: the files that differ, sorted by name.
type diffResult []fileDiff

var _ output.Result = diffResult{}

// WriteText writes the differences one after the other.
func (r diffResult) WriteText(w io.Writer) error {
	for _, f := range r {
		if _, err := io.WriteString(w, f.Diff); err != nil {
			return err
		}
	}
	return nil
}

// compareFiles returns the files that differ, sorted by name. The labels precede the
// file names in the headers of the diffs.
func compareFiles(oldLabel, newLabel string, before, after []config.File) diffResult {
	oldTexts, newTexts := textsByName(before), textsByName(after)
	names := slices.Collect(maps.Keys(newTexts))
	for name := range oldTexts {
		if _, ok := newTexts[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	result := diffResult{}
	for _, name := range names {
		oldText, inOld := oldTexts[name]
		newText, inNew := newTexts[name]
		if inOld && inNew && oldText == newText {
			continue
		}
		result = append(result, fileDiff{
			Name:   name,
			Change: changeKind(inOld, inNew),
			Diff:   linediff.Unified(oldLabel+"/"+name, newLabel+"/"+name, oldText, newText),
		})
	}
	return result
}

// changeKind returns the kind of change of a file that is in the old files, in the new
// files, or in both.
func changeKind(inOld, inNew bool) string {
	switch {
	case !inOld:
		return changeAdded
	case !inNew:
		return changeRemoved
	}
	return changeChanged
}

// textsByName returns the texts of the files by name.
func textsByName(files []config.File) map[string]string {
	texts := make(map[string]string, len(files))
	for _, f := range files {
		texts[f.Name] = f.Text
	}
	return texts
}

// revisionLabel returns the label of a revision in diffs.
func revisionLabel(number uint64) string { return fmt.Sprintf("revision-%d", number) }

func (p *program) diff() *cobra.Command {
	return &cobra.Command{
		Use:   "diff DIR | REVISION REVISION",
		Short: "Compare the newest revision with a folder, or two revisions",
		Args:  cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			clients, err := p.connect()
			if err != nil {
				return err
			}
			var result diffResult
			if len(args) == 1 {
				result, err = diffFolder(cmd.Context(), clients, args[0])
			} else {
				result, err = diffRevisions(cmd.Context(), clients, args[0], args[1])
			}
			if err != nil {
				return err
			}
			return p.printResult(result)
		},
	}
}

// diffFolder returns the differences between the newest revision and a folder.
func diffFolder(ctx context.Context, clients *clients, dir string) (diffResult, error) {
	after, err := config.ReadFolder(dir)
	if err != nil {
		return nil, err
	}
	head, err := clients.store.Head(ctx)
	if err != nil {
		return nil, err
	}
	before, err := revisionFiles(ctx, clients.store, head)
	if err != nil {
		return nil, err
	}
	return compareFiles(revisionLabel(head), dir, before, after), nil
}

// diffRevisions returns the differences between two revisions, whose numbers are given
// as text. It returns ErrUsage if one is not a number.
func diffRevisions(ctx context.Context, clients *clients, oldText, newText string) (diffResult, error) {
	oldNumber, err := parseRevision(oldText)
	if err != nil {
		return nil, err
	}
	newNumber, err := parseRevision(newText)
	if err != nil {
		return nil, err
	}
	return compareRevisions(ctx, clients, oldNumber, newNumber)
}

// compareRevisions returns the differences between two revisions. Revision 0 has no
// files.
func compareRevisions(ctx context.Context, clients *clients, oldNumber, newNumber uint64) (diffResult, error) {
	before, err := revisionFiles(ctx, clients.store, oldNumber)
	if err != nil {
		return nil, err
	}
	after, err := revisionFiles(ctx, clients.store, newNumber)
	if err != nil {
		return nil, err
	}
	return compareFiles(revisionLabel(oldNumber), revisionLabel(newNumber), before, after), nil
}
