package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"acaciapath.example/acaciapath/folder"
	"acaciapath.example/acaciapath/output"
	"acaciapath.example/core/config"
	"acaciapath.example/core/revision"

	"github.com/spf13/cobra"
)

// pullResult is the result of the pull command.
type pullResult struct {
	// Folder is the folder that was written.
	Folder string `json:"folder"`
	// Revision is the revision that was written.
	Revision uint64 `json:"revision"`
	// Files is the number of files in the revision.
	Files int `json:"files"`
}

var _ output.Result = pullResult{}

// WriteText writes one line.
func (r pullResult) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s: revision %d, %d files\n", r.Folder, r.Revision, r.Files)
	return err
}

func (p *program) pull() *cobra.Command {
	var force bool
	cmd := &cobra.Command{
		Use:   "pull DIR",
		Short: "Write the files of the newest revision into a folder",
		Long: `Write the files of the newest revision into a folder and remove other configuration
files from it. The command fails if the folder has changes that were not applied,
unless --force is given.`,
		Args: exactArgs("a folder"),
		RunE: func(cmd *cobra.Command, args []string) error {
			clients, err := p.connect()
			if err != nil {
				return err
			}
			result, err := pullFolder(cmd.Context(), clients, args[0], force)
			if err != nil {
				return err
			}
			return p.printResult(result)
		},
	}
	cmd.Flags().BoolVar(&force, "force", false, "overwrite changes that were not applied")
	return cmd
}

// pullFolder writes the newest revision into a folder. Unless force is set, it returns
// ErrLocalChanges if the folder has changes that were not applied.
func pullFolder(ctx context.Context, clients *clients, dir string, force bool) (pullResult, error) {
	head, err := resolveRevision(ctx, clients.store, nil)
	if err != nil {
		return pullResult{}, err
	}
	files, err := clients.store.Files(ctx, head)
	if err != nil {
		return pullResult{}, err
	}
	if !force {
		if err := checkLocalChanges(ctx, clients.store, dir, files); err != nil {
			return pullResult{}, err
		}
	}
	if err := folder.Replace(dir, files); err != nil {
		return pullResult{}, err
	}
	if err := folder.SetBaseRevision(dir, head); err != nil {
		return pullResult{}, err
	}
	return pullResult{Folder: dir, Revision: head, Files: len(files)}, nil
}

// checkLocalChanges returns ErrLocalChanges if the folder differs both from its base
// revision and from the newest files.
func checkLocalChanges(ctx context.Context, store *revision.Store, dir string, newest []config.File) error {
	found, err := filepath.Glob(filepath.Join(dir, "*.ini"))
	if err != nil || len(found) == 0 {
		return err
	}
	local, err := readFiles(found)
	if err != nil {
		return err
	}
	if len(compareFiles("", "", local, newest)) == 0 {
		return nil
	}
	number, err := folder.BaseRevision(dir)
	if err != nil {
		return err
	}
	base, err := revisionFiles(ctx, store, number)
	if err != nil && !errors.Is(err, revision.ErrNotFound) {
		return err
	}
	if len(compareFiles("", "", base, local)) > 0 {
		return ErrLocalChanges
	}
	return nil
}

// readFiles reads files without checking them.
func readFiles(paths []string) ([]config.File, error) {
	files := make([]config.File, len(paths))
	for i, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		files[i] = config.File{Name: filepath.Base(path), Text: string(text)}
	}
	return files, nil
}
