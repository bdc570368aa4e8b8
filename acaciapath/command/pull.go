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

// pullResult is what pull prints.
type pullResult struct {
	// Folder is the folder that was written.
	Folder string `json:"folder"`
	// Revision is the revision whose files it holds.
	Revision uint64 `json:"revision"`
	// Files is the number of its files.
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
		Long: `Write the files of the newest revision into a folder and remove its other
configuration files. A folder with changes that were not applied is left alone
unless --force is given.`,
		Args: exactly("a folder"),
		RunE: func(cmd *cobra.Command, args []string) error {
			ports, err := p.connect()
			if err != nil {
				return err
			}
			result, err := pullFolder(cmd.Context(), ports, args[0], force)
			if err != nil {
				return err
			}
			return p.print(result)
		},
	}
	cmd.Flags().BoolVar(&force, "force", false, "overwrite changes that were not applied")
	return cmd
}

// pullFolder writes the newest revision into a folder.
func pullFolder(ctx context.Context, ports *ports, dir string, force bool) (pullResult, error) {
	head, err := revisionArgument(ctx, ports.store, nil)
	if err != nil {
		return pullResult{}, err
	}
	files, err := ports.store.Files(ctx, head)
	if err != nil {
		return pullResult{}, err
	}
	if !force {
		if err := refuseLocalChanges(ctx, ports.store, dir, files); err != nil {
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

// refuseLocalChanges returns ErrLocalChanges if the folder differs both from
// its base and from the files that it is about to hold.
func refuseLocalChanges(ctx context.Context, store *revision.Store, dir string, newest []config.File) error {
	found, err := filepath.Glob(filepath.Join(dir, "*.ini"))
	if err != nil || len(found) == 0 {
		return err
	}
	local, err := localFiles(found)
	if err != nil {
		return err
	}
	if len(compare("", "", local, newest)) == 0 {
		return nil
	}
	number, err := folder.BaseRevision(dir)
	if err != nil {
		return err
	}
	base, err := filesOf(ctx, store, number)
	if err != nil && !errors.Is(err, revision.ErrNotFound) {
		return err
	}
	if len(compare("", "", base, local)) > 0 {
		return ErrLocalChanges
	}
	return nil
}

// localFiles reads files as they are, also those that a check would refuse.
func localFiles(paths []string) ([]config.File, error) {
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
