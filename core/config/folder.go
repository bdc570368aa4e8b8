package config

import (
	"io/fs"
	"os"
	"slices"

	"acaciapath.example/core/finding"
	"acaciapath.example/core/ini"
)

// MaxFileBytes is the greatest size of one file of a folder.
const MaxFileBytes = 64 << 20

// extension is that of the files that ReadFolder reads.
const extension = ".ini"

// ReadFolder returns the INI files of a folder in the order of their names.
// Other files are passed over. If a file is oversized, is not a regular file, is
// a symbolic link that leaves the folder or cannot be read, or if the folder
// holds no INI file, ReadFolder returns all of that as a *finding.List.
func ReadFolder(dir string) ([]File, error) {
	var findings finding.List
	files := readFolder(dir, &findings)
	if len(files) == 0 && findings.Err() == nil {
		findings.Add(folderFinding(dir, "the folder holds no file with the extension "+extension))
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return files, nil
}

// readFolder reads the files. The root refuses symbolic links that leave the
// folder.
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
