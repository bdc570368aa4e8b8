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

// BaseRevisionFile is the file that holds the revision that a folder was made against.
const BaseRevisionFile = ".acaciapath-revision"

// Modes of what is written.
const (
	folderMode = 0o755
	fileMode   = 0o644
)

// extension is that of the files of a configuration.
const extension = ".ini"

// Errors of this package.
var (
	// ErrInvalidBaseRevision is returned for a base file that holds no number.
	ErrInvalidBaseRevision = merry.Sentinel("folder: " + BaseRevisionFile + " does not hold the number of a revision")
	// ErrInvalidFileName is returned for a file whose name does not belong in the folder.
	ErrInvalidFileName = merry.Sentinel("folder: file name is not one of a configuration file")
)

// BaseRevision returns the revision that the folder was made against, 0 if the folder
// does not say. It returns ErrBase.
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

// SetBaseRevision stores the revision that the folder was made against.
func SetBaseRevision(dir string, revision uint64) error {
	return writeFile(dir, BaseRevisionFile, fmt.Sprintf("%d\n", revision))
}

// Replace writes the files into the folder, which is made if needed, and removes
// its other configuration files. It returns ErrName for a file that is not a
// configuration file, and then has written nothing.
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
	return removeOthers(dir, names)
}

// WriteFile writes one file of the folder.
func WriteFile(dir string, file config.File) error {
	return writeFile(dir, file.Name, file.Text)
}

func removeOthers(dir string, names []string) error {
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

// writeFile replaces a file as a whole, so that a reader never sees half of it.
func writeFile(dir, name, text string) error {
	path := filepath.Join(dir, name)
	temporary := filepath.Join(dir, "."+name+".new")
	if err := os.WriteFile(temporary, []byte(text), fileMode); err != nil {
		return merry.Prepend(err, "folder")
	}
	if err := os.Rename(temporary, path); err != nil {
		_ = os.Remove(temporary)
		return merry.Prepend(err, "folder")
	}
	return nil
}
