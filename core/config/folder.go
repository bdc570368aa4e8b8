package config

import (
	"io/fs"
	"os"
	"slices"

	"acaciapath.example/core/finding"
	"acaciapath.example/core/ini"
)

// MaxFileBytes is the maximum size of one file of a folder.
const MaxFileBytes = 64 << 20

// extension is the extension of the files that ReadFolder reads.
const extension = ".ini"

// ReadFolder returns the INI files of a folder, sorted by name. It ignores other
// files. If a file is too large, is not a regular file, is a symbolic link that
// leaves the folder or cannot be read, or if the folder contains no INI file,
// ReadFolder returns a *finding.List with all such problems.
func ReadFolder(dir string) ([]File, error) {
	var findings finding.List
	files := readFolder(dir, &findings)
	if len(files) == 0 && findings.Err() == nil {
		findings.Add(folderFinding(dir, "the folder contains no file with the extension "+extension))
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return files, nil
}

// readFolder returns the files that can be read and adds a finding for each other
// one. It opens the folder as an os.Root, which does not follow symbolic links
// that leave the folder.
func readFolder(dir string, findings *finding.List) []File {
	root, err := os.OpenRoot(dir)
	if err != nil {
		findings.Add(folderFinding(dir, "the folder cannot be read: "+ini.PathErrorReason(err)))
		return nil
	}
	defer root.Close()
	names, err := fs.Glob(root.FS(), "*"+extension)
	if err != nil {
		findings.Add(folderFinding(dir, "the folder cannot be read: "+ini.PathErrorReason(err)))
		return nil
	}
	slices.Sort(names)
	var files []File
	for _, name := range names {
		f, problem := ini.ReadFile(root.FS(), name, MaxFileBytes)
		if problem != nil {
			findings.Add(*problem)
			continue
		}
		files = append(files, f)
	}
	return files
}

func folderFinding(dir, message string) finding.Finding {
	return finding.Finding{Kind: finding.Syntax, File: dir, Message: message}
}
