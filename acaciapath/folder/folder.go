package folder

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"acaciapath.example/core/config"

	"github.com/ansel1/merry/v2"
)

// BaseRevisionFile is the name of the file with the base revision of a folder: the
// revision that its files were derived from.
const BaseRevisionFile = ".acaciapath-revision"

// Permissions of the folders and files that are written.
const (
	folderMode = 0o755
	fileMode   = 0o644
)

// extension is the file name extension of configuration files.
const extension = ".ini"

// Errors of this package.
var (
	// ErrInvalidBaseRevision is returned if BaseRevisionFile does not contain a number.
	ErrInvalidBaseRevision = merry.Sentinel("folder: " + BaseRevisionFile + " does not contain a revision number")
	// ErrInvalidFileName is returned for a file name that contains a directory or does
	// not have the extension of configuration files.
	ErrInvalidFileName = merry.Sentinel("folder: invalid name of a configuration file")
)

// BaseRevision returns the base revision of the folder, or 0 if there is no
// BaseRevisionFile. It returns ErrInvalidBaseRevision if the file contains no number.
func BaseRevision(dir string) (uint64, error) {
	text, err := os.ReadFile(filepath.Join(dir, BaseRevisionFile))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, merry.Prepend(err, "folder")
	}
	base, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return 0, ErrInvalidBaseRevision
	}
	return base, nil
}

// SetBaseRevision stores the base revision of the folder.
func SetBaseRevision(dir string, revision uint64) error {
	return writeFile(dir, BaseRevisionFile, fmt.Sprintf("%d\n", revision))
}

// Replace writes the files to the folder, which is created if needed, and removes other
// configuration files from it. If the name of a file is invalid, it writes nothing and
// returns ErrInvalidFileName.
func Replace(dir string, files []config.File) error {
	names := make([]string, len(files))
	for i, f := range files {
		if f.Name != filepath.Base(f.Name) || filepath.Ext(f.Name) != extension {
			return merry.Wrap(ErrInvalidFileName, merry.AppendMessagef("%q", f.Name))
		}
		names[i] = f.Name
	}
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return merry.Prepend(err, "folder")
	}
	for _, f := range files {
		if err := writeFile(dir, f.Name, f.Text); err != nil {
			return err
		}
	}
	return removeOtherFiles(dir, names)
}

// WriteFile writes a file to the folder.
func WriteFile(dir string, file config.File) error {
	return writeFile(dir, file.Name, file.Text)
}

func removeOtherFiles(dir string, names []string) error {
	found, err := filepath.Glob(filepath.Join(dir, "*"+extension))
	if err != nil {
		return merry.Prepend(err, "folder")
	}
	for _, path := range found {
		if slices.Contains(names, filepath.Base(path)) {
			continue
		}
		if err := os.Remove(path); err != nil {
			return merry.Prepend(err, "folder")
		}
	}
	return nil
}

// writeFile creates or replaces a file atomically, so that a reader never sees a partial
// file.
func writeFile(dir, name, text string) error {
	path := filepath.Join(dir, name)
	temporaryPath := filepath.Join(dir, "."+name+".new")
	if err := os.WriteFile(temporaryPath, []byte(text), fileMode); err != nil {
		return merry.Prepend(err, "folder")
	}
	if err := os.Rename(temporaryPath, path); err != nil {
		_ = os.Remove(temporaryPath)
		return merry.Prepend(err, "folder")
	}
	return nil
}
